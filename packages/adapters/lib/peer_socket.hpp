// Options that both ends of a connection between instances set.
#pragma once

#include "http.hpp"

#include <netinet/tcp.h>

namespace sycamorelock::adapters
{

/// Makes calls return at once, sends small messages without delay, and lets the
/// kernel end a connection that rests and whose peer has lost power. While sent
/// bytes are not acknowledged no keepalive is sent, so such a connection lasts
/// until the kernel gives up or the link is dialled anew. Failures cost no more
/// than what the option is for.
inline void prepare_peer_socket(tcp::socket& socket)
{
    using seconds_option =
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using interval_option =
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using count_option =
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    constexpr int idle_s = 30;
    constexpr int interval_s = 10;
    constexpr int probes = 3;

    error_code ignored;
    socket.non_blocking(true, ignored);
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(seconds_option(idle_s), ignored);
    socket.set_option(interval_option(interval_s), ignored);
    socket.set_option(count_option(probes), ignored);
}

} // namespace sycamorelock::adapters
