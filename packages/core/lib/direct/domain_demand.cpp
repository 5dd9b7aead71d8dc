// Expected requests with a prefix from decaying counts.
#include "sycamorelock/core/direct/domain_demand.hpp"

#include <algorithm>
#include <cmath>

namespace sycamorelock::core::direct
{

namespace
{

constexpr duration sweep_period = std::chrono::seconds(5);
/// Prefixes below this count are removed.
constexpr double negligible_count = 0.05;
/// Weight of an even division among instances, in requests of the fleet. One
/// instance sees too few requests to tell its domain's part at once.
constexpr double prior_requests = 100;

} // namespace

double decaying_count::at(time_point now) const
{
    const std::chrono::duration<double> age = now - at_;
    const std::chrono::duration<double> constant = time_constant;
    return value_ * std::exp(-std::max(0.0, age / constant));
}

void domain_demand::set_instances(std::size_t here, std::size_t everywhere)
{
    here_ = std::max<std::size_t>(here, 1);
    everywhere_ = std::max(here_, everywhere);
}

void domain_demand::note(time_point now, std::uint64_t key)
{
    all_.add(now);
    by_key_[key].add(now);
}

double domain_demand::part_of_domain(time_point now) const
{
    const auto here = static_cast<double>(here_);
    const double even = here / static_cast<double>(everywhere_);
    return std::min(1.0, (own_.at(now) * here + even * prior_requests) /
                             (all_.at(now) + prior_requests));
}

double domain_demand::expected_requests(time_point now, std::uint64_t key,
                                        duration within) const
{
    const auto known = by_key_.find(key);
    if (known == by_key_.end())
        return 0;
    const std::chrono::duration<double> time = within;
    const std::chrono::duration<double> constant =
        decaying_count::time_constant;
    return known->second.at(now) * (time / constant) * part_of_domain(now);
}

void domain_demand::sweep(time_point now)
{
    if (now - swept_at_ < sweep_period)
        return;
    swept_at_ = now;
    std::erase_if(by_key_, [now](const auto& entry)
                  { return entry.second.at(now) < negligible_count; });
}

} // namespace sycamorelock::core::direct
