// Regression tests of failures that the random tests found.
#include "fake_fleet.hpp"

#include <criterion/criterion.h>

using namespace sycamorelock::core;
using namespace sycamorelock::core::testing;

namespace
{

/// Time in which every request ends; the default deadline is 60 s.
constexpr std::chrono::seconds max_request_duration(90);

} // namespace

// Guards against a refusal that reports only the last attempt. With seed 495817
// of the random tests, an attempt failed after it was sent and the next one
// sent nothing; the refusal reported `executed::no` for a request that had run.
Test(regression, a_refusal_accounts_for_every_attempt)
{
    fake_fleet fleet({});
    fleet.advance(std::chrono::seconds(3));
    fleet.set_fault_chances({.fails = 100});
    const request_id id = fleet.submit(0, 0);
    while (fleet.outcomes().at(id).runs == 0)
        fleet.advance(std::chrono::milliseconds(10));
    fleet.set_fault_chances({.nothing_sent = 100});
    fleet.advance(max_request_duration);
    const outcome& result = fleet.outcomes().at(id);
    cr_assert_eq(result.refused, 1);
    cr_assert_eq(result.runs, 1);
    cr_assert(result.ran == executed::unknown);
}

// Guards against a retry reason whose counter is exported in the metrics but
// never incremented.
Test(regression, retries_after_a_failed_connect_are_counted_under_that_reason)
{
    fake_fleet fleet({});
    fleet.advance(std::chrono::seconds(3));
    fleet.set_fault_chances({.not_connected = 100});
    const request_id id = fleet.submit(0, 0);
    const auto retries = [&]
    {
        const auto reason =
            static_cast<std::size_t>(retry_reason::connect_failed);
        return fleet.state(0).retries().at(reason);
    };
    while (retries() == 0)
        fleet.advance(std::chrono::milliseconds(10));
    fleet.set_fault_chances({});
    fleet.advance(max_request_duration);
    cr_assert_eq(fleet.outcomes().at(id).completed, 1);
    cr_assert_eq(fleet.outcomes().at(id).runs, 1);
}

// Guards against ejection of an endpoint for all instances because one slow
// instance let a lease expire and sent nothing to the endpoint.
Test(regression, an_attempt_that_was_not_sent_ejects_no_endpoint)
{
    fake_fleet fleet({});
    fleet.advance(std::chrono::seconds(3));
    fleet.set_fault_chances({.nothing_sent = 100});
    for (int i = 0; i < 10; ++i)
        fleet.submit(0, 0);
    fleet.advance(std::chrono::seconds(10));
    cr_expect_eq(fleet.events(event_number::endpoint_ejected), 0);
}

// Guards against refusal of a request because each of its attempts goes to an
// endpoint that is missing from the entry's configuration.
Test(regression, an_attempt_that_was_not_sent_is_retried_at_another_endpoint)
{
    fake_fleet fleet({});
    for (std::size_t domain = 0; domain < 3; ++domain)
        fleet.hide_endpoint(0, domain, 0);
    fleet.advance(std::chrono::seconds(3));
    for (int i = 0; i < 20; ++i)
    {
        const request_id id = fleet.submit(0, 0);
        fleet.advance(std::chrono::seconds(2));
        cr_expect_eq(fleet.outcomes().at(id).completed, 1, "%d", i);
    }
    cr_expect_eq(fleet.events(event_number::endpoint_ejected), 0);
}
