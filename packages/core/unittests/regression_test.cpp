// Failures that the randomised runs found, each as a test of its own.
#include "fake_fleet.hpp"

#include <criterion/criterion.h>

using namespace sycamorelock::core;
using namespace sycamorelock::core::testing;

namespace
{

constexpr std::chrono::seconds longest(90);

} // namespace

// Seed 495817: an attempt failed after it was sent, the next one sent nothing,
// and the refusal spoke only of the last: "no" for a request that had run.
Test(regression, a_refusal_speaks_of_every_attempt)
{
    fake_fleet fleet({});
    fleet.advance(std::chrono::seconds(3));
    fleet.set_chances({.fails = 100});
    const request_id id = fleet.submit(0, 0);
    while (fleet.outcomes().at(id).runs == 0)
        fleet.advance(std::chrono::milliseconds(10));
    fleet.set_chances({.nothing_sent = 100});
    fleet.advance(longest);
    const outcome& known = fleet.outcomes().at(id);
    cr_assert_eq(known.refused, 1);
    cr_assert_eq(known.runs, 1);
    cr_assert(known.ran == executed::unknown);
}

// The counter of this reason stood in the metrics and was never raised.
Test(regression, retries_after_a_failed_connect_are_counted_as_such)
{
    fake_fleet fleet({});
    fleet.advance(std::chrono::seconds(3));
    fleet.set_chances({.not_connected = 100});
    const request_id id = fleet.submit(0, 0);
    const auto retries = [&]
    {
        const auto reason =
            static_cast<std::size_t>(retry_reason::connect_failed);
        return fleet.state(0).retries().at(reason);
    };
    while (retries() == 0)
        fleet.advance(std::chrono::milliseconds(10));
    fleet.set_chances({});
    fleet.advance(longest);
    cr_assert_eq(fleet.outcomes().at(id).completed, 1);
    cr_assert_eq(fleet.outcomes().at(id).runs, 1);
}

// Guards against endpoints that are ejected for all instances because one that
// was late let a lease pass and sent them nothing.
Test(regression, an_attempt_that_was_not_sent_ejects_no_endpoint)
{
    fake_fleet fleet({});
    fleet.advance(std::chrono::seconds(3));
    fleet.set_chances({.nothing_sent = 100});
    for (int i = 0; i < 10; ++i)
        fleet.submit(0, 0);
    fleet.advance(std::chrono::seconds(10));
    cr_expect_eq(fleet.events(event_number::endpoint_ejected), 0);
}

// Guards against requests that are refused because each of their attempts goes
// to the endpoint that the entry does not know.
Test(regression, an_attempt_that_was_not_sent_is_followed_by_one_elsewhere)
{
    fake_fleet fleet({});
    for (std::size_t domain = 0; domain < 3; ++domain)
        fleet.lose_route(0, domain, 0);
    fleet.advance(std::chrono::seconds(3));
    for (int i = 0; i < 20; ++i)
    {
        const request_id id = fleet.submit(0, 0);
        fleet.advance(std::chrono::seconds(2));
        cr_expect_eq(fleet.outcomes().at(id).completed, 1, "%d", i);
    }
    cr_expect_eq(fleet.events(event_number::endpoint_ejected), 0);
}
