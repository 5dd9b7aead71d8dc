// Tests of single routing decisions.
#include "direct_fixture.hpp"

#include <criterion/criterion.h>

#include <algorithm>

using namespace sycamorelock::core;
using namespace sycamorelock::core::direct;

namespace
{

const account_id greedy = account_id::of("greedy");
const account_id modest = account_id::of("modest");

/// Two idle engines, and another instance that reports the consumption of
/// client accounts.
struct fixture : two_engines
{
    fixture() : two_engines(10000, 0) {}

    request_profile admit_request(account_id account, time_point now = start)
    {
        request_profile request = make_profile({{1, 1000}, {2, 100}}, now);
        request.account = account;
        tested_router.admit(now, request);
        return request;
    }

    routing_decision decide(request_profile request, time_point now = start)
    {
        return tested_router.decide(now, request, drafts, {}, false);
    }

    void report_consumption(double greedy_served, double modest_served)
    {
        exchange_report report;
        report.sender = "other";
        report.demands = {{greedy, 50000, greedy_served},
                          {modest, 50000, modest_served}};
        tested_router.on_report(start, report);
    }
};

bool is_placed(const routing_decision& decision)
{
    return std::holds_alternative<placement_decision>(decision);
}

} // namespace

// Guards against an unfair division between accounts with equal demand: an
// account whose prompts were cached on idle engines received three times as
// much as another one.
Test(direct_router,
     account_far_beyond_its_share_is_refused_although_engines_are_idle)
{
    fixture fix;
    fix.report_consumption(20000, 6000);
    const routing_decision decision = fix.decide(fix.admit_request(greedy));
    cr_assert_not(is_placed(decision));
    cr_expect(std::get<refusal_decision>(decision).reason ==
              refusal::beyond_share);
    cr_expect_gt(std::get<refusal_decision>(decision).retry_after.count(), 0);
    cr_expect(is_placed(fix.decide(fix.admit_request(modest))));
}

Test(direct_router, no_account_is_refused_if_all_demands_fit)
{
    fixture fix;
    exchange_report report;
    report.sender = "other";
    report.demands = {{greedy, 5000, 5000}, {modest, 100, 100}};
    fix.tested_router.on_report(start, report);
    cr_expect(is_placed(fix.decide(fix.admit_request(greedy))));
}

Test(direct_router, prompt_is_placed_at_the_engine_with_its_cached_prefix)
{
    fixture fix;
    request_profile request = fix.admit_request(modest);
    auto first = std::get<placement_decision>(fix.decide(request));
    fix.tested_router.sent(start, request, first);
    const auto again =
        std::get<placement_decision>(fix.decide(fix.admit_request(modest)));
    cr_expect(again.endpoint.boot == first.endpoint.boot);
    cr_expect_float_eq(again.cached_tokens, 1100, 1e-6);
}

Test(direct_router, draining_and_tried_endpoints_are_not_chosen)
{
    fixture fix;
    request_profile request = fix.admit_request(modest);
    const auto first = std::get<placement_decision>(fix.decide(request));
    const auto other = std::get<placement_decision>(fix.tested_router.decide(
        start, request, drafts, {first.endpoint.id()}, true));
    cr_expect(other.endpoint.boot != first.endpoint.boot);
    std::map<std::string, endpoint_record> all;
    for (const char* name : {"one", "two"})
    {
        all[name].boot = name;
        all[name].service = drafts;
        all[name].draining = true;
    }
    fix.tested_router.set_endpoints(start, all);
    const routing_decision none = fix.decide(request);
    cr_assert_not(is_placed(none));
    cr_expect(std::get<refusal_decision>(none).reason == refusal::no_endpoint);
}

Test(direct_router, retries_are_limited_by_the_fleet_budget)
{
    router_options options;
    options.retry_slack = 50;
    router tested_router(options);
    tested_router.set_fleet_size(10);
    int retries = 0;
    while (retries < 1000 && tested_router.spend_retry(drafts))
        ++retries;
    // Ten instances that receive no reports from each other stay below the
    // slack.
    cr_expect_leq(retries * 10, 50);
    cr_expect_geq(retries, 1);
}

