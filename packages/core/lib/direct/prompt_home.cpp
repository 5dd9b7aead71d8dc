// Rendezvous hashing. SHA-256, as for the owners of shards, takes 0.2 us for
// each candidate (docs/CAPACITY.md), and each decision ranks every engine.
#include "sycamorelock/core/direct/prompt_home.hpp"

namespace sycamorelock::core::direct
{

namespace
{

/// Spreads every bit of a number over all others (finalizer of MurmurHash3).
std::uint64_t mix(std::uint64_t value)
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
    static constexpr double range = 1.0 / 4294967296.0;
    const std::uint64_t mixed =
        mix(key ^ (std::uint64_t{engine.value()} << 32U | engine.value()));
    return static_cast<double>(mixed >> 32U) * range;
}

} // namespace sycamorelock::core::direct
