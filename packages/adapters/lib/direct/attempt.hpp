// One attempt of a request at one endpoint.
#pragma once

#include "answer_writer.hpp"
#include "traffic_context.hpp"

#include "../socket_state.hpp"

#include "sycamorelock/adapters/answer_error.hpp"
#include "sycamorelock/adapters/event_stream.hpp"
#include "sycamorelock/core/exchange_end.hpp"

#include <functional>
#include <optional>

namespace sycamorelock::adapters::direct
{

using caller_message = http::request<http::string_body>;

/// How an attempt ended, as far as the caller's request is concerned.
enum class attempt_end : std::uint8_t
{
    /// The whole answer was passed on.
    complete,
    /// A complete answer is held back because another attempt may do better.
    held,
    /// Nothing was sent: there was no connection.
    unreachable,
    /// Nothing was sent: the endpoint may not be sent requests any more.
    withheld,
    /// The endpoint states that it did not run the request.
    not_run,
    /// Another endpoint has the address.
    wrong_endpoint,
    /// Sent, and no usable answer; nothing was passed on.
    failed,
    /// The answer stopped after a part of it was passed on.
    broken,
    /// Given up by this side: the caller left, or its time is over.
    abandoned,
    /// Sent and withdrawn before it was answered: the endpoint that had the
    /// request goes on with it.
    withdrawn,
};
std::string_view to_string(attempt_end end);

/// An answer that is not yet passed on.
struct held_answer
{
    http::fields header;
    http::status status = http::status::ok;
    std::string body;
    bool has_body = true;
};

/// What does not change from attempt to attempt.
struct attempt_request
{
    const caller_message& message;
    const request_meta& meta;
    const core::direct::request_profile& profile;
    std::string_view account_name;
    /// Has another endpoint ready for the request, if there is one that may
    /// take it after an attempt that ends so. Absent if the request may not be
    /// repeated.
    std::function<bool(attempt_end)> secure_next;
    /// The request has been written to the endpoint.
    std::function<void()> sent;
    /// The endpoint has begun to answer, and has not declined or failed.
    std::function<void()> taken;
    /// Whether the request must not be sent because endpoints crash under it.
    std::function<bool()> is_quarantined;
};

class attempt
{
  public:
    attempt(traffic_context& context, attempt_request request,
            core::direct::placement_decision& placed, answer_writer& out,
            event_splitter& events);

    /// Runs to the end, or until it waits. Reports to the router what it
    /// learns.
    asio::awaitable<attempt_end> run();

    /// Whether it waits: its endpoint is silent, another one has been secured,
    /// and the connection is left open until that one takes the request.
    [[nodiscard]] bool waits() const { return waits_; }
    /// Whether it has been left because nothing was read of its endpoint.
    [[nodiscard]] bool is_silent() const { return silent_; }
    /// Whether the endpoint sent something that is no answer, or not the
    /// stream's next event.
    [[nodiscard]] bool is_malformed() const { return malformed_; }
    /// Limit on the endpoint's silence.
    [[nodiscard]] milliseconds silence_limit() const { return awaited_; }
    /// Bytes of the answer that have been read; empty if it has not begun.
    [[nodiscard]] std::optional<std::uint64_t> answered() const;
    /// Calls back once, when the connection of an attempt that waits can be
    /// read or ends.
    void watch(std::function<void(socket_state)> found);
    /// Goes on with an attempt that waits, as `run` does.
    /// \param within limit on the endpoint's silence from now on, until
    /// something is read of it.
    asio::awaitable<attempt_end> resume(milliseconds within);
    /// Ends an attempt that waits.
    attempt_end give_up();
    /// Ends an attempt that waits and whose connection has ended.
    attempt_end end_with_connection();

    /// Resets the connection, so that the endpoint does not get the request
    /// later. For an endpoint that has not begun to answer.
    void withdraw();
    [[nodiscard]] bool is_withdrawn() const { return withdrawn_; }

    /// Closes the connection to the endpoint, which then drops the request.
    void abandon();

    /// Whether a piece of the answer waits for the caller to take it.
    [[nodiscard]] bool is_passing_on() const { return passing_on_; }
    [[nodiscard]] held_answer& held() { return held_; }
    /// Status of the endpoint's answer, 0 if there was none.
    [[nodiscard]] unsigned status() const { return status_; }
    [[nodiscard]] std::string_view why() const { return why_; }
    /// Whether this process had nothing left for a connection.
    [[nodiscard]] bool has_shortage() const { return has_shortage_; }
    /// Whether the endpoint is known to have terminated: its address refuses
    /// connections, or another one has it.
    [[nodiscard]] bool has_terminated() const { return has_terminated_; }
    /// When the first event, or a whole answer, came; zero if none did.
    [[nodiscard]] core::time_point first_at() const { return first_at_; }
    /// Longest pause between two events.
    [[nodiscard]] core::duration longest_pause() const
    {
        return longest_pause_;
    }

  private:
    using answer_parser = http::response_parser<http::buffer_body>;
    using request_out = http::request<http::span_body<const char>>;

