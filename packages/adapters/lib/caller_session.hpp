// One caller's connection.
#pragma once

#include "endpoint_call.hpp"

#include <atomic>
#include <memory>
#include <optional>

namespace sycamorelock::adapters
{

/// State shared by the sessions of one traffic thread, and the count of
/// unfinished requests of the server.
struct session_shared
{
    control_plane& control;
    connection_pool& pool;
    std::atomic<std::size_t>& busy;
};

class caller_session : public request_waiter,
                       public std::enable_shared_from_this<caller_session>
{
  public:
    caller_session(tcp::socket socket, session_shared shared);

    /// Serves requests until the connection ends.
    asio::awaitable<void> run();

    void deliver(decision what) override;
    [[nodiscard]] asio::any_io_executor executor() override;

  private:
    using parser = http::request_parser<http::string_body>;

    asio::awaitable<bool> serve_one();
    asio::awaitable<bool> read(parser& request);
    asio::awaitable<void> answer_unreadable(error_code error, bool timed_out);
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

    beast::tcp_stream stream_;
    session_shared shared_;
    beast::flat_buffer buffer_;
    asio::steady_timer decided_;
    std::optional<decision> decision_;
    std::uint64_t request_number_ = 0;
    core::request_id current_;
    endpoint_call* call_ = nullptr;
    bool watching_ = false;
    bool gone_ = false;
    bool keep_ = true;
};

} // namespace sycamorelock::adapters
