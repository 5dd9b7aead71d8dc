// Connects, sends, reads and passes on.
#include "attempt.hpp"

#include "../answer_limits.hpp"
#include "../answer_reader.hpp"
#include "../buffered_body.hpp"
#include "../header_copy.hpp"
#include "../local_shortage.hpp"
#include "../refusal_status.hpp"

#include "sycamorelock/adapters/clocks.hpp"

#include <boost/asio/connect.hpp>

#include <charconv>

namespace sycamorelock::adapters::direct
{

namespace
{

constexpr unsigned first_server_error = 500;
/// Bytes of an answer without events that are held until it is complete, so
/// that a broken one can be asked for again. Longer ones are passed on as they
/// arrive.
constexpr std::size_t max_held = 256 * 1024;
/// Bytes skipped of an answer to an earlier request.
constexpr std::size_t max_skipped = 1024 * 1024;
/// A connection within a region takes a few ms. An endpoint that lost the
/// first packet, or is dark, costs no more than this of the caller's time.
constexpr milliseconds connect_time{250};
/// An endpoint that names no idle time closes after a few seconds; a shorter
/// use loses nothing but a handshake.
constexpr milliseconds default_idle{2000};
/// Taken off the endpoint's idle time for the way of the next request.
constexpr milliseconds idle_margin{300};
/// Silence, as a multiple of the objective, after which a request that may be
/// repeated is tried elsewhere. Slow engines serve within it.
constexpr double silence_factor = 2.5;
constexpr double pause_factor = 4;
constexpr milliseconds least_silence{300};
/// What was read in the same turn of the event loop as a limit was reached is
/// handled before the next tick.
constexpr milliseconds next_turn{1};

milliseconds scaled(milliseconds value, double factor)
{
    return std::max(least_silence,
                    milliseconds(static_cast<milliseconds::rep>(
                        static_cast<double>(value.count()) * factor)));
}

milliseconds idle_time(const http::fields& header)
{
    static constexpr std::string_view name = "timeout=";
    const std::string_view text = header[http::field::keep_alive];
    const std::size_t at = text.find(name);
    if (at == std::string_view::npos)
        return default_idle;
    int seconds = 0;
    const std::string_view digits = text.substr(at + name.size());
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return std::max(milliseconds(0),
                    milliseconds(std::chrono::seconds(seconds)) - idle_margin);
}

bool is_event_stream(const http::fields& header)
{
    static constexpr std::string_view media_type = "text/event-stream";
    const std::string_view type = header[http::field::content_type];
    return beast::iequals(type.substr(0, media_type.size()), media_type);
}

milliseconds left_until(core::time_point deadline)
{
    return std::chrono::duration_cast<milliseconds>(deadline - now());
}

} // namespace

std::string_view to_string(attempt_end end)
{
    using enum attempt_end;
    switch (end)
    {
    case complete:
        return "complete";
    case held:
        return "held";
    case unreachable:
        return "unreachable";
    case withheld:
        return "withheld";
    case not_run:
        return "not_run";
    case wrong_endpoint:
        return "wrong_endpoint";
    case failed:
        return "failed";
    case broken:
        return "broken";
    case abandoned:
        return "abandoned";
    case withdrawn:
        return "withdrawn";
    }
    return "unknown";
}

attempt::attempt(traffic_context& context, attempt_request request,
                 core::direct::placement_decision& placed, answer_writer& out,
                 event_splitter& events)
    : context_(context), request_(request), placed_(placed), out_(out),
      events_(events)
{
}

void attempt::abandon()
{
    abandoned_ = true;
    if (!channel_)
        return;
    error_code ignored;
    channel_->socket.close(ignored);
}

void attempt::withdraw()
{
    withdrawn_ = true;
    if (!channel_)
        return;
    error_code ignored;
    channel_->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    channel_->socket.close(ignored);
}

core::direct::attempt_outcome attempt::outcome_of(attempt_end end) const
{
    using core::direct::attempt_outcome;
    switch (end)
    {
    case attempt_end::complete:
    case attempt_end::held:
        return status_ >= first_server_error ? attempt_outcome::failed
                                             : attempt_outcome::succeeded;
    case attempt_end::unreachable:
        return has_shortage_ ? attempt_outcome::abandoned
                             : attempt_outcome::unreachable;
    case attempt_end::not_run:
        return attempt_outcome::declined;
    case attempt_end::wrong_endpoint:
        return attempt_outcome::unreachable;
    case attempt_end::failed:
    case attempt_end::broken:
        return attempt_outcome::failed;
    case attempt_end::withheld:
    case attempt_end::abandoned:
    case attempt_end::withdrawn:
        return attempt_outcome::abandoned;
    }
    return attempt_outcome::abandoned;
}

asio::awaitable<attempt_end> attempt::run()
{
    context_.router.sent(now(), request_.profile, placed_);
    attempt_end end = attempt_end::unreachable;
    if (!co_await connect())
        end = stopped(has_shortage_ ? "local_shortage" : "connect");
    else if (!may_send())
        end = attempt_end::withheld;
    else
        end = co_await send_and_read();
    co_return end_or_wait(end);
}

asio::awaitable<attempt_end> attempt::send_and_read()
{
    try
    {
        send();
        co_return co_await read_answer();
    }
    catch (const std::exception& error)
    {
        // Without a report of its end the router would count the attempt as
        // open.
        context_.log.write(
            direct_event::attempt_failed,
            {{"error", error.what()}, {"request", request_.meta.attempt_id}});
        malformed_ = true;
        co_return stopped("unexpected_error");
    }
}

std::optional<std::uint64_t> attempt::answered() const
{
    return answers_ ? std::optional(read_bytes_) : std::nullopt;
}

void attempt::watch(std::function<void(socket_state)> found)
{
    on_activity_ =
        std::make_shared<std::function<void(socket_state)>>(std::move(found));
    watch_connection();
}

void attempt::watch_connection()
{
    channel_->socket.async_wait(
        tcp::socket::wait_read,
        [this, watched = std::weak_ptr(on_activity_)](error_code error)
        {
            const auto found = watched.lock();
            // The attempt goes on, or is no more.
            if (!found)
                return;
            const socket_state state =
                error ? socket_state::ended : look_at(channel_->socket);
            // Bytes that were read at once are reported late as readable.
            if (state == socket_state::quiet)
                watch_connection();
            else
                (*found)(state);
        });
}

asio::awaitable<attempt_end> attempt::resume(milliseconds within)
{
    on_activity_.reset();
    error_code ignored;
    channel_->socket.cancel(ignored);
    note_read();
    set_silence_limit(within);
    const attempt_end end = co_await read_answer();
    co_return end_or_wait(end);
}

attempt_end attempt::end_or_wait(attempt_end end)
{
    silence_.lift();
    if (abandoned_)
        end = attempt_end::abandoned;
    else if (withdrawn_)
        end = sending_ ? attempt_end::withdrawn : attempt_end::withheld;
    else if (waits_)
        return end;
    release();
    const core::direct::attempt_outcome outcome = outcome_of(end);
    context_.router.finished(now(), placed_, outcome);
    if (placed_.leaves_domain)
        context_.metrics.bytes_away += body_bytes_;
    if (outcome == core::direct::attempt_outcome::succeeded)
        context_.router.note_answer(request_.profile,
                                    static_cast<double>(body_bytes_));
    return end;
}

attempt_end attempt::give_up()
{
    on_activity_.reset();
    waits_ = false;
    return end_or_wait(unfinished_end());
}

attempt_end attempt::end_with_connection()
{
    silent_ = false;
    why_ = answers_ ? "stream_cut" : "no_answer";
    return give_up();
}

attempt_end attempt::stopped(std::string_view why)
{
    why_ = withdrawn_ ? "withdrawn" : silent_ ? "silent" : why;
    if (!endless_.empty())
    {
        why_ = "endless";
        note_endless();
    }
    if (refusal_ != answer_error::none)
    {
        why_ = "answer_refused";
        note_refused();
    }
    return sending_ == nullptr ? attempt_end::unreachable : unfinished_end();
}

attempt_end attempt::unfinished_end() const
{
    return out_.begun() ? attempt_end::broken : attempt_end::failed;
}

asio::awaitable<bool> attempt::connect()
{
    const core::endpoint_id id = placed_.request_load.endpoint;
    channel_ = context_.channels.take(now(), id);
    is_reused_ = channel_ != nullptr;
    if (is_reused_)
        co_return true;
    channel_ = std::make_unique<endpoint_channel>(context_.io, max_unparsed);
    ++context_.metrics.endpoint_connects;
    expect_connection();
    auto [error] = co_await channel_->socket.async_connect(
        parse_address(placed_.endpoint.address), as_result);
    silence_.lift();
    has_shortage_ = is_local_shortage(error);
    has_terminated_ = error == asio::error::connection_refused;
    if (error || abandoned_ || withdrawn_)
        co_return false;
    error_code ignored;
    channel_->socket.set_option(tcp::no_delay(true), ignored);
    co_return true;
}

void attempt::expect_connection()
{
    context_.limits.set(silence_, now() + connect_time,
                        [this]
                        {
                            // It stands, and this instance has not come to use
                            // it yet.
                            if (is_connected(channel_->socket))
                                return;
                            note_silence(connect_time, socket_state::quiet);
                            give_up_silent();
                        });
}

void attempt::expect_within(milliseconds time)
{
    awaited_ = time;
    set_silence_limit(time);
}

void attempt::set_silence_limit(milliseconds time)
{
    buffered_ = channel_->buffer.size();
    context_.limits.set(silence_, now() + time,
                        [this, time]
                        {
                            context_.limits.set(silence_, now() + next_turn,
                                                [this, time]
                                                { on_silence(time); });
                        });
}

void attempt::on_silence(milliseconds limit)
{
    const socket_state connection = look_at(channel_->socket);
    note_silence(limit, connection);
    // What has arrived and is not read yet is no silence: this instance is
    // late, or its caller is slow. An endpoint that pauses is left only for
    // another one.
    const bool is_silent = connection == socket_state::quiet && !passing_on_ &&
                           channel_->buffer.size() == buffered_;
    if (!is_silent || !request_.secure_next(unfinished_end()))
        expect_within(awaited_);
    else if (skipping_ || !is_sent())
        // Its state does not outlive a cancelled operation.
        give_up_silent();
    else
        wait_for_another();
}

void attempt::give_up_silent()
{
    silent_ = true;
    error_code ignored;
    channel_->socket.close(ignored);
}

void attempt::wait_for_another()
{
    silent_ = true;
    waits_ = true;
    error_code ignored;
    channel_->socket.cancel(ignored);
}

void attempt::note_read()
{
    silent_ = false;
    waits_ = false;
}

void attempt::note_silence(milliseconds limit, socket_state connection)
{
    const std::string state(to_string(connection));
    ++context_.metrics.silences[state];
    context_.log.write(direct_event::endpoint_silent,
                       {{"request", request_.meta.attempt_id},
                        {"endpoint", placed_.endpoint.boot},
                        {"limit_ms", std::to_string(limit.count())},
                        {"connection", state},
                        {"events", std::to_string(events_.count())}});
}

void attempt::note_endless()
{
    ++context_.metrics.endless[std::string(endless_)];
    context_.log.write(direct_event::endpoint_endless,
                       {{"request", request_.meta.attempt_id},
                        {"endpoint", placed_.endpoint.boot},
                        {"part", std::string(endless_)}});
}

void attempt::note_refused()
{
    const std::string reason(to_string(refusal_));
    ++context_.metrics.answers_refused[reason];
    context_.log.write(direct_event::answer_refused,
                       {{"request", request_.meta.attempt_id},
                        {"endpoint", placed_.endpoint.boot},
                        {"reason", reason},
                        {"detail", refusal_detail_},
                        {"status", std::to_string(status_)},
                        {"body_bytes", std::to_string(body_bytes_)},
                        {"reused", is_reused_ ? "yes" : "no"}});
}

void attempt::note_malformed()
{
    const std::string fault(to_string(events_.fault()));
    ++context_.metrics.malformed_events[fault];
    const auto last = events_.last_id();
    context_.log.write(direct_event::event_malformed,
                       {{"request", request_.meta.attempt_id},
                        {"endpoint", placed_.endpoint.boot},
                        {"fault", fault},
                        {"last_id", last ? to_string(*last) : "none"},
                        {"events", std::to_string(events_.count())},
                        {"body_bytes", std::to_string(body_bytes_)},
                        {"reused", is_reused_ ? "yes" : "no"}});
}

bool attempt::may_send()
{
    const auto reason = context_.router.withheld(now(), placed_);
    if (reason)
    {
        why_ = to_string(*reason);
        ++context_.metrics.withheld[std::string(why_)];
        return false;
    }
    if (request_.is_quarantined())
    {
        why_ = "quarantined";
        ++context_.metrics.withheld[std::string(why_)];
        return false;
    }
    if (placed_.fetch && !context_.router.may_fetch(now(), *placed_.fetch))
        placed_.fetch.reset();
    return true;
}

void attempt::note_endpoint(const answer_meta& answer)
{
    const core::direct::endpoint_record& from = placed_.endpoint;
    if (answer.leaving && context_.router.note_leaving(now(), from))
        context_.log.write(direct_event::endpoint_draining,
                           {{"endpoint", from.boot},
                            {"address", from.address},
                            {"started_ms", std::to_string(from.started_ms)},
                            {"revision", std::to_string(from.revision)},
                            {"source", "answer"},
                            {"request", request_.meta.attempt_id}});
    if (answer.load)
        context_.router.note_load(now(), from, *answer.load);
    if (answer.rest.count() == 0)
        return;
    context_.router.note_backoff(now(), from, answer.rest);
    ++context_.metrics.rests_asked;
    context_.log.write(direct_event::endpoint_rests,
                       {{"endpoint", from.boot},
                        {"address", from.address},
                        {"asked_ms", std::to_string(answer.rest.count())},
                        {"request", request_.meta.attempt_id}});
}

void attempt::send()
{
    const caller_message& asked = request_.message;
    sending_ = std::make_shared<request_out>();
    sending_->version(11);
    // By text: the library has no enumerator for unknown methods.
    sending_->method_string(asked.method_string());
    sending_->target(asked.target());
    const dialect_table& dialect = context_.dialect;
    copy_end_to_end(asked, *sending_, dialect.set_by_us,
                    dialect.always_forwarded);
    attempt_meta meta;
    meta.time_left = left_until(request_.profile.deadline);
    meta.endpoint_boot = placed_.endpoint.boot;
    meta.account = request_.account_name;
    meta.last_event = events_.last_id();
    if (placed_.fetch)
        meta.fetch_from = placed_.fetch->address;
    dialect.write_attempt(*sending_, meta);
    sending_->body() = {asked.body().data(), asked.body().size()};
    sending_->prepare_payload();
    sent_at_ = now();
    exchange_ = std::make_shared<core::exchange_end>();
    // The answer may come before the request is sent in full, so both go on at
    // the same time. The message lives as long as the write.
    http::async_write(channel_->socket, *sending_,
                      [message = sending_,
                       exchange = exchange_](error_code error, std::size_t)
                      { exchange->on_write(!error); });
    context_.router.written(now(), placed_);
    request_.sent();
    if (placed_.leaves_domain)
    {
        ++context_.metrics.sent_away;
        context_.metrics.bytes_away += asked.body().size();
    }
    if (request_.secure_next)
        expect_within(
            scaled(request_.profile.route_config->objective, silence_factor));
}

asio::awaitable<std::optional<answer_meta>> attempt::read_header()
{
    for (unsigned headers = 0; headers <= max_leading_headers; ++headers)
    {
        if (!parser_)
        {
            parser_ = std::make_unique<answer_parser>();
            parser_->header_limit(max_answer_header);
            parser_->body_limit(boost::none);
            if (request_.message.method() == http::verb::head)
                parser_->skip(true);
        }
        const error_code error = co_await read_answer_header(
            channel_->socket, channel_->buffer, *parser_);
        if (error == http::error::header_limit ||
            error == http::error::buffer_overflow)
            endless_ = "header";
        if (error)
        {
            refuse(error);
            co_return std::nullopt;
        }
        note_read();
        const auto& header = parser_->get();
        if (http::to_status_class(header.result_int()) ==
            http::status_class::informational)
        {
            parser_.reset();
            continue;
        }
        const answer_meta meta =
            context_.dialect.read_answer(header, header.result_int());
        const bool late = is_late(meta);
        const bool stray = !late && co_await is_stray(meta);
        if (!stray)
            note_endpoint(meta);
        if (!late && !stray)
        {
            is_named_ = !meta.attempt_id.empty();
            co_return meta;
        }
        note_foreign(meta);
        if (late && !co_await skip_answer())
            co_return std::nullopt;
        parser_.reset();
    }
    endless_ = "headers";
    co_return std::nullopt;
}

void attempt::refuse(const error_code& error)
{
    // This side has closed the connection.
    if (abandoned_ || withdrawn_)
        return;
    refusal_ = answer_error_of(error);
    if (refusal_ == answer_error::none)
        return;
    const bool is_reset = refusal_ == answer_error::reset;
    refusal_detail_ =
        is_reset ? to_string(exchange_->completion()) : error.message();
    // An endpoint that resets the connection may have crashed.
    malformed_ = malformed_ || !is_reset;
}

bool attempt::is_sent() const
{
    return exchange_ && exchange_->write() == core::request_write::written;
}

bool attempt::is_late(const answer_meta& answer) const
{
    return !answer.attempt_id.empty() &&
           answer.attempt_id != request_.meta.attempt_id;
}

asio::awaitable<bool> attempt::is_stray(const answer_meta& answer)
{
    // An answer that is passed on with its body cannot be read ahead, and
    // nothing follows one that ends with its connection.
    const bool bodiless = answer.not_run || is_unnamed_success(answer);
    if (!is_reused_ || !answer.attempt_id.empty() || !bodiless ||
        parser_->need_eof())
        co_return false;
    if (!co_await skip_answer())
        co_return false;
    // An endpoint sends nothing after its answer until it is asked again.
    co_return channel_->buffer.size() > 0 ||
        look_at(channel_->socket) == socket_state::readable;
}

bool attempt::is_unnamed_success(const answer_meta& answer) const
{
    return http::to_status_class(parser_->get().result_int()) ==
               http::status_class::successful &&
           answer.attempt_id != request_.meta.attempt_id;
}

void attempt::note_foreign(const answer_meta& answer)
{
    context_.log.write(direct_event::foreign_answer,
                       {{"request", request_.meta.attempt_id},
                        {"answers", std::string(answer.attempt_id.empty()
                                                    ? std::string_view("none")
                                                    : answer.attempt_id)},
                        {"endpoint", placed_.endpoint.boot}});
}

asio::awaitable<bool> attempt::skip_answer()
{
    std::size_t skipped = 0;
    if (parser_->need_eof())
        co_return false;
    skipping_ = true;
    while (!parser_->is_done())
    {
        if (co_await read_piece())
            co_return false;
        skipped += piece_size_;
        if (skipped > max_skipped)
        {
            endless_ = "other_answer";
            co_return false;
        }
    }
    skipping_ = false;
    co_return true;
}

asio::awaitable<error_code> attempt::read_piece()
{
    auto& body = parser_->get().body();
    body.data = piece_.data();
    body.size = piece_.size();
    auto [error, bytes] = co_await http::async_read_some(
        channel_->socket, channel_->buffer, *parser_, as_result);
    // What comes before a fault is passed on first; the next call meets the
    // fault again.
    error_code later_fault;
    if (!error && body.size < piece_.size())
        read_bytes_ +=
            parse_buffered_body(channel_->buffer, *parser_, later_fault);
    read_bytes_ += bytes;
    piece_size_ = piece_.size() - body.size;
    if (!error || piece_size_ > 0)
        note_read();
    if (piece_size_ > 0 && awaited_.count() > 0)
        expect_within(awaited_);
    if (error == http::error::need_buffer)
        error = {};
    if (error == http::error::buffer_overflow)
        endless_ = "framing";
    body_bytes_ += piece_size_;
    if (error)
        exchange_->on_read_error();
    else if (parser_->is_done() && parser_->need_eof())
        error = co_await await_completion(channel_->socket, *exchange_);
    refuse(error);
    if (read_bytes_ > max_answer_body)
    {
        endless_ = "body";
        error = http::error::body_limit;
    }
    co_return error;
}

asio::awaitable<attempt_end> attempt::read_answer()
{
    std::optional<attempt_end> end;
    if (!answers_)
        end = co_await begin_answer();
    if (end)
        co_return *end;
    if (has_events_)
        co_return co_await relay_events();
    co_return co_await collect();
}

asio::awaitable<std::optional<attempt_end>> attempt::begin_answer()
{
    const std::optional<answer_meta> meta = co_await read_header();
    // A header that had arrived when the request was withdrawn is too late.
    if (!meta || withdrawn_)
        co_return stopped("no_answer");
    body_bytes_ = 0;
    read_bytes_ = 0;
    const auto& header = parser_->get();
    status_ = header.result_int();
    if (meta->wrong_endpoint)
    {
        why_ = "wrong_endpoint";
        has_terminated_ = true;
        co_return attempt_end::wrong_endpoint;
    }
    if (meta->not_run)
    {
        why_ = "declined";
        co_return attempt_end::not_run;
    }
    if (is_unnamed_success(*meta))
        co_return stopped("unnamed_answer");
    if (meta->is_unsigned_success)
    {
        refuse(answer_error::unsigned_success);
        co_return stopped("no_answer");
    }
    // Only the mark tells that an endpoint did not run the request. Callers
    // repeat what may run often anyway.
    if (promises_no_run(status_) &&
        !request_.profile.route_config->repeatable())
        co_return stopped("unmarked_refusal");
    answers_ = true;
    has_events_ = must_be_stream(header);
    if (has_events_ && !is_event_stream(header))
        co_return stopped("no_event_stream");
    if (!has_events_ && out_.begun())
        co_return stopped("answer_without_events");
    if (status_ < first_server_error)
        request_.taken();
    if (!has_events_)
    {
        copy_end_to_end(header, held_.header);
        held_.status = status_of(header);
        held_.has_body = request_.message.method() != http::verb::head &&
                         header.result() != http::status::no_content &&
                         header.result() != http::status::not_modified;
        co_return std::nullopt;
    }
    if (!out_.begun())
    {
        http::fields copied;
        copy_end_to_end(header, copied);
        out_.begin(copied, status_of(header));
    }
    events_.drop_rest();
    events_before_ = events_.count();
    co_return std::nullopt;
}

bool attempt::must_be_stream(const http::response_header<>& header) const
{
    return request_.profile.route_config->kind ==
               core::direct::route_kind::stream &&
           request_.message.method() != http::verb::head &&
           http::to_status_class(header.result_int()) ==
               http::status_class::successful;
}

void attempt::note_first()
{
    if (first_at_ != core::time_point())
        return;
    first_at_ = now();
    context_.router.first_token(first_at_, request_.profile, placed_, sent_at_);
}

void attempt::note_event()
{
    note_first();
    const core::time_point at = now();
    if (event_at_ != core::time_point())
        longest_pause_ = std::max(longest_pause_, at - event_at_);
    event_at_ = at;
}

asio::awaitable<error_code> attempt::pass_on(std::string_view bytes, bool last)
{
    passing_on_ = true;
    const error_code error = co_await out_.write_piece(bytes, last);
    passing_on_ = false;
    co_return error;
}

std::string_view attempt::stream_fault()
{
    if (events_.fault() != event_fault::none)
    {
        malformed_ = true;
        note_malformed();
        return "malformed_event";
    }
    if (events_.pending() > max_event)
    {
        endless_ = "event";
        return "stream_cut";
    }
    if (!parser_->is_done())
        return {};
    if (events_.torn())
    {
        // An endpoint that ends the body has not crashed; one that closes the
        // connection may have.
        malformed_ = !parser_->need_eof();
        return "event_cut";
    }
    // Without a length, an endpoint that crashed before its first event looks
    // like one that had nothing to send.
    const bool is_empty = events_.count() == events_before_;
    return parser_->need_eof() && is_empty ? "stream_cut" : "";
}

asio::awaitable<attempt_end> attempt::relay_events()
{
    const core::direct::route& route_config = *request_.profile.route_config;
    const milliseconds pause =
        scaled(route_config.pause_objective, pause_factor);
    for (;;)
    {
        const error_code error =
            parser_->is_done() ? error_code() : co_await read_piece();
        if (error)
            co_return stopped("stream_cut");
        const std::string_view whole =
            events_.feed({piece_.data(), piece_size_});
        piece_size_ = 0;
        const std::string_view fault = stream_fault();
        const bool done = fault.empty() && parser_->is_done();
        if (!whole.empty())
        {
            note_event();
            // From the second event on, reading it has set the limit.
            if (request_.secure_next && awaited_ != pause)
                expect_within(pause);
        }
        // Also before a fault: another endpoint continues after these events.
        if ((!whole.empty() || done) && co_await pass_on(whole, done))
        {
            why_ = "write_failed";
            co_return attempt_end::abandoned;
        }
        if (!fault.empty())
            co_return stopped(fault);
        if (done)
            co_return attempt_end::complete;
    }
}

asio::awaitable<attempt_end> attempt::collect()
{
    while (!parser_->is_done())
    {
        const error_code error = co_await read_piece();
        if (error)
            co_return stopped("answer_cut");
        held_.body.append(piece_.data(), piece_size_);
        if (held_.body.size() > max_held)
            co_return co_await pass_on_rest();
    }
    note_first();
    co_return attempt_end::held;
}

asio::awaitable<attempt_end> attempt::pass_on_rest()
{
    // No other endpoint can go on with it.
    awaited_ = milliseconds(0);
    silence_.lift();
    out_.begin(held_.header, held_.status);
    std::string bytes = std::move(held_.body);
    for (;;)
    {
        const bool done = parser_->is_done();
        if (co_await pass_on(bytes, done))
        {
            why_ = "write_failed";
            co_return attempt_end::abandoned;
        }
        if (done)
            co_return attempt_end::complete;
        if (co_await read_piece())
            co_return stopped("answer_cut");
        bytes.assign(piece_.data(), piece_size_);
    }
}

void attempt::release()
{
    if (!channel_)
        return;
    // Not reused after anything odd: unread bytes, an unfinished request, an
    // answer that ends with its connection, a stream that was none, an answer
    // whose late copy could not be told from the next one.
    const bool clean = !abandoned_ && !silent_ && !malformed_ && is_named_ &&
                       is_sent() && parser_ && parser_->is_done() &&
                       parser_->keep_alive() && channel_->buffer.size() == 0;
    if (!clean)
    {
        error_code ignored;
        channel_->socket.close(ignored);
        return;
    }
    channel_->idle_until = now() + idle_time(parser_->get());
    context_.channels.give(placed_.request_load.endpoint, std::move(channel_));
}

} // namespace sycamorelock::adapters::direct
