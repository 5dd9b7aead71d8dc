// Metrics of the memory for callers and of requests that cannot be read.
#pragma once

#include "sycamorelock/adapters/request_error.hpp"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>

namespace sycamorelock::adapters
{

/// Any thread.
struct caller_metrics
{
    /// In bytes.
    std::atomic<std::size_t> memory_limit{0};
    std::atomic<std::size_t> memory_used{0};
    /// Connections that were evicted for another one.
    std::atomic<std::uint64_t> evicted{0};
    /// Requests for memory that were not granted.
    std::atomic<std::uint64_t> memory_refused{0};
    /// Connections that ended by an unexpected error.
    std::atomic<std::uint64_t> sessions_failed{0};
    /// Requests that could not be read, by `request_error`.
    std::array<std::atomic<std::uint64_t>, request_error_count> unreadable{};

    void count(request_error reason)
    {
        ++unreadable.at(static_cast<std::size_t>(reason));
    }
};

/// Appends the metrics as Prometheus text.
void print(std::string& out, const caller_metrics& of);

} // namespace sycamorelock::adapters
