// Tests of notices in endpoints' responses (leaving and back-off) and of their
// effect on routing.
#include "direct_fixture.hpp"

#include <criterion/criterion.h>

using namespace sycamorelock::core;
using namespace sycamorelock::core::direct;
using std::chrono::minutes;
using std::chrono::seconds;

namespace
{

struct fixture : two_engines
{
    explicit fixture(double token_bytes = 0) : two_engines(10000, token_bytes)
    {
    }

    placement_decision place(time_point now = start)
    {
        request_profile request = make_profile({{1, 1000}, {2, 100}}, now);
        return std::get<placement_decision>(
            tested_router.decide(now, request, drafts, {}, false));
    }

    /// Names of the endpoints that a request is routed to if it fails at each
    /// of them in turn.
    std::set<std::string> endpoints_tried_in_turn(time_point now = start)
    {
        request_profile request = make_profile({{1, 1000}, {2, 100}}, now);
        std::set<std::string> names;
        std::set<endpoint_id> tried;
        for (;;)
        {
            const auto decision = tested_router.decide(now, request, drafts,
                                                       tried, !tried.empty());
            const auto* placed = std::get_if<placement_decision>(&decision);
            if (placed == nullptr)
                return names;
            names.insert(placed->endpoint.boot);
            tried.insert(placed->endpoint.id());
        }
    }
};

endpoint_record record(const std::string& boot, const std::string& address,
                       std::uint64_t started_ms = 0)
{
    endpoint_record result = engine_record(boot);
    result.address = address;
    result.started_ms = started_ms;
    return result;
}

} // namespace

// Guards against requests to an endpoint that has announced its shutdown.
Test(direct_notices, an_endpoint_that_announced_its_shutdown_gets_no_requests)
{
    fixture fix;
    cr_assert_eq(fix.endpoints_tried_in_turn().size(), 2U);
    const endpoint_record one = record("one", "one:1");
    cr_expect(fix.tested_router.note_leaving(start, one));
    cr_expect_not(fix.tested_router.note_leaving(start, one),
                  "announced before");
    cr_expect(fix.endpoints_tried_in_turn() == std::set<std::string>{"two"});
}

// An older entry of the store, or the same one after it lapsed and returned,
// must not override the endpoint's announcement.
Test(direct_notices, no_entry_of_the_same_start_revokes_an_announced_shutdown)
{
    fixture fix;
    fix.tested_router.note_leaving(start, record("one", "one:1"));
    fix.list({"one", "two"});
    cr_expect(fix.endpoints_tried_in_turn() == std::set<std::string>{"two"});
    fix.list({"two"});
    fix.list({"one", "two"});
    cr_expect(fix.endpoints_tried_in_turn() == std::set<std::string>{"two"});
}

Test(direct_notices, notices_do_not_apply_to_another_start_or_address)
{
    endpoint_notices notices;
    const endpoint_record before = record("one", "a:1", 1000);
    notices.note_leaving(start, before);
    cr_expect(notices.is_leaving(before));
    cr_expect_not(notices.is_leaving(record("one", "a:1", 2000)));
    cr_expect_not(notices.is_leaving(record("one", "b:1", 1000)));
    cr_expect_not(notices.is_leaving(record("two", "a:1", 1000)));
    notices.note_leaving(start, record("one", "b:1", 1000));
    cr_expect_not(notices.is_leaving(before));
}

Test(direct_notices, notices_of_endpoints_unlisted_for_long_are_removed)
{
    endpoint_notices notices;
    const endpoint_record one = record("one", "a:1");
    notices.note_leaving(start, one);
    notices.expire_unlisted(start + minutes(9), {{"one", one}});
    notices.expire_unlisted(start + minutes(18), {});
    cr_expect(notices.is_leaving(one));
    notices.expire_unlisted(start + minutes(20), {});
    cr_expect_not(notices.is_leaving(one));
}

