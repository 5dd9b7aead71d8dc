// Reads answers: one that ends with its connection is complete only if that
// ended in order.
#pragma once

#include "http.hpp"
#include "socket_state.hpp"

#include "sycamorelock/adapters/answer_error.hpp"
#include "sycamorelock/core/exchange_end.hpp"

namespace sycamorelock::adapters
{

/// Looks at a connection whose peer has ended its sending side.
inline core::connection_state state_after_end(tcp::socket& socket)
{
    return {.has_peer = has_peer(socket),
            .is_delivered = unacknowledged_bytes(socket) == 0};
}

/// Waits until it is certain whether the end of a connection, which a read has
/// just met, completes the answer.
asio::awaitable<error_code> await_completion(tcp::socket& socket,
                                             core::exchange_end& exchange);

} // namespace sycamorelock::adapters
