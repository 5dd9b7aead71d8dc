// What a refused request costs an instance: fills all engines with streams that
// do not end, then sends requests on new connections for some seconds and reads
// the processor time of the instance.
#include "direct_fleet.hpp"

#include <cxxopts.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <fstream>
#include <iostream>
#include <thread>

#include <unistd.h>

namespace
{

using namespace standin;

constexpr std::size_t slots_of_engine = 8;

struct processor_time
{
    double user = 0;
    double kernel = 0;
};

processor_time time_of(pid_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
    std::string skipped;
    static constexpr int fields_before = 13;
    for (int i = 0; i < fields_before; ++i)
        in >> skipped;
    double user = 0;
    double kernel = 0;
    in >> user >> kernel;
    const auto ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
    return {user / ticks, kernel / ticks};
}

direct_call large_request(direct_fleet& fleet, std::size_t body_bytes)
{
    direct_call made = fleet.make_call(0);
    made.time_left_ms = 4000;
    made.body = std::string(body_bytes, 'x');
    describe_prompt(made, 13300, 3720, 400);
    return made;
}

asio::awaitable<void> hold_stream(direct_call what)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_never();
    auto [error] =
        co_await stream.async_connect(endpoint_of(what.to), as_result);
    direct_answer got;
    if (!error)
        co_await ask_over(stream, std::move(what), got);
}

struct flood_count
{
    unsigned refused = 0;
    unsigned others = 0;
};

asio::awaitable<void> send_requests(direct_fleet& fleet, std::size_t body_bytes,
                                    std::chrono::steady_clock::time_point until,
                                    flood_count& count)
{
    while (std::chrono::steady_clock::now() < until)
    {
        beast::tcp_stream stream(co_await asio::this_coro::executor);
        stream.expires_after(std::chrono::seconds(5));
        const direct_call asked = large_request(fleet, body_bytes);
        auto [error] =
            co_await stream.async_connect(endpoint_of(asked.to), as_result);
        direct_answer got;
        if (!error)
            co_await ask_over(stream, asked, got);
        ++(got.status == 503 ? count.refused : count.others);
    }
}

void run(std::size_t engines, int seconds, int callers, std::size_t body_bytes)
{
    direct_plan plan;
    plan.instances = 1;
    plan.engines = engines;
    plan.events = 1000;
    plan.gap = std::chrono::milliseconds(200);
    direct_fleet fleet(plan);
    asio::io_context io;
    for (std::size_t i = 0; i < engines * slots_of_engine; ++i)
    {
        direct_call held = fleet.make_call(0);
        held.time_left_ms = 60000;
        asio::co_spawn(io, hold_stream(held), asio::detached);
    }
    io.run_for(std::chrono::seconds(2));
    flood_count count;
    const auto until =
        std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    const processor_time before = time_of(fleet.at(0).pid);
    for (int i = 0; i < callers; ++i)
        asio::co_spawn(io, send_requests(fleet, body_bytes, until, count),
                       asio::detached);
    io.run_until(until);
    const processor_time after = time_of(fleet.at(0).pid);
    const double each = 1e6 / std::max(1U, count.refused);
    std::cout << count.refused << " refused, " << count.others
              << " others; us a refusal: " << (after.user - before.user) * each
              << " user, " << (after.kernel - before.kernel) * each
              << " kernel\n";
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("flood", "Costs of refused requests");
    auto add = options.add_options();
    add("engines", "engines listed",
        cxxopts::value<std::size_t>()->default_value("20"));
    add("seconds", "time to send", cxxopts::value<int>()->default_value("2"));
    add("callers", "requests at a time",
        cxxopts::value<int>()->default_value("4"));
    add("body", "bytes of a request",
        cxxopts::value<std::size_t>()->default_value("17000"));
    add("help", "this text");
    try
    {
        const auto given = options.parse(argc, argv);
        if (given.count("help") > 0)
        {
            std::cout << options.help();
            return 0;
        }
        run(given["engines"].as<std::size_t>(), given["seconds"].as<int>(),
            given["callers"].as<int>(), given["body"].as<std::size_t>());
        return 0;
    }
    catch (const std::exception& error)
    {
        std::cerr << "flood: " << error.what() << '\n';
        return 1;
    }
}