// Guards against requests that were routed before the endpoint's announcement
// arrived and would be written to a connection afterwards.
Test(direct_notices,
     a_request_waiting_for_a_connection_to_a_leaving_endpoint_is_withheld)
{
    fixture fix;
    const placement_decision placed = fix.place();
    cr_expect_not(fix.tested_router.withheld(start, placed).has_value());
    fix.tested_router.note_leaving(start, placed.endpoint);
    cr_expect(fix.tested_router.withheld(start, placed) ==
              withheld_reason::leaving);

    fixture listed;
    const placement_decision drained = listed.place();
    endpoint_record draining = drained.endpoint;
    draining.draining = true;
    listed.tested_router.set_endpoints(start, {{draining.boot, draining}});
    cr_expect(listed.tested_router.withheld(start, drained) ==
              withheld_reason::leaving);
    listed.tested_router.set_endpoints(start, {});
    cr_expect(listed.tested_router.withheld(start, drained) ==
              withheld_reason::gone);
}

Test(direct_notices, no_kv_cache_is_fetched_from_a_leaving_engine)
{
    fixture fix(100);
    const endpoint_record one = record("one", "one:1");
    const fetch_plan plan{one.id(), one.address, 1000, 5};
    cr_expect(fix.tested_router.may_fetch(start, plan));
    fix.tested_router.note_leaving(start, one);
    cr_expect_not(fix.tested_router.may_fetch(start, plan));
    fix.list({"two"});
    cr_expect_not(fix.tested_router.may_fetch(start, plan));
}

Test(direct_notices, callers_are_refused_at_once_when_all_endpoints_are_leaving)
{
    fixture fix;
    for (const char* name : {"one", "two"})
        fix.tested_router.note_leaving(start,
                                       record(name, std::string(name) + ":1"));
    request_profile request = fix.make_profile({{1, 1000}});
    const auto refused = std::get<refusal_decision>(
        fix.tested_router.decide(start, request, drafts, {}, false));
    cr_expect(refused.reason == refusal::no_endpoint);
    cr_expect_gt(refused.retry_after.count(), 0);
}

// Guards against requests to an endpoint that has requested back-off: first
// attempts, retries, and requests that wait for a connection.
Test(direct_notices, an_endpoint_gets_no_requests_until_its_back_off_ends)
{
    fixture fix;
    const endpoint_record one = record("one", "one:1");
    const placement_decision waiting = fix.place();
    fix.tested_router.note_backoff(start, waiting.endpoint, milliseconds(3000));
    const auto at = [](int ms) { return start + milliseconds(ms); };
    cr_expect(fix.tested_router.withheld(at(2999), waiting) ==
              withheld_reason::backing_off);
    cr_expect_not(fix.tested_router.withheld(at(3000), waiting).has_value());
    for (const int ms : {0, 600, 2999})
        cr_expect_eq(
            fix.endpoints_tried_in_turn(at(ms)).count(waiting.endpoint.boot),
            0U);
    // The back-off still holds after its entry has lapsed and returned, or a
    // new entry of the same start was written.
    fix.list({waiting.endpoint.boot == "one" ? "two" : "one"});
    fix.list({"one", "two"});
    cr_expect_eq(
        fix.endpoints_tried_in_turn(at(2999)).count(waiting.endpoint.boot), 0U);
    cr_expect_eq(fix.endpoints_tried_in_turn(at(3000)).size(), 2U);
}

Test(direct_notices, a_restarted_endpoint_has_no_back_off)
{
    fixture fix;
    fix.list({"one", "two"}, 1000);
    fix.tested_router.note_backoff(start, record("one", "one:1", 1000),
                                   milliseconds(3000));
    cr_expect_eq(fix.endpoints_tried_in_turn().size(), 1U);
    fix.list({"one", "two"}, 2000);
    cr_expect_eq(fix.endpoints_tried_in_turn().size(), 2U);
}

