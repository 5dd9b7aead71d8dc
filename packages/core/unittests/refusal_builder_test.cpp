// Retry delays that refused callers are told, without a router.
#include "sycamorelock/core/direct/refusal_builder.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

using namespace sycamorelock::core;
using namespace sycamorelock::core::direct;

namespace
{

/// Many callers that are refused at the same moment.
constexpr int callers = 1000;

} // namespace

// A crowd that is refused at once must not return at once.
Test(refusal_builder, refused_callers_return_at_different_times)
{
    std::mt19937_64 random(1);
    refusal_builder refusals(random);
    std::set<milliseconds> delays;
    for (int i = 0; i < callers; ++i)
        delays.insert(refusals.refuse(refusal::drained, 2000, 0).retry_after);
    cr_expect_geq(*delays.begin(), milliseconds(1000));
    cr_expect_leq(*delays.rbegin(), milliseconds(3000));
    cr_expect_lt(*delays.begin(), milliseconds(1200));
    cr_expect_gt(*delays.rbegin(), milliseconds(2800));
}

// Callers that return before a known time, such as the end of a warm-up, would
// be refused again.
Test(refusal_builder, nobody_returns_before_a_known_time)
{
    std::mt19937_64 random(1);
    refusal_builder refusals(random);
    for (int i = 0; i < callers; ++i)
    {
        const refusal_decision refused =
            refusals.refuse_until(refusal::warming_up, milliseconds(800));
        cr_expect_geq(refused.retry_after, milliseconds(800));
        cr_expect_leq(refused.retry_after, milliseconds(1000));
    }
}

// A backlog that ends at once must not make callers return in a busy loop.
Test(refusal_builder, callers_of_a_short_backlog_pause_too)
{
    std::mt19937_64 random(1);
    refusal_builder refusals(random);
    for (int i = 0; i < callers; ++i)
    {
        cr_expect_geq(refusals.refuse_until(refusal::quarantined, duration(0))
                          .retry_after,
                      milliseconds(100));
        cr_expect_geq(
            refusals.refuse_for_load(refusal::overloaded, 1, 0).retry_after,
            milliseconds(50));
    }
}

// Overload: callers are told to return within the time that the backlog takes,
// and the log tells the wait and the limit.
Test(refusal_builder, callers_are_spread_over_the_backlog)
{
    std::mt19937_64 random(1);
    refusal_builder refusals(random);
    const refusal_decision refused =
        refusals.refuse_for_load(refusal::beyond_share, 4000, 480);
    cr_expect(refused.reason == refusal::beyond_share);
    cr_expect_eq(refused.wait_ms, 4000);
    cr_expect_eq(refused.allowed_ms, 480);
    cr_expect_geq(refused.retry_after, milliseconds(2000));
    cr_expect_leq(refused.retry_after, milliseconds(6000));
}

// An account that floods the fleet: the further it is beyond its part, the
// later its callers return.
Test(refusal_builder, a_larger_excess_is_refused_for_longer)
{
    const auto pause = [](double fair)
    {
        std::mt19937_64 random(1);
        return refusal_builder(random)
            .refuse_excess_demand({fair, fair})
            .retry_after;
    };
    cr_expect_lt(pause(3), pause(6));
}
