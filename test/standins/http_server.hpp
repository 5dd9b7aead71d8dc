// A small HTTP server on a thread of its own, for the stand-ins.
#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <thread>

namespace standin
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;
using request = http::request<http::string_body>;
using response = http::response<http::string_body>;

inline constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// The endpoint that an "IP:port" names.
tcp::endpoint endpoint_of(const std::string& address);

/// Value of `name` in the query of a target; empty if absent.
std::string query_value(const std::string& target, const std::string& name);
/// The same as a number; `fallback` if absent.
long query_number(const std::string& target, const std::string& name,
                  long fallback);

response make_response(http::status status, std::string body);

/// Owns the thread and the io_context of a stand-in.
class background
{
  public:
    background();
    ~background();
    background(const background&) = delete;
    background& operator=(const background&) = delete;
    asio::io_context& context() { return context_; }
    /// Runs a function on the thread and waits for its end.
    void run(const std::function<void()>& work);
    /// Ends the thread. Called first by destructors of users.
    void stop();

  private:
    asio::io_context context_{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard_;
    std::thread thread_;
};

/// Runs a coroutine to its end on this thread.
void run_to_end(asio::awaitable<void> work);

asio::awaitable<void> sleep_for(std::chrono::microseconds length);

class http_server
{
  public:
    /// Answers one request; returns whether the connection may go on.
    using handler =
        std::function<asio::awaitable<bool>(beast::tcp_stream&, request)>;

    http_server(background& runner, const std::string& address, handler answer);
    [[nodiscard]] std::string address() const { return address_; }

    /// Closes all connections and refuses new ones, as if the process had
    /// crashed. Thread of the runner.
    void crash();
    /// Listens at the same address again. Thread of the runner.
    void listen_again();

  private:
    void listen(const tcp::endpoint& at);
    asio::awaitable<void> accept_loop();
    asio::awaitable<void> serve(beast::tcp_stream stream);

    background& runner_;
    tcp::acceptor acceptor_;
    handler answer_;
    std::string address_;
    std::set<beast::tcp_stream*> open_;
};

asio::awaitable<bool> write(beast::tcp_stream& stream, response answer,
                            const request& asked);

} // namespace standin
