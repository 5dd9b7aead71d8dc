// Small pages for the balancer and for operators.
#pragma once

#include "sycamorelock/adapters/event_log.hpp"
#include "sycamorelock/adapters/listener_metrics.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace sycamorelock::adapters::direct
{

/// What a page says.
struct page
{
    unsigned status = 200;
    std::string text;
};

struct page_server_options
{
    /// Name of the listener in the log and in the metrics.
    const char* name = "pages";
    /// Told of accepts that fail. May be missing.
    event_log* log = nullptr;
    /// Connections that may be open at once; beyond them, one without a request
    /// ends for each that comes.
    std::size_t most_connections = 64;
};

/// Serves GET requests on one address, on the thread of the io_context.
class page_server
{
  public:
    using reply = std::function<void(page)>;
    /// Called with the path; must call back once, on any thread.
    using handler = std::function<void(const std::string& path, reply done)>;

    /// \throws boost::system::system_error if the address cannot be listened
    /// on.
    page_server(boost::asio::io_context& io, const std::string& address,
                handler handle, const page_server_options& options = {});

    /// Any thread.
    [[nodiscard]] const listener_metrics& metrics() const;

  private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace sycamorelock::adapters::direct
