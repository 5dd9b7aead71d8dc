// Closed loops over kept connections.
#include "soak_callers.hpp"

#include <array>
#include <thread>

namespace soak
{

using namespace standin;
using std::chrono::milliseconds;

namespace
{

/// Pause of a caller between two requests.
constexpr milliseconds longest_pause{120};
constexpr milliseconds connect_limit{1000};
/// A caller waits a little longer than the longest time limit of a route.
constexpr milliseconds patience{7000};
/// Requests over one connection before the caller opens another.
constexpr int requests_a_connection = 12;

const std::array<route_facts, 4> routes{{
    {"/plan/x", false, true, 2, milliseconds(4000)},
    {"/draft/x", true, true, 1, milliseconds(4000)},
    {"/look/x", false, false, 2, milliseconds(1500)},
    {"/order/x", true, false, 1, milliseconds(1500)},
}};

} // namespace

const route_facts& facts_of(const std::string& path)
{
    for (const route_facts& each : routes)
    {
        if (each.path == path)
            return each;
    }
    throw std::logic_error("no such route: " + path);
}

callers::callers(direct_fleet& fleet, const rotation& balancer,
                 std::size_t instances, std::size_t count, std::uint64_t seed)
    : fleet_(fleet), balancer_(balancer), instances_(instances), random_(seed)
{
    running_ = count;
    for (std::size_t i = 0; i < count; ++i)
        asio::co_spawn(runner_.context(), run(i), asio::detached);
}

callers::~callers()
{
    stop_ = true;
    runner_.stop();
}

std::vector<record> callers::stop()
{
    stop_ = true;
    eventually([this] { return running_ == 0; }, 2 * patience);
    const std::lock_guard lock(mutex_);
    return records_;
}

std::size_t callers::pick(std::size_t number)
{
    const std::size_t count = instances_;
    const std::size_t first =
        std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
    for (std::size_t i = 0; i < count; ++i)
    {
        const std::size_t at = (first + i) % count;
        if (balancer_.has(at))
            return at;
    }
    return number % count;
}

asio::awaitable<void> callers::run(std::size_t number)
{
    while (!stop_)
    {
        const std::size_t instance = pick(number);
        const bool was_in = balancer_.has(instance);
        beast::tcp_stream stream(co_await asio::this_coro::executor);
        stream.expires_after(connect_limit);
        auto [unconnected] = co_await stream.async_connect(
            endpoint_of(fleet_.at(instance).caller_address()), as_result);
        // This thread was late: a balancer connects when it picks.
        if (was_in && !balancer_.has(instance))
            continue;
        int served = 0;
        while (!unconnected && !stop_ && served < requests_a_connection &&
               co_await ask_once(stream, instance, served > 0))
            ++served;
        std::uniform_int_distribution<long> pause(1, longest_pause.count());
        co_await sleep_for(milliseconds(pause(random_)));
    }
    --running_;
}

asio::awaitable<bool> callers::ask_once(beast::tcp_stream& stream,
                                        std::size_t instance, bool reused)
{
    std::uniform_int_distribution<std::size_t> way(0, routes.size() - 1);
    record made;
    {
        const std::lock_guard lock(mutex_);
        made.call = fleet_.make_call(instance, routes.at(way(random_)).path);
    }
    made.instance = instance;
    made.reused = reused;
    made.start = clock::now();
    stream.expires_after(patience);
    const bool keep = co_await ask_over(stream, made.call, made.got);
    made.end = clock::now();
    {
        const std::lock_guard lock(mutex_);
        records_.push_back(made);
    }
    std::uniform_int_distribution<long> pause(1, longest_pause.count());
    co_await sleep_for(milliseconds(pause(random_)));
    co_return keep;
}

} // namespace soak
