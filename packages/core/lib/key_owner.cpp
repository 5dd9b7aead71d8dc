// Claims of idempotency keys.
#include "sycamorelock/core/key_owner.hpp"

#include <algorithm>

namespace sycamorelock::core
{

bool time_of_key(const idempotency_key& key, wall_time& made)
{
    static constexpr std::uint8_t version_seven = 0x70;
    if ((key.bytes[6] & 0xf0U) != version_seven)
        return false;
    std::int64_t milliseconds = 0;
    static constexpr std::size_t time_bytes = 6;
    for (std::size_t i = 0; i < time_bytes; ++i)
        milliseconds = milliseconds << 8 | key.bytes.at(i);
    made = wall_time(milliseconds);
    return true;
}

key_owner::key_owner(key_owner_options options, wall_time started)
    : options_(options), trusted_since_(started)
{
}

claim_verdict key_owner::claim_key(wall_time now, wall_time owned_since,
                                   const claim& wanted)
{
    const auto known = claims_.find(wanted.key);
    if (known != claims_.end())
    {
        const bool same = known->second == wanted.request;
        return same ? claim_verdict::granted : claim_verdict::duplicate;
    }
    wall_time made{0};
    if (!time_of_key(wanted.key, made))
        return claim_verdict::outside_memory;
    // An empty memory must not be mistaken for "never seen": only keys made
    // after every possible earlier owner had stopped can be new for certain.
    const wall_time trusted = std::max(trusted_since_, owned_since) +
                              options_.membership_lag + options_.clock_skew;
    if (made < trusted || made < now - options_.window)
        return claim_verdict::outside_memory;
    if (made > now + options_.clock_skew)
        return claim_verdict::outside_memory;
    if (claims_.size() >= options_.max_claims)
        return claim_verdict::table_full;
    claims_.emplace(wanted.key, wanted.request);
    order_.emplace_back(now, wanted.key);
    return claim_verdict::granted;
}

void key_owner::release(const claim_release& message)
{
    const auto known = claims_.find(message.key);
    if (known == claims_.end() || known->second != message.request)
        return;
    claims_.erase(known);
}

void key_owner::expire(wall_time now)
{
    // A key made up to `clock_skew` in the future stays acceptable that much
    // longer than the window, so its claim is kept for as long.
    const wall_time keep = options_.window + options_.clock_skew * 2;
    while (!order_.empty() && order_.front().first + keep < now)
    {
        claims_.erase(order_.front().second);
        order_.pop_front();
    }
}

} // namespace sycamorelock::core
