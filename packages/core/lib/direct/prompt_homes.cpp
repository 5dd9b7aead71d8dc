// Rendezvous hashing with as many engines as the demand needs.
#include "sycamorelock/core/direct/prompt_homes.hpp"

#include <algorithm>

namespace sycamorelock::core::direct
{

namespace
{

/// How often forgotten prompts are looked for.
constexpr duration sweep_period = std::chrono::seconds(5);
/// Load of a prompt that may be forgotten: a hundredth of an engine.
constexpr double negligible = 0.01;
constexpr double ms_per_second = 1000;

} // namespace

void prompt_homes::note(time_point now, std::uint64_t key, double read_ms)
{
    load_[key].add(now, read_ms / ms_per_second);
}

std::size_t prompt_homes::count(time_point now, std::uint64_t key) const
{
    const auto found = load_.find(key);
    if (found == load_.end())
        return least_homes;
    return least_homes +
           static_cast<std::size_t>(found->second.rate_at(now) / load_of_home);
}

void prompt_homes::sweep(time_point now)
{
    if (now - swept_at_ < sweep_period)
        return;
    swept_at_ = now;
    std::erase_if(load_, [now](const auto& entry)
                  { return entry.second.rate_at(now) < negligible; });
}

std::vector<endpoint_id> highest_ranked(std::uint64_t key,
                                        std::vector<endpoint_id> engines,
                                        std::size_t count)
{
    struct ranked
    {
        double rank;
        endpoint_id engine;
    };
    std::vector<ranked> order;
    order.reserve(engines.size());
    for (const endpoint_id engine : engines)
        order.push_back({rank_of(key, engine), engine});
    const std::size_t kept = std::min(count, order.size());
    std::partial_sort(
        order.begin(), order.begin() + static_cast<std::ptrdiff_t>(kept),
        order.end(),
        [](const ranked& a, const ranked& b) { return a.rank > b.rank; });
    engines.clear();
    for (std::size_t i = 0; i < kept; ++i)
        engines.push_back(order[i].engine);
    return engines;
}

} // namespace sycamorelock::core::direct
