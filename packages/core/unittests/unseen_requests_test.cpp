// Tests of the estimated distribution of requests that were sent since the last
// reports.
#include "sycamorelock/core/direct/unseen_requests.hpp"

#include <criterion/criterion.h>

#include <array>

using namespace sycamorelock::core::direct;

// Each offer lists the cost in ms, the free slots, and the further wait in ms
// per request beyond them.

Test(unseen_requests, free_slots_of_the_cheapest_endpoint_are_used_first)
{
    const std::array<endpoint_cost, 2> offers{{{0, 10, 5}, {40, 10, 5}}};
    const std::vector<double> counts = spread_requests(offers, 8);
    cr_expect_float_eq(counts[0], 8, 1e-6);
    cr_expect_float_eq(counts[1], 0, 1e-6);
}

Test(unseen_requests, requests_beyond_the_free_slots_cost_the_same_everywhere)
{
    // Twelve requests beyond the free slots of the first endpoint wait up to
    // 60 ms; four beyond those of the second wait up to 20 ms, and each request
    // costs 40 ms more there.
    const std::array<endpoint_cost, 2> offers{{{0, 10, 5}, {40, 10, 5}}};
    const std::vector<double> counts = spread_requests(offers, 36);
    cr_expect_float_eq(counts[0], 22, 1e-6, "%f", counts[0]);
    cr_expect_float_eq(counts[1], 14, 1e-6, "%f", counts[1]);
}

Test(unseen_requests, free_slots_at_equal_cost_are_used_in_proportion)
{
    const std::array<endpoint_cost, 3> offers{
        {{7, 30, 5}, {7, 10, 5}, {7, -4, 5}}};
    const std::vector<double> counts = spread_requests(offers, 4);
    cr_expect_float_eq(counts[0], 3, 1e-6, "%f", counts[0]);
    cr_expect_float_eq(counts[1], 1, 1e-6, "%f", counts[1]);
    cr_expect_float_eq(counts[2], 0, 1e-6, "%f", counts[2]);
}

// Until a request has completed, the estimated time for which it occupies a
// slot is zero, so that requests seem to add no wait.
Test(unseen_requests, requests_that_add_no_wait_are_distributed)
{
    const std::array<endpoint_cost, 2> offers{{{3, -1, 0}, {3, -1, 0}}};
    const std::vector<double> counts = spread_requests(offers, 10);
    cr_expect_float_eq(counts[0], 5, 1e-6, "%f", counts[0]);
    cr_expect_float_eq(counts[1], 5, 1e-6, "%f", counts[1]);
}

Test(unseen_requests, no_endpoints_yield_no_counts)
{
    cr_expect(spread_requests({}, 3).empty());
}
