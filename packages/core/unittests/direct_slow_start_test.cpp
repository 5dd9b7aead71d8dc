// Endpoints that warm up: what they get from a whole fleet in any second, and
// what a router does with a request that may not go there.
#include "direct_fixture.hpp"

#include "warming_fleet.hpp"

#include <criterion/criterion.h>

using namespace sycamorelock::core;
using namespace sycamorelock::core::direct;
using model::shared_by_owners;
using model::shared_evenly;
using model::warming_fleet;
using model::warming_result;
using std::chrono::seconds;

namespace
{

constexpr unsigned allowance = 15;
/// Requests that all instances together would send are some times more.
constexpr double busy = 0.01;

time_point at(int ms)
{
    return start + milliseconds(ms);
}

/// A fleet that has found itself, from which on arrivals count.
template <class Sharing>
warming_fleet<Sharing> settled(std::size_t instances, std::uint64_t seed)
{
    warming_fleet<Sharing> fleet(instances, allowance, seed);
    fleet.run(seconds(12), 0);
    fleet.forget_arrivals();
    return fleet;
}

/// One domain is cut from the others, and single instances from all.
bool hears_through_cuts(std::size_t from, std::size_t to)
{
    const bool alone = from % 7 == 3 || to % 7 == 3;
    return !alone && (from % 3 == 0) == (to % 3 == 0);
}

} // namespace

// A burst that arrives within a millisecond: the bound counts any second.
Test(direct_slow_start, a_fleet_uses_the_allowance_and_not_more)
{
    for (const std::size_t instances : {1U, 2U, 14U, 74U})
    {
        auto fleet = settled<shared_by_owners>(instances, instances);
        fleet.run(seconds(10), 1);
        const warming_result seen = fleet.result();
        cr_expect_leq(seen.worst, allowance, "%zu instances: %u", instances,
                      seen.worst);
        // Domains without an instance leave their part.
        const double domains = double(std::min<std::size_t>(instances, 3)) / 3;
        cr_expect_geq(seen.used, domains * 0.9, "%zu instances: %f", instances,
                      seen.used);
    }
}

Test(direct_slow_start, parts_of_a_fleet_that_is_cut_stay_within_the_allowance)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        auto fleet = settled<shared_by_owners>(74, seed);
        fleet.set_reach(hears_through_cuts);
        fleet.run(seconds(15), busy);
        fleet.set_reach({});
        fleet.run(seconds(10), busy);
        const warming_result seen = fleet.result();
        cr_expect_leq(seen.worst, allowance, "%u", seen.worst);
        cr_expect_geq(seen.used, 0.8, "%f", seen.used);
    }
}

// They know nothing of each other at first.
Test(direct_slow_start, a_fleet_that_starts_anew_stays_within_the_allowance)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        auto fleet = settled<shared_by_owners>(74, seed);
        fleet.run(seconds(2), busy);
        for (std::size_t i = 0; i < fleet.size(); ++i)
            fleet.start(i);
        fleet.run(seconds(15), busy);
        cr_expect_leq(fleet.result().worst, allowance, "%u",
                      fleet.result().worst);
    }
}

Test(direct_slow_start, instances_that_end_and_return_stay_within_the_allowance)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        auto fleet = settled<shared_by_owners>(74, seed);
        for (int round = 0; round < 4; ++round)
        {
            for (std::size_t i = std::size_t(round); i < fleet.size(); i += 5)
                fleet.kill(i);
            fleet.run(seconds(1 + round), busy);
            for (std::size_t i = std::size_t(round); i < fleet.size(); i += 5)
                fleet.start(i);
            fleet.run(seconds(3), busy);
        }
        const warming_result seen = fleet.result();
        cr_expect_leq(seen.worst, allowance, "%u", seen.worst);
        cr_expect_geq(seen.used, 0.6, "%f", seen.used);
    }
}

// What a frozen instance had chosen is asked about again when it wakes.
Test(direct_slow_start, a_pause_releases_no_heap)
{
    auto fleet = settled<shared_by_owners>(74, 3);
    for (int round = 0; round < 5; ++round)
    {
        for (std::size_t i = 0; i < fleet.size(); i += 2)
            fleet.freeze(i, seconds(1 + 2 * round));
        fleet.run(seconds(4), 1);
    }
    cr_expect_leq(fleet.result().worst, allowance, "%u", fleet.result().worst);
}

