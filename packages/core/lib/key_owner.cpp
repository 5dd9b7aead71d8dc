// Claims of idempotency keys.
#include "sycamorelock/core/key_owner.hpp"

#include <algorithm>

namespace sycamorelock::core
{

bool key_creation_time(const idempotency_key& key, wall_time& created)
{
    static constexpr std::uint8_t version_seven = 0x70;
    if ((key.bytes[6] & 0xf0U) != version_seven)
        return false;
    std::int64_t milliseconds = 0;
    static constexpr std::size_t time_bytes = 6;
    for (std::size_t i = 0; i < time_bytes; ++i)
        milliseconds = milliseconds << 8 | key.bytes.at(i);
    created = wall_time(milliseconds);
    return true;
}

key_owner::key_owner(key_owner_options options, wall_time started)
    : options_(options), trusted_since_(started)
{
}

claim_verdict key_owner::claim_key(wall_time now, wall_time owned_since,
                                   const claim& message)
{
    const auto found = claims_.find(message.key);
    if (found != claims_.end())
    {
        const bool same = found->second == message.request;
        return same ? claim_verdict::granted : claim_verdict::duplicate;
    }
    wall_time created{0};
    if (!key_creation_time(message.key, created))
        return claim_verdict::outside_memory;
    // A key that is missing from this table may have been claimed at an earlier
    // owner or before this process started. Only a key created after every
    // earlier owner has stopped granting claims is certainly new.
    const wall_time trusted = std::max(trusted_since_, owned_since) +
                              options_.membership_lag + options_.clock_skew;
    if (created < trusted || created < now - options_.window)
        return claim_verdict::outside_memory;
    if (created > now + options_.clock_skew)
        return claim_verdict::outside_memory;
    if (claims_.size() >= options_.max_claims)
        return claim_verdict::table_full;
    claims_.emplace(message.key, message.request);
    order_.emplace_back(now, message.key);
    return claim_verdict::granted;
}

void key_owner::release(const claim_release& message)
{
    const auto found = claims_.find(message.key);
    if (found == claims_.end() || found->second != message.request)
        return;
    claims_.erase(found);
}

void key_owner::expire(wall_time now)
{
    // A key whose creation time lies up to `clock_skew` in the future can be
    // claimed for that much longer than the window, so its claim is kept
    // longer, too.
    const wall_time keep = options_.window + options_.clock_skew * 2;
    while (!order_.empty() && order_.front().first + keep < now)
    {
        claims_.erase(order_.front().second);
        order_.pop_front();
    }
}

} // namespace sycamorelock::core
