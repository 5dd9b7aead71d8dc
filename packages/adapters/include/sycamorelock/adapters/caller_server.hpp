// HTTP/1.1 towards callers and endpoints.
#pragma once

#include "sycamorelock/adapters/control_plane.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <thread>
#include <vector>

namespace sycamorelock::adapters
{

/// Accepts callers and serves them on its traffic threads.
class caller_server
{
  public:
    /// \throws boost::system::system_error if the port cannot be listened on.
    explicit caller_server(control_plane& control);
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    void start();
    /// Takes the connections that wait to be accepted, and no more of them.
    /// Without descriptors that needs time.
    void close_listener();
    [[nodiscard]] bool listening() const;
    /// Ends connections without a request, unless they have just been opened.
    /// Others close after their current answer.
    void end_idle_connections();
    /// Ends the threads. Open connections are cut.
    void stop();
    [[nodiscard]] std::uint16_t port() const;
    /// Requests whose answer is not yet written out.
    [[nodiscard]] std::size_t busy() const;
    /// Connections from callers.
    [[nodiscard]] std::size_t open() const;

  private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace sycamorelock::adapters
