// Sends a request to an endpoint and streams the answer back.
#include "endpoint_call.hpp"

#include "answer_limits.hpp"
#include "answer_reader.hpp"
#include "buffered_body.hpp"
#include "header_copy.hpp"
#include "local_shortage.hpp"
#include "refusal_status.hpp"
#include "socket_state.hpp"

#include "sycamorelock/adapters/clocks.hpp"

#include <array>
#include <tuple>

namespace sycamorelock::adapters
{

namespace
{

constexpr std::size_t piece_size = 16 * 1024;
constexpr std::chrono::milliseconds connect_timeout{2000};
/// Endpoints that have terminated refuse connections within a round trip.
constexpr std::chrono::milliseconds check_timeout{250};
constexpr core::duration progress_period = std::chrono::milliseconds(500);
/// Rough size of a token in an answer that is not streamed as events.
constexpr std::uint64_t bytes_per_token = 4;

/// Endpoints do not number events.
constexpr event_dialect event_form{.ids = id_order::any,
                                   .allows_carriage_returns = true};

/// Fields that are this interface's to set.
bool is_own_field(beast::string_view name)
{
    return beast::iequals(name, "Authorization") ||
           beast::iequals(name, "Host") || beast::iequals(name, "X-Request-Id");
}

/// Whether the other side has closed a connection.
bool is_broken_connection(error_code error)
{
    return error == http::error::end_of_stream ||
           error == http::error::partial_message || error == asio::error::eof ||
           error == asio::error::connection_reset ||
           error == asio::error::broken_pipe;
}

} // namespace

std::unique_ptr<beast::tcp_stream>
connection_pool::take(core::endpoint_id endpoint)
{
    auto& idle = idle_[endpoint];
    while (!idle.empty())
    {
        auto stream = std::move(idle.back());
        idle.pop_back();
        if (is_quiet(stream->socket()))
            return stream;
    }
    return nullptr;
}

void connection_pool::give(core::endpoint_id endpoint,
                           std::unique_ptr<beast::tcp_stream> stream)
{
    auto& idle = idle_[endpoint];
    if (idle.size() >= max_idle)
        return;
    stream->expires_never();
    idle.push_back(std::move(stream));
}

endpoint_call::endpoint_call(call_context context, const core::dispatch& order)
    : context_(std::move(context)), order_(order), buffer_(max_unparsed),
      events_(event_form, std::nullopt)
{
}

core::attempt_result endpoint_call::result(core::attempt_end end)
{
    core::attempt_result made;
    made.request = order_.request;
    made.attempt = order_.attempt;
    made.end = aborted_ ? core::attempt_end::caller_left : end;
    made.total = cost_so_far();
    if (tokens_ > 1)
        made.token_delay = (last_token_ - first_token_) /
                           static_cast<core::duration::rep>(tokens_ - 1);
    made.server_error = parser_ && parser_->is_header_done() &&
                        http::to_status_class(parser_->get().result_int()) ==
                            http::status_class::server_error;
    made.endpoint_terminated = has_terminated_;
    return made;
}

core::cost endpoint_call::cost_so_far() const
{
    if (!sent_)
        return core::cost(0);
    if (context_.kind == core::service_kind::plain)
        return core::cost(std::max<std::int64_t>(
            1, std::chrono::duration_cast<std::chrono::milliseconds>(now() -
                                                                     started_)
                   .count()));
    const std::uint64_t tokens =
        event_stream_ ? tokens_ : body_bytes_ / bytes_per_token;
    return core::cost(static_cast<std::int64_t>(tokens));
}

void endpoint_call::abort()
{
    aborted_ = true;
    if (stream_)
        stream_->close();
}

asio::awaitable<bool> endpoint_call::open(const endpoint_route& route,
                                          bool fresh)
{
    // A request that may run once only gets a connection of its own: on a
    // reused one a close by the endpoint could not be told from a failure.
    if (!fresh && context_.idempotent)
        stream_ = context_.pool.take(route.id);
    pooled_ = stream_ != nullptr;
    if (pooled_)
        co_return true;
    stream_ =
        std::make_unique<beast::tcp_stream>(context_.caller.get_executor());
    stream_->expires_after(connect_timeout);
    ++context_.control.traffic().endpoint_connects;
    const tcp::endpoint to(asio::ip::make_address(route.ip), route.port);
    const error_code error = co_await connect_from(
        *stream_, context_.control.settings().address, to);
    withheld_ = is_local_shortage(error);
    has_terminated_ =
        has_broken_ && sent_ && error == asio::error::connection_refused;
    co_return !error;
}

asio::awaitable<bool> endpoint_call::send()
{
    const caller_request& asked = context_.request;
    http::request<http::span_body<const char>> out;
    out.version(11);
    // By text: the library has no enumerator for unknown methods.
    out.method_string(asked.method_string());
    out.target(context_.target);
    copy_end_to_end(asked, out, is_own_field);
    out.set(http::field::host, "endpoint");
    out.set("X-Request-Id", to_string(order_.request));
    out.set("X-Attempt", std::to_string(order_.attempt));
    out.body() = {asked.body().data(), asked.body().size()};
    out.prepare_payload();
    // The last look at the lease: after this point the request may run.
    withheld_ = now() >= order_.valid_until || aborted_;
    if (withheld_)
        co_return false;
    stream_->expires_after(context_.control.settings().endpoint_timeout);
    auto [error, bytes] = co_await http::async_write(*stream_, out, as_result);
    sent_ = sent_ || bytes > 0;
    co_return !error;
}

core::attempt_end endpoint_call::unanswered_end() const
{
    using enum core::attempt_end;
    if (sent_)
        return failed_before_answer;
    return withheld_ ? nothing_sent : not_connected;
}

asio::awaitable<bool> endpoint_call::read_header()
{
    for (unsigned headers = 0; headers <= max_leading_headers; ++headers)
    {
        parser_ = std::make_unique<answer_parser>();
        parser_->header_limit(max_answer_header);
        parser_->body_limit(boost::none);
        if (context_.request.method() == http::verb::head)
            parser_->skip(true);
        const error_code error =
            co_await read_answer_header(*stream_, buffer_, *parser_);
        has_broken_ = is_broken_connection(error);
        if (error == http::error::header_limit ||
            error == http::error::buffer_overflow)
            note_endless("header");
        note_refused(error);
        if (error)
            co_return false;
        if (http::to_status_class(parser_->get().result_int()) !=
            http::status_class::informational)
            co_return true;
    }
    note_endless("headers");
    co_return false;
}

void endpoint_call::note_endless(std::string_view part)
{
    ++context_.control.traffic().endpoint_endless;
    context_.control.log().write(
        process_event::endpoint_endless,
        {{"request", to_string(order_.request)}, {"part", std::string(part)}});
}

void endpoint_call::note_refused(const error_code& error)
{
    const answer_error reason = answer_error_of(error);
    if (reason == answer_error::none)
        return;
    ++context_.control.traffic().answers_refused.at(
        static_cast<std::size_t>(reason));
    context_.control.log().write(process_event::answer_refused,
                                 {{"request", to_string(order_.request)},
                                  {"reason", std::string(to_string(reason))},
                                  {"detail", error.message()},
                                  {"body_bytes", std::to_string(body_bytes_)},
                                  {"reused", pooled_ ? "yes" : "no"}});
}

bool endpoint_call::answers_this_request() const
{
    const auto named = parser_->get()["X-Request-Id"];
    return named.empty() || named == to_string(order_.request);
}

asio::awaitable<bool> endpoint_call::write_header()
{
    const auto& from = parser_->get();
    http::response<http::empty_body> header(status_of(from), 11);
    copy_end_to_end(from, header, is_own_field);
    header.set("X-Request-Id", to_string(order_.request));
    header.keep_alive(context_.keep_caller);
    if (is_chunked())
        header.chunked(true);
    else if (from.has_content_length())
        header.content_length(parser_->content_length());
    http::response_serializer<http::empty_body> serializer(header);
    context_.caller.expires_after(context_.control.settings().write_timeout);
    answer_begun_ = true;
    auto [error, bytes] = co_await http::async_write_header(
        context_.caller, serializer, as_result);
    co_return !error;
}

void endpoint_call::note_malformed()
{
    ++context_.control.traffic().malformed_events;
    context_.control.log().write(
        process_event::event_malformed,
        {{"request", to_string(order_.request)},
         {"fault", std::string(to_string(events_.fault()))},
         {"events", std::to_string(events_.count())},
         {"body_bytes", std::to_string(body_bytes_)},
         {"reused", pooled_ ? "yes" : "no"}});
}

bool endpoint_call::is_chunked() const
{
    // Comments of a stream are left out, so its length is not known.
    return parser_->chunked() || event_stream_;
}

std::string_view endpoint_call::take_events(std::string_view bytes)
{
    const std::string_view whole = events_.feed(bytes);
    if (events_.count() == tokens_)
        return whole;
    last_token_ = now();
    if (tokens_ == 0)
        first_token_ = last_token_;
    // Each event carries one token.
    tokens_ = events_.count();
    return whole;
}

bool endpoint_call::has_fault()
{
    if (events_.fault() != event_fault::none)
    {
        note_malformed();
        return true;
    }
    const bool is_endless_event = events_.pending() > max_event;
    const bool is_endless = is_endless_event || read_bytes_ > max_answer_body;
    if (is_endless)
        note_endless(is_endless_event ? "event" : "body");
    return is_endless || (parser_->is_done() && events_.torn());
}

asio::awaitable<bool> endpoint_call::write_piece(std::string_view bytes)
{
    if (bytes.empty())
        co_return true;
    context_.caller.expires_after(context_.control.settings().write_timeout);
    // A caller that does not read its answer may be evicted.
    context_.memory.enter(core::holder_phase::sending);
    error_code error;
    if (is_chunked())
        std::tie(error, std::ignore) = co_await asio::async_write(
            context_.caller, http::make_chunk(asio::buffer(bytes)), as_result);
    else
        std::tie(error, std::ignore) = co_await asio::async_write(
            context_.caller, asio::buffer(bytes), as_result);
    context_.memory.enter(core::holder_phase::serving);
    co_return !error;
}

asio::awaitable<core::attempt_end> endpoint_call::relay()
{
    using core::attempt_end;
    if (!co_await write_header())
        co_return attempt_end::caller_left;
    std::array<char, piece_size> piece;
    bool first = true;
    while (!parser_->is_done())
    {
        auto& body = parser_->get().body();
        body.data = piece.data();
        body.size = piece.size();
        body.more = true;
        stream_->expires_after(context_.control.settings().endpoint_timeout);
        auto [error, bytes] = co_await http::async_read_some(
            *stream_, buffer_, *parser_, as_result);
        if (!error)
            read_bytes_ += parse_buffered_body(buffer_, *parser_, error);
        read_bytes_ += bytes;
        if (error && error != http::error::need_buffer)
        {
            has_broken_ = is_broken_connection(error);
            if (error == http::error::buffer_overflow)
                note_endless("framing");
            note_refused(error);
            co_return attempt_end::failed_in_answer;
        }
        std::string_view bytes_read(piece.data(), piece.size() - body.size);
        body_bytes_ += bytes_read.size();
        if (event_stream_)
            bytes_read = take_events(bytes_read);
        const bool ends_here = has_fault();
        if (bytes_read.empty() && !ends_here)
            continue;
        const core::time_point received = now();
        if (first)
            context_.control.traffic().first_byte.record(
                std::chrono::duration<double>(received - context_.accepted)
                    .count());
        first = false;
        // Also before a fault: these events are complete.
        if (!co_await write_piece(bytes_read))
            co_return attempt_end::caller_left;
        if (ends_here)
            co_return attempt_end::failed_in_answer;
        const core::time_point passed = now();
        context_.control.traffic().relay_delay.record(
            std::chrono::duration<double>(passed - received).count());
        if (passed < next_progress_)
            continue;
        next_progress_ = passed + progress_period;
        context_.control.report_progress(order_.request, order_.attempt,
                                         cost_so_far());
    }
    const bool is_head = context_.request.method() == http::verb::head;
    if (is_head || !is_chunked())
        co_return attempt_end::completed;
    auto [error, bytes] = co_await asio::async_write(
        context_.caller, http::make_chunk_last(), as_result);
    co_return error ? attempt_end::caller_left : attempt_end::completed;
}

asio::awaitable<void>
endpoint_call::check_termination(const endpoint_route& route)
{
    if (!has_broken_ || !sent_ || aborted_)
        co_return;
    auto probe =
        std::make_unique<beast::tcp_stream>(context_.caller.get_executor());
    probe->expires_after(check_timeout);
    ++context_.control.traffic().endpoint_connects;
    const error_code error = co_await connect_from(
        *probe, context_.control.settings().address,
        tcp::endpoint(asio::ip::make_address(route.ip), route.port));
    has_terminated_ = error == asio::error::connection_refused;
    if (!error)
        context_.pool.give(route.id, std::move(probe));
}

asio::awaitable<core::attempt_result> endpoint_call::run()
{
    using core::attempt_end;
    const auto routes = context_.control.routes();
    const endpoint_route* route = routes->endpoint(order_.endpoint);
    started_ = now();
    next_progress_ = started_ + progress_period;
    if (route == nullptr)
        co_return result(attempt_end::nothing_sent);
    if (!co_await open(*route, false))
        co_return result(unanswered_end());
    bool answered = co_await send() && co_await read_header();
    if (!answered && pooled_ && !withheld_ && !aborted_)
    {
        // The endpoint may have closed the idle connection just now; that is
        // no failure of the endpoint. Only repeatable requests get here.
        stream_.reset();
        buffer_.clear();
        if (!co_await open(*route, true))
            co_return result(unanswered_end());
        answered = co_await send() && co_await read_header();
    }
    if (!answered)
    {
        co_await check_termination(*route);
        co_return result(unanswered_end());
    }
    if (!answers_this_request())
    {
        context_.control.log().write(process_event::invariant_answer_mixed,
                                     {{"request", to_string(order_.request)}});
        co_return result(attempt_end::failed_before_answer);
    }
    // The end of an answer without a length cannot be told from a cut.
    if (parser_->need_eof())
    {
        note_refused(answer_error::unframed_body);
        co_return result(attempt_end::failed_before_answer);
    }
    // Endpoints have no mark by which they could tell that nothing ran. Callers
    // repeat what may run often anyway.
    if (!context_.idempotent && promises_no_run(parser_->get().result_int()))
        co_return result(attempt_end::turned_away);
    event_stream_ = context_.request.method() != http::verb::head &&
                    parser_->get()[http::field::content_type].starts_with(
                        "text/event-stream");
    const attempt_end end = co_await relay();
    co_await check_termination(*route);
    context_.control.traffic().tokens += tokens_;
    const bool reusable = end == attempt_end::completed && !aborted_ &&
                          parser_->keep_alive() && buffer_.size() == 0;
    if (reusable)
        context_.pool.give(order_.endpoint, std::move(stream_));
    co_return result(end);
}

} // namespace sycamorelock::adapters
