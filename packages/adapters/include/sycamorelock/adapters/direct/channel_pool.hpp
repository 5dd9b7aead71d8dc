// Connections to endpoints, kept for reuse.
#pragma once

#include "sycamorelock/core/strong_types.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <map>
#include <memory>
#include <vector>

namespace sycamorelock::adapters::direct
{

/// A connection to an endpoint. It carries one request at a time.
struct endpoint_channel
{
    /// \param max_unparsed bytes that the buffer holds at most.
    endpoint_channel(boost::asio::io_context& context, std::size_t max_unparsed)
        : socket(context), buffer(max_unparsed)
    {
    }

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    /// The endpoint may close it from this time on if it stays idle.
    core::time_point idle_until;
    bool reused = false;
};

class channel_pool
{
  public:
    /// More idle connections than this to one endpoint are closed: the
    /// endpoint's limit is shared by all instances.
    static constexpr std::size_t max_idle = 24;

    /// A connection that is open and has nothing unread, or none.
    std::unique_ptr<endpoint_channel> take(core::time_point now,
                                           core::endpoint_id endpoint);
    void give(core::endpoint_id endpoint,
              std::unique_ptr<endpoint_channel> channel);
    /// Closes connections that were idle for too long or whose endpoint is not
    /// listed any more.
    template <class Listed>
    void sweep(core::time_point now, const Listed& is_listed)
    {
        for (auto it = idle_.begin(); it != idle_.end();)
        {
            auto& list = it->second;
            std::erase_if(list, [now](const auto& channel)
                          { return channel->idle_until <= now; });
            const bool done = list.empty() || !is_listed(it->first);
            it = done ? idle_.erase(it) : std::next(it);
        }
    }
    [[nodiscard]] std::size_t idle() const;

  private:
    std::map<core::endpoint_id, std::vector<std::unique_ptr<endpoint_channel>>>
        idle_;
};

} // namespace sycamorelock::adapters::direct
