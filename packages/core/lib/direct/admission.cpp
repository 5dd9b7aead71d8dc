// Limits as fractions of objectives.
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
/// Longest wait of a request that goes after others, as a fraction of the
/// tightest objective. Short waits keep room for requests that go first, whose
/// limit is `max_wait_within_share`.
constexpr double max_wait_after_others = 0.4;
/// Longest wait of a caller that returns as it was told: more than that of any
/// new request, and bounded, since what returns add to the backlog would
/// otherwise make all requests late.
constexpr double max_wait_of_return = 1.0;
/// Up to this multiple of its fair part, an account may use endpoints without
/// a wait. Beyond it, its requests are refused before endpoints are evaluated,
/// since evaluating them takes processor time from other accounts.
constexpr double flood_ratio = 3;

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

double uniform_admission::relative_wait(const account_standing& standing) const
{
    return max_wait_fraction(standing) / max_wait_within_share;
}

double uniform_admission::max_wait_ms(const admission_query& query) const
{
    return std::min(query.tightest_objective_ms *
                        max_wait_fraction(query.standing),
                    query.time_left_ms);
}

double objective_admission::max_wait_ms(const admission_query& query) const
{
    const double time_left = query.time_left_ms - query.service_ms;
    if (query.is_return)
        return std::min(query.tightest_objective_ms * max_wait_of_return,
                        time_left);
    double part = shares_.relative_wait(query.standing);
    if (part < 0 && query.standing.fair > flood_ratio)
        return part;
    part = std::max(0.0, part);
    // The account's consumption is compared with a share only while the fleet
    // is asked for more than the configured throughput.
    const bool goes_first = query.urgency == 0 || query.standing.owed > 0;
    const double in_objective =
        query.objective_ms / query.error_factor - query.service_ms;
    const double common_ms =
        query.tightest_objective_ms *
        (goes_first ? max_wait_within_share : max_wait_after_others);
    const double idle_ms = query.tightest_objective_ms * max_wait_beyond_share;
    const double limit = std::min(in_objective, common_ms) - query.promised_ms;
    return std::min(std::max(limit, idle_ms) * part, time_left);
}

} // namespace sycamorelock::core::direct
