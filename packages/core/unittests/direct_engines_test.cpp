// Prefill time estimates, KV cache transfers between engines, and the routing
// decisions that depend on them.
#include "direct_fixture.hpp"

#include <criterion/criterion.h>

#include <cmath>
#include <random>

using namespace sycamorelock::core;
using namespace sycamorelock::core::direct;

namespace
{

/// Parameters of an engine that the estimator should converge to.
struct true_engine
{
    double first_ms;
    double tokens_per_ms;
    double ms_per_million_pairs;

    [[nodiscard]] double observed_first_token_ms(const prefill_sample& of) const
    {
        return first_ms + of.uncached / tokens_per_ms +
               of.uncached * (of.cached + of.uncached / 2) / 1e6 *
                   ms_per_million_pairs;
    }
};

/// Feeds `count` observations to the estimator, one each 50 ms: prompts between
/// a hundred and some ten thousand tokens, half of them with a cached prefix.
/// Every fifth has a wait that was not predicted. Returns the time of the last.
time_point feed_observations(engine_estimator& estimator,
                             const true_engine& engine, int count,
                             time_point from)
{
    std::mt19937_64 random(7);
    std::lognormal_distribution<double> tokens(7.5, 1.0);
    std::uniform_real_distribution<double> unpredicted_wait(50, 400);
    time_point at = from;
    for (int i = 0; i < count; ++i)
    {
        at += std::chrono::milliseconds(50);
        prefill_sample sample;
        sample.uncached = 100 + tokens(random);
        sample.cached = i % 2 == 0 ? 5000 : 0;
        sample.observed_first_token_ms = engine.observed_first_token_ms(sample);
        if (i % 5 == 0)
            sample.observed_first_token_ms += unpredicted_wait(random);
        estimator.observe(at, sample);
        estimator.refresh(at);
    }
    return at;
}

/// Relative error of the predicted time to first token, for 6,000 tokens after
/// 5,000 cached ones.
double error_of(const prefill_cost_model& model, const true_engine& engine)
{
    prefill_sample input;
    input.uncached = 6000;
    input.cached = 5000;
    const double expected = engine.observed_first_token_ms(input);
    const double predicted =
        model.first_ms + model.prefill_time_ms(input.cached, input.uncached);
    return std::abs(predicted - expected) / expected;
}

/// Two engines that get requests with the same prompt prefix.
struct fixture : two_engines
{
    explicit fixture(double token_bytes, const mechanism_set& used = {})
        : two_engines(100000, token_bytes, used)
    {
    }

    /// A request with the shared prefix of 5,000 tokens and a last part `own`.
    [[nodiscard]] request_profile profile_with(std::uint64_t own) const
    {
        return make_profile({{1, 5000}, {own, 300}});
    }

    placement_decision place(request_profile profile, time_point now)
    {
        return std::get<placement_decision>(
            tested_router.decide(now, profile, drafts, {}, true));
    }

    /// Places a request and sends it.
    placement_decision send(const request_profile& profile, time_point now)
    {
        placement_decision placed = place(profile, now);
        tested_router.sent(now, profile, placed);
        return placed;
    }

    /// Reports that another instance has sent `unread_ms` of prefill to an
    /// engine.
    void report_load(const std::string& engine, double unread_ms,
                     time_point now)
    {
        exchange_report report;
        report.sender = "other";
        endpoint_work work;
        work.endpoint = endpoint_id::of(engine);
        work.unread_ms = unread_ms;
        work.waiting = 1;
        report.work = {work};
        tested_router.on_report(now, report);
    }
};

constexpr std::chrono::seconds later{2};

} // namespace

// Three engine types whose parameters match no constant in the code.
Test(direct_estimator, the_model_converges_despite_unpredicted_waits)
{
    for (const true_engine engine :
         {true_engine{36, 60, 0.24}, true_engine{6, 55, 0.32},
          true_engine{120, 9, 0.9}})
    {
        engine_estimator estimator;
        estimator.set_prior(30);
        feed_observations(estimator, engine, 300, start);
        cr_expect_lt(error_of(estimator.figures(), engine), 0.1, "%f for %f",
                     error_of(estimator.figures(), engine), engine.first_ms);
    }
}

Test(direct_estimator, a_change_of_engines_is_learned_within_a_minute)
{
    engine_estimator estimator;
    estimator.set_prior(30);
    const time_point changed =
        feed_observations(estimator, {36, 60, 0.24}, 400, start);
    const true_engine slower{60, 20, 0.5};
    feed_observations(estimator, slower, 1200, changed);
    cr_expect_lt(error_of(estimator.figures(), slower), 0.15);
}

