// Limits as fractions of the tightest objective of the service.
#include "sycamorelock/core/direct/admission.hpp"

#include <algorithm>

namespace sycamorelock::core::direct
{

namespace
{

/// Longest allowed wait for earlier prompts, as a fraction of the tightest
/// objective of the service. The first applies to accounts within the share
/// that operators grant them, the second to accounts beyond it that have
/// consumed at most their fair part of the engines' throughput. The second is
/// small, so that consumption beyond the granted share hardly delays others.
constexpr double max_wait_within_share = 0.6;
constexpr double max_wait_beyond_share = 0.15;
constexpr double max_wait_far_beyond_share = -0.01;

} // namespace

double
uniform_admission::max_wait_fraction(const account_standing& standing) const
{
    if (standing.owed <= 1 || !mechanisms_.is_enabled(mechanism::fair_shares))
        return max_wait_within_share;
    if (!mechanisms_.is_enabled(mechanism::far_beyond))
        return max_wait_beyond_share;
    const double excess = std::clamp(
        (standing.fair - 1) / (far_beyond_share_ratio - 1), 0.0, 1.0);
    return max_wait_beyond_share +
           excess * (max_wait_far_beyond_share - max_wait_beyond_share);
}

double uniform_admission::max_wait_ms(const admission_query& query) const
{
    return std::min(query.tightest_objective_ms *
                        max_wait_fraction(query.standing),
                    query.time_left_ms);
}

} // namespace sycamorelock::core::direct