// The figures of the other way, for docs/design/shifted-work.md: even parts of
// a number of instances that each knows for itself.
Test(direct_slow_start, even_parts_would_exceed_the_allowance)
{
    auto fleet = settled<shared_evenly>(74, 1);
    fleet.run(seconds(10), busy);
    const warming_result calm = fleet.result();
    fleet.set_reach(hears_through_cuts);
    fleet.run(seconds(15), busy);
    const warming_result cut = fleet.result();
    cr_log_info("even parts: calm %u and %.2f, cut %u and %.2f", calm.worst,
                calm.used, cut.worst, cut.used);
    cr_expect_gt(cut.worst, allowance);
}

Test(direct_slow_start, the_part_of_a_domain_does_not_depend_on_the_others)
{
    const domain_id own = domain_id::of("a");
    const std::set<domain_id> all{own, domain_id::of("b"), domain_id::of("c")};
    const endpoint_id cold = endpoint_id::of("e");
    allowance_parts alone(instance_id::of("x"), own, all);
    alone.set_members(start, {});
    cr_expect_eq(alone.own_part(start, cold, 15), 0U, "nothing settled yet");
    cr_expect_eq(alone.own_part(start + seconds(2), cold, 15), 5U);
    allowance_parts among(instance_id::of("x"), own, all);
    among.set_members(start, {{instance_id::of("y"), domain_id::of("b")}});
    cr_expect_eq(among.own_part(start + seconds(2), cold, 15), 5U);
    // A part that is gained settles, one that is lost is gone at once.
    alone.set_members(start + seconds(3), {{instance_id::of("z"), own}});
    const unsigned shared = alone.own_part(start + seconds(3), cold, 15);
    cr_expect(shared == 2 || shared == 3);
    alone.set_members(start + seconds(9), {});
    cr_expect_eq(alone.own_part(start + seconds(10), cold, 15), shared);
    cr_expect_eq(alone.own_part(start + seconds(11), cold, 15), 5U);
    cr_expect_eq(alone.own_part(start + seconds(11), cold, 0), 0U);
}

Test(direct_slow_start, the_longest_time_holds_and_an_absurd_one_is_bounded)
{
    slow_start limits;
    const endpoint_id cold = endpoint_id::of("e");
    limits.note(start, cold, seconds(3), false);
    limits.note(start, cold, seconds(1), false);
    limits.note(start, cold, seconds(-5), false);
    cr_expect(limits.left(start, cold) == seconds(3));
    cr_expect(limits.limited_until(cold, 0) == start + seconds(3));
    cr_expect(limits.limited_until(cold, 1) ==
              start + seconds(3) + slow_start::lift);
    limits.note(start, cold, std::chrono::hours(100), false);
    cr_expect(limits.left(start, cold) == slow_start::longest);
    cr_expect(limits.limited_until(endpoint_id::of("f"), 1) == time_point());
}

// Until all know of it, others send what a warm endpoint gets.
Test(direct_slow_start, an_endpoint_that_turns_cold_in_use_gets_a_pause)
{
    slow_start limits;
    const endpoint_id cold = endpoint_id::of("e");
    limits.note(start, cold, seconds(3), true);
    cr_expect_not(limits.admits(start, cold, 5, 0));
    cr_expect(limits.admits(start + slow_start::pause, cold, 5, 0));
    // Further news of the same warm-up begins no other pause.
    limits.note(start + seconds(1), cold, seconds(2), true);
    cr_expect(limits.admits(start + slow_start::pause, cold, 5, 0));
}

Test(direct_slow_start, chosen_and_sent_requests_count_in_a_sliding_second)
{
    slow_start limits;
    const endpoint_id cold = endpoint_id::of("e");
    limits.note(start, cold, seconds(10), false);
    limits.sent(at(500), cold);
    limits.sent(at(900), cold);
    cr_expect(limits.admits(at(1000), cold, 3, 0));
    cr_expect_not(limits.admits(at(1000), cold, 3, 1));
    cr_expect_not(limits.admits(at(1000), cold, 2, 0));
    cr_expect(limits.free_in(at(1000), cold, 2) ==
              at(500) + slow_start::window - at(1000));
    cr_expect_not(limits.admits(at(1510), cold, 2, 0));
    cr_expect(limits.admits(at(1530), cold, 2, 0));
    // Without a part it is free when it is warm.
    cr_expect(limits.free_in(at(1000), cold, 0) == seconds(9));
}

namespace
{

/// Two engines of a service that warms up for three seconds, before one
/// instance of a fleet with one failure domain.
struct fixture : two_engines
{
    fixture() : two_engines(10000, 0, {})
    {
        config->services[drafts].warmup = milliseconds(3000);
        config->services[drafts].warmup_per_second = 2;
        decides.install(start, config);
        decides.set_members(start - seconds(10), {});
    }