Test(direct_estimator, the_prior_applies_before_any_observation)
{
    engine_estimator estimator;
    estimator.set_prior(20);
    estimator.refresh(start);
    cr_expect_float_eq(estimator.figures().ms_per_token, 0.05, 1e-9);
    cr_expect_leq(estimator.figures().weight, engine_estimator::prior_weight);
    engine_estimator without_throughput;
    without_throughput.set_prior(0);
    cr_expect_gt(without_throughput.figures().ms_per_token, 0.0);
}

Test(direct_estimator, a_starting_instance_uses_reported_models)
{
    const true_engine engine{36, 60, 0.24};
    engine_estimator running;
    running.set_prior(30);
    const time_point at = feed_observations(running, engine, 300, start);
    engine_estimator starting;
    starting.set_prior(30);
    starting.report(at, instance_id::of("old"), running.own(at));
    starting.refresh(at);
    cr_expect_lt(error_of(starting.figures(), engine), 0.15);
    starting.refresh(at + 2 * engine_estimator::report_lifetime);
    cr_expect_leq(starting.figures().weight, engine_estimator::prior_weight);
}

Test(direct_estimator, implausible_observations_leave_a_usable_model)
{
    engine_estimator estimator;
    estimator.set_prior(30);
    for (int i = 0; i < 100; ++i)
    {
        prefill_sample sample;
        sample.uncached = i % 2 == 0 ? 1e9 : 0;
        sample.cached = 1e9;
        sample.observed_first_token_ms = -1000;
        estimator.observe(start, sample);
        estimator.refresh(start);
    }
    cr_expect(std::isfinite(estimator.figures().prefill_time_ms(0, 1000)));
    cr_expect_geq(estimator.figures().first_ms, 0.0);
    cr_expect_gt(estimator.figures().ms_per_token, 0.0);
}

// Load pattern: many requests share a prefix while the engine that has it
// cached is busy. At 160 KB per token, the transfer of 5,000 tokens takes 16
// ms, their prefill 250 ms.
Test(direct_fetch, a_prefix_is_fetched_if_its_engine_is_busy)
{
    fixture fix(160000);
    const placement_decision first = fix.send(fix.profile_with(2), start);
    const time_point now = start + later;
    fix.report_load(first.endpoint.boot, 400, now);
    const placement_decision second = fix.place(fix.profile_with(3), now);
    cr_expect(second.endpoint.boot != first.endpoint.boot);
    cr_assert(second.fetch.has_value());
    cr_expect_str_eq(second.fetch->address.c_str(),
                     first.endpoint.address.c_str());
    cr_expect_float_eq(second.fetch->tokens, 5000, 1e-6);
    cr_expect_float_eq(second.cached_tokens, 5000, 1e-6);
    cr_expect_float_eq(second.fetch->transfer_ms, 20, 1e-6);
}

Test(direct_fetch, a_locally_cached_prefix_is_not_fetched)
{
    fixture fix(160000);
    placement_decision first = fix.send(fix.profile_with(2), start);
    fix.tested_router.first_token(start + milliseconds(150),
                                  fix.profile_with(2), first, start);
    const placement_decision second =
        fix.place(fix.profile_with(3), start + later);
    cr_expect(second.endpoint.boot == first.endpoint.boot);
    cr_expect_not(second.fetch.has_value());
}

// Load pattern: a second request arrives while the first one's prefill is still
// in progress, so nothing can be fetched from that engine yet.
Test(direct_fetch, nothing_is_fetched_before_its_prefill_ends)
{
    fixture fix(160000);
    const placement_decision first = fix.send(fix.profile_with(2), start);
    fix.report_load(first.endpoint.boot, 4000, start);
    const placement_decision second = fix.place(fix.profile_with(3), start);
    cr_expect(second.endpoint.boot != first.endpoint.boot);
    cr_expect_not(second.fetch.has_value());
    cr_expect_float_eq(second.cached_tokens, 0, 1e-6);
}

// The token count comes from the caller and can be of any size. The predicted
// end of the prefill must not overflow the clock and lie in the past.
Test(direct_fetch, a_prompt_of_absurd_size_is_not_considered_cached)
{
    for (const double tokens : {1e11, 1e12, 1e13, 1e14, 1e15})
    {
        fixture fix(160000);
        request_profile oversized = fix.profile_with(2);
        oversized.prompt_tokens = tokens;
        const placement_decision first = fix.send(oversized, start);
        fix.report_load(first.endpoint.boot, 4000, start + later);
        const placement_decision second =
            fix.place(fix.profile_with(3), start + later);
        cr_expect_not(second.fetch.has_value(), "%g tokens", tokens);
        cr_expect_not(second.endpoint.boot == first.endpoint.boot);
    }
}

