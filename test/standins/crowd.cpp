// One coroutine writes and one reads for each connection.
#include "crowd.hpp"

#include <boost/asio/write.hpp>

#include <array>
#include <memory>

namespace standin
{

namespace
{

struct member
{
    member(asio::io_context& io, const crowd_script& what)
        : stream(io), script(what)
    {
    }
    beast::tcp_stream stream;
    const crowd_script& script;
};

asio::awaitable<bool> send_all(beast::tcp_stream& to, const std::string& bytes)
{
    auto [error, sent] =
        co_await asio::async_write(to, asio::buffer(bytes), as_result);
    co_return !error;
}

asio::awaitable<bool> send_repeated(beast::tcp_stream& to,
                                    const crowd_script& script)
{
    static constexpr std::size_t block_size = 64 * 1024;
    std::string block;
    while (!script.again.empty() && block.size() < block_size)
        block += script.again;
    std::size_t left = script.again.empty() ? 0 : script.repeated_bytes;
    left -= left % std::max<std::size_t>(1, script.again.size());
    while (left > 0)
    {
        block.resize(std::min(block.size(), left));
        left -= block.size();
        if (!co_await send_all(to, block))
            co_return false;
    }
    co_return true;
}

asio::awaitable<void> send_script(std::shared_ptr<member> self)
{
    const crowd_script& script = self->script;
    if (!co_await send_all(self->stream, script.begin))
        co_return;
    if (!co_await send_repeated(self->stream, script))
        co_return;
    if (script.byte_gap.count() == 0)
    {
        co_await send_all(self->stream, script.end);
        co_return;
    }
    for (const char each : script.end)
    {
        co_await sleep_for(script.byte_gap);
        if (!co_await send_all(self->stream, std::string(1, each)))
            co_return;
    }
}

asio::awaitable<void> read_to_end(std::shared_ptr<member> self)
{
    std::array<char, 4096> piece;
    for (;;)
    {
        auto [error, size] = co_await self->stream.async_read_some(
            asio::buffer(piece), as_result);
        if (error)
            break;
    }
    self->stream.close();
}

asio::awaitable<void> play(std::shared_ptr<member> self, tcp::endpoint to,
                           std::chrono::steady_clock::time_point end)
{
    self->stream.expires_at(end);
    auto [unconnected] = co_await self->stream.async_connect(to, as_result);
    if (unconnected)
        co_return;
    const auto executor = co_await asio::this_coro::executor;
    asio::co_spawn(
        executor, [self] { return send_script(self); }, asio::detached);
    if (self->script.reads)
        co_return co_await read_to_end(self);
    asio::steady_timer leaving(executor, end);
    co_await leaving.async_wait(as_result);
    self->stream.close();
}

} // namespace

void play_crowd(const std::string& address,
                const std::vector<crowd_script>& scripts,
                std::chrono::milliseconds patience)
{
    asio::io_context io;
    const tcp::endpoint to = endpoint_of(address);
    const auto end = std::chrono::steady_clock::now() + patience;
    for (const crowd_script& each : scripts)
    {
        const auto made = std::make_shared<member>(io, each);
        asio::co_spawn(
            io, [made, to, end] { return play(made, to, end); },
            asio::detached);
    }
    io.run();
}

void play_crowd(const std::string& address, const crowd_script& script,
                std::size_t connections, std::chrono::milliseconds patience)
{
    play_crowd(address, std::vector(connections, script), patience);
}

} // namespace standin
