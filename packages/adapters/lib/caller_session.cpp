// Reads requests, waits for decisions and writes answers.
#include "caller_session.hpp"

#include "drain_limits.hpp"
#include "request_fields.hpp"
#include "request_reading.hpp"
#include "socket_state.hpp"

#include "sycamorelock/adapters/clocks.hpp"

#include <boost/asio/post.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace sycamorelock::adapters
{

namespace
{

constexpr std::uint32_t max_request_header = 32 * 1024;
constexpr std::size_t read_size = 4096;

http::status status_of(core::refusal_reason reason)
{
    using enum core::refusal_reason;
    switch (reason)
    {
    case queue_full:
    case account_queue_full:
    case too_many_requests:
        return http::status::too_many_requests;
    case duplicate_key:
        return http::status::conflict;
    case key_outside_memory:
        return http::status::unprocessable_entity;
    case endpoint_failed:
    case retries_exhausted:
    case retry_budget_spent:
        return http::status::bad_gateway;
    case unauthenticated:
        return http::status::unauthorized;
    case unknown_service:
        return http::status::not_found;
    case bad_request:
        return http::status::bad_request;
    case body_too_large:
        return http::status::payload_too_large;
    default:
        return http::status::service_unavailable;
    }
}

/// RFC 9457 problem details.
std::string problem(core::refusal_reason reason, core::executed ran,
                    http::status status, const std::string& detail,
                    std::chrono::milliseconds retry_after,
                    const std::string& request)
{
    boost::json::object body;
    body["type"] = "about:blank";
    body["title"] = "The request was refused.";
    body["status"] = static_cast<unsigned>(status);
    body["reason"] = to_string(reason);
    body["executed"] = to_string(ran);
    if (!detail.empty())
        body["detail"] = detail;
    if (retry_after.count() > 0)
        body["retry_after_ms"] = retry_after.count();
    if (!request.empty())
        body["request"] = request;
    return boost::json::serialize(body);
}

std::string whole_seconds(std::chrono::milliseconds value)
{
    const auto up = std::chrono::ceil<std::chrono::seconds>(value);
    return std::to_string(up.count());
}

} // namespace

caller_session::caller_session(tcp::socket socket, session_shared shared)
    : stream_(std::move(socket)), shared_(shared),
      decided_(stream_.get_executor()), opened_at_(now())
{
    ++shared_.open;
    error_code ignored;
    stream_.socket().set_option(tcp::no_delay(true), ignored);
}

asio::any_io_executor caller_session::executor()
{
    return stream_.get_executor();
}

void caller_session::deliver(decision what)
{
    const auto number =
        std::visit([](const auto& kind) { return kind.request.number; }, what);
    if (number != request_number_)
        return;
    decision_ = std::move(what);
    decided_.cancel();
}

asio::awaitable<decision> caller_session::next_decision()
{
    while (!decision_)
    {
        decided_.expires_at(asio::steady_timer::time_point::max());
        co_await decided_.async_wait(as_result);
    }
    decision what = std::move(*decision_);
    decision_.reset();
    co_return what;
}

asio::awaitable<void> caller_session::run()
{
    const auto self = shared_from_this();
    ++shared_.control.traffic().connections;
    shared_.sessions.insert(this);
    while (co_await serve_one())
    {
    }
    shared_.sessions.erase(this);
    error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    --shared_.open;
}

void caller_session::end_if_idle()
{
    const bool just_connected =
        first_request_ && now() - opened_at_ < first_request_patience;
    if (!busy_ && !just_connected)
        end_waiting();
}

bool caller_session::end_if_idle_since(core::time_point latest)
{
    if (busy_ || ending_ || idle_since_ > latest)
        return false;
    end_waiting();
    return true;
}

void caller_session::end_waiting()
{
    // Closing would lose a request that has been received and not read yet.
    ending_ = true;
    stream_.cancel();
}

asio::awaitable<bool> caller_session::wait_for_request()
{
    for (;;)
    {
        if (ending_ && look_at(stream_.socket()) != socket_state::readable)
            co_return false;
        idle_since_ = now();
        // Idling between requests is not being slow within one.
        stream_.expires_after(shared_.control.settings().idle_timeout);
        auto [error, bytes] = co_await stream_.async_read_some(
            buffer_.prepare(read_size), as_result);
        buffer_.commit(bytes);
        if (!error)
            co_return true;
        if (error != asio::error::operation_aborted)
            co_return false;
    }
}

asio::awaitable<bool> caller_session::serve_one()
{
    if (buffer_.size() == 0 && !co_await wait_for_request())
        co_return false;
    busy_ = true;
    first_request_ = false;
    ++shared_.busy;
    const bool more = co_await [this]() -> asio::awaitable<bool>
    {
        parser request;
        if (!co_await read(request))
            co_return false;
        co_return co_await handle(request.release());
    }();
    --shared_.busy;
    busy_ = false;
    co_return more && !ending_;
}

asio::awaitable<bool> caller_session::read(parser& request)
{
    const settings::process_settings& settings = shared_.control.settings();
    request.header_limit(max_request_header);
    request.body_limit(settings.max_body_bytes);
    // The stream's own time limit would close the socket, and the caller would
    // get no answer. This one only ends the reading.
    stream_.expires_never();
    const auto timed_out = std::make_shared<bool>(false);
    asio::steady_timer limit(stream_.get_executor(), settings.header_timeout);
    limit.async_wait(
        [timed_out, self = shared_from_this()](error_code ended)
        {
            if (ended)
                return;
            *timed_out = true;
            error_code ignored;
            self->stream_.socket().cancel(ignored);
        });
    const error_code error = co_await read_request(stream_, buffer_, request);
    limit.cancel();
    has_key_ = has_idempotency_key(request.get());
    if (!error)
        co_return true;
    keep_ = false;
    const bool closed = error == http::error::end_of_stream ||
                        error == asio::error::connection_reset ||
                        error == asio::error::eof;
    if (closed)
        co_return false;
    ++shared_.control.traffic().bad_requests;
    shared_.control.log().write(process_event::bad_request,
                                {{"error", error.message()}});
    co_await answer_unreadable(error, *timed_out);
    co_return false;
}

asio::awaitable<void> caller_session::answer_unreadable(error_code error,
                                                        bool timed_out)
{
    using enum core::refusal_reason;
    if (timed_out)
        co_await answer_problem(bad_request, http::status::request_timeout,
                                "the request did not arrive in time");
    else if (error == http::error::body_limit)
        co_await answer_problem(body_too_large, http::status::payload_too_large,
                                "the body is too large");
    else if (error == http::error::header_limit)
        co_await answer_problem(bad_request,
                                http::status::request_header_fields_too_large,
                                "the header is too large");
    else
        co_await answer_problem(bad_request, http::status::bad_request,
                                error.message());
}

asio::awaitable<bool> caller_session::handle(caller_request request)
{
    keep_ = request.keep_alive() && !shared_.control.leaving() && !ending_;
    if (request.version() != 11)
    {
        keep_ = false;
        co_return co_await answer_problem(
            core::refusal_reason::bad_request,
            http::status::http_version_not_supported,
            "HTTP/1.1 is needed, so that a cut answer can be seen");
    }
    if (request.target() == "/ready")
    {
        const bool ready =
            shared_.control.ready() && !shared_.control.leaving();
        http::response<http::string_body> answer(
            ready ? http::status::ok : http::status::service_unavailable, 11);
        answer.body() = ready ? "ready\n" : "not ready\n";
        co_return co_await write(std::move(answer));
    }
    co_return co_await route(request);
}

asio::awaitable<bool> caller_session::route(caller_request& request)
{
    using enum core::refusal_reason;
    const auto routes = shared_.control.routes();
    if (!routes || !shared_.control.ready())
        co_return co_await answer_problem(not_ready,
                                          http::status::service_unavailable,
                                          "no configuration is in force yet");
    const auto key = bearer_key(request);
    const core::account_id* account =
        key ? routes->account_of_key(*key) : nullptr;
    if (account == nullptr)
        co_return co_await answer_problem(unauthenticated,
                                          http::status::unauthorized,
                                          "the API key is not known");
    const auto way = split_target(std::string(request.target()));
    const service_route* service =
        way ? routes->service(way->service) : nullptr;
    if (service == nullptr)
        co_return co_await answer_problem(
            unknown_service, http::status::not_found,
            "the target names no service of this fleet");
    core::submission wanted;
    wanted.account = *account;
    wanted.service = service->id;
    std::string wrong;
    try
    {
        read_request_fields(request, service->kind, wanted);
    }
    catch (const field_error& error)
    {
        wrong = error.what();
    }
    if (!wrong.empty())
        co_return co_await answer_problem(bad_request,
                                          http::status::bad_request, wrong);
    wanted.content = core::crash_key_of(
        {way->service, request.method_string(), way->rest, request.body()});
    wanted.id = shared_.control.next_request_id();
    co_return co_await carry_out(request, wanted, service->kind, way->rest);
}

asio::awaitable<bool> caller_session::carry_out(const caller_request& request,
                                                const core::submission& wanted,
                                                core::service_kind kind,
                                                std::string target)
{
    const auto self = shared_from_this();
    const core::time_point accepted = now();
    request_number_ = wanted.id.number;
    current_ = wanted.id;
    decision_.reset();
    gone_ = false;
    shared_.control.submit(wanted, self);
    watching_ = true;
    asio::co_spawn(
        stream_.get_executor(),
        [self, number = wanted.id.number]
        { return self->watch_caller(number); },
        asio::detached);
    bool more = false;
    bool first = true;
    for (;;)
    {
        const decision what = co_await next_decision();
        if (const auto* refused = std::get_if<core::refuse>(&what))
        {
            more = !gone_ && co_await answer_refusal(*refused);
            break;
        }
        const auto& order = std::get<core::dispatch>(what);
        if (first)
            shared_.control.traffic().queue_wait.record(
                std::chrono::duration<double>(now() - accepted).count());
        first = false;
        endpoint_call call({shared_.control, shared_.pool, stream_, request,
                            target, kind, wanted.idempotent, keep_, accepted},
                           order);
        call_ = &call;
        if (gone_)
            call.abort();
        const core::attempt_result ended = co_await call.run();
        call_ = nullptr;
        shared_.control.finish(ended);
        if (ended.end == core::attempt_end::completed)
        {
            more = keep_;
            break;
        }
        const bool over =
            call.answer_begun() || ended.end == core::attempt_end::caller_left;
        if (!over)
            continue;
        // Closing without the end of the body makes the cut visible.
        stream_.close();
        break;
    }
    request_number_ = 0;
    if (watching_)
    {
        // Ends the watch; nothing else is pending on the socket.
        error_code ignored;
        stream_.socket().cancel(ignored);
    }
    co_return more && !gone_;
}

asio::awaitable<void> caller_session::watch_caller(std::uint64_t number)
{
    const auto self = shared_from_this();
    auto [error] =
        co_await stream_.socket().async_wait(tcp::socket::wait_read, as_result);
    if (number != request_number_)
        co_return;
    watching_ = false;
    if (error)
        co_return;
    // Anything to read is the next request, sent early.
    if (look_at(stream_.socket()) != socket_state::readable)
        caller_gone();
}

void caller_session::caller_gone()
{
    gone_ = true;
    if (call_ != nullptr)
        call_->abort();
    else
        shared_.control.caller_left(current_);
}

asio::awaitable<bool> caller_session::answer_refusal(const core::refuse& answer)
{
    const http::status status = status_of(answer.reason);
    http::response<http::string_body> response(status, 11);
    response.set(http::field::content_type, "application/problem+json");
    response.set("X-Request-Id", to_string(answer.request));
    if (answer.retry_after.count() > 0)
        response.set(http::field::retry_after,
                     whole_seconds(answer.retry_after));
    response.body() = problem(answer.reason, answer.ran, status, "",
                              answer.retry_after, to_string(answer.request));
    co_return co_await write(std::move(response));
}

asio::awaitable<bool>
caller_session::answer_problem(core::refusal_reason reason, http::status status,
                               const std::string& detail)
{
    http::response<http::string_body> response(status, 11);
    response.set(http::field::content_type, "application/problem+json");
    const bool later = status == http::status::service_unavailable;
    const std::chrono::milliseconds retry_after(later ? 1000 : 0);
    if (later)
        response.set(http::field::retry_after, whole_seconds(retry_after));
    // Only the owner of a key can say that nothing ran under it.
    const core::executed ran =
        has_key_ ? core::executed::unknown : core::executed::no;
    response.body() = problem(reason, ran, status, detail, retry_after, "");
    co_return co_await write(std::move(response));
}

asio::awaitable<bool>
caller_session::write(http::response<http::string_body> answer)
{
    answer.keep_alive(keep_);
    answer.prepare_payload();
    stream_.expires_after(shared_.control.settings().write_timeout);
    auto [error, bytes] =
        co_await http::async_write(stream_, answer, as_result);
    co_return !error && keep_;
}

} // namespace sycamorelock::adapters