// With 40 times the bytes per token, the transfer takes longer than the
// prefill.
Test(direct_fetch, no_fetch_if_the_transfer_takes_longer_than_prefill)
{
    fixture fix(6400000);
    const placement_decision first = fix.send(fix.profile_with(2), start);
    const time_point now = start + later;
    fix.report_load(first.endpoint.boot, 4000, now);
    const placement_decision second = fix.place(fix.profile_with(3), now);
    cr_expect(second.endpoint.boot != first.endpoint.boot);
    cr_expect_not(second.fetch.has_value());
}

Test(direct_fetch, no_fetch_if_engines_cannot_transfer)
{
    fixture fix(0);
    const placement_decision first = fix.send(fix.profile_with(2), start);
    const time_point now = start + later;
    fix.report_load(first.endpoint.boot, 4000, now);
    cr_expect_not(fix.place(fix.profile_with(3), now).fetch.has_value());
}

Test(direct_fetch, a_removed_or_unreachable_source_is_not_used)
{
    fixture fix(160000);
    const placement_decision first = fix.send(fix.profile_with(2), start);
    const time_point now = start + later;
    placement_decision lost = first;
    fix.tested_router.finished(now, lost, attempt_outcome::unreachable);
    cr_expect_not(fix.place(fix.profile_with(3), now).fetch.has_value());
    const std::string other = first.endpoint.boot == "one" ? "two" : "one";
    fix.list({other, "three"});
    cr_expect_not(
        fix.place(fix.profile_with(4), now + later).fetch.has_value());
}

Test(direct_fetch, fetching_can_be_switched_off)
{
    mechanism_set used;
    used.switch_off(mechanism::prompt_fetch);
    fixture fix(160000, used);
    const placement_decision first = fix.send(fix.profile_with(2), start);
    const time_point now = start + later;
    fix.report_load(first.endpoint.boot, 4000, now);
    cr_expect_not(fix.place(fix.profile_with(3), now).fetch.has_value());
}

// Transfers queue at a link: the second of two that start at once takes twice
// as long.
Test(direct_fetch, transfers_queue_at_a_busy_link)
{
    service engines;
    engines.token_bytes = 160000;
    engines.link_bytes_per_ms = 50e6;
    fetch_links links;
    const endpoint_id one = endpoint_id::of("one");
    const endpoint_id two = endpoint_id::of("two");
    const endpoint_id three = endpoint_id::of("three");
    fetch_plan plan;
    plan.source = one;
    plan.transfer_ms = links.transfer_ms(start, engines, one, two, 5000);
    links.record_transfer(start, plan, two);
    const double again = links.transfer_ms(start, engines, one, three, 5000);
    cr_expect_float_eq(again, 2 * plan.transfer_ms, 0.01);
    const double after =
        links.transfer_ms(start + later, engines, one, three, 5000);
    cr_expect_float_eq(after, plan.transfer_ms, 0.01);
}

// An engine that restarts under its old name has an empty KV cache and no open
// requests, and its slowdown factor and failures no longer apply.
Test(direct_restart, a_restarted_engine_has_no_history)
{
    fixture fix(0);
    fix.list({"one"}, 1000);
    const placement_decision first = fix.send(fix.profile_with(2), start);
    const time_point now = start + later;
    placement_decision failing = first;
    fix.tested_router.finished(now, failing, attempt_outcome::unreachable);
    placement_decision open = fix.send(fix.profile_with(3), now + later);
    cr_expect_gt(fix.place(fix.profile_with(4), now + later).cached_tokens,
                 4999.0);
    fix.list({"one"}, 2000);
    cr_expect_not(fix.tested_router.knows(first.request_load.endpoint));
    const placement_decision restarted = fix.place(fix.profile_with(4), now);
    cr_expect_float_eq(restarted.cached_tokens, 0, 1e-6);
    cr_expect_float_eq(restarted.wait_ms, 0, 1e-6);
    cr_expect_float_eq(restarted.slowdown, 1, 1e-6);
    fix.tested_router.finished(now, open, attempt_outcome::failed);
    cr_expect_float_eq(fix.place(fix.profile_with(5), now).wait_ms, 0, 1e-6);
}

// Load pattern: other instances send small requests to an engine that has just
// received a long prompt, which delays them. A long prompt is therefore
// reported at once, a small one with the next periodic report.
Test(direct_reports, a_long_prompt_makes_a_report_urgent)
{
    fixture fix(0);
    request_profile small = fix.profile_with(2);
    small.parts = {{7, 100}};
    small.prompt_tokens = 100;
    fix.send(small, start);
    cr_expect_not(fix.tested_router.report_is_urgent());
    fix.send(fix.profile_with(3), start);
    cr_expect(fix.tested_router.report_is_urgent());
    exchange_report report;
    fix.tested_router.fill_report(start, report);
    cr_expect_not(fix.tested_router.report_is_urgent());
}
