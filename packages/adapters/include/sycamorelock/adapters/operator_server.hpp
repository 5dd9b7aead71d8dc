// HTTP port for operators: metrics, status, explain, drain. Served on the
// control thread, so that it reads the state without locks.
#pragma once

#include "sycamorelock/adapters/control_plane.hpp"

#include <functional>
#include <memory>

namespace sycamorelock::adapters
{

class operator_server
{
  public:
    /// \param drain called when an operator asks for a graceful shutdown.
    /// \throws boost::system::system_error if the port cannot be listened on.
    operator_server(control_plane& control, std::function<void()> drain);
    ~operator_server();
    operator_server(const operator_server&) = delete;
    operator_server& operator=(const operator_server&) = delete;

    [[nodiscard]] std::uint16_t port() const;

  private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace sycamorelock::adapters
