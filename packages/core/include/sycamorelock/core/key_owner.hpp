// Remembers which idempotency keys were claimed, so that a request that may run
// once is not run again through another instance.
#pragma once

#include "sycamorelock/core/messages.hpp"

#include <deque>
#include <map>

namespace sycamorelock::core
{

struct key_owner_options
{
    /// How long a key is remembered, and how old a key may be.
    wall_time window = std::chrono::minutes(15);
    /// Longest time by which two instances' member lists may differ.
    wall_time membership_lag = std::chrono::seconds(5);
    /// Largest difference between the clocks of callers and instances.
    wall_time clock_skew = std::chrono::seconds(2);
    std::size_t max_claims = 100000;
};

/// Time at which a UUIDv7 was made; nothing if the bytes are no UUIDv7.
bool time_of_key(const idempotency_key& key, wall_time& made);

class key_owner
{
  public:
    key_owner(key_owner_options options, wall_time started);

    /// Decides on a claim for a key owned without a gap since `owned_since`.
    /// Repeating a granted claim for the same request is granted again.
    claim_verdict claim_key(wall_time now, wall_time owned_since,
                            const claim& wanted);

    /// Frees a key whose request was never sent.
    void release(const claim_release& message);

    /// Forgets nothing, but trusts the memory only from now on. Called when the
    /// process was suspended and others may have taken its place.
    void restart(wall_time now) { trusted_since_ = now; }

    void expire(wall_time now);
    [[nodiscard]] std::size_t size() const { return claims_.size(); }

  private:
    key_owner_options options_;
    wall_time trusted_since_;
    std::map<idempotency_key, request_id> claims_;
    std::deque<std::pair<wall_time, idempotency_key>> order_;
};

} // namespace sycamorelock::core
