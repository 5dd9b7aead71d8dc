// The way of a request through this instance.
#include "request_session.hpp"

#include "termination_check.hpp"

#include "../at_scope_end.hpp"
#include "../scoped_count.hpp"
#include "../socket_state.hpp"

#include "sycamorelock/adapters/clocks.hpp"

namespace sycamorelock::adapters::direct
{

namespace
{

using core::direct::handover_event;
using core::direct::handover_result;
using core::direct::refusal;
using core::direct::refusal_decision;

constexpr unsigned first_server_error = 500;
/// Limits on callers while no configuration is in force.
const core::direct::caller_limits first_limits;
/// When a caller may come back if nothing better is known.
constexpr milliseconds soon{500};
/// No caller is asked to come back sooner: it would find the same queue.
constexpr milliseconds least_pause{50};
/// Time that a caller has to take in why its request could not be read.
constexpr milliseconds linger_time{1000};
/// Bytes that are discarded at a time.
constexpr std::size_t discard_size = 4096;
/// Retry-After of a request for which there is no memory. Stalled connections
/// are evicted well within it.
constexpr milliseconds memory_retry{1000};
/// Memory for serving a request, beside the request itself: its attempt with a
/// piece of the answer, and the copy of the header that is sent.
constexpr std::size_t serving_bytes = 24UL * 1024;

/// Seconds with a fraction, as Retry-After has them here.
std::string seconds_text(milliseconds value)
{
    static constexpr int per_second = 1000;
    const auto count = value.count();
    std::string fraction = std::to_string(count % per_second);
    fraction.insert(0, 3 - fraction.size(), '0');
    return std::to_string(count / per_second) + '.' + fraction;
}

/// Whether anything may have reached an endpoint.
bool was_sent(attempt_end end)
{
    return end != attempt_end::unreachable && end != attempt_end::withheld;
}

/// Whether an attempt that ended so may have begun to run the request.
bool may_have_run(attempt_end end)
{
    return was_sent(end) && end != attempt_end::not_run &&
           end != attempt_end::wrong_endpoint;
}

} // namespace

request_session::request_session(tcp::socket socket, traffic_context& context,
                                 std::function<void(request_session*)> ended)
    : socket_(std::move(socket)), context_(context), ended_(std::move(ended)),
      memory_(context.caller_memory, [this] { on_evicted(); }),
      reader_(socket_, memory_),
      out_(socket_, memory_, context.limits, first_limits.idle_timeout),
      log_(context), streams_(context), opened_at_(now())
{
}

request_session::~request_session()
{
    ended_(this);
}

asio::awaitable<void> request_session::run()
{
    const auto self = shared_from_this();
    ++context_.metrics.caller_connections;
    co_await serve_all();
    limit_.lift();
    error_code ignored;
    socket_.close(ignored);
    --context_.metrics.caller_connections;
}

asio::awaitable<void> request_session::serve_all()
{
    try
    {
        while (memory_.is_open() && co_await serve_one())
        {
        }
    }
    catch (const std::exception& error)
    {
        // Destructors release what this connection held; others are not
        // affected.
        ++context_.metrics.callers.sessions_failed;
        context_.log.write(direct_event::session_failed,
                           {{"error", error.what()}});
    }
}

bool request_session::end_if_idle_since(core::time_point latest)
{
    if (busy_ || ending_ || idle_since_ > latest)
        return false;
    end_if_idle();
    return true;
}

void request_session::end_if_idle_and_opened_before(core::time_point latest)
{
    if (!first_request_ || opened_at_ < latest)
        end_if_idle();
}

void request_session::end_request()
{
    if (busy_)
        stop_request(stop::instance_shutting_down);
}

void request_session::end_if_idle()
{
    if (busy_)
        return;
    // Closing would lose a request that has been received and not read yet.
    ending_ = true;
    error_code ignored;
    socket_.cancel(ignored);
}

asio::awaitable<bool> request_session::wait_for_request(milliseconds limit)
{
    for (;;)
    {
        if (ending_ && look_at(socket_) != socket_state::readable)
            co_return false;
        idle_since_ = now();
        context_.limits.set(limit_, now() + limit, [this] { end_if_idle(); });
        const error_code error = co_await reader_.wait();
        limit_.lift();
        if (!error)
            co_return true;
        if (error != asio::error::operation_aborted)
            co_return false;
    }
}

asio::awaitable<bool> request_session::serve_one()
{
    const auto config = context_.router.config();
    const core::direct::caller_limits& limits =
        config ? config->limits : first_limits;
    if (!reader_.has_more() && !co_await wait_for_request(limits.idle_timeout))
        co_return false;
    busy_ = true;
    first_request_ = false;
    keep_ = true;
    out_ =
        answer_writer(socket_, memory_, context_.limits, limits.idle_timeout);
    timed_out_ = false;
    context_.limits.set(limit_, now() + limits.header_timeout,
                        [this]
                        {
                            timed_out_ = true;
                            error_code ignored;
                            socket_.cancel(ignored);
                        });
    // A body that memory could not hold even on an idle instance is refused at
    // once.
    co_await read_and_handle(
        {limits.max_header_bytes,
         std::min<std::uint64_t>(limits.max_body_bytes,
                                 context_.caller_memory.largest_body())});
    busy_ = false;
    // A connection that an answer has kept open takes what its caller sends
    // next, also when the instance has begun to leave since, but not so late
    // that it may be cut.
    const bool takes_more = !context_.closing || reader_.has_more();
    const bool goes_on = keep_ && takes_more && socket_.is_open();
    co_return goes_on;
}

asio::awaitable<void>
request_session::read_and_handle(const request_limits& limits)
{
    const error_code error = co_await reader_.read(limits);
    limit_.lift();
    request_error wrong = request_error_of(error, timed_out_);
    if (wrong == request_error::none &&
        !memory_.hold(memory_part::serving, serving_bytes))
        wrong = request_error::no_memory;
    if (wrong != request_error::none)
    {
        co_await refuse_unreadable(wrong);
        co_return;
    }
    memory_.enter(core::holder_phase::serving);
    co_await handle(reader_.take());
    memory_.drop_request();
    memory_.enter(core::holder_phase::receiving);
}

void request_session::on_evicted()
{
    reader_.drop();
    error_code ignored;
    if (out_.is_blocked())
        socket_.close(ignored);
    else
        socket_.cancel(ignored);
}

asio::awaitable<void> request_session::refuse_unreadable(request_error reason)
{
    keep_ = false;
    out_.omit_body(reader_.is_head());
    reader_.drop();
    memory_.drop_all();
    context_.metrics.callers.count(reason);
    const unsigned status = status_of(reason);
    if (status == 0)
        co_return;
    context_.log.write(direct_event::request_unreadable,
                       {{"reason", std::string(to_string(reason))},
                        {"status", std::to_string(status)}});
    const bool later =
        http::status(status) == http::status::service_unavailable;
    co_await answer_problem(http::status(status), to_string(reason),
                            later ? memory_retry : milliseconds(0));
    if (out_.begun())
        co_await read_to_the_end();
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
    std::array<char, discard_size> discarded;
    for (;;)
    {
        auto [error, bytes] = co_await socket_.async_read_some(
            asio::buffer(discarded), as_result);
        if (error)
            break;
    }
    limit_.lift();
}

asio::awaitable<void> request_session::handle(caller_message message)
{
    open_request request;
    request.message = std::move(message);
    keep_ = request.message.keep_alive() && !context_.leaving &&
            !context_.crowded && !ending_;
    out_.keep(keep_);
    out_.omit_body(request.message.method() == http::verb::head);
    request.profile.arrived = now();
    stop_ = stop::none;
    ++number_;
    if (!co_await prepare(request))
        co_return;
    ++context_.metrics.accepted;
    if (request.profile.deadline > context_.ends_at)
    {
        co_await answer_refusal(
            request, {refusal::instance_shutting_down, least_pause, 0, 0});
        co_return;
    }
    if (!co_await streams_.bind(request))
    {
        const refusal_decision refused =
            context_.router.refuse_unknown_release();
        co_await answer_refusal(request, refused);
        co_return;
    }
    auto decided = context_.router.decide(
        now(), request.profile, request.service, request.tried, false);
    if (const auto* refused = std::get_if<refusal_decision>(&decided))
    {
        co_await answer_refusal(request, *refused);
        co_return;
    }
    // Under load a request may be read after its caller has given up. The look
    // costs a system call; without it such requests still went to endpoints.
    if (look_at(socket_) == socket_state::ended)
    {
        keep_ = false;
        ++context_.metrics.ended["caller_left_unread"];
        co_return;
    }
    co_await carry_out(request,
                       std::get<core::direct::placement_decision>(decided));
}

asio::awaitable<void>
request_session::carry_out(open_request& request,
                           core::direct::placement_decision first)
{
    const scoped_count counted(context_.metrics.open);
    // An attempt that waits refers to the request.
    const at_scope_end leave_waiting([this] { give_up_waiting(); });
    watch_caller();
    context_.limits.set(limit_, request.profile.deadline,
                        [this] { stop_request(stop::time_over); });
    std::optional<core::direct::placement_decision> placed = std::move(first);
    while (placed)
        placed = co_await try_at(request, *placed);
    limit_.lift();
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
        request.events =
            event_splitter(context_.dialect.events(), request.meta.last_event);
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
    const core::direct::route* route_config =
        config.find_route(request.host(), request.path());
    if (route_config == nullptr)
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
    else if (!route_config->anonymous && !config.accounts.empty())
    {
        co_await reject(request, http::status::unauthorized, "unknown_key",
                        milliseconds(0));
        co_return false;
    }
    core::direct::request_profile& profile = request.profile;
    profile.route_config = route_config;
    profile.parts = std::move(request.meta.parts);
    profile.prompt_tokens = request.meta.prompt_tokens;
    profile.output_tokens = request.meta.output_tokens;
    profile.body_bytes = static_cast<double>(request.message.body().size());
    profile.deadline =
        profile.arrived +
        std::min(request.meta.time_left.value_or(route_config->timeout),
                 route_config->timeout);
    // Before it counts towards the account's demand.
    if (co_await refuse_if_quarantined(request))
        co_return false;
    context_.router.admit(profile.arrived, profile);
    request.set_service(context_.router.pick_service(*route_config));
    co_return true;
}

asio::awaitable<bool>
request_session::refuse_if_quarantined(open_request& request)
{
    using admission = core::crash_tracker::admission;
    core::crash_tracker& crashes = context_.router.crashes();
    if (!crashes.has_limited())
        co_return false;
    const std::vector<core::crash_key> keys = request.crash_keys();
    const admission decided = crashes.admit(now(), keys);
    request.is_probe = decided == admission::probe;
    if (decided != admission::refused)
        co_return false;
    co_await answer_refusal(request,
                            context_.router.refuse_quarantined(now(), keys));
    co_return true;
}

bool request_session::is_quarantined(open_request& request) const
{
    const core::crash_tracker& crashes = context_.router.crashes();
    return crashes.has_limited() &&
           crashes.is_any_quarantined(request.crash_keys());
}

void request_session::note_crash_evidence(open_request& request,
                                          const placed_attempt& which)
{
    const attempt& tried = *which.tried;
    if (tried.has_terminated())
        context_.router.note_terminated(now(),
                                        which.placed.request_load.endpoint);
    const bool has_broken =
        which.end == attempt_end::failed || which.end == attempt_end::broken;
    // Malformed events say something of the endpoint, not of the request.
    if (has_broken && !tried.is_silent() && !tried.is_malformed())
    {
        // A part crashes engines before their answer on it begins.
        const bool has_begun = tried.first_at() != core::time_point();
        const std::vector<core::crash_key> keys =
            has_begun ? std::vector{request.content_key()}
                      : request.crash_keys();
        context_.router.suspect_crash(now(), which.placed, keys);
        context_.terminations.start(which.placed.endpoint);
    }
    const bool is_whole =
        which.end == attempt_end::complete || which.end == attempt_end::held;
    if (is_whole && tried.status() < first_server_error &&
        !context_.router.crashes().empty())
        context_.router.note_executed(now(), request.content_key());
}

asio::awaitable<void> request_session::reject(const open_request& request,
                                              http::status status,
                                              std::string_view reason,
                                              milliseconds retry_after)
{
    log_.rejected(request, status, reason);
    co_await answer_problem(status, reason, retry_after);
}

asio::awaitable<std::optional<core::direct::placement_decision>>
request_session::try_at(open_request& request,
                        core::direct::placement_decision placed)
{
    const core::endpoint_id endpoint = placed.request_load.endpoint;
    request.tried.insert(endpoint);
    const bool is_first = request.asked.insert(endpoint).second;
    log_.placed(request, placed);
    streams_.sending(request, placed);
    request.candidate_asked.reset();
    if (waiting_)
        request.handover.begin(waiting_->tried->answered());
    auto open = make_attempt(request, std::move(placed));
    open->is_first = is_first;
    bool done = co_await follow(request, *open);
    if (!done)
        settle(request, handover_event::candidate_declined);
    auto next = done ? std::nullopt : next_of(request, *open);
    const bool may_stay = !done && !next && open->end != attempt_end::held;
    if (may_stay && waiting_ && stop_ == stop::none)
    {
        if (open->tried->is_withdrawn())
            request.left = left_endpoint{open->placed, false};
        open = std::move(waiting_);
        log_.kept(request, open->placed.endpoint.boot);
        // Its release is the stream's again.
        streams_.sending(request, open->placed);
        done = co_await follow(request, *open);
        next = done ? std::nullopt : next_of(request, *open);
    }
    if (next && open->tried->waits())
    {
        waiting_ = std::move(open);
        watch_waiting(request);
    }
    else if (!done && !next)
        co_await give_up(request, *open);
    co_return next;
}

std::unique_ptr<placed_attempt>
request_session::make_attempt(open_request& request,
                              core::direct::placement_decision placed)
{
    const core::direct::route& route_config = *request.profile.route_config;
    auto open = std::make_unique<placed_attempt>();
    open->placed = std::move(placed);
    std::function<bool(attempt_end)> secure_next;
    if (request.may_ask_another() && route_config.repeatable())
        secure_next = [this, &request, &at = open->placed](attempt_end after)
        {
            // No third endpoint is asked meanwhile.
            if (waiting_)
                return false;
            // What was passed on binds where the stream may go on.
            streams_.tried(request, at);
            request.next = place_again(request, after, true);
            return request.next.has_value();
        };
    const auto sent = [this, &request]
    {
        if (!waiting_)
            return;
        const core::time_point at = now();
        request.candidate_asked = at;
        context_.limits.set(waiting_limit_,
                            at + core::direct::handover::max_overlap,
                            [this, &request]
                            { settle(request, handover_event::overlap_over); });
    };
    open->tried.emplace(
        context_,
        attempt_request{request.message, request.meta, request.profile,
                        request.account_name, std::move(secure_next), sent,
                        [this, &request] {
                            settle(request, handover_event::candidate_accepted);
                        },
                        [this, &request] {
                            return !request.is_probe && is_quarantined(request);
                        }},
        open->placed, out_, request.events);
    return open;
}

asio::awaitable<bool> request_session::follow(open_request& request,
                                              placed_attempt& which)
{
    request.next.reset();
    attempt& tried = *which.tried;
    attempt_ = &tried;
    if (tried.waits())
        which.end = co_await tried.resume(
            request.handover.next_limit(tried.silence_limit()));
    else
        which.end = co_await tried.run();
    attempt_ = nullptr;
    note_crash_evidence(request, which);
    streams_.tried(request, which.placed);
    if (request.first == core::time_point())
        request.first = tried.first_at();
    request.longest_pause =
        std::max(request.longest_pause, tried.longest_pause());
    if (co_await finish(request, tried, which.end))
        co_return true;
    request.may_have_run = request.may_have_run || may_have_run(which.end);
    request.stopped_by = tried.why();
    if (!was_sent(which.end) && which.is_first)
        request.asked.erase(which.placed.request_load.endpoint);
    co_return false;
}

std::optional<core::direct::placement_decision>
request_session::next_of(open_request& request, const placed_attempt& which)
{
    if (stop_ != stop::none || which.tried->is_withdrawn())
        return std::nullopt;
    if (which.tried->has_shortage())
    {
        request.not_repeated = "local_shortage";
        return std::nullopt;
    }
    auto next = std::move(request.next);
    if (!which.tried->is_silent() || !next)
        next = place_again(request, which.end, which.tried->is_silent());
    if (next)
        log_.repeated(request, which.placed.endpoint.boot, which.end,
                      which.tried->why());
    return next;
}

asio::awaitable<void> request_session::give_up(open_request& request,
                                               placed_attempt& last)
{
    if (last.end == attempt_end::held)
        co_await deliver(request, std::move(last.tried->held()),
                         "server_error");
    else
        co_await answer_failure(request, last.end);
}

void request_session::watch_waiting(open_request& request)
{
    waiting_->tried->watch(
        [this, &request](socket_state found)
        {
            settle(request, found == socket_state::ended
                                ? handover_event::incumbent_ended
                                : handover_event::incumbent_sent);
        });
}

void request_session::settle(open_request& request, handover_event event)
{
    if (!waiting_)
        return;
    const handover_result result = request.handover.on(event);
    if (result == handover_result::undecided)
        return;
    waiting_limit_.lift();
    placed_attempt& incumbent = *waiting_;
    log_.handed_over(request, incumbent.placed.endpoint, result, event);
    if (result == handover_result::incumbent)
    {
        if (attempt_ != nullptr)
            attempt_->withdraw();
        return;
    }
    request.left.reset();
    if (event == handover_event::incumbent_ended)
    {
        incumbent.end = incumbent.tried->end_with_connection();
        note_crash_evidence(request, incumbent);
    }
    else
        incumbent.end = incumbent.tried->give_up();
    if (event == handover_event::overlap_over)
        request.left = left_endpoint{incumbent.placed, true};
    waiting_.reset();
}

void request_session::give_up_waiting()
{
    waiting_limit_.lift();
    if (!waiting_)
        return;
    waiting_->tried->give_up();
    waiting_.reset();
}

asio::awaitable<bool> request_session::finish(open_request& request,
                                              attempt& tried, attempt_end end)
{
    const bool left = stop_ == stop::caller_left ||
                      (end == attempt_end::abandoned && stop_ == stop::none);
    if (left)
    {
        keep_ = false;
        request.stopped_by =
            stop_ == stop::caller_left ? "caller_closed" : tried.why();
        log_.ended(request, "caller_left", 0);
        co_return true;
    }
    if (end == attempt_end::complete)
    {
        streams_.complete(request);
        log_.ended(request, "complete", tried.status());
        co_return true;
    }
    if (end != attempt_end::held || tried.status() >= first_server_error)
        co_return false;
    co_await deliver(request, std::move(tried.held()), "complete");
    co_return true;
}

std::optional<core::direct::placement_decision>
request_session::place_again(open_request& request, attempt_end after,
                             bool is_silent)
{
    const core::direct::route& route_config = *request.profile.route_config;
    // Also a request that no endpoint has run goes to no more of them than the
    // operators allow.
    const auto none = [&request](std::string_view reason)
    {
        request.not_repeated = reason;
        return std::nullopt;
    };
    if (!request.may_ask_another() && !request.left)
        return none("attempts_spent");
    if (request.may_have_run && !route_config.repeatable())
        return none("not_repeatable");
    // What was passed on is no stream if no event was.
    const bool may_resume =
        route_config.resumable && request.events.count() > 0;
    if (after == attempt_end::broken && !may_resume)
        return none("not_resumable");
    if (request.is_probe || is_quarantined(request))
        return none(to_string(refusal::quarantined));
    std::optional<core::direct::placement_decision> next;
    std::string_view refused_for = "attempts_spent";
    if (request.may_ask_another())
    {
        auto decided = context_.router.decide(
            now(), request.profile, request.service, request.tried, true);
        if (const auto* refused = std::get_if<refusal_decision>(&decided))
            refused_for = to_string(refused->reason);
        else
            next = std::get<core::direct::placement_decision>(decided);
    }
    const bool returns = !next;
    if (returns)
        next = place_where_left(request, is_silent);
    if (!next)
        return none(refused_for);
    // What was not sent brought nothing to any endpoint.
    if (was_sent(after) && !context_.router.spend_retry(request.service))
    {
        ++context_.metrics.refused["retry_budget"];
        return none("retry_budget");
    }
    if (returns)
        request.left.reset();
    return next;
}

std::optional<core::direct::placement_decision>
request_session::place_where_left(const open_request& request,
                                  bool is_silent) const
{
    // An endpoint that has been replaced is asked again only when its
    // replacement has ended.
    if (!request.left || (is_silent && request.left->was_incumbent))
        return std::nullopt;
    // What was passed on since may have bound the stream to another release.
    const auto release = request.profile.release;
    if (release && *release != request.left->placed.release)
        return std::nullopt;
    std::optional<core::direct::placement_decision> placed(
        request.left->placed);
    if (!context_.router.renew(now(), *placed))
        return std::nullopt;
    return placed;
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
    log_.ended(request, outcome, static_cast<unsigned>(answer.status));
}

asio::awaitable<void> request_session::answer_failure(open_request& request,
                                                      attempt_end last)
{
    const std::string_view stopped_by =
        stop_ == stop::time_over ? "time_over" : "instance_ends";
    if (out_.begun())
    {
        cut();
        if (stop_ != stop::none)
        {
            request.stopped_by = stopped_by;
            request.not_repeated = {};
        }
        log_.ended(request, "cut", 0);
        co_return;
    }
    if (stop_ != stop::none)
    {
        // It was sent, so nothing can be promised.
        co_await answer_problem(http::status::gateway_timeout, stopped_by,
                                milliseconds(0));
        log_.ended(request, stopped_by, 504);
        co_return;
    }
    if (request.may_have_run)
    {
        co_await answer_problem(http::status::bad_gateway, to_string(last),
                                milliseconds(0));
        log_.ended(request, to_string(last), 502);
        co_return;
    }
    if (is_quarantined(request))
    {
        co_await answer_refusal(request, context_.router.refuse_quarantined(
                                             now(), request.crash_keys()));
        co_return;
    }
    const auto rest = context_.router.backoff_delay(now(), request.service);
    co_await answer_problem(http::status::service_unavailable, to_string(last),
                            rest.value_or(soon));
    log_.ended(request, to_string(last), 503);
}

asio::awaitable<void>
request_session::answer_refusal(open_request& request,
                                const refusal_decision& refused)
{
    log_.refused(request, refused);
    co_await answer_problem(http::status::service_unavailable,
                            to_string(refused.reason),
                            std::max(refused.retry_after, least_pause));
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

void request_session::stop_request(stop why)
{
    stop_ = why;
    if (waiting_)
        waiting_->tried->abandon();
    give_up_waiting();
    if (attempt_ == nullptr)
        return;
    attempt_->abandon();
    // A caller that takes nothing would keep its request open.
    if (attempt_->is_passing_on())
        cut();
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
            const socket_state found =
                error ? socket_state::ended : look_at(self->socket_);
            // Bytes that were read at once are reported late as readable.
            if (found == socket_state::quiet)
                self->watch_caller();
            // Anything to read is the next request, sent early.
            if (!error && found == socket_state::ended)
                self->stop_request(stop::caller_left);
        });
}

} // namespace sycamorelock::adapters::direct
