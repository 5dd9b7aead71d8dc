// What every session of the traffic thread shares.
#pragma once

#include "../memory_share.hpp"

#include "sycamorelock/adapters/direct/channel_pool.hpp"
#include "sycamorelock/adapters/direct/dialect.hpp"
#include "sycamorelock/adapters/direct/traffic_metrics.hpp"
#include "sycamorelock/adapters/direct/watchdog.hpp"
#include "sycamorelock/adapters/event_log.hpp"
#include "sycamorelock/core/direct/router.hpp"

#include <boost/asio/io_context.hpp>

#include <atomic>

namespace sycamorelock::adapters::direct
{

/// Age of what this instance knows of endpoints. The control thread tells it,
/// the traffic thread reads it.
class news_age
{
  public:
    void set_current_at(core::time_point at)
    {
        current_at_.store(at.time_since_epoch().count(),
                          std::memory_order_relaxed);
    }
    [[nodiscard]] core::duration at(core::time_point now) const
    {
        return now - core::time_point(core::duration(
                         current_at_.load(std::memory_order_relaxed)));
    }

  private:
    std::atomic<core::duration::rep> current_at_{0};
};

class termination_check;

struct traffic_context
{
    boost::asio::io_context& io;
    core::direct::router& router;
    channel_pool& channels;
    watchdog& limits;
    memory_pool& caller_memory;
    direct_metrics& metrics;
    event_log& log;
    const dialect_table& dialect;
    /// A graceful shutdown has begun: answers end their connection.
    const bool& leaving;
    /// Nothing new is taken any more: what is taken now may be cut.
    const bool& closing;
    /// When the process ends at the latest, once nothing new is taken.
    const core::time_point& ends_at;
    /// So many callers are connected that answers end their connection.
    const bool& crowded;
    const news_age& endpoint_news;
    termination_check& terminations;
};

} // namespace sycamorelock::adapters::direct