    static endpoint_record record(const std::string& boot, int left_ms,
                                  std::uint64_t revision = 1)
    {
        endpoint_record made = engine_record(boot);
        made.revision = revision;
        made.warmup_left = milliseconds(left_ms);
        return made;
    }
    void list_at(time_point now, const std::vector<endpoint_record>& records)
    {
        std::map<std::string, endpoint_record> all;
        for (const endpoint_record& each : records)
            all[each.boot] = each;
        decides.set_endpoints(now, all);
    }
    routing_decision decide(time_point now)
    {
        request_profile asked = ask_for({{1, 1000}, {2, 100}}, now);
        return decides.decide(now, asked, drafts, {}, false);
    }
    /// Requests that reach an engine within some milliseconds from `from` on,
    /// if one comes every ten.
    std::vector<time_point> reach(const std::string& boot, time_point from,
                                  int ms)
    {
        std::vector<time_point> times;
        for (int passed = 0; passed < ms; passed += 10)
        {
            const time_point now = from + milliseconds(passed);
            auto made = decide(now);
            auto* placed = std::get_if<placement_decision>(&made);
            if (placed == nullptr)
                continue;
            request_profile asked = ask_for({{1, 1000}, {2, 100}}, now);
            decides.sent(now, asked, *placed);
            if (decides.withheld(now, *placed))
            {
                decides.finished(now, *placed, attempt_outcome::abandoned);
                continue;
            }
            decides.written(now, *placed);
            decides.first_token(now, asked, *placed, now);
            decides.finished(now, *placed, attempt_outcome::succeeded);
            if (placed->endpoint.boot == boot)
                times.push_back(now);
        }
        return times;
    }
};

} // namespace

// The entry of an engine that starts tells its whole warm-up.
Test(direct_slow_start, an_engine_that_starts_gets_its_allowance)
{
    fixture fix;
    fix.list_at(start, {fixture::record("new", 3000)});
    cr_expect_eq(fix.decides.warming(start), 1U);
    cr_expect_eq(fix.reach("new", start, 1000).size(), 2U);
    cr_expect_eq(fix.reach("new", at(1100), 1000).size(), 2U);
    // After the warm-up and the time in which instances lift the limit.
    cr_expect_eq(fix.decides.warming(at(4100)), 0U);
    cr_expect_gt(fix.reach("new", at(4100), 1000).size(), 50U);
}

Test(direct_slow_start, an_engine_without_a_warm_up_is_not_limited)
{
    fixture fix;
    fix.list_at(start, {fixture::record("old", 0)});
    cr_expect_gt(fix.reach("old", start, 1000).size(), 50U);
    // Nor one whose service knows none, whatever its entry says.
    fix.config->services[drafts].warmup = milliseconds(0);
    fix.decides.install(start, fix.config);
    fix.list_at(at(1000), {fixture::record("odd", 60000)});
    cr_expect_gt(fix.reach("odd", at(1000), 1000).size(), 50U);
}

// The configuration may come after the entries.
Test(direct_slow_start, a_warm_up_holds_whatever_is_known_first)
{
    fixture fix;
    fix.config->services[drafts].warmup = milliseconds(0);
    fix.decides.install(start, fix.config);
    fix.list_at(start, {fixture::record("new", 3000)});
    auto newer = std::make_shared<catalogue>(*fix.config);
    newer->services[drafts].warmup = milliseconds(3000);
    newer->index();
    fix.decides.install(start, newer);
    cr_expect_eq(fix.reach("new", start, 1000).size(), 2U);
}

// Entry, other instances and a later entry may say different things.
Test(direct_slow_start, an_engine_that_turns_cold_again_is_limited_by_any_news)
{
    fixture fix;
    fix.list_at(start, {fixture::record("one", 0)});
    cr_expect_gt(fix.reach("one", start, 1000).size(), 50U);
    const endpoint_id one = fixture::record("one", 0).id();
    const warming_notice told{one, 5, milliseconds(2000)};
    fix.decides.on_warming(at(1000), {&told, 1});
    cr_expect_eq(fix.reach("one", at(1000), 1490).size(), 0U, "the pause");
    cr_expect_leq(fix.reach("one", at(2500), 500).size(), 2U);
    // An older notice, and the same one again, change nothing.
    const warming_notice old{one, 4, milliseconds(9000)};
    fix.decides.on_warming(at(3000), {&old, 1});
    fix.decides.on_warming(at(3000), {&told, 1});
    cr_expect_eq(fix.decides.warming(at(4100)), 0U);
    // A newer entry begins another warm-up, and others are told of it.
    fix.list_at(at(5000), {fixture::record("one", 3000, 9)});
    cr_expect_eq(fix.decides.warming(at(5000)), 1U);
    exchange_report report;
    fix.decides.fill_report(at(6000), report);
    cr_assert_eq(report.warming.size(), 1U);
    cr_expect_eq(report.warming[0].revision, 9U);
    cr_expect_eq(report.warming[0].left.count(), 2000);
}

