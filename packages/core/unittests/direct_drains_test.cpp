// Tests of drained failure domains: how drains reported by different instances
// are merged, and their effect on routing.
#include "direct_fixture.hpp"

#include "sycamorelock/core/direct/drained_domains.hpp"

#include <criterion/criterion.h>

using namespace sycamorelock::core;
using namespace sycamorelock::core::direct;
using std::chrono::seconds;

namespace
{

const domain_id hall = domain_id::of("hall");
const domain_id yard = domain_id::of("yard");

domain_drain drain_of(domain_id domain, std::uint64_t revision, bool active)
{
    return {domain, revision, active, duration(0)};
}

/// Two engines, one in each of two domains.
struct fixture : two_engines
{
    explicit fixture(double token_bytes = 0) : two_engines(10000, token_bytes)
    {
        std::map<std::string, endpoint_record> all;
        all["one"] = record("one", hall);
        all["two"] = record("two", yard);
        tested_router.set_endpoints(start, all);
    }

    static endpoint_record record(const std::string& boot, domain_id domain)
    {
        endpoint_record result = engine_record(boot);
        result.domain = domain;
        return result;
    }

    routing_decision decide(const std::set<endpoint_id>& tried = {})
    {
        request_profile request = make_profile({{1, 1000}, {2, 100}});
        return tested_router.decide(start, request, drafts, tried,
                                    !tried.empty());
    }
};

} // namespace

Test(direct_drains, the_state_of_the_highest_revision_holds)
{
    drained_domains drains;
    cr_expect(drains.put(start, drain_of(hall, 5, true)));
    cr_expect(drains.is_drained(hall));
    cr_expect_not(drains.put(start, drain_of(hall, 5, true)));
    cr_expect_not(drains.put(start, drain_of(hall, 4, false)));
    cr_expect(drains.is_drained(hall));
    cr_expect(drains.put(start, drain_of(hall, 7, false)));
    cr_expect_not(drains.put(start, drain_of(hall, 6, true)),
                  "an older view of the store");
    cr_expect_not(drains.is_drained(hall));
    cr_expect_not(drains.is_drained(yard));
}

Test(direct_drains, a_listing_ends_only_older_drains)
{
    drained_domains drains;
    drains.put(start, drain_of(hall, 5, true));
    drains.put(start, drain_of(yard, 9, true));
    const auto changed = drains.replace(start, 8, {});
    cr_assert_eq(changed.size(), 1U);
    cr_expect(changed[0] == drain_of(hall, 8, false));
    cr_expect(drains.active() == std::set<domain_id>{yard});
    // A report of an instance with an older view doesn't restore the drain.
    cr_expect_not(drains.put(start, drain_of(hall, 5, true)));
    cr_expect_eq(drains.replace(start, 12, {drain_of(yard, 9, true)}).size(),
                 0U);
}

Test(direct_drains, reports_contain_the_time_since_a_drain_ended)
{
    drained_domains drains;
    drains.put(start, drain_of(hall, 5, true));
    drains.put(start, {yard, 6, false, seconds(1)});
    const auto all = drains.for_report(start + seconds(2));
    cr_assert_eq(all.size(), 2U);
    for (const domain_drain& each : all)
        cr_expect(each.ended_for ==
                  (each.domain == yard ? seconds(3) : seconds(0)));
}

Test(direct_drains, the_number_of_domains_is_bounded)
{
    drained_domains drains;
    for (std::uint32_t i = 0; i < 2 * drained_domains::max_domains; ++i)
        drains.put(start, drain_of(domain_id(i), 1, true));
    cr_expect_eq(drains.active().size(), drained_domains::max_domains);
    cr_expect(drains.put(start, drain_of(domain_id(3), 2, false)));
}

// Covers first attempts, retries, requests that wait for a connection, and
// fetches of the KV cache.
Test(direct_drains, a_drained_domain_gets_no_requests_and_no_fetches)
{
    fixture fix(100);
    const auto first = std::get<placement_decision>(fix.decide());
    const std::string other = first.endpoint.boot == "one" ? "two" : "one";
    fix.tested_router.set_drained(start, {first.endpoint.domain}, {});
    cr_expect(std::get<placement_decision>(fix.decide()).endpoint.boot ==
              other);
    cr_expect(fix.tested_router.withheld(start, first) ==
              withheld_reason::drained);
    cr_expect_not(fix.tested_router.may_fetch(
        start, {first.endpoint.id(), first.endpoint.address, 1000, 5}));
    const endpoint_id second =
        fixture::record(other, first.endpoint.domain).id();
    cr_expect(std::holds_alternative<refusal_decision>(fix.decide({second})));
    fix.tested_router.set_drained(start, {}, {});
    cr_expect_not(fix.tested_router.withheld(start, first).has_value());
    cr_expect(std::get<placement_decision>(fix.decide()).endpoint.boot ==
              first.endpoint.boot);
}

// An engine that registers in a drained domain gets no requests from the start,
// and one whose entry lapses and returns still gets none.
Test(direct_drains, endpoints_that_register_later_are_drained_too)
{
    fixture fix;
    fix.tested_router.set_drained(start, {hall, yard}, {});
    std::map<std::string, endpoint_record> all;
    all["three"] = fixture::record("three", hall);
    fix.tested_router.set_endpoints(start, all);
    const auto refused = std::get<refusal_decision>(fix.decide());
    cr_expect(refused.reason == refusal::drained);
    cr_expect_geq(refused.retry_after.count(), 1000);
}

Test(direct_drains, callers_are_refused_at_once_when_all_domains_are_drained)
{
    fixture fix;
    fix.tested_router.set_drained(start, {hall, yard}, {});
    cr_expect(std::get<refusal_decision>(fix.decide()).reason ==
              refusal::drained);
    // The drain is the reason for the refusal even if an endpoint has requested
    // back-off.
    fix.tested_router.note_backoff(start, fixture::record("one", hall),
                                   milliseconds(3000));
    cr_expect(std::get<refusal_decision>(fix.decide()).reason ==
              refusal::drained);
    fix.tested_router.set_drained(start, {hall}, {});
    cr_expect(std::holds_alternative<placement_decision>(fix.decide()));
}
