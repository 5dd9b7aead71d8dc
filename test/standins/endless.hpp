// Bytes without end, until the other side closes.
#pragma once

#include "http_server.hpp"

#include <atomic>

namespace standin
{

struct endless_bytes
{
    /// Sent once.
    std::string begin;
    /// Sent over and over; empty to send `begin` only.
    std::string again{};
};

/// Ends a stand-in that would otherwise send for ever.
inline constexpr std::size_t most_endless_bytes = 512UL * 1024 * 1024;

/// Sends until the other side closes, or the most bytes are sent.
/// \param sent takes the bytes as they are sent.
asio::awaitable<void> send_endlessly(beast::tcp_stream& stream,
                                     endless_bytes what,
                                     std::atomic<std::size_t>& sent);

} // namespace standin
