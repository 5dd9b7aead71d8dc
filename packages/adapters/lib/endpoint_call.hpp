// One attempt of a request at an endpoint, relayed to the caller as it comes.
#pragma once

#include "http.hpp"
#include "memory_share.hpp"

#include "sycamorelock/adapters/control_plane.hpp"
#include "sycamorelock/adapters/event_stream.hpp"

#include <map>
#include <memory>
#include <vector>

namespace sycamorelock::adapters
{

using caller_request = http::request<http::string_body>;

/// Idle connections to endpoints of one traffic thread. A connection is kept
/// only after a complete answer with nothing behind it.
class connection_pool
{
  public:
    std::unique_ptr<beast::tcp_stream> take(core::endpoint_id endpoint);
    void give(core::endpoint_id endpoint,
              std::unique_ptr<beast::tcp_stream> stream);

  private:
    static constexpr std::size_t max_idle = 32;
    std::map<core::endpoint_id, std::vector<std::unique_ptr<beast::tcp_stream>>>
        idle_;
};

/// What a call needs besides the order.
struct call_context
{
    control_plane& control;
    connection_pool& pool;
    beast::tcp_stream& caller;
    /// The caller's.
    memory_share& memory;
    const caller_request& request;
    std::string target;
    core::service_kind kind;
    bool idempotent = true;
    bool keep_caller = true;
    core::time_point accepted;
};

class endpoint_call
{
  public:
    endpoint_call(call_context context, const core::dispatch& order);

    /// Runs the attempt. If the answer begins, it is passed to the caller; a
    /// failure after that leaves the caller's connection unusable.
    asio::awaitable<core::attempt_result> run();

    /// Ends the attempt because the caller went away.
    void abort();

    /// Whether a byte of the answer went to the caller.
    [[nodiscard]] bool answer_begun() const { return answer_begun_; }

  private:
    using answer_parser = http::response_parser<http::buffer_body>;

    asio::awaitable<bool> open(const endpoint_route& route, bool fresh);
    asio::awaitable<bool> send();
    asio::awaitable<bool> read_header();
    asio::awaitable<core::attempt_end> relay();
    asio::awaitable<bool> write_header();
    asio::awaitable<bool> write_piece(std::string_view bytes);
    /// Tells that a part of the answer was longer than it may be.
    void note_endless(std::string_view part);
    /// Tells why an answer must not be used, if that is what an error says.
    void note_refused(const error_code& error);
    /// Tells that the answer held something that is no event.
    void note_malformed();
    /// Whether the caller gets the answer in chunks.
    [[nodiscard]] bool is_chunked() const;
    /// Returns the events that these bytes of a stream complete.
    std::string_view take_events(std::string_view bytes);
    /// Whether the answer cannot go on after what has been read; tells why.
    bool has_fault();
    [[nodiscard]] bool answers_this_request() const;
    [[nodiscard]] core::cost cost_so_far() const;
    [[nodiscard]] core::attempt_end unanswered_end() const;
    /// Finds out whether the endpoint has terminated, if its connection broke.
    asio::awaitable<void> check_termination(const endpoint_route& route);
    core::attempt_result result(core::attempt_end end);

    call_context context_;
    core::dispatch order_;
    std::unique_ptr<beast::tcp_stream> stream_;
    beast::flat_buffer buffer_;
    std::unique_ptr<answer_parser> parser_;
    bool pooled_ = false;
    bool sent_ = false;
    /// Nothing was sent last, for want of something here.
    bool withheld_ = false;
    bool answer_begun_ = false;
    bool aborted_ = false;
    /// The endpoint closed the connection before the answer was complete.
    bool has_broken_ = false;
    bool has_terminated_ = false;
    bool event_stream_ = false;
    std::uint64_t tokens_ = 0;
    std::uint64_t body_bytes_ = 0;
    /// Bytes of the body so far, framing included.
    std::uint64_t read_bytes_ = 0;
    event_splitter events_;
    core::time_point started_;
    core::time_point first_token_;
    core::time_point last_token_;
    core::time_point next_progress_;
};

} // namespace sycamorelock::adapters
