// Stand-in for an endpoint that answers with any bytes, also before it has read
// the request, and ends its connections in any way.
#pragma once

#include "direct_fleet.hpp"

#include <array>
#include <chrono>
#include <functional>
#include <mutex>

namespace standin
{

/// What becomes of a connection after the bytes of an answer.
enum class connection_fate : std::uint8_t
{
    reset,
    /// Closed while a part of the request is unread, which resets it as well.
    closed_unread,
    /// Its sending side is closed, and it is reset, like that of a process that
    /// ends with nothing unread while the request still comes.
    closed_then_reset,
    /// The rest of the request is read, and it is closed.
    closed,
    /// Its sending side is closed, and the rest of the request is read.
    half_closed,
    /// The rest of the request is read, and it stays open.
    kept,
};

struct raw_request
{
    std::string attempt_id;
    long last_event = 0;
};

struct raw_answer
{
    std::string bytes;
    connection_fate fate = connection_fate::closed;
    /// Bytes of the request's body that are read before the answer.
    std::size_t read_before = 1000;
    /// From the answer to the end of the connection.
    std::chrono::milliseconds pause{0};
};

class raw_endpoint
{
  public:
    using handler = std::function<raw_answer(const raw_request&)>;

    explicit raw_endpoint(handler answer);
    ~raw_endpoint();

    [[nodiscard]] const std::string& address() const { return address_; }
    /// Requests that were answered.
    [[nodiscard]] int answered(const std::string& attempt_id) const;

  private:
    asio::awaitable<void> accept_loop();
    asio::awaitable<void> serve(beast::tcp_stream stream);
    /// Serves one request; returns whether the connection stays open.
    asio::awaitable<bool> serve_one(beast::tcp_stream& stream,
                                    beast::flat_buffer& buffer);

    handler answer_;
    mutable std::mutex mutex_;
    std::map<std::string, int> answered_;
    std::string address_;
    background runner_;
    tcp::acceptor acceptor_;
};

/// A service of two raw endpoints, which `direct_plan::others` lists.
class raw_service
{
  public:
    /// \param name of the service, also in the names of its endpoints.
    raw_service(std::string name, const raw_endpoint::handler& answer);

    /// One instance before these services and no other endpoints.
    static direct_plan
    plan_of(std::initializer_list<const raw_service*> services);

    /// Requests that were answered, at both endpoints.
    [[nodiscard]] int answered(const std::string& attempt_id) const;

  private:
    std::string name_;
    std::array<raw_endpoint, 2> endpoints_;
};

} // namespace standin