    asio::awaitable<bool> connect();
    attempt_end end_or_wait(attempt_end end);
    /// Whether the endpoint may still be sent the request.
    bool may_send();
    void send();
    /// Sends the request and reads its answer. An unexpected error counts as an
    /// answer that cannot be used.
    asio::awaitable<attempt_end> send_and_read();
    /// Takes in what an answer says of its endpoint.
    void note_endpoint(const answer_meta& answer);
    /// Header of the answer to this request, which the parser then holds;
    /// nothing if there is none.
    asio::awaitable<std::optional<answer_meta>> read_header();
    /// Whether it names another request than the present one.
    [[nodiscard]] bool is_late(const answer_meta& answer) const;
    /// Whether it names no request and is not the present one's, because
    /// another answer follows it.
    asio::awaitable<bool> is_stray(const answer_meta& answer);
    [[nodiscard]] bool is_unnamed_success(const answer_meta& answer) const;
    /// Tells of an answer that was skipped.
    void note_foreign(const answer_meta& answer);
    asio::awaitable<bool> skip_answer();
    asio::awaitable<error_code> read_piece();
    asio::awaitable<attempt_end> read_answer();
    /// Reads as far as the answer's body; returns how the attempt ends if there
    /// is none to pass on.
    asio::awaitable<std::optional<attempt_end>> begin_answer();
    /// Whether an answer has to be a stream of events: a success on a route of
    /// streams, whatever the endpoint calls it.
    [[nodiscard]] bool
    must_be_stream(const http::response_header<>& header) const;
    asio::awaitable<attempt_end> relay_events();
    /// Why the stream cannot go on after what has been read; empty if it can.
    std::string_view stream_fault();
    asio::awaitable<attempt_end> collect();
    asio::awaitable<attempt_end> pass_on_rest();
    attempt_end stopped(std::string_view why);
    /// Tells that a part of the answer was longer than it may be.
    void note_endless();
    /// Takes in why an answer must not be used, if that is what an error says.
    void refuse(const error_code& error);
    /// Tells that the answer is refused.
    void note_refused();
    /// Tells that the answer held something that is not the next event.
    void note_malformed();
    /// Whether the whole request has been written.
    [[nodiscard]] bool is_sent() const;
    /// How an attempt ends whose answer stops here.
    [[nodiscard]] attempt_end unfinished_end() const;
    /// Ends the attempt if there is no connection by then.
    void expect_connection();
    /// Looks for another endpoint if nothing is read of this one by then.
    void expect_within(milliseconds time);
    /// The same, for the next read only.
    void set_silence_limit(milliseconds time);
    void on_silence(milliseconds limit);
    /// Ends the wait for the endpoint by closing the connection.
    void give_up_silent();
    /// Ends the wait for the endpoint and leaves the connection open.
    void wait_for_another();
    /// Something was read of the endpoint.
    void note_read();
    /// Tells that nothing was read of the endpoint within a limit.
    void note_silence(milliseconds limit, socket_state connection);
    /// Passes a piece on to the caller.
    asio::awaitable<error_code> pass_on(std::string_view bytes, bool last);
    void watch_connection();
    void note_first();
    void note_event();
    void release();
    [[nodiscard]] core::direct::attempt_outcome
    outcome_of(attempt_end end) const;

    traffic_context& context_;
    attempt_request request_;
    core::direct::placement_decision& placed_;
    answer_writer& out_;
    event_splitter& events_;
    std::unique_ptr<endpoint_channel> channel_;
    std::shared_ptr<request_out> sending_;
    /// Shared with the write of the request, which may outlast the attempt.
    std::shared_ptr<core::exchange_end> exchange_;
    std::unique_ptr<answer_parser> parser_;
    std::array<char, 16 * 1024> piece_;
    std::size_t piece_size_ = 0;
    /// Bytes of the body so far.
    std::uint64_t body_bytes_ = 0;
    /// The same, framing included.
    std::uint64_t read_bytes_ = 0;
    /// Part of the answer that was longer than it may be; empty for none.
    std::string_view endless_;
    /// Why the answer must not be used.
    answer_error refusal_ = answer_error::none;
    std::string refusal_detail_;
    /// Events of the stream that earlier attempts brought.
    std::uint64_t events_before_ = 0;
    held_answer held_;
    watchdog::limit silence_;
    /// Set while the connection of an attempt that waits is watched.
    std::shared_ptr<std::function<void(socket_state)>> on_activity_;
    /// Time within which something is expected of the endpoint; zero for none.
    milliseconds awaited_{0};
    /// Bytes read and not used when the limit was set: a header that arrives in
    /// pieces.
    std::size_t buffered_ = 0;
    core::time_point sent_at_;
    unsigned status_ = 0;
    std::string_view why_;
    core::time_point first_at_;
    core::time_point event_at_;
    core::duration longest_pause_{0};
    bool abandoned_ = false;
    bool withdrawn_ = false;
    /// This process had nothing left for a connection.
    bool has_shortage_ = false;
    bool has_terminated_ = false;
    /// The connection had been used before.
    bool is_reused_ = false;
    /// The answer names the request.
    bool is_named_ = false;
    bool malformed_ = false;
    bool silent_ = false;
    bool waits_ = false;
    /// An answer to an earlier request is being read.
    bool skipping_ = false;
    /// The header of the answer has been read, and events follow it.
    bool answers_ = false;
    bool has_events_ = false;
    bool passing_on_ = false;
};

} // namespace sycamorelock::adapters::direct