Test(direct_notices, a_back_off_is_bounded_and_not_shortened)
{
    endpoint_notices notices;
    const endpoint_record one = record("one", "a:1");
    notices.note_backoff(start, one, milliseconds(3000));
    notices.note_backoff(start, one, milliseconds(1000));
    cr_expect(notices.backoff_end(one) == start + milliseconds(3000));
    notices.note_backoff(start, one, std::chrono::hours(5));
    cr_expect(notices.backoff_end(one) ==
              start + endpoint_notices::max_backoff);
    cr_expect(notices.backoff_end(record("one", "b:1")) == time_point());
    cr_expect_not(notices.is_leaving(one));
}

// Callers are told to retry when the earliest back-off ends: an earlier retry
// would be refused again.
Test(direct_notices, callers_retry_after_the_earliest_back_off)
{
    fixture fix;
    const endpoint_record one = record("one", "one:1");
    const endpoint_record two = record("two", "two:1");
    fix.tested_router.note_backoff(start, one, milliseconds(3000));
    cr_expect_not(fix.tested_router.backoff_delay(start, drafts).has_value());
    fix.tested_router.note_backoff(start, two, milliseconds(2000));
    for (int i = 0; i < 20; ++i)
    {
        request_profile request = fix.make_profile({{1, 1000}});
        const auto refused = std::get<refusal_decision>(
            fix.tested_router.decide(start, request, drafts, {}, false));
        cr_expect(refused.reason == refusal::backing_off);
        cr_expect_geq(refused.retry_after.count(), 2000);
        cr_expect_leq(refused.retry_after.count(), 2500);
    }
    // A leaving endpoint is not considered, since it accepts no request later.
    fix.tested_router.note_leaving(start, two);
    const auto pause = fix.tested_router.backoff_delay(start, drafts);
    cr_assert(pause.has_value());
    cr_expect_geq(pause->count(), 3000);
}

Test(direct_notices, no_kv_cache_is_fetched_from_an_engine_in_back_off)
{
    fixture fix(100);
    const endpoint_record one = record("one", "one:1");
    fix.tested_router.note_backoff(start, one, milliseconds(3000));
    const fetch_plan plan{one.id(), one.address, 1000, 5};
    cr_expect_not(fix.tested_router.may_fetch(start, plan));
    cr_expect(fix.tested_router.may_fetch(start + milliseconds(3000), plan));
}

// Guards against needless requests in the part of a back-off beyond one minute:
// an endpoint that requests 90 s and keeps to it gets at most two probes before
// the back-off ends.
Test(direct_notices, a_back_off_beyond_a_minute_allows_two_probes)
{
    fixture fix;
    fix.tested_router.note_backoff(start, record("one", "one:1"), seconds(90));
    int sent = 0;
    for (int at = 1; at < 90; ++at)
        sent += fix.endpoints_tried_in_turn(start + seconds(at)).contains("one")
                    ? 1
                    : 0;
    cr_expect_leq(sent, 2, "%d requests within the back-off", sent);
    cr_expect(fix.endpoints_tried_in_turn(start + seconds(91)).contains("one"));
}

// A probe that the endpoint serves ends its back-off. A probe that waits for a
// connection is still sent, although the back-off holds for all other requests.
Test(direct_notices, a_served_probe_ends_the_back_off)
{
    fixture fix;
    fix.list({"one"});
    fix.tested_router.note_backoff(start, record("one", "one:1"), seconds(90));
    const time_point now = start + seconds(61);
    placement_decision probe = fix.place(now);
    cr_expect_not(fix.tested_router.withheld(now, probe).has_value());
    cr_expect(fix.endpoints_tried_in_turn(now).empty());
    request_profile request = fix.make_profile({{1, 1000}, {2, 100}}, now);
    fix.tested_router.sent(now, request, probe);
    fix.tested_router.finished(now, probe, attempt_outcome::succeeded);
    cr_expect_eq(fix.endpoints_tried_in_turn(now).size(), 1U);
    cr_expect_eq(fix.endpoints_tried_in_turn(now).size(), 1U);
}