Test(direct_router, failing_engine_is_avoided_and_used_again_later)
{
    fixture fix;
    request_profile request = fix.admit_request(modest);
    auto first = std::get<placement_decision>(fix.decide(request));
    for (int i = 0; i < 5; ++i)
    {
        auto failing = first;
        fix.tested_router.sent(start, request, failing);
        fix.tested_router.finished(start, failing, attempt_outcome::failed);
    }
    const auto next = std::get<placement_decision>(fix.decide(request));
    cr_expect(next.endpoint.boot != first.endpoint.boot);
    const time_point later = start + std::chrono::seconds(60);
    request_profile late = fix.admit_request(modest, later);
    const auto after = std::get<placement_decision>(fix.decide(late, later));
    cr_expect(after.endpoint.boot == first.endpoint.boot);
}

namespace
{

/// Engines with a prefill rate of ten tokens per ms. Another instance has sent
/// one prompt of 3,000 tokens to each.
struct remote_prompt_fixture : two_engines
{
    remote_prompt_fixture() : two_engines(20000, 0)
    {
        exchange_report report;
        report.sender = "other";
        for (const char* name : {"one", "two"})
            report.work.push_back({endpoint_id::of(name), 600, 1, 0, 3000});
        tested_router.on_report(start, report);
    }

    /// Reports figures learned from first tokens that arrived as predicted.
    void report_learned_figures()
    {
        exchange_report report;
        report.sender = "third";
        report.figures = {{drafts, {30, 0.1, 0.5, 100}}};
        tested_router.on_report(start, report);
        exchange_report own;
        tested_router.fill_report(start, own);
    }
    bool places_request(time_point now)
    {
        request_profile request = make_profile({{1, 1000}, {2, 100}}, now);
        return is_placed(tested_router.decide(now, request, drafts, {}, false));
    }
};

} // namespace

// Guards against the refusal of the second request of a fleet without other
// work: the prefill time of the first one is only a default estimate, and no
// other request waits.
Test(direct_router, single_prompt_of_unknown_prefill_time_causes_no_refusal)
{
    remote_prompt_fixture fix;
    cr_expect(fix.places_request(start));
    // The request is refused if its deadline is shorter than the predicted
    // wait.
    request_profile request = fix.make_profile({{1, 1000}, {2, 100}});
    request.deadline = start + milliseconds(400);
    cr_expect_not(
        is_placed(fix.tested_router.decide(start, request, drafts, {}, false)));
    // A queue causes a refusal, and so does a single prompt whose prefill time
    // is known.
    exchange_report queue;
    queue.sender = "other";
    for (const char* name : {"one", "two"})
        queue.work.push_back({endpoint_id::of(name), 600, 5, 0, 3000});
    fix.tested_router.on_report(start, queue);
    cr_expect_not(fix.places_request(start));
    remote_prompt_fixture learned;
    learned.report_learned_figures();
    cr_expect_not(learned.places_request(start));
}

// Guards against refusals that do not tell a full engine from a full pool.
Test(direct_router, a_refusal_tells_what_was_compared_and_the_shares_in_force)
{
    fixture fix;
    fix.list({"one", "two", "three"});
    fix.tested_router.note_leaving(start, engine_record("one"));
    fix.report_consumption(8000, 6000);
    exchange_report busy;
    busy.sender = "busy";
    endpoint_work work;
    work.endpoint = endpoint_id::of("two");
    work.unread_ms = 5000;
    work.waiting = 2;
    busy.work.push_back(work);
    work.endpoint = endpoint_id::of("three");
    work.unread_ms = 6000;
    busy.work.push_back(work);
    fix.tested_router.on_report(start, busy);
    const request_profile request =
        fix.admit_request(modest, start + milliseconds(200));
    cr_expect_float_eq(request.standing.served, 6000, 1);
    cr_expect_float_eq(request.standing.owed_share, 5000, 1);
    cr_expect_float_eq(request.standing.fair_share, 7000, 1);
    cr_expect_eq(request.standing.report_age, milliseconds(200));
    const routing_decision decision =
        fix.decide(request, start + milliseconds(200));
    cr_assert_not(is_placed(decision));
    const endpoint_survey survey = std::get<refusal_decision>(decision).survey;
    cr_expect_eq(survey.listed, 3U);
    cr_expect_eq(survey.excluded(exclusion::leaving), 1U);
    cr_expect_eq(survey.compared, 2U);
    cr_expect_eq(survey.excluded(exclusion::not_home), 0U);
    cr_expect_float_eq(
        survey.shortest_queue_ms,
        fix.tested_router.ledger().total(endpoint_id::of("two")).unread_ms,
        1e-9);
    cr_expect_gt(survey.shortest_queue_ms, 0);
}

