// Waits for a slot of an endpoint, and the mean hold time that predicts them.
#include "direct_fixture.hpp"

#include "sycamorelock/core/direct/hold_time.hpp"

#include <criterion/criterion.h>

#include <iterator>

using namespace sycamorelock::core;
using namespace sycamorelock::core::direct;

namespace
{

constexpr unsigned slots = 64;

/// Two engines of 64 slots with load from other instances.
struct fixture : two_engines
{
    explicit fixture(const mechanism_set& used = {})
        : two_engines(100000, 0, used)
    {
    }

    /// Sends `count` requests one after the other, each of which takes
    /// `length`. Returns the end of the last one.
    time_point run_requests(int count, milliseconds length)
    {
        time_point now = start;
        for (int i = 0; i < count; ++i)
        {
            request_profile profile = make_profile({{1, 100}}, now);
            auto placed = std::get<placement_decision>(
                tested_router.decide(now, profile, drafts, {}, true));
            tested_router.sent(now, profile, placed);
            tested_router.first_token(now + milliseconds(30), profile, placed,
                                      now);
            now += length;
            tested_router.finished(now, placed, attempt_outcome::succeeded);
        }
        return now;
    }

    /// Reports that another instance runs so many streams at each engine.
    void report_streams(unsigned running, time_point now)
    {
        exchange_report report;
        report.sender = "other";
        for (const char* const name : {"one", "two"})
        {
            endpoint_work work;
            work.endpoint = endpoint_id::of(name);
            work.running = running;
            report.work.push_back(work);
        }
        tested_router.on_report(now, report);
    }

    routing_decision decide(time_point now)
    {
        request_profile profile = make_profile({{1, 100}}, now);
        return tested_router.decide(now, profile, drafts, {}, false);
    }
};

bool is_placed(const routing_decision& decision)
{
    return std::holds_alternative<placement_decision>(decision);
}

} // namespace

Test(direct_hold_time, the_mean_covers_recent_requests)
{
    hold_time hold(5000);
    cr_expect_float_eq(hold.mean_ms(), 5000, 1e-9);
    hold.observe(100);
    cr_expect_float_eq(hold.mean_ms(), 100, 1e-9);
    hold.observe(300);
    cr_expect_float_eq(hold.mean_ms(), 200, 1e-9);
    for (std::size_t i = 0; i < 5 * hold_time::averaged_requests; ++i)
        hold.observe(1000);
    cr_expect_float_eq(hold.mean_ms(), 1000, 10);
    hold.observe(-5000);
    cr_expect_geq(hold.mean_ms(), 900);
}

Test(direct_hold_time, slots_free_up_evenly_over_the_mean_hold_time)
{
    hold_time hold;
    hold.observe(640);
    cr_expect_float_eq(hold.wait_ms(0, 64), 0, 1e-9);
    cr_expect_float_eq(hold.wait_ms(63, 64), 0, 1e-9);
    cr_expect_float_eq(hold.wait_ms(64, 64), 10, 1e-9);
    cr_expect_float_eq(hold.wait_ms(127, 64), 640, 1e-9);
}

// Guards against refusals although a slot is free within some ms. Load pattern:
// as many short answers as the engines have slots; the instance learns a few ms
// late which of them have ended.
Test(direct_slots, full_engines_with_short_answers_get_requests)
{
    fixture fix;
    const time_point now = fix.run_requests(20, milliseconds(180));
    fix.report_streams(slots, now);
    const routing_decision decision = fix.decide(now);
    cr_assert(is_placed(decision));
    // 40 ms is a twentieth of the objective.
    cr_expect_lt(std::get<placement_decision>(decision).wait_ms, 40);
}

// Load pattern: answers that take a minute fill all slots. The next slot is
// free in about a second, which exceeds the longest allowed wait.
Test(direct_slots, full_engines_with_long_answers_get_no_requests)
{
    fixture fix;
    const time_point now = fix.run_requests(3, milliseconds(60000));
    fix.report_streams(slots, now);
    const routing_decision decision = fix.decide(now);
    cr_assert_not(is_placed(decision));
    const auto& refused = std::get<refusal_decision>(decision);
    cr_expect(refused.reason == refusal::overloaded);
    cr_expect_geq(refused.wait_ms, 60000.0 / slots);
}

// As many requests wait as there are slots, so the wait is one whole answer.
Test(direct_slots, requests_that_wait_for_a_slot_count)
{
    fixture fix;
    const time_point now = fix.run_requests(20, milliseconds(1000));
    fix.report_streams(2 * slots, now);
    cr_expect_not(is_placed(fix.decide(now)));
}

Test(direct_slots, the_default_applies_without_learned_figures)
{
    mechanism_set used;
    used.switch_off(mechanism::learned_figures);
    fixture fix(used);
    const time_point now = fix.run_requests(3, milliseconds(60000));
    fix.report_streams(slots, now);
    cr_expect(is_placed(fix.decide(now)));
}
