// One caller's connection.
#pragma once

#include "endpoint_call.hpp"
#include "request_reader.hpp"

#include <atomic>
#include <memory>
#include <optional>
#include <unordered_set>

namespace sycamorelock::adapters
{

class caller_session;

/// State shared by the sessions of one traffic thread, and the counts of the
/// server.
struct session_shared
{
    control_plane& control;
    connection_pool& pool;
    memory_pool& memory;
    /// Sessions of this traffic thread.
    std::unordered_set<caller_session*>& sessions;
    /// Unfinished requests of all threads.
    std::atomic<std::size_t>& busy;
    /// Connections of all threads.
    std::atomic<std::size_t>& open;
};

class caller_session : public request_waiter,
                       public std::enable_shared_from_this<caller_session>
{
  public:
    caller_session(tcp::socket socket, session_shared shared);
    ~caller_session() override;
    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;

    /// Serves requests until the connection ends.
    asio::awaitable<void> run();

    /// Ends the connection if it is between two requests. A request that has
    /// arrived already is served before, and a caller that has just connected
    /// may still send its first one.
    void end_if_idle();
    /// Ends it if no request has come since a moment. Returns whether it ends
    /// for that reason.
    bool end_if_idle_since(core::time_point latest);

    void deliver(decision what) override;
    [[nodiscard]] asio::any_io_executor executor() override;

  private:
    asio::awaitable<void> serve_all();
    asio::awaitable<bool> serve_one();
    /// Waits for the first bytes of a request; returns false if none come.
    asio::awaitable<bool> wait_for_request();
    /// Reads a request and answers it; returns whether another may follow.
    asio::awaitable<bool> read_and_handle();
    /// Answers a request that could not be read, unless the caller has closed
    /// the connection.
    asio::awaitable<void> refuse_unreadable(request_error reason,
                                            std::string detail);
    /// Calls `expired` after a time, unless the limit is lifted or replaced.
    void set_limit(std::chrono::milliseconds time,
                   std::function<void()> expired);
    void lift_limit();
    /// Frees what is held, for another connection.
    void on_evicted();
    asio::awaitable<bool> handle(caller_request request);
    asio::awaitable<bool> route(caller_request& request);
    asio::awaitable<bool> carry_out(const caller_request& request,
                                    const core::submission& wanted,
                                    core::service_kind kind,
                                    std::string target);
    asio::awaitable<decision> next_decision();
    asio::awaitable<void> watch_caller(std::uint64_t number);
    asio::awaitable<bool> answer_refusal(const core::refuse& answer);
    asio::awaitable<bool> answer_problem(core::refusal_reason reason,
                                         http::status status,
                                         const std::string& detail);
    asio::awaitable<bool> write(http::response<http::string_body> answer);
    void caller_gone();
    void end_waiting();

    beast::tcp_stream stream_;
    session_shared shared_;
    memory_share memory_;
    request_reader reader_;
    asio::steady_timer limit_;
    /// Detects an expiry that was queued before the limit was lifted.
    std::uint64_t limit_number_ = 0;
    asio::steady_timer decided_;
    std::optional<decision> decision_;
    std::uint64_t request_number_ = 0;
    core::request_id current_;
    endpoint_call* call_ = nullptr;
    bool watching_ = false;
    bool gone_ = false;
    bool keep_ = true;
    /// The answer to the present request ends with its header.
    bool is_head_ = false;
    /// The request has an idempotency key, under which it may have run before.
    bool has_key_ = false;
    /// The connection ends as soon as no request is at hand.
    bool ending_ = false;
    bool busy_ = false;
    bool first_request_ = true;
    core::time_point opened_at_;
    core::time_point idle_since_ = core::time_point::max();
};

} // namespace sycamorelock::adapters
