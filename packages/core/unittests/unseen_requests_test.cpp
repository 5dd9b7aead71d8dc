// Spreading of requests that are not known yet.
#include "sycamorelock/core/direct/unseen_requests.hpp"

#include <criterion/criterion.h>

#include <array>

using namespace sycamorelock::core::direct;

Test(unseen_requests, the_cheapest_gets_all_that_it_has_room_for)
{
    const std::array<endpoint_offer, 2> offers{{{0, 10, 5}, {40, 10, 5}}};
    const std::vector<double> got = spread_requests(offers, 8);
    cr_expect_float_eq(got[0], 8, 1e-6);
    cr_expect_float_eq(got[1], 0, 1e-6);
}

Test(unseen_requests, what_is_beyond_waits_for_as_long_everywhere)
{
    // Twelve more wait 60 ms at the first, and the second costs 40 more.
    const std::array<endpoint_offer, 2> offers{{{0, 10, 5}, {40, 10, 5}}};
    const std::vector<double> got = spread_requests(offers, 36);
    cr_expect_float_eq(got[0], 22, 1e-6, "%f", got[0]);
    cr_expect_float_eq(got[1], 14, 1e-6, "%f", got[1]);
}

Test(unseen_requests, free_slots_at_one_cost_are_shared_in_proportion)
{
    const std::array<endpoint_offer, 3> offers{
        {{7, 30, 5}, {7, 10, 5}, {7, -4, 5}}};
    const std::vector<double> got = spread_requests(offers, 4);
    cr_expect_float_eq(got[0], 3, 1e-6, "%f", got[0]);
    cr_expect_float_eq(got[1], 1, 1e-6, "%f", got[1]);
    cr_expect_float_eq(got[2], 0, 1e-6, "%f", got[2]);
}

// Until an answer has held a slot, requests seem to add no wait.
Test(unseen_requests, requests_that_add_no_wait_are_spread_too)
{
    const std::array<endpoint_offer, 2> offers{{{3, -1, 0}, {3, -1, 0}}};
    const std::vector<double> got = spread_requests(offers, 10);
    cr_expect_float_eq(got[0], 5, 1e-6, "%f", got[0]);
    cr_expect_float_eq(got[1], 5, 1e-6, "%f", got[1]);
}

Test(unseen_requests, no_endpoint_gets_none)
{
    cr_expect(spread_requests({}, 3).empty());
}
