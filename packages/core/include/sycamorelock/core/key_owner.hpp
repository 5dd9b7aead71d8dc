// Table of claimed idempotency keys at their owner. It prevents a request that
// must run at most once from running again through another instance.
#pragma once

#include "sycamorelock/core/messages.hpp"

#include <deque>
#include <map>

namespace sycamorelock::core
{

struct key_owner_options
{
    /// Maximum age of a key that can be claimed. A claim is kept for this time
    /// plus twice the clock skew.
    wall_time window = std::chrono::minutes(15);
    /// Maximum time for which the member lists of two instances may differ.
    wall_time membership_lag = std::chrono::seconds(5);
    /// Maximum difference between the clocks of callers and instances.
    wall_time clock_skew = std::chrono::seconds(2);
    /// Limits the claims that are kept; new keys are refused beyond it.
    std::size_t max_claims = 100000;
};

/// Reads the creation time of a UUIDv7 (RFC 9562, section 5.7). Returns false
/// and leaves `created` unchanged if the version field is not 7.
bool key_creation_time(const idempotency_key& key, wall_time& created);

/// Grants each idempotency key to at most one request.
class key_owner
{
  public:
    key_owner(key_owner_options options, wall_time started);

    /// Decides on a claim for a key that this instance has owned without
    /// interruption since `owned_since`. A repeated claim by the request that
    /// holds the key is granted again.
    claim_verdict claim_key(wall_time now, wall_time owned_since,
                            const claim& message);

    /// Removes the claim of a request that was never sent to an endpoint.
    void release(const claim_release& message);

    /// Keeps all claims, but grants no new key created before `now`. Called
    /// after the process was suspended, because another instance may have owned
    /// its keys meanwhile.
    void reset_trusted_since(wall_time now) { trusted_since_ = now; }

    /// Removes claims whose keys are too old to be claimed again.
    void expire(wall_time now);
    [[nodiscard]] std::size_t size() const { return claims_.size(); }

  private:
    key_owner_options options_;
    /// Start of the process or end of its last suspension. Claims of keys
    /// created before may be missing from the table.
    wall_time trusted_since_;
    std::map<idempotency_key, request_id> claims_;
    /// Keys by the time of their claim, including released ones.
    std::deque<std::pair<wall_time, idempotency_key>> order_;
};

} // namespace sycamorelock::core
