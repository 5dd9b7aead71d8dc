// Tests of what an instance believes of the slowdowns that endpoints report.
#include "sycamorelock/core/direct/slowdown_tracker.hpp"

#include "direct_fixture.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>

using namespace sycamorelock::core;
using namespace sycamorelock::core::direct;

namespace
{

const endpoint_id engine = endpoint_id::of("engine");

endpoint_load load_of(double slowdown)
{
    endpoint_load load;
    load.slowdown = slowdown;
    return load;
}

double present(const slowdown_tracker& tracker, time_point now)
{
    const auto known = tracker.belief(now, engine);
    return known ? known->present : 0;
}

} // namespace

Test(slowdown_tracker, a_disturbance_is_believed_as_long_as_it_lasts)
{
    slowdown_tracker tracker;
    for (int second = 0; second < 5; ++second)
        tracker.note_load(start + std::chrono::seconds(second), engine,
                          load_of(0.7));
    const time_point disturbed = start + std::chrono::seconds(5);
    tracker.note_load(disturbed, engine, load_of(1.75));
    cr_expect_float_eq(present(tracker, disturbed + milliseconds(250)), 1.75,
                       1e-9);
    // The longer ago the report, the sooner the disturbance ends.
    const auto early = tracker.belief(disturbed + milliseconds(100), engine);
    const auto late = tracker.belief(disturbed + milliseconds(500), engine);
    cr_expect_float_eq(early->over(20), 1.75, 1e-9);
    cr_expect_lt(late->over(200), early->over(200));
    cr_expect_lt(early->over(400), early->over(200));
    cr_expect_gt(late->over(400), 0.7);
    cr_expect_float_eq(present(tracker, disturbed + milliseconds(600)), 0.7,
                       1e-9);
}

// 15 of 100 reports are of a disturbed machine, and those are passed on at
// once, so an instance hears of them more often than of the usual speed.
Test(slowdown_tracker, disturbances_do_not_change_the_lasting_slowdown)
{
    std::mt19937 random(1);
    std::bernoulli_distribution is_disturbed(0.15);
    slowdown_tracker tracker;
    time_point now = start;
    unsigned wrong = 0;
    for (int i = 0; i < 500; ++i)
    {
        now += milliseconds(600);
        const bool disturbed = is_disturbed(random);
        if (disturbed || i % 8 == 0)
            tracker.note_load(now, engine, load_of(disturbed ? 4.25 : 1.7));
        if (i >= 20 && tracker.belief(now, engine)->lasting != 1.7)
            ++wrong;
    }
    cr_expect_leq(wrong, 5U, "%u", wrong);
}

Test(slowdown_tracker, another_lasting_speed_is_learned_within_half_a_minute)
{
    slowdown_tracker tracker;
    time_point now = start;
    for (int i = 0; i < 60; ++i, now += std::chrono::seconds(1))
        tracker.note_load(now, engine, load_of(0.7));
    for (int i = 0; i < 28; ++i, now += std::chrono::seconds(1))
        tracker.note_load(now, engine, load_of(1.7));
    cr_expect_float_eq(tracker.belief(now, engine)->lasting, 1.7, 1e-9);
}

Test(slowdown_tracker, notes_merge_in_any_order)
{
    std::vector<slowdown_note> notes;
    for (int i = 0; i < 12; ++i)
        notes.push_back({engine, milliseconds(100 + 350 * i),
                         i % 5 == 1 ? 2.5 : 1 + 0.01 * i});
    std::mt19937 random(3);
    slowdown_tracker expected;
    for (const slowdown_note& each : notes)
        expected.add_remote(start, each);
    for (int round = 0; round < 20; ++round)
    {
        std::shuffle(notes.begin(), notes.end(), random);
        slowdown_tracker tracker;
        for (const slowdown_note& each : notes)
            tracker.add_remote(start, each);
        const auto one = expected.belief(start, engine);
        const auto other = tracker.belief(start, engine);
        cr_expect_float_eq(one->present, other->present, 1e-9);
        cr_expect_float_eq(one->lasting, other->lasting, 1e-9);
        cr_expect(one->age == other->age);
    }
}

Test(slowdown_tracker, only_what_matters_is_passed_on)
{
    slowdown_tracker tracker;
    time_point now = start;
    tracker.note_load(now, engine, load_of(1));
    cr_expect_eq(tracker.take_unreported(now).size(), 1U);
    now += milliseconds(700);
    tracker.note_load(now, engine, load_of(1.1));
    cr_expect(tracker.take_unreported(now).empty());
    now += milliseconds(700);
    tracker.note_load(now, engine, load_of(2.5));
    const auto told = tracker.take_unreported(now + milliseconds(40));
    cr_assert_eq(told.size(), 1U);
    cr_expect_float_eq(told[0].slowdown, 2.5, 1e-9);
    cr_expect(told[0].age == milliseconds(40));
    // The end of a disturbance is expected.
    now += milliseconds(700);
    tracker.note_load(now, engine, load_of(1));
    cr_expect(tracker.take_unreported(now).empty());
    now += slowdown_tracker::repeat_interval;
    tracker.note_load(now, engine, load_of(1));
    cr_expect_eq(tracker.take_unreported(now).size(), 1U);
}

Test(slowdown_tracker, what_others_have_passed_on_is_not_passed_on_again)
{
    slowdown_tracker tracker;
    tracker.note_load(start, engine, load_of(2.5));
    tracker.add_remote(start + milliseconds(20),
                       {engine, milliseconds(30), 2.5});
    cr_expect(tracker.take_unreported(start + milliseconds(50)).empty());
    tracker.note_load(start + milliseconds(60), engine, load_of(2.5));
    cr_expect(tracker.take_unreported(start + milliseconds(100)).empty());
}

Test(slowdown_tracker, an_endpoint_that_stops_reporting_is_forgotten)
{
    slowdown_tracker tracker;
    tracker.note_load(start, engine, load_of(1.7));
    tracker.note_load(start, engine, {});
    tracker.expire(start + slowdown_tracker::lifetime / 2);
    cr_expect(tracker.reports_slowdown(engine));
    tracker.expire(start + slowdown_tracker::lifetime);
    cr_expect_not(tracker.reports_slowdown(engine));
    cr_expect_not(
        tracker.belief(start + slowdown_tracker::lifetime, engine).has_value());
    tracker.add_remote(start, {engine, slowdown_tracker::lifetime, 3});
    cr_expect_not(tracker.reports_slowdown(engine));
}

Test(slowdown_tracker, a_restarted_endpoint_is_not_judged_by_its_past)
{
    two_engines fixture(0, 0);
    fixture.list({"one", "two"}, 1);
    endpoint_record one = engine_record("one");
    one.started_ms = 1;
    fixture.tested_router.note_load(start, one, load_of(3));
    cr_expect(fixture.tested_router.reports_slowdown(drafts));
    fixture.list({"one", "two"}, 2);
    cr_expect_not(fixture.tested_router.reports_slowdown(drafts));
    // A response of the earlier start that comes late.
    fixture.tested_router.note_load(start, one, load_of(3));
    const slowdown_note late{one.id(), milliseconds(10), 3};
    fixture.tested_router.on_slowdowns(start, {&late, 1});
    cr_expect_not(fixture.tested_router.reports_slowdown(drafts));
    cr_expect_eq(fixture.tested_router.slowdowns().size(), 0U);
}
