// Fault-injecting TCP proxy. A rule applies to the pair of the connecting IP
// address and the route, so that a partition can be set up by source.
#pragma once

#include "http_server.hpp"

#include <list>
#include <memory>
#include <mutex>

namespace standin
{

/// What happens to the bytes of a pair.
struct fault
{
    /// Existing connections are closed and new ones are closed at once.
    bool cut = false;
    /// Bytes of one direction, or both, vanish; connections stay open.
    bool drop_forward = false;
    bool drop_back = false;
    std::chrono::milliseconds delay{0};
    /// Connections are closed after this many bytes back; negative for never.
    long truncate_back = -1;
    /// The same for the bytes of the connecting side.
    long truncate_forward = -1;
};

class proxy
{
  public:
    proxy();
    ~proxy();

    /// Listens on an address and forwards to another; returns the address.
    std::string forward(const std::string& listen, const std::string& to);
    /// Sets the fault for connections from `source` over the route that
    /// listens on `route`; "*" stands for every source.
    void set(const std::string& source, const std::string& route, fault what);
    /// Removes every fault.
    void heal();

  private:
    struct link;
    asio::awaitable<void> accept_loop(std::shared_ptr<tcp::acceptor> acceptor,
                                      std::string route, tcp::endpoint to);
    asio::awaitable<void> connect(std::shared_ptr<link> made, tcp::endpoint to);
    asio::awaitable<void> pump(std::shared_ptr<link> made, bool back);
    fault fault_of(const std::string& source, const std::string& route);
    void cut_links();

    std::mutex mutex_;
    std::map<std::pair<std::string, std::string>, fault> faults_;
    std::list<std::weak_ptr<link>> links_;
    background runner_;
};

} // namespace standin
