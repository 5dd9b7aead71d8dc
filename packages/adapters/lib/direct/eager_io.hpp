// Reads and writes that are tried at once and wait only if they must. An
// operation that is started and then completes costs a turn of the event loop
// and a system call more; most reads of a request and most writes need none.
#pragma once

#include "../http.hpp"

#include <boost/asio/write.hpp>

#include <string_view>

namespace sycamorelock::adapters::direct
{

/// Prepares a socket that was accepted or connected for the calls below.
inline void make_eager(tcp::socket& socket)
{
    error_code ignored;
    socket.non_blocking(true, ignored);
}

/// Writes everything. The bytes must live until the result is there.
inline asio::awaitable<error_code> write_eagerly(tcp::socket& to,
                                                 std::string_view bytes)
{
    error_code error;
    const std::size_t written =
        to.write_some(asio::buffer(bytes.data(), bytes.size()), error);
    if (error && error != asio::error::would_block)
        co_return error;
    if (written == bytes.size())
        co_return error_code();
    bytes.remove_prefix(written);
    auto [late, rest] = co_await asio::async_write(
        to, asio::buffer(bytes.data(), bytes.size()), as_result);
    co_return late;
}

/// Reads some bytes into a buffer; waits if there are none.
inline asio::awaitable<error_code>
read_eagerly(tcp::socket& from, beast::flat_buffer& buffer, std::size_t most)
{
    const auto space = buffer.prepare(most);
    error_code error;
    std::size_t size = from.read_some(space, error);
    if (error == asio::error::would_block)
    {
        auto [late, bytes] = co_await from.async_read_some(space, as_result);
        error = late;
        size = bytes;
    }
    buffer.commit(size);
    co_return error;
}

} // namespace sycamorelock::adapters::direct
