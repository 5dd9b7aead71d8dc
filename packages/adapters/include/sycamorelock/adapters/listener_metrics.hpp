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
    /// Attempts to accept that failed, as when no descriptor is free.
    std::atomic<std::uint64_t> accept_failures{0};
};

/// Appends the counters of an instance's listeners.
void print(std::string& out,
           std::initializer_list<const listener_metrics*> listeners);

} // namespace sycamorelock::adapters
