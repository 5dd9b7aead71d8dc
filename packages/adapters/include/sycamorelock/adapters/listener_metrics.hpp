// Counters of the listeners, as Prometheus text.
#pragma once

#include <atomic>
#include <cstdint>
#include <initializer_list>
#include <string>

namespace sycamorelock::adapters
{

/// What one listener counts. Any thread.
struct listener_metrics
{
    /// Value of the label `listener`.
    const char* name;
    /// Times that a connection could not be accepted.
    std::atomic<std::uint64_t> accept_failures{0};
    /// Connections without a request that were closed for want of room.
    std::atomic<std::uint64_t> closed_for_room{0};
};

/// Appends the counters of an instance's listeners.
void print(std::string& out,
           std::initializer_list<const listener_metrics*> listeners);

} // namespace sycamorelock::adapters
