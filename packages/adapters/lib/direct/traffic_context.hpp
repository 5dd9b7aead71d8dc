// What every session of the traffic thread shares.
#pragma once

#include "sycamorelock/adapters/direct/channel_pool.hpp"
#include "sycamorelock/adapters/direct/dialect.hpp"
#include "sycamorelock/adapters/direct/traffic_metrics.hpp"
#include "sycamorelock/adapters/direct/watchdog.hpp"
#include "sycamorelock/adapters/event_log.hpp"
#include "sycamorelock/core/direct/router.hpp"

#include <boost/asio/io_context.hpp>

namespace sycamorelock::adapters::direct
{

struct traffic_context
{
    boost::asio::io_context& io;
    core::direct::router& router;
    channel_pool& channels;
    watchdog& limits;
    direct_metrics& metrics;
    event_log& log;
    const dialect_table& dialect;
    /// A graceful shutdown has begun: answers end their connection.
    const bool& leaving;
    /// So many callers are connected that answers end their connection.
    const bool& crowded;
};

} // namespace sycamorelock::adapters::direct
