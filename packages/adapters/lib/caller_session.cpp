// Reads requests, waits for decisions and writes answers.
#include "caller_session.hpp"

#include "drain_limits.hpp"
#include "request_fields.hpp"
#include "scoped_count.hpp"
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
/// Memory for serving a request, beside the request itself: a piece of the
/// answer, the buffer for the endpoint's bytes, and the state of the call.
constexpr std::size_t serving_bytes = 40UL * 1024;

std::string describe(request_error reason)
{
    using enum request_error;
    switch (reason)
    {
    case header_too_large:
        return "the header is too large";
    case body_too_large:
        return "the body is too large";
    case chunk_line_too_long:
        return "the line before a chunk is too long";
    case trailers_too_large:
        return "the trailers are too large";
    case unframed_body:
        return "the end of the body is not marked by its transfer coding";
    case trace_with_content:
        return "a TRACE request has content";
    case slow_request:
        return "the request did not arrive in time";
    case no_memory:
    case evicted:
        return "the memory for callers is used up";
    default:
        return "the request violates the syntax of HTTP/1.1";
    }
}

core::refusal_reason refusal_of(request_error reason)
{
    switch (reason)
    {
    case request_error::body_too_large:
        return core::refusal_reason::body_too_large;
    case request_error::no_memory:
    case request_error::evicted:
        return core::refusal_reason::no_memory;
    default:
        return core::refusal_reason::bad_request;
    }
}

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
      memory_(shared.memory, [this] { on_evicted(); }),
      reader_(stream_.socket(), memory_), limit_(stream_.get_executor()),
      decided_(stream_.get_executor()), opened_at_(now())
{
    shared_.sessions.insert(this);
    error_code ignored;
    stream_.socket().set_option(tcp::no_delay(true), ignored);
}

caller_session::~caller_session()
{
    shared_.sessions.erase(this);
    --shared_.open;
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
    co_await serve_all();
    lift_limit();
    error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

asio::awaitable<void> caller_session::serve_all()
{
    try
    {
        while (memory_.is_open() && co_await serve_one())
        {
        }
    }
    catch (const std::exception& error)
    {
        ++shared_.control.traffic().requests.sessions_failed;
        shared_.control.log().write(process_event::session_failed,
                                    {{"error", error.what()}});
        if (request_number_ != 0)
            shared_.control.caller_left(current_);
        request_number_ = 0;
        stream_.close();
    }
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
        set_limit(shared_.control.settings().idle_timeout,
                  [this] { end_waiting(); });
        const error_code error = co_await reader_.wait();
        lift_limit();
        if (!error)
            co_return true;
        if (error != asio::error::operation_aborted)
            co_return false;
    }
}

void caller_session::set_limit(std::chrono::milliseconds time,
                               std::function<void()> expired)
{
    limit_.expires_after(time);
    limit_.async_wait(
        [self = shared_from_this(), number = ++limit_number_,
         expired = std::move(expired)](error_code ended)
        {
            if (!ended && number == self->limit_number_)
                expired();
        });
}

void caller_session::lift_limit()
{
    ++limit_number_;
    limit_.cancel();
}

void caller_session::on_evicted()
{
    reader_.drop();
    if (call_ != nullptr)
        stream_.close();
    else
        stream_.cancel();
}

asio::awaitable<bool> caller_session::serve_one()
{
    if (!reader_.has_more() && !co_await wait_for_request())
        co_return false;
    busy_ = true;
    first_request_ = false;
    bool more = false;
    {
        const scoped_count counted(shared_.busy);
        more = co_await read_and_handle();
    }
    memory_.drop_request();
    memory_.enter(core::holder_phase::receiving);
    busy_ = false;
    co_return more && !ending_;
}

asio::awaitable<bool> caller_session::read_and_handle()
{
    const settings::process_settings& settings = shared_.control.settings();
    // The stream's own time limit would close the socket, and the caller would
    // get no answer. This one only ends the reading.
    stream_.expires_never();
    bool timed_out = false;
    set_limit(settings.header_timeout,
              [this, &timed_out]
              {
                  timed_out = true;
                  stream_.cancel();
              });
    const error_code error =
        co_await reader_.read({max_request_header, settings.max_body_bytes});
    lift_limit();
    // A request whose header was dropped may have had one.
    has_key_ =
        reader_.header() == nullptr || has_idempotency_key(*reader_.header());
    request_error wrong = request_error_of(error, timed_out);
    if (wrong == request_error::none &&
        !memory_.hold(memory_part::serving, serving_bytes))
        wrong = request_error::no_memory;
    if (wrong != request_error::none)
    {
        // The parser's own message says more than the class of the error.
        const std::string detail = wrong == request_error::malformed
                                       ? error.message()
                                       : describe(wrong);
        co_await refuse_unreadable(wrong, detail);
        co_return false;
    }
    memory_.enter(core::holder_phase::serving);
    co_return co_await handle(reader_.take());
}

asio::awaitable<void> caller_session::refuse_unreadable(request_error reason,
                                                        std::string detail)
{
    keep_ = false;
    is_head_ = reader_.is_head();
    reader_.drop();
    memory_.drop_all();
    shared_.control.traffic().requests.count(reason);
    const unsigned status = status_of(reason);
    if (status == 0)
        co_return;
    ++shared_.control.traffic().bad_requests;
    shared_.control.log().write(
        process_event::bad_request,
        {{"reason", std::string(to_string(reason))}, {"error", detail}});
    co_await answer_problem(refusal_of(reason), http::status(status), detail);
}

asio::awaitable<bool> caller_session::handle(caller_request request)
{
    keep_ = request.keep_alive() && !shared_.control.leaving() && !ending_;
    is_head_ = request.method() == http::verb::head;
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
        endpoint_call call({shared_.control, shared_.pool, stream_, memory_,
                            request, target, kind, wanted.idempotent, keep_,
                            accepted},
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
    finish_answer(answer, is_head_);
    stream_.expires_after(shared_.control.settings().write_timeout);
    auto [error, bytes] =
        co_await http::async_write(stream_, answer, as_result);
    co_return !error && keep_;
}

} // namespace sycamorelock::adapters
