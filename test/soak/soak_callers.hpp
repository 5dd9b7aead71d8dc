// Callers of the soak: they keep using open connections until the process on
// the other side ends them, and record everything.
#pragma once

#include "direct_fleet.hpp"
#include "soak_rotation.hpp"

#include <atomic>
#include <mutex>
#include <random>

namespace soak
{

using clock = std::chrono::steady_clock;

struct record
{
    standin::direct_call call;
    standin::direct_answer got;
    std::size_t instance = 0;
    clock::time_point start;
    clock::time_point end;
    /// The connection had served a request before.
    bool reused = false;
};

class callers
{
  public:
    callers(standin::direct_fleet& fleet, const rotation& balancer,
            std::size_t instances, std::size_t count, std::uint64_t seed);
    ~callers();

    /// Lets open requests end and returns all records.
    std::vector<record> stop();

  private:
    standin::asio::awaitable<void> run(std::size_t number);
    standin::asio::awaitable<bool> ask_once(standin::beast::tcp_stream& stream,
                                            std::size_t instance, bool reused);
    std::size_t pick(std::size_t number);

    standin::direct_fleet& fleet_;
    const rotation& balancer_;
    std::size_t instances_;
    std::atomic<bool> stop_{false};
    std::atomic<std::size_t> running_{0};
    std::mt19937_64 random_;
    std::mutex mutex_;
    std::vector<record> records_;
    standin::background runner_;
};

/// Routes of the test fleet, see `direct_fleet::publish`.
struct route_facts
{
    std::string path;
    bool once = false;
    bool streamed = false;
    int most_runs = 1;
    std::chrono::milliseconds timeout{0};
};
const route_facts& facts_of(const std::string& path);

} // namespace soak