namespace
{

/// A large fleet with twelve engines, of which those that keep the prompt are
/// full.
struct full_homes : fixture
{
    std::vector<std::string> names;
    request_profile request;

    explicit full_homes(const mechanism_set& mechanisms = {})
    {
        tested_router = router(options_with(mechanisms));
        tested_router.install(start, config);
        tested_router.set_fleet_size(40);
        for (int i = 0; i < 12; ++i)
            names.push_back("engine-" + std::to_string(i));
        list(names);
        request = make_profile({{1, 1000}, {2, 100}});
        const std::uint64_t key = shared_key(request.parts);
        std::sort(names.begin(), names.end(),
                  [key](const std::string& a, const std::string& b)
                  {
                      return rank_of(key, endpoint_id::of(a)) >
                             rank_of(key, endpoint_id::of(b));
                  });
        exchange_report report;
        report.sender = "busy";
        for (std::size_t i = 0; i < prompt_homes::min_homes; ++i)
        {
            endpoint_work work;
            work.endpoint = endpoint_id::of(names.at(i));
            work.unread_ms = 5000;
            work.waiting = 2;
            report.work.push_back(work);
        }
        tested_router.on_report(start, report);
    }

    routing_decision decide_for(account_id account, double asked, double served)
    {
        exchange_report report;
        report.sender = "other";
        report.demands = {{greedy, 80000, 60000}, {account, asked, served}};
        tested_router.on_report(start, report);
        request.account = account;
        tested_router.admit(start, request);
        return tested_router.decide(start, request, drafts, {}, false);
    }
};

} // namespace

// Guards against refusals of an underserved account while engines are idle.
Test(direct_router, a_request_of_an_underserved_account_leaves_full_homes)
{
    full_homes fix;
    const routing_decision decision = fix.decide_for(modest, 20000, 5000);
    cr_assert(is_placed(decision));
    const std::string& chosen =
        std::get<placement_decision>(decision).endpoint.boot;
    cr_expect_geq(std::find(fix.names.begin(), fix.names.end(), chosen) -
                      fix.names.begin(),
                  static_cast<std::ptrdiff_t>(prompt_homes::min_homes));
}

// Guards against prefills at other engines for an account that gets its share.
Test(direct_router, a_request_of_a_served_account_is_refused_at_full_homes)
{
    full_homes fix;
    const routing_decision decision = fix.decide_for(modest, 20000, 15000);
    cr_assert_not(is_placed(decision));
    cr_expect_eq(std::get<refusal_decision>(decision).survey.excluded(
                     exclusion::not_home),
                 9U);
}

// Guards against the mechanism being in force where it is switched off.
Test(direct_router, full_homes_refuse_with_the_mechanism_switched_off)
{
    mechanism_set mechanisms;
    mechanisms.switch_off(mechanism::underserved_accounts);
    full_homes fix(mechanisms);
    cr_expect_not(is_placed(fix.decide_for(modest, 20000, 5000)));
}

// Guards against accounts that count as served by requests that endpoints lost.
Test(direct_router, a_lost_request_does_not_count_as_served)
{
    fixture fix;
    fix.tested_router.set_fleet_size(40);
    request_profile request = fix.admit_request(modest);
    auto placed = std::get<placement_decision>(fix.decide(request));
    fix.tested_router.sent(start, request, placed);
    const double served = fix.admit_request(modest).standing.served;
    cr_expect_gt(served, 0);
    fix.tested_router.finished(start, placed, attempt_outcome::failed);
    cr_expect_float_eq(fix.admit_request(modest).standing.served, 0, 1e-6);
}
