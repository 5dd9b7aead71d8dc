// Single decisions of the router.
#include "direct_fixture.hpp"

#include <criterion/criterion.h>

using namespace sycamorelock::core;
using namespace sycamorelock::core::direct;

namespace
{

const account_id greedy = account_id::of("greedy");
const account_id modest = account_id::of("modest");

/// Two idle engines, and others that tell what accounts got.
struct fixture : two_engines
{
    fixture() : two_engines(10000, 0) {}

    request_profile ask(account_id account, time_point now = start)
    {
        request_profile asked = ask_for({{1, 1000}, {2, 100}}, now);
        asked.account = account;
        decides.admit(now, asked);
        return asked;
    }

    routing_decision decide(request_profile asked, time_point now = start)
    {
        return decides.decide(now, asked, drafts, {}, false);
    }

    void others_report(double greedy_served, double modest_served)
    {
        exchange_report report;
        report.sender = "other";
        report.demands = {{greedy, 50000, greedy_served},
                          {modest, 50000, modest_served}};
        decides.on_report(start, report);
    }
};

bool is_placed(const routing_decision& made)
{
    return std::holds_alternative<placement_decision>(made);
}

} // namespace

// The account whose prompts lie at idle engines got three times as much as
// another that asked for the same.
Test(direct_router, far_beyond_its_part_an_account_is_refused_at_idle_engines)
{
    fixture fix;
    fix.others_report(20000, 6000);
    const routing_decision made = fix.decide(fix.ask(greedy));
    cr_assert_not(is_placed(made));
    cr_expect(std::get<refusal_decision>(made).reason == refusal::beyond_share);
    cr_expect_gt(std::get<refusal_decision>(made).retry_after.count(), 0);
    cr_expect(is_placed(fix.decide(fix.ask(modest))));
}

Test(direct_router, where_all_demands_fit_nobody_is_refused)
{
    fixture fix;
    exchange_report report;
    report.sender = "other";
    report.demands = {{greedy, 5000, 5000}, {modest, 100, 100}};
    fix.decides.on_report(start, report);
    cr_expect(is_placed(fix.decide(fix.ask(greedy))));
}

Test(direct_router, a_prompt_goes_where_its_beginning_was_read)
{
    fixture fix;
    request_profile asked = fix.ask(modest);
    auto first = std::get<placement_decision>(fix.decide(asked));
    fix.decides.sent(start, asked, first);
    const auto again =
        std::get<placement_decision>(fix.decide(fix.ask(modest)));
    cr_expect(again.endpoint.boot == first.endpoint.boot);
    cr_expect_float_eq(again.cached_tokens, 1100, 1e-6);
}

Test(direct_router, draining_and_tried_endpoints_get_nothing)
{
    fixture fix;
    request_profile asked = fix.ask(modest);
    const auto first = std::get<placement_decision>(fix.decide(asked));
    const auto other = std::get<placement_decision>(
        fix.decides.decide(start, asked, drafts, {first.endpoint.id()}, true));
    cr_expect(other.endpoint.boot != first.endpoint.boot);
    std::map<std::string, endpoint_record> all;
    for (const char* name : {"one", "two"})
    {
        all[name].boot = name;
        all[name].service = drafts;
        all[name].draining = true;
    }
    fix.decides.set_endpoints(start, all);
    const routing_decision none = fix.decide(asked);
    cr_assert_not(is_placed(none));
    cr_expect(std::get<refusal_decision>(none).reason == refusal::no_endpoint);
}

Test(direct_router, repeats_come_out_of_a_bounded_budget)
{
    router_options options;
    options.retry_slack = 50;
    router decides(options);
    decides.set_fleet_size(10);
    int spent = 0;
    while (spent < 1000 && decides.spend_retry(drafts))
        ++spent;
    // Ten instances that do not hear of each other stay below the slack.
    cr_expect_leq(spent * 10, 50);
    cr_expect_geq(spent, 1);
}

Test(direct_router, an_engine_that_fails_is_avoided_and_tried_again)
{
    fixture fix;
    request_profile asked = fix.ask(modest);
    auto first = std::get<placement_decision>(fix.decide(asked));
    for (int i = 0; i < 5; ++i)
    {
        auto failing = first;
        fix.decides.sent(start, asked, failing);
        fix.decides.finished(start, failing, attempt_outcome::failed);
    }
    const auto next = std::get<placement_decision>(fix.decide(asked));
    cr_expect(next.endpoint.boot != first.endpoint.boot);
    const time_point later = start + std::chrono::seconds(60);
    request_profile late = fix.ask(modest, later);
    const auto after = std::get<placement_decision>(fix.decide(late, later));
    cr_expect(after.endpoint.boot == first.endpoint.boot);
}

namespace
{

/// Engines that read ten tokens a ms, of which another instance has sent one
/// prompt of 3,000 tokens to each.
struct prompt_elsewhere : two_engines
{
    prompt_elsewhere() : two_engines(20000, 0)
    {
        exchange_report report;
        report.sender = "other";
        for (const char* name : {"one", "two"})
            report.work.push_back({endpoint_id::of(name), 600, 1, 0, 3000});
        decides.on_report(start, report);
    }

    /// Notes first tokens that came as predicted.
    void learn()
    {
        exchange_report report;
        report.sender = "third";
        report.figures = {{drafts, {30, 0.1, 0.5, 100}}};
        decides.on_report(start, report);
        exchange_report own;
        decides.fill_report(start, own);
    }
    bool places(time_point now)
    {
        request_profile asked = ask_for({{1, 1000}, {2, 100}}, now);
        return is_placed(decides.decide(now, asked, drafts, {}, false));
    }
};

} // namespace

// Guards against the refusal of the second request of a fleet without other
// work: what the first one takes is only guessed, and nobody else waits.
Test(direct_router, one_prompt_of_unknown_length_is_no_reason_to_refuse)
{
    prompt_elsewhere fix;
    cr_expect(fix.places(start));
    // Nor is time left for more than it.
    request_profile asked = fix.ask_for({{1, 1000}, {2, 100}});
    asked.deadline = start + milliseconds(400);
    cr_expect_not(
        is_placed(fix.decides.decide(start, asked, drafts, {}, false)));
    // A queue is a reason, and so is one prompt whose time is known.
    exchange_report queue;
    queue.sender = "other";
    for (const char* name : {"one", "two"})
        queue.work.push_back({endpoint_id::of(name), 600, 5, 0, 3000});
    fix.decides.on_report(start, queue);
    cr_expect_not(fix.places(start));
    prompt_elsewhere learned;
    learned.learn();
    cr_expect_not(learned.places(start));
}
