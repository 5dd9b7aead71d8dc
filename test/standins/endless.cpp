// Writes in blocks, as fast as the other side takes them.
#include "endless.hpp"

#include <boost/asio/write.hpp>

namespace standin
{

asio::awaitable<void> send_endlessly(beast::tcp_stream& stream,
                                     endless_bytes what,
                                     std::atomic<std::size_t>& sent)
{
    static constexpr std::size_t block_size = 64 * 1024;
    std::string block;
    while (block.size() < block_size && !what.again.empty())
        block += what.again;
    std::string next = what.begin + block;
    for (std::size_t own = 0; own < most_endless_bytes;)
    {
        auto [error, bytes] =
            co_await asio::async_write(stream, asio::buffer(next), as_result);
        own += bytes;
        sent += bytes;
        if (error || block.empty())
            co_return;
        next = block;
    }
}

} // namespace standin
