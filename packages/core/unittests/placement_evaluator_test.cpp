// Cost of an endpoint for one request: what each kind of load and fault adds to
// it, without a router.
#include "sycamorelock/core/direct/placement_evaluator.hpp"

#include <criterion/criterion.h>

#include <array>

using namespace sycamorelock::core;
using namespace sycamorelock::core::direct;

namespace
{

constexpr time_point start{std::chrono::seconds(1000)};

/// Two engines of one service that prefill 10 tokens a millisecond, and a
/// request of 1,000 tokens, of which 900 are shared.
struct two_candidates
{
    service engines;
    route stream_route;
    request_profile request;
    endpoint_state one = engine("one");
    endpoint_state two = engine("two");
    load_ledger ledger;
    prefix_cache cache;
    fetch_links links;
    slowdown_tracker slowdowns;
    domain_demand demand;
    mechanism_set mechanisms;
    double remote_price_ms = 0;

    two_candidates()
    {
        engines.id = service_id::of("drafts");
        engines.kv_capacity_tokens = 600000;
        engines.token_bytes = 100000;
        engines.link_bytes_per_ms = 50e6;
        stream_route.objective = milliseconds(800);
        request.route_config = &stream_route;
        request.parts = {{1, 900}, {2, 100}};
        request.prompt_tokens = 1000;
        request.arrived = start;
        request.deadline = start + std::chrono::seconds(10);
    }

    static endpoint_state engine(const std::string& name)
    {
        endpoint_state state;
        state.record.boot = name;
        state.record.slots = 64;
        state.record.domain = domain_id::of("north");
        state.id = state.record.id();
        return state;
    }

    [[nodiscard]] placement_evaluator evaluator() const
    {
        return {{ledger, cache, links, slowdowns, demand},
                mechanisms,
                domain_id::of("north"),
                1};
    }

    [[nodiscard]] placement_candidate
    evaluate(const endpoint_state& endpoint) const
    {
        const std::array<const endpoint_state*, 2> listed{&one, &two};
        const prefill_cost_model figures{20, 0.1, 0, 100};
        const evaluation_context context{
            start,
            request,
            engines,
            figures,
            hold_time(5000),
            evaluator().find_source(start, request, engines, listed),
            remote_price_ms,
            0,
            30};
        return evaluator().evaluate(context, endpoint);
    }

    /// Sends so many prompts of 1,000 tokens to an engine.
    void send(const endpoint_state& endpoint, int prompts)
    {
        for (int i = 0; i < prompts; ++i)
        {
            load_ledger::request_load load;
            load.endpoint = endpoint.id;
            load.unread_ms = 100;
            load.tokens = 1000;
            ledger.open(load);
        }
    }
};

} // namespace

// A burst of prompts at one engine.
Test(placement_evaluator, waiting_prompts_add_their_prefill)
{
    two_candidates fixture;
    fixture.send(fixture.one, 3);
    const placement_candidate busy = fixture.evaluate(fixture.one);
    const placement_candidate idle = fixture.evaluate(fixture.two);
    cr_expect_float_eq(busy.wait_ms, 300, 1e-6, "%f", busy.wait_ms);
    cr_expect_float_eq(busy.cost.wait, 300, 1e-6, "%f", busy.cost.wait);
    cr_expect_eq(idle.wait_ms, 0);
    cr_expect_float_eq(busy.prefill_ms, idle.prefill_ms, 1e-6);
}

// Streams that hold all slots of an engine while no prompt waits.
Test(placement_evaluator, an_engine_without_a_free_slot_has_a_wait)
{
    two_candidates fixture;
    for (int i = 0; i < 64; ++i)
    {
        load_ledger::request_load load;
        load.endpoint = fixture.one.id;
        fixture.ledger.open(load);
        fixture.ledger.begin(load);
    }
    const placement_candidate full = fixture.evaluate(fixture.one);
    cr_expect_lt(full.free_slots, 1);
    cr_expect_gt(full.wait_ms, 0);
}

