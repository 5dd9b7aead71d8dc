// Shares of a process's descriptors that its listeners may take.
#pragma once

#include <algorithm>
#include <cstddef>

namespace sycamorelock::adapters
{

/// Descriptors that this process may have open.
std::size_t descriptor_limit();

/// Connections of callers at the most. The other descriptors are for endpoints,
/// instances, pages and files.
constexpr std::size_t caller_connections(std::size_t descriptors)
{
    return descriptors / 5 * 4;
}

/// Connections of other instances at the most. A fleet of 370 instances, all of
/// which connect to each other, fits into 1,480 descriptors.
constexpr std::size_t peer_connections(std::size_t descriptors)
{
    return std::max<std::size_t>(descriptors / 4, 1);
}

/// Connections of readers of pages at the most, at one listener.
constexpr std::size_t page_connections(std::size_t descriptors)
{
    constexpr std::size_t enough = 64;
    constexpr std::size_t part = 16;
    return std::clamp<std::size_t>(descriptors / part, 1, enough);
}

} // namespace sycamorelock::adapters