// It may have been down, and be back before its entry says so.
Test(direct_slow_start, an_engine_that_was_away_is_taken_for_cold)
{
    fixture fix;
    fix.list_at(start, {fixture::record("one", 0), fixture::record("two", 0)});
    fix.list_at(at(100), {fixture::record("two", 0)});
    fix.list_at(at(900),
                {fixture::record("one", 0), fixture::record("two", 0)});
    cr_expect_eq(fix.decides.warming(at(900)), 1U);
    // So is one that could not be reached.
    fixture other;
    other.list_at(start, {fixture::record("one", 0)});
    auto placed = std::get<placement_decision>(other.decide(start));
    other.decides.finished(start, placed, attempt_outcome::unreachable);
    cr_expect_eq(other.decides.warming(at(100)), 1U);
    cr_expect_eq(other.decides.warming(at(4100)), 0U);
}

Test(direct_slow_start, a_domain_that_is_taken_back_is_cold)
{
    fixture fix;
    const domain_id yard = domain_id::of("yard");
    endpoint_record one = fixture::record("one", 0);
    one.domain = yard;
    fix.list_at(start, {one});
    fix.decides.set_drained(start, {yard}, {});
    const domain_drain ended{yard, 7, false, duration(0)};
    fix.decides.set_drained(at(1000), {}, {&ended, 1});
    cr_expect_eq(fix.reach("one", at(1000), 1000).size(), 2U);
    cr_expect_eq(fix.decides.warming(at(5100)), 0U);
    // An instance that hears of it later knows for how long it was taken back.
    fixture late;
    late.list_at(start, {one});
    const domain_drain long_ago{yard, 7, false, seconds(60)};
    late.decides.set_drained(start, {}, {&long_ago, 1});
    cr_expect_eq(late.decides.warming(start), 0U);
}

// Refused at once, and told when the engine may get one more.
Test(direct_slow_start, a_request_that_finds_no_place_is_told_a_time_that_holds)
{
    fixture fix;
    fix.list_at(start, {fixture::record("new", 3000)});
    cr_expect_eq(fix.reach("new", start, 10).size(), 1U);
    cr_expect_eq(fix.reach("new", at(500), 10).size(), 1U);
    for (int i = 0; i < 20; ++i)
    {
        const auto refused = std::get<refusal_decision>(fix.decide(at(600)));
        cr_expect(refused.reason == refusal::warming_up);
        cr_expect_geq(refused.retry_after.count(), 420);
        cr_expect_leq(refused.retry_after.count(), 530);
    }
    cr_expect(
        std::holds_alternative<placement_decision>(fix.decide(at(600 + 420))));
}

// Chosen while the engine was warm, and written after it was known to be cold.
Test(direct_slow_start, a_request_that_waits_for_its_connection_is_withheld)
{
    fixture fix;
    fix.list_at(start, {fixture::record("one", 0)});
    const auto placed = std::get<placement_decision>(fix.decide(start));
    fix.list_at(at(100), {fixture::record("one", 3000, 2)});
    cr_expect(fix.decides.withheld(at(100), placed) ==
              withheld_reason::warming_up);
    cr_expect_not(fix.decides.may_fetch(
        at(100), {placed.endpoint.id(), placed.endpoint.address, 1000, 5}));
}

// Those that wait for a connection count, and give their place back if they
// are not sent.
Test(direct_slow_start, requests_that_are_chosen_hold_their_place)
{
    fixture fix;
    fix.list_at(start, {fixture::record("new", 3000)});
    request_profile asked = fix.ask_for({{1, 1000}, {2, 100}}, start);
    auto first = std::get<placement_decision>(fix.decide(start));
    fix.decides.sent(start, asked, first);
    auto second = std::get<placement_decision>(fix.decide(start));
    fix.decides.sent(start, asked, second);
    cr_expect(std::holds_alternative<refusal_decision>(fix.decide(start)));
    fix.decides.finished(start, second, attempt_outcome::abandoned);
    cr_expect(std::holds_alternative<placement_decision>(fix.decide(start)));
}
