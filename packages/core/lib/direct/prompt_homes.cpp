// Rendezvous hashing with a number of engines that follows the load. It does
// not use SHA-256, which selects the owners of shards: SHA-256 takes 0.2 us for
// each candidate (docs/CAPACITY.md), and each decision ranks every engine.
#include "sycamorelock/core/direct/prompt_homes.hpp"

namespace sycamorelock::core::direct
{

namespace
{

/// Minimum interval between two removals of unused prefixes.
constexpr duration sweep_period = std::chrono::seconds(5);
/// Prefixes below this load, in engine seconds per second, are removed.
constexpr double negligible_load = 0.01;
constexpr double ms_per_second = 1000;

/// Finalizer of MurmurHash3: each bit of the result depends on all bits of
/// `value`.
std::uint64_t mix_bits(std::uint64_t value)
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33U);
}

} // namespace

std::uint64_t shared_key(std::span<const prompt_part> parts)
{
    if (parts.empty())
        return 0;
    return parts.size() == 1 ? parts.front().key : parts[parts.size() - 2].key;
}

double shared_tokens(std::span<const prompt_part> parts)
{
    double tokens = 0;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i)
        tokens += parts[i].tokens;
    return tokens;
}

double rank_of(std::uint64_t key, endpoint_id engine)
{
    static constexpr double to_unit_interval = 1.0 / 4294967296.0;
    const std::uint64_t mixed =
        mix_bits(key ^ (std::uint64_t{engine.value()} << 32U | engine.value()));
    return static_cast<double>(mixed >> 32U) * to_unit_interval;
}

void prompt_homes::note(time_point now, std::uint64_t key,
                        double prefill_time_ms)
{
    load_[key].add(now, prefill_time_ms / ms_per_second);
}

std::size_t prompt_homes::count(time_point now, std::uint64_t key) const
{
    const auto found = load_.find(key);
    if (found == load_.end())
        return min_homes;
    return min_homes + static_cast<std::size_t>(found->second.rate_at(now) /
                                                max_load_per_home);
}

void prompt_homes::sweep(time_point now)
{
    if (now - swept_at_ < sweep_period)
        return;
    swept_at_ = now;
    std::erase_if(load_, [now](const auto& entry)
                  { return entry.second.rate_at(now) < negligible_load; });
}

} // namespace sycamorelock::core::direct
