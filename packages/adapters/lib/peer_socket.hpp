// Options of the sockets between instances.
#pragma once

#include "http.hpp"

#include <netinet/tcp.h>

namespace sycamorelock::adapters
{

/// Makes calls return at once and sends small messages without delay. An option
/// that cannot be set costs no more than what it is for.
inline void prepare_peer_socket(tcp::socket& socket)
{
    error_code ignored;
    socket.non_blocking(true, ignored);
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
}

/// Lets the kernel end a connection that rests and whose peer has lost power,
/// within a minute. For receiving ends only: the end of a link's connection
/// means that the peer's process has ended, and a cut must not look like that.
inline void probe_resting_peer(tcp::socket& socket)
{
    using idle =
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using interval =
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using probes =
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    constexpr int idle_s = 30;
    constexpr int interval_s = 10;
    constexpr int most_probes = 3;

    error_code ignored;
    socket.set_option(idle(idle_s), ignored);
    socket.set_option(interval(interval_s), ignored);
    socket.set_option(probes(most_probes), ignored);
}

} // namespace sycamorelock::adapters
