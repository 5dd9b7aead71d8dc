// The way of a request through this instance.
#include "request_session.hpp"

#include "../socket_state.hpp"

#include "sycamorelock/adapters/clocks.hpp"

#include <boost/asio/write.hpp>

namespace sycamorelock::adapters::direct
{

namespace
{

using core::direct::refusal_decision;

constexpr std::size_t read_size = 16 * 1024;
/// Limits on callers while no configuration is in force.
const core::direct::caller_limits first_limits;
/// When a caller may come back if nothing better is known.
constexpr milliseconds soon{500};
/// Time that a caller has to take in why its request could not be read.
constexpr milliseconds linger_time{1000};

/// Seconds with a fraction, as Retry-After has them here.
std::string seconds_text(milliseconds value)
{
    static constexpr int per_second = 1000;
    const auto count = value.count();
    std::string fraction = std::to_string(count % per_second);
    fraction.insert(0, 3 - fraction.size(), '0');
    return std::to_string(count / per_second) + '.' + fraction;
}

std::string ms_text(double value)
{
    return std::to_string(static_cast<std::int64_t>(value));
}

std::string ms_text(core::duration value)
{
    return std::to_string(
        std::chrono::duration_cast<milliseconds>(value).count());
}

std::string_view without_port(std::string_view host)
{
    return host.substr(0, host.rfind(':'));
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

} // namespace

request_session::request_session(tcp::socket socket, traffic_context& context,
                                 std::function<void(request_session*)> ended)
    : socket_(std::move(socket)), context_(context), ended_(std::move(ended)),
      out_(socket_)
{
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
}

asio::awaitable<void> request_session::run()
{
    const auto self = shared_from_this();
    ++context_.metrics.caller_connections;
    while (co_await serve_one())
    {
    }
    limit_.lift();
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    socket_.close(ignored);
    --context_.metrics.caller_connections;
    ended_(this);
}

void request_session::close_if_idle()
{
    if (busy_)
        return;
    error_code ignored;
    socket_.close(ignored);
}

asio::awaitable<bool> request_session::serve_one()
{
    const auto config = context_.router.config();
    const core::direct::caller_limits& limits =
        config ? config->limits : first_limits;
    if (buffer_.size() == 0)
    {
        context_.limits.set(limit_, now() + limits.idle_timeout,
                            [this] { close_if_idle(); });
        auto [error, bytes] = co_await socket_.async_read_some(
            buffer_.prepare(read_size), as_result);
        limit_.lift();
        if (error)
            co_return false;
        buffer_.commit(bytes);
    }
    busy_ = true;
    keep_ = true;
    out_ = answer_writer(socket_);
    parser request;
    request.header_limit(limits.max_header_bytes);
    request.body_limit(limits.max_body_bytes);
    timed_out_ = false;
    context_.limits.set(limit_, now() + limits.header_timeout,
                        [this]
                        {
                            timed_out_ = true;
                            error_code ignored;
                            socket_.cancel(ignored);
                        });
    const error_code error = co_await read(request);
    limit_.lift();
    if (error)
    {
        keep_ = false;
        co_await answer_unreadable(error);
        if (out_.begun())
            co_await read_to_the_end();
    }
    else
        co_await handle(request.release());
    busy_ = false;
    co_return keep_ && !context_.leaving && socket_.is_open();
}

asio::awaitable<error_code> request_session::read(parser& request)
{
    auto [header_error, header_bytes] =
        co_await http::async_read_header(socket_, buffer_, request, as_result);
    if (header_error)
        co_return header_error;
    if (beast::iequals(request.get()[http::field::expect], "100-continue"))
    {
        static constexpr std::string_view go_on =
            "HTTP/1.1 100 Continue\r\n\r\n";
        auto [unsent, sent] =
            co_await asio::async_write(socket_, asio::buffer(go_on), as_result);
        if (unsent)
            co_return unsent;
    }
    auto [body_error, body_bytes] =
        co_await http::async_read(socket_, buffer_, request, as_result);
    co_return body_error;
}

asio::awaitable<void> request_session::answer_unreadable(error_code error)
{
    if (timed_out_)
    {
        co_await answer_problem(http::status::request_timeout, "slow_request",
                                milliseconds(0));
        co_return;
    }
    if (error == http::error::body_limit)
    {
        co_await answer_problem(http::status::payload_too_large,
                                "body_too_large", milliseconds(0));
        co_return;
    }
    if (error == http::error::header_limit)
    {
        co_await answer_problem(http::status::request_header_fields_too_large,
                                "header_too_large", milliseconds(0));
        co_return;
    }
    const bool malformed =
        error.category() ==
        http::make_error_code(http::error::bad_method).category();
    const bool closed = error == http::error::end_of_stream ||
                        error == http::error::partial_message;
    if (malformed && !closed)
        co_await answer_problem(http::status::bad_request, "malformed",
                                milliseconds(0));
}

asio::awaitable<void> request_session::read_to_the_end()
{
    // Closing with unread bytes resets the connection, and the caller would
    // lose the answer that says what is wrong.
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    context_.limits.set(limit_, now() + linger_time,
                        [this]
                        {
                            error_code unused;
                            socket_.cancel(unused);
                        });
    buffer_.clear();
    for (;;)
    {
        auto [error, bytes] = co_await socket_.async_read_some(
            buffer_.prepare(read_size), as_result);
        if (error)
            break;
    }
    limit_.lift();
}

asio::awaitable<void> request_session::handle(caller_message message)
{
    open_request request;
    request.message = std::move(message);
    keep_ = request.message.keep_alive() && !context_.leaving;
    out_.keep(keep_);
    request.profile.arrived = now();
    stop_ = stop::none;
    ++number_;
    // Under load a request may be read after its caller has given up. The look
    // costs a system call; without it such requests still went to endpoints.
    if (look_at(socket_) == socket_state::ended)
    {
        keep_ = false;
        ++context_.metrics.ended["caller_left_unread"];
        co_return;
    }
    if (!co_await prepare(request))
        co_return;
    ++context_.metrics.accepted;
    ++context_.metrics.open;
    watch_caller();
    context_.limits.set(limit_, request.profile.deadline,
                        [this] { stop_request(stop::time_over); });
    co_await carry_out(request);
    limit_.lift();
    --context_.metrics.open;
    ++number_;
    if (watching_)
    {
        // Ends the watch; nothing else is pending on the socket.
        error_code ignored;
        socket_.cancel(ignored);
        watching_ = false;
    }
    if (stop_ == stop::caller_left)
        keep_ = false;
}

asio::awaitable<bool> request_session::prepare(open_request& request)
{
    request.config = context_.router.config();
    std::string wrong;
    try
    {
        request.meta = context_.dialect.read_request(request.message);
    }
    catch (const dialect_error& error)
    {
        wrong = error.what();
    }
    if (!request.config || !context_.router.has_endpoints())
    {
        co_await reject(request, http::status::service_unavailable, "not_ready",
                        soon);
        co_return false;
    }
    if (!wrong.empty())
    {
        co_await reject(request, http::status::bad_request, wrong,
                        milliseconds(0));
        co_return false;
    }
    const core::direct::catalogue& config = *request.config;
    const core::direct::route* way =
        config.find_route(without_port(request.message[http::field::host]),
                          path_of(request.message.target()));
    if (way == nullptr)
    {
        co_await reject(request, http::status::not_found, "no_route",
                        milliseconds(0));
        co_return false;
    }
    const auto key = config.keys.find(request.meta.api_key);
    if (key != config.keys.end())
    {
        request.profile.account = key->second;
        request.account_name = config.accounts.at(key->second).name;
    }
    else if (!way->anonymous && !config.accounts.empty())
    {
        co_await reject(request, http::status::unauthorized, "unknown_key",
                        milliseconds(0));
        co_return false;
    }
    core::direct::request_profile& profile = request.profile;
    profile.way = way;
    profile.parts = request.meta.parts;
    profile.prompt_tokens = request.meta.prompt_tokens;
    profile.output_tokens = request.meta.output_tokens;
    profile.deadline =
        profile.arrived +
        std::min(request.meta.time_left.value_or(way->timeout), way->timeout);
    context_.router.admit(profile.arrived, profile);
    request.service = context_.router.pick_service(*way);
    const auto service = config.services.find(request.service);
    if (service != config.services.end())
        request.service_name = service->second.name;
    co_return true;
}

asio::awaitable<void> request_session::reject(const open_request& request,
                                              http::status status,
                                              std::string_view reason,
                                              milliseconds retry_after)
{
    const std::uint64_t version = request.config ? request.config->version : 0;
    context_.log.write(
        direct_event::request_rejected,
        {{"request", request.meta.attempt_id},
         {"status", std::to_string(static_cast<unsigned>(status))},
         {"reason", std::string(reason)},
         {"host", std::string(request.message[http::field::host])},
         {"path", std::string(path_of(request.message.target()))},
         {"config", std::to_string(version)}});
    co_await answer_problem(status, reason, retry_after);
}

asio::awaitable<void> request_session::carry_out(open_request& request)
{
    auto decided = context_.router.decide(
        now(), request.profile, request.service, request.tried, false);
    if (const auto* refused = std::get_if<refusal_decision>(&decided))
    {
        co_await answer_refusal(request, *refused);
        co_return;
    }
    auto placed = std::get<core::direct::placement_decision>(decided);
    const core::direct::route& way = *request.profile.way;
    for (;;)
    {
        ++request.attempts;
        request.tried.insert(placed.hold.endpoint);
        log_placed(request, placed);
        const bool more = request.attempts < way.max_attempts;
        attempt tried(context_,
                      {request.message, request.meta, request.profile,
                       request.account_name, more && way.repeatable()},
                      placed, out_, request.events);
        attempt_ = &tried;
        const attempt_end end = co_await tried.run();
        attempt_ = nullptr;
        if (request.first == core::time_point())
            request.first = tried.first_at();
        request.longest_pause =
            std::max(request.longest_pause, tried.longest_pause());
        if (stop_ == stop::caller_left ||
            (end == attempt_end::abandoned && stop_ == stop::none))
        {
            keep_ = false;
            log_end(request, "caller_left", 0);
            co_return;
        }
        if (end == attempt_end::complete)
        {
            log_end(request, "complete", tried.status());
            co_return;
        }
        const bool good = end == attempt_end::held && tried.status() < 500;
        if (good)
        {
            co_await deliver(request, std::move(tried.held()), "complete");
            co_return;
        }
        const bool ran = end != attempt_end::unreachable &&
                         end != attempt_end::not_run &&
                         end != attempt_end::wrong_endpoint;
        request.may_have_run = request.may_have_run || ran;
        if (end == attempt_end::unreachable)
            --request.attempts;
        const auto next =
            stop_ == stop::none ? place_again(request, end) : std::nullopt;
        if (next)
        {
            ++context_.metrics.retried[std::string(to_string(end))];
            context_.log.write(
                direct_event::attempt_repeated,
                {{"request", request.meta.attempt_id},
                 {"endpoint", placed.endpoint.boot},
                 {"end", std::string(to_string(end))},
                 {"why", std::string(tried.why())},
                 {"after_ms", ms_text(now() - request.profile.arrived)}});
            placed = *next;
            continue;
        }
        if (end == attempt_end::held)
            co_await deliver(request, std::move(tried.held()), "server_error");
        else
            co_await answer_failure(request, end);
        co_return;
    }
}

std::optional<core::direct::placement_decision>
request_session::place_again(open_request& request, attempt_end after)
{
    const core::direct::route& way = *request.profile.way;
    // Also a request that no endpoint has run goes to no more of them than the
    // operators allow.
    if (request.attempts >= way.max_attempts)
        return std::nullopt;
    if (request.may_have_run && !way.repeatable())
        return std::nullopt;
    if (after == attempt_end::broken && !way.resumable)
        return std::nullopt;
    auto decided = context_.router.decide(now(), request.profile,
                                          request.service, request.tried, true);
    auto* placed = std::get_if<core::direct::placement_decision>(&decided);
    if (placed == nullptr)
        return std::nullopt;
    // A connection that never stood brought nothing to any endpoint.
    if (after != attempt_end::unreachable &&
        !context_.router.spend_retry(request.service))
    {
        ++context_.metrics.refused["retry_budget"];
        return std::nullopt;
    }
    return *placed;
}

asio::awaitable<void> request_session::deliver(open_request& request,
                                               held_answer answer,
                                               std::string_view outcome)
{
    out_.keep(keep_);
    const error_code error = co_await out_.write_whole(
        answer.header, answer.status, answer.body, answer.has_body);
    if (error)
        keep_ = false;
    log_end(request, outcome, static_cast<unsigned>(answer.status));
}

asio::awaitable<void> request_session::answer_failure(open_request& request,
                                                      attempt_end last)
{
    if (out_.begun())
    {
        cut();
        log_end(request, "cut", 0);
        co_return;
    }
    if (stop_ == stop::time_over)
    {
        // It was sent, so nothing can be promised.
        co_await answer_problem(http::status::gateway_timeout, "time_over",
                                milliseconds(0));
        log_end(request, "time_over", 504);
        co_return;
    }
    if (request.may_have_run)
    {
        co_await answer_problem(http::status::bad_gateway, to_string(last),
                                milliseconds(0));
        log_end(request, to_string(last), 502);
        co_return;
    }
    co_await answer_problem(http::status::service_unavailable, to_string(last),
                            soon);
    log_end(request, to_string(last), 503);
}

asio::awaitable<void>
request_session::answer_refusal(open_request& request,
                                const refusal_decision& refused)
{
    const std::string_view reason = to_string(refused.reason);
    context_.log.write(
        direct_event::request_refused,
        {{"request", request.meta.attempt_id},
         {"route", request.profile.way->name},
         {"account", request.account_name},
         {"reason", std::string(reason)},
         {"wait_ms", ms_text(refused.wait_ms)},
         {"retry_after_ms", std::to_string(refused.retry_after.count())},
         {"config", std::to_string(request.config->version)}});
    co_await answer_problem(http::status::service_unavailable, reason,
                            std::max(refused.retry_after, milliseconds(50)));
}

asio::awaitable<void> request_session::answer_problem(http::status status,
                                                      std::string_view reason,
                                                      milliseconds retry_after)
{
    ++context_.metrics.refused[std::string(reason)];
    http::fields header;
    header.set(http::field::content_type, "text/plain");
    if (retry_after.count() > 0)
        header.set(http::field::retry_after, seconds_text(retry_after));
    out_.keep(keep_);
    const error_code error = co_await out_.write_whole(
        header, status, std::string(reason) + '\n', true);
    if (error)
        keep_ = false;
}

void request_session::cut()
{
    // Closing without the end of the body makes the cut visible.
    keep_ = false;
    error_code ignored;
    socket_.close(ignored);
}

void request_session::log_placed(const open_request& request,
                                 const core::direct::placement_decision& placed)
{
    context_.log.write(
        direct_event::request_placed,
        {{"request", request.meta.attempt_id},
         {"route", request.profile.way->name},
         {"account", request.account_name},
         {"endpoint", placed.endpoint.boot},
         {"attempt", std::to_string(request.attempts)},
         {"predicted_ms", ms_text(placed.predicted_ms)},
         {"wait_ms", ms_text(placed.wait_ms)},
         {"prompt_tokens", ms_text(request.profile.prompt_tokens)},
         {"cached_tokens", ms_text(placed.cached_tokens)},
         {"config", std::to_string(request.config->version)}});
}

std::string request_session::first_text(const open_request& request)
{
    if (request.first == core::time_point())
        return "none";
    return ms_text(request.first - request.profile.arrived);
}

void request_session::log_end(const open_request& request,
                              std::string_view outcome, unsigned status)
{
    ++context_.metrics.ended[std::string(outcome)];
    const core::duration total = now() - request.profile.arrived;
    const auto seconds = [](core::duration value)
    { return std::chrono::duration<double>(value).count(); };
    service_latency& of = context_.metrics.of(request.service_name);
    of.total.record(seconds(total));
    if (request.first != core::time_point())
        of.first.record(seconds(request.first - request.profile.arrived));
    if (request.longest_pause > core::duration(0))
        of.pause.record(seconds(request.longest_pause));
    context_.log.write(
        direct_event::request_ended,
        {{"request", request.meta.attempt_id},
         {"outcome", std::string(outcome)},
         {"status", std::to_string(status)},
         {"attempts", std::to_string(request.attempts)},
         {"events", std::to_string(request.events.count())},
         {"first_ms", ms_text(request.first - request.profile.arrived)},
         {"total_ms", ms_text(total)}});
}

void request_session::stop_request(stop why)
{
    stop_ = why;
    if (attempt_ != nullptr)
        attempt_->abandon();
}

void request_session::watch_caller()
{
    watching_ = true;
    socket_.async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this(), number = number_](error_code error)
        {
            if (number != self->number_)
                return;
            self->watching_ = false;
            // Anything to read is the next request, sent early.
            if (!error && look_at(self->socket_) != socket_state::readable)
                self->stop_request(stop::caller_left);
        });
}

} // namespace sycamorelock::adapters::direct
