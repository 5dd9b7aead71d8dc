// What endpoints say of themselves in answers, and where requests go then.
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
        request_profile asked = ask_for({{1, 1000}, {2, 100}}, now);
        return std::get<placement_decision>(
            decides.decide(now, asked, drafts, {}, false));
    }

    /// Endpoints that a request goes to when it fails at one after the other.
    std::set<std::string> used(time_point now = start)
    {
        request_profile asked = ask_for({{1, 1000}, {2, 100}}, now);
        std::set<std::string> names;
        std::set<endpoint_id> tried;
        for (;;)
        {
            const auto made =
                decides.decide(now, asked, drafts, tried, !tried.empty());
            const auto* placed = std::get_if<placement_decision>(&made);
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
    endpoint_record made = engine_record(boot);
    made.address = address;
    made.started_ms = started_ms;
    return made;
}

} // namespace

// Guards against requests to an endpoint that has said that it leaves.
Test(direct_notices, an_endpoint_that_says_it_leaves_is_not_chosen)
{
    fixture fix;
    cr_assert_eq(fix.used().size(), 2U);
    const endpoint_record one = record("one", "one:1");
    cr_expect(fix.decides.note_leaving(start, one));
    cr_expect_not(fix.decides.note_leaving(start, one), "told before");
    cr_expect(fix.used() == std::set<std::string>{"two"});
}

// An older entry of the store, or the same one again after it lapsed, must not
// take back what the endpoint has said.
Test(direct_notices, no_entry_of_the_same_start_takes_a_leaving_back)
{
    fixture fix;
    fix.decides.note_leaving(start, record("one", "one:1"));
    fix.list({"one", "two"});
    cr_expect(fix.used() == std::set<std::string>{"two"});
    fix.list({"two"});
    fix.list({"one", "two"});
    cr_expect(fix.used() == std::set<std::string>{"two"});
}

Test(direct_notices, another_start_or_address_begins_without_notices)
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

Test(direct_notices, endpoints_that_ended_long_ago_are_forgotten)
{
    endpoint_notices notices;
    const endpoint_record one = record("one", "a:1");
    notices.note_leaving(start, one);
    notices.keep_listed(start + minutes(9), {{"one", one}});
    notices.keep_listed(start + minutes(18), {});
    cr_expect(notices.is_leaving(one));
    notices.keep_listed(start + minutes(20), {});
    cr_expect_not(notices.is_leaving(one));
}

// Guards against a request that was chosen before the news and is written to a
// connection after it.
Test(direct_notices, a_request_that_waits_for_its_connection_is_withheld)
{
    fixture fix;
    const placement_decision placed = fix.place();
    cr_expect_not(fix.decides.withheld(start, placed).has_value());
    fix.decides.note_leaving(start, placed.endpoint);
    cr_expect(fix.decides.withheld(start, placed) == withheld_reason::leaving);

    fixture listed;
    const placement_decision drained = listed.place();
    endpoint_record draining = drained.endpoint;
    draining.draining = true;
    listed.decides.set_endpoints(start, {{draining.boot, draining}});
    cr_expect(listed.decides.withheld(start, drained) ==
              withheld_reason::leaving);
    listed.decides.set_endpoints(start, {});
    cr_expect(listed.decides.withheld(start, drained) == withheld_reason::gone);
}

Test(direct_notices, nothing_is_fetched_from_an_engine_that_leaves)
{
    fixture fix(100);
    const endpoint_record one = record("one", "one:1");
    const fetch_plan plan{one.id(), one.address, 1000, 5};
    cr_expect(fix.decides.may_fetch(start, plan));
    fix.decides.note_leaving(start, one);
    cr_expect_not(fix.decides.may_fetch(start, plan));
    fix.list({"two"});
    cr_expect_not(fix.decides.may_fetch(start, plan));
}

Test(direct_notices, when_all_endpoints_leave_callers_are_refused_at_once)
{
    fixture fix;
    for (const char* name : {"one", "two"})
        fix.decides.note_leaving(start, record(name, std::string(name) + ":1"));
    request_profile asked = fix.ask_for({{1, 1000}});
    const auto refused = std::get<refusal_decision>(
        fix.decides.decide(start, asked, drafts, {}, false));
    cr_expect(refused.reason == refusal::no_endpoint);
    cr_expect_gt(refused.retry_after.count(), 0);
}