// Requests with a common prefix, at equal load.
Test(placement_evaluator, a_cached_prefix_saves_prefill_and_its_repetition)
{
    two_candidates fixture;
    fixture.engines.token_bytes = 0;
    fixture.cache.touch(fixture.one.id, fixture.request.parts, 500000, start);
    fixture.request.parts = {{1, 900}, {3, 100}};
    const placement_candidate kept = fixture.evaluate(fixture.one);
    const placement_candidate missing = fixture.evaluate(fixture.two);
    cr_expect_float_eq(kept.cached, 900, 1e-6, "%f", kept.cached);
    cr_expect_float_eq(kept.prefill_ms, 10, 1e-6, "%f", kept.prefill_ms);
    cr_expect_float_eq(missing.prefill_ms, 100, 1e-6, "%f", missing.prefill_ms);
    // The price of prefill, beyond the delay of the request itself.
    cr_expect_gt(missing.cost.prefill, missing.prefill_ms);
    fixture.mechanisms.switch_off(mechanism::reread_price);
    cr_expect_float_eq(fixture.evaluate(fixture.two).cost.prefill, 100, 1e-6);
}

// A hot prefix whose engine is busy: the other one fetches it where that costs
// less than prefill, and not over a link on which it takes longer.
Test(placement_evaluator, a_prefix_is_fetched_only_if_that_costs_less)
{
    two_candidates fixture;
    fixture.cache.touch(fixture.one.id, fixture.request.parts, 500000, start);
    fixture.request.parts = {{1, 900}, {3, 100}};
    const placement_candidate fetched = fixture.evaluate(fixture.two);
    cr_assert(fetched.fetch.has_value());
    cr_expect(fetched.fetch->source == fixture.one.id);
    cr_expect_gt(fetched.cost.transfer, fetched.fetch->transfer_ms);
    fixture.engines.link_bytes_per_ms = 100;
    cr_expect_not(fixture.evaluate(fixture.two).fetch.has_value());
}

// Machines that a disturbance slows down, and engines that fail requests.
Test(placement_evaluator, slow_and_failing_engines_cost_more)
{
    two_candidates fixture;
    fixture.slowdowns.note_load(start, fixture.one.id, {0, 0, 64, 3.0});
    const placement_candidate slow = fixture.evaluate(fixture.one);
    cr_expect_gt(slow.slowdown, 1.5, "%f", slow.slowdown);
    cr_expect_float_eq(slow.prefill_ms, 100 * slow.slowdown, 1e-6);
    fixture.two.health.failed(start);
    const placement_candidate failing = fixture.evaluate(fixture.two);
    cr_expect_gt(failing.cost.failure, 0);
    fixture.mechanisms.switch_off(mechanism::failure_price);
    fixture.mechanisms.switch_off(mechanism::reported_slowdown);
    cr_expect_eq(fixture.evaluate(fixture.two).cost.failure, 0);
    cr_expect_eq(fixture.evaluate(fixture.one).slowdown, 1);
}

// Traffic to another failure domain, with and without a price.
Test(placement_evaluator, another_domain_costs_its_price)
{
    two_candidates fixture;
    fixture.two.record.domain = domain_id::of("south");
    cr_expect_eq(fixture.evaluate(fixture.one).cost.remote_domain, 0);
    const double unpriced = fixture.evaluate(fixture.two).cost.remote_domain;
    cr_expect_gt(unpriced, 0);
    fixture.remote_price_ms = 40;
    cr_expect_float_eq(fixture.evaluate(fixture.two).cost.remote_domain,
                       unpriced + 40, 1e-6);
}

// The first prompt at an engine of which nothing has been observed: its wait is
// a default estimate and no reason to refuse.
Test(placement_evaluator, a_wait_for_one_unobserved_prompt_is_unreliable)
{
    two_candidates fixture;
    fixture.send(fixture.one, 1);
    const auto is_unreliable = [&fixture](double weight)
    {
        const evaluation_context context{start,
                                         fixture.request,
                                         fixture.engines,
                                         {20, 0.1, 0, weight},
                                         hold_time(5000),
                                         {},
                                         0,
                                         0,
                                         30};
        const placement_evaluator evaluator = fixture.evaluator();
        return evaluator.wait_is_unreliable(
            context, evaluator.evaluate(context, fixture.one));
    };
    cr_expect(is_unreliable(0));
    cr_expect_not(is_unreliable(1000));
    fixture.send(fixture.one, 1);
    cr_expect_not(is_unreliable(0));
}
