// What can be told of a socket without reading from it.
#pragma once

#include "http.hpp"

#include <poll.h>
#include <sys/ioctl.h>

namespace sycamorelock::adapters
{

/// What a look at the next byte of a socket shows.
enum class socket_state : std::uint8_t
{
    /// Open, and nothing to read.
    quiet,
    /// Bytes wait to be read.
    readable,
    /// The peer closed or reset it.
    ended,
};

inline std::string_view to_string(socket_state state)
{
    switch (state)
    {
    case socket_state::quiet:
        return "quiet";
    case socket_state::readable:
        return "readable";
    case socket_state::ended:
        return "ended";
    }
    return "unknown";
}

inline socket_state look_at(tcp::socket& socket)
{
    error_code error;
    if (!socket.non_blocking())
        socket.non_blocking(true, error);
    char byte = 0;
    const std::size_t size = socket.receive(
        asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    if (error == asio::error::would_block)
        return socket_state::quiet;
    return !error && size > 0 ? socket_state::readable : socket_state::ended;
}

/// Whether a connection that is being opened stands.
inline bool is_connected(tcp::socket& socket)
{
    pollfd state{socket.native_handle(), POLLOUT, 0};
    return poll(&state, 1, 0) > 0 && (state.revents & (POLLERR | POLLHUP)) == 0;
}

/// Whether a connection still has its peer. One that was reset has none, even
/// if another operation has taken the error.
inline bool has_peer(const tcp::socket& socket)
{
    error_code error;
    (void)socket.remote_endpoint(error);
    return !error;
}

/// Bytes written that the peer has not acknowledged. 0 if that cannot be told.
inline int unacknowledged_bytes(tcp::socket& socket)
{
    int bytes = 0;
    return ioctl(socket.native_handle(), TIOCOUTQ, &bytes) == 0 ? bytes : 0;
}

inline bool is_quiet(tcp::socket& socket)
{
    return look_at(socket) == socket_state::quiet;
}

} // namespace sycamorelock::adapters