// Guards against requests to an endpoint that has asked for rest: first ones,
// repeats, and those that wait for a connection.
Test(direct_notices, an_endpoint_that_rests_is_not_chosen_until_its_rest_ends)
{
    fixture fix;
    const endpoint_record one = record("one", "one:1");
    const placement_decision waiting = fix.place();
    fix.decides.note_rest(start, waiting.endpoint, milliseconds(3000));
    const auto at = [](int ms) { return start + milliseconds(ms); };
    cr_expect(fix.decides.withheld(at(2999), waiting) ==
              withheld_reason::resting);
    cr_expect_not(fix.decides.withheld(at(3000), waiting).has_value());
    for (const int ms : {0, 600, 2999})
        cr_expect_eq(fix.used(at(ms)).count(waiting.endpoint.boot), 0U);
    // Nor after its entry has lapsed and returned, or another one came.
    fix.list({waiting.endpoint.boot == "one" ? "two" : "one"});
    fix.list({"one", "two"});
    cr_expect_eq(fix.used(at(2999)).count(waiting.endpoint.boot), 0U);
    cr_expect_eq(fix.used(at(3000)).size(), 2U);
}

Test(direct_notices, a_new_start_does_not_rest)
{
    fixture fix;
    fix.list({"one", "two"}, 1000);
    fix.decides.note_rest(start, record("one", "one:1", 1000),
                          milliseconds(3000));
    cr_expect_eq(fix.used().size(), 1U);
    fix.list({"one", "two"}, 2000);
    cr_expect_eq(fix.used().size(), 2U);
}

Test(direct_notices, a_rest_is_bounded_and_not_shortened)
{
    endpoint_notices notices;
    const endpoint_record one = record("one", "a:1");
    notices.note_rest(start, one, milliseconds(3000));
    notices.note_rest(start, one, milliseconds(1000));
    cr_expect(notices.rests_until(one) == start + milliseconds(3000));
    notices.note_rest(start, one, std::chrono::hours(5));
    cr_expect(notices.rests_until(one) ==
              start + endpoint_notices::longest_rest);
    cr_expect(notices.rests_until(record("one", "b:1")) == time_point());
    cr_expect_not(notices.is_leaving(one));
}

// Callers that come back sooner find the same.
Test(direct_notices, when_all_endpoints_rest_callers_come_back_after_the_first)
{
    fixture fix;
    const endpoint_record one = record("one", "one:1");
    const endpoint_record two = record("two", "two:1");
    fix.decides.note_rest(start, one, milliseconds(3000));
    cr_expect_not(fix.decides.rest_pause(start, drafts).has_value());
    fix.decides.note_rest(start, two, milliseconds(2000));
    for (int i = 0; i < 20; ++i)
    {
        request_profile asked = fix.ask_for({{1, 1000}});
        const auto refused = std::get<refusal_decision>(
            fix.decides.decide(start, asked, drafts, {}, false));
        cr_expect(refused.reason == refusal::resting);
        cr_expect_geq(refused.retry_after.count(), 2000);
        cr_expect_leq(refused.retry_after.count(), 2500);
    }
    // One that leaves does not count: it takes nothing at any time.
    fix.decides.note_leaving(start, two);
    const auto pause = fix.decides.rest_pause(start, drafts);
    cr_assert(pause.has_value());
    cr_expect_geq(pause->count(), 3000);
}

Test(direct_notices, nothing_is_fetched_from_an_engine_that_rests)
{
    fixture fix(100);
    const endpoint_record one = record("one", "one:1");
    fix.decides.note_rest(start, one, milliseconds(3000));
    const fetch_plan plan{one.id(), one.address, 1000, 5};
    cr_expect_not(fix.decides.may_fetch(start, plan));
    cr_expect(fix.decides.may_fetch(start + milliseconds(3000), plan));
}

// Guards against requests in the rest of a rest longer than a minute: an honest
// endpoint that asks for 90 s gets at most two before it ends.
Test(direct_notices, a_rest_beyond_a_minute_lets_two_requests_through)
{
    fixture fix;
    fix.decides.note_rest(start, record("one", "one:1"), seconds(90));
    int sent = 0;
    for (int at = 1; at < 90; ++at)
        sent += fix.used(start + seconds(at)).contains("one") ? 1 : 0;
    cr_expect_leq(sent, 2, "%d requests within the rest", sent);
    cr_expect(fix.used(start + seconds(91)).contains("one"));
}

// A trial that is served ends the rest, and one that waits for its connection
// is sent although the endpoint rests for all others.
Test(direct_notices, an_endpoint_that_serves_a_trial_rests_no_more)
{
    fixture fix;
    fix.list({"one"});
    fix.decides.note_rest(start, record("one", "one:1"), seconds(90));
    const time_point now = start + seconds(61);
    placement_decision trial = fix.place(now);
    cr_expect_not(fix.decides.withheld(now, trial).has_value());
    cr_expect(fix.used(now).empty());
    request_profile asked = fix.ask_for({{1, 1000}, {2, 100}}, now);
    fix.decides.sent(now, asked, trial);
    fix.decides.finished(now, trial, attempt_outcome::succeeded);
    cr_expect_eq(fix.used(now).size(), 1U);
    cr_expect_eq(fix.used(now).size(), 1U);
}
