// Reads a caller's request from a connection.
#pragma once

#include "eager_io.hpp"

#include "../request_reading.hpp"

namespace sycamorelock::adapters::direct
{

/// Bytes of a request that are read at a time.
inline constexpr std::size_t request_read_size = 16 * 1024;

/// Feeds the parser with what was read already. Returns an error other than
/// that more is needed.
template <class Parser>
error_code parse_buffered(beast::flat_buffer& buffer, Parser& request)
{
    while (buffer.size() > 0 && !request.is_done())
    {
        error_code error;
        buffer.consume(request.put(buffer.data(), error));
        if (error == http::error::need_more)
            return {};
        if (error)
            return error;
    }
    return {};
}

/// The same as `read_request` over a socket that is read eagerly.
template <class Parser>
asio::awaitable<error_code>
read_message(tcp::socket& from, beast::flat_buffer& buffer, Parser& request)
{
    bool told = false;
    for (;;)
    {
        if (const error_code error = parse_buffered(buffer, request))
            co_return error;
        if (request.is_done())
            co_return error_code();
        if (!told && request.is_header_done() && waits_for_leave(request))
        {
            told = true;
            if (const error_code error = co_await write_eagerly(from, go_on))
                co_return error;
        }
        const error_code error =
            co_await read_eagerly(from, buffer, request_read_size);
        if (error == asio::error::eof)
            co_return request.got_some() ? http::error::partial_message
                                         : http::error::end_of_stream;
        if (error)
            co_return error;
    }
}

} // namespace sycamorelock::adapters::direct
