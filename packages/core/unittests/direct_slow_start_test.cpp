// Tests of the request limit for endpoints that warm up: the requests that a
// whole fleet sends to one in any second, and the routing of requests that
// exceed the limit.
#include "direct_fixture.hpp"

#include "warming_fleet.hpp"

#include <criterion/criterion.h>

using namespace sycamorelock::core;
using namespace sycamorelock::core::direct;
using model::even_sharing;
using model::hashed_sharing;
using model::warming_fleet;
using model::warming_result;
using std::chrono::seconds;

namespace
{

constexpr unsigned allowance = 15;
/// Probability of a request at which the demand of all instances together
/// exceeds the allowance several times.
constexpr double overload_probability = 0.01;

time_point at(int ms)
{
    return start + milliseconds(ms);
}

/// Returns a fleet whose instances all know each other and whose arrivals are
/// counted from now on.
template <class Sharing>
warming_fleet<Sharing> converged_fleet(std::size_t instances,
                                       std::uint64_t seed)
{
    warming_fleet<Sharing> fleet(instances, allowance, seed);
    fleet.run(seconds(12), 0);
    fleet.forget_arrivals();
    return fleet;
}

/// A network partition that separates one domain from the others, and single
/// instances from all.
bool reachable_in_partition(std::size_t from, std::size_t to)
{
    const bool isolated = from % 7 == 3 || to % 7 == 3;
    return !isolated && (from % 3 == 0) == (to % 3 == 0);
}

} // namespace

// Every instance has as many requests as the allowance in each step of virtual
// time. The limit must hold in any second, also for a burst within a
// millisecond.
Test(direct_slow_start, a_fleet_uses_the_allowance_and_not_more)
{
    for (const std::size_t instances : {1U, 2U, 14U, 74U})
    {
        auto fleet = converged_fleet<hashed_sharing>(instances, instances);
        fleet.run(seconds(10), 1);
        const warming_result seen = fleet.result();
        cr_expect_leq(seen.max_per_second, allowance, "%zu instances: %u",
                      instances, seen.max_per_second);
        // The shares of domains without an instance remain unused.
        const double domains = double(std::min<std::size_t>(instances, 3)) / 3;
        cr_expect_geq(seen.utilization, domains * 0.9, "%zu instances: %f",
                      instances, seen.utilization);
    }
}

Test(direct_slow_start, a_partitioned_fleet_stays_within_the_allowance)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        auto fleet = converged_fleet<hashed_sharing>(74, seed);
        fleet.set_reachability(reachable_in_partition);
        fleet.run(seconds(15), overload_probability);
        fleet.set_reachability({});
        fleet.run(seconds(10), overload_probability);
        const warming_result seen = fleet.result();
        cr_expect_leq(seen.max_per_second, allowance, "%u",
                      seen.max_per_second);
        cr_expect_geq(seen.utilization, 0.8, "%f", seen.utilization);
    }
}

// The instances do not know each other after a restart of the whole fleet.
Test(direct_slow_start, a_restarted_fleet_stays_within_the_allowance)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        auto fleet = converged_fleet<hashed_sharing>(74, seed);
        fleet.run(seconds(2), overload_probability);
        for (std::size_t i = 0; i < fleet.size(); ++i)
            fleet.start(i);
        fleet.run(seconds(15), overload_probability);
        cr_expect_leq(fleet.result().max_per_second, allowance, "%u",
                      fleet.result().max_per_second);
    }
}

Test(direct_slow_start, restarting_instances_stay_within_the_allowance)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        auto fleet = converged_fleet<hashed_sharing>(74, seed);
        for (int round = 0; round < 4; ++round)
        {
            for (std::size_t i = std::size_t(round); i < fleet.size(); i += 5)
                fleet.kill(i);
            fleet.run(seconds(1 + round), overload_probability);
            for (std::size_t i = std::size_t(round); i < fleet.size(); i += 5)
                fleet.start(i);
            fleet.run(seconds(3), overload_probability);
        }
        const warming_result seen = fleet.result();
        cr_expect_leq(seen.max_per_second, allowance, "%u",
                      seen.max_per_second);
        cr_expect_geq(seen.utilization, 0.6, "%f", seen.utilization);
    }
}

// Frozen instances check their limit again when they resume, so that they send
// no burst of accumulated requests.
Test(direct_slow_start, frozen_instances_send_no_burst_on_resumption)
{
    auto fleet = converged_fleet<hashed_sharing>(74, 3);
    for (int round = 0; round < 5; ++round)
    {
        for (std::size_t i = 0; i < fleet.size(); i += 2)
            fleet.freeze(i, seconds(1 + 2 * round));
        fleet.run(seconds(4), 1);
    }
    cr_expect_leq(fleet.result().max_per_second, allowance, "%u",
                  fleet.result().max_per_second);
}

// Prints the figures of the alternative in docs/design/shifted-work.md, in
// which each instance divides the allowance evenly by the number of instances
// that it knows. During a network partition that exceeds the allowance.
Test(direct_slow_start, even_shares_would_exceed_the_allowance)
{
    auto fleet = converged_fleet<even_sharing>(74, 1);
    fleet.run(seconds(10), overload_probability);
    const warming_result connected = fleet.result();
    fleet.set_reachability(reachable_in_partition);
    fleet.run(seconds(15), overload_probability);
    const warming_result partitioned = fleet.result();
    cr_log_info(
        "even shares, connected: at most %u per second, utilization %.2f; "
        "partitioned: at most %u per second, utilization %.2f",
        connected.max_per_second, connected.utilization,
        partitioned.max_per_second, partitioned.utilization);
    cr_expect_gt(partitioned.max_per_second, allowance);
}

Test(direct_slow_start, the_share_of_a_domain_does_not_depend_on_other_domains)
{
    const domain_id own = domain_id::of("a");
    const std::set<domain_id> all{own, domain_id::of("b"), domain_id::of("c")};
    const endpoint_id cold = endpoint_id::of("e");
    allowance_shares alone(instance_id::of("x"), own, all);
    alone.set_members(start, {});
    cr_expect_eq(alone.own_share(start, cold, 15), 0U, "nothing settled yet");
    cr_expect_eq(alone.own_share(start + seconds(2), cold, 15), 5U);
    allowance_shares among(instance_id::of("x"), own, all);
    among.set_members(start, {{instance_id::of("y"), domain_id::of("b")}});
    cr_expect_eq(among.own_share(start + seconds(2), cold, 15), 5U);
    // A gained share may be used after the settling time; a lost share is gone
    // at once.
    alone.set_members(start + seconds(3), {{instance_id::of("z"), own}});
    const unsigned shared = alone.own_share(start + seconds(3), cold, 15);
    cr_expect(shared == 2 || shared == 3);
    alone.set_members(start + seconds(9), {});
    cr_expect_eq(alone.own_share(start + seconds(10), cold, 15), shared);
    cr_expect_eq(alone.own_share(start + seconds(11), cold, 15), 5U);
    cr_expect_eq(alone.own_share(start + seconds(11), cold, 0), 0U);
}

Test(direct_slow_start, the_longest_warm_up_holds_and_is_bounded)
{
    slow_start limits;
    const endpoint_id cold = endpoint_id::of("e");
    limits.extend_warmup(start, cold, seconds(3), false);
    limits.extend_warmup(start, cold, seconds(1), false);
    limits.extend_warmup(start, cold, seconds(-5), false);
    cr_expect(limits.left(start, cold) == seconds(3));
    cr_expect(limits.limited_until(cold, 0) == start + seconds(3));
    cr_expect(limits.limited_until(cold, 1) ==
              start + seconds(3) + slow_start::lift_period);
    limits.extend_warmup(start, cold, std::chrono::hours(100), false);
    cr_expect(limits.left(start, cold) == slow_start::max_warmup);
    cr_expect(limits.limited_until(endpoint_id::of("f"), 1) == time_point());
}

// Until all instances know of the warm-up, some send at the rate of a warm
// endpoint.
Test(direct_slow_start, an_endpoint_that_turns_cold_in_use_gets_a_pause)
{
    slow_start limits;
    const endpoint_id cold = endpoint_id::of("e");
    limits.extend_warmup(start, cold, seconds(3), true);
    cr_expect_not(limits.admits(start, cold, 5, 0));
    cr_expect(limits.admits(start + slow_start::cold_pause, cold, 5, 0));
    // Another report of the same warm-up starts no second pause.
    limits.extend_warmup(start + seconds(1), cold, seconds(2), true);
    cr_expect(limits.admits(start + slow_start::cold_pause, cold, 5, 0));
}

Test(direct_slow_start, pending_and_sent_requests_count_in_a_sliding_second)
{
    slow_start limits;
    const endpoint_id cold = endpoint_id::of("e");
    limits.extend_warmup(start, cold, seconds(10), false);
    limits.sent(at(500), cold);
    limits.sent(at(900), cold);
    cr_expect(limits.admits(at(1000), cold, 3, 0));
    cr_expect_not(limits.admits(at(1000), cold, 3, 1));
    cr_expect_not(limits.admits(at(1000), cold, 2, 0));
    cr_expect(limits.time_until_admitted(at(1000), cold, 2) ==
              at(500) + slow_start::window - at(1000));
    cr_expect_not(limits.admits(at(1510), cold, 2, 0));
    cr_expect(limits.admits(at(1530), cold, 2, 0));
    // An instance without a share has to wait for the end of the warm-up.
    cr_expect(limits.time_until_admitted(at(1000), cold, 0) == seconds(9));
}

namespace
{

/// One instance of a fleet with one failure domain, with two engines of a
/// service whose endpoints warm up for three seconds.
struct fixture : two_engines
{
    fixture() : two_engines(10000, 0, {})
    {
        config->services[drafts].warmup = milliseconds(3000);
        config->services[drafts].warmup_requests_per_second = 2;
        tested_router.install(start, config);
        tested_router.set_members(start - seconds(10), {});
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
        tested_router.set_endpoints(now, all);
    }
    routing_decision decide(time_point now)
    {
        request_profile asked = make_profile({{1, 1000}, {2, 100}}, now);
        return tested_router.decide(now, asked, drafts, {}, false);
    }
    /// Returns when requests are sent to an engine within `ms` milliseconds
    /// from `from` on, if one request arrives every 10 ms.
    std::vector<time_point> times_sent(const std::string& boot, time_point from,
                                       int ms)
    {
        std::vector<time_point> times;
        for (int elapsed = 0; elapsed < ms; elapsed += 10)
        {
            const time_point now = from + milliseconds(elapsed);
            auto made = decide(now);
            auto* placed = std::get_if<placement_decision>(&made);
            if (placed == nullptr)
                continue;
            request_profile asked = make_profile({{1, 1000}, {2, 100}}, now);
            tested_router.sent(now, asked, *placed);
            if (tested_router.withheld(now, *placed))
            {
                tested_router.finished(now, *placed,
                                       attempt_outcome::abandoned);
                continue;
            }
            tested_router.written(now, *placed);
            tested_router.first_token(now, asked, *placed, now);
            tested_router.finished(now, *placed, attempt_outcome::succeeded);
            if (placed->endpoint.boot == boot)
                times.push_back(now);
        }
        return times;
    }
};

} // namespace

// The entry of a starting engine announces the whole warm-up.
Test(direct_slow_start, an_engine_that_starts_gets_its_allowance)
{
    fixture fix;
    fix.list_at(start, {fixture::record("new", 3000)});
    cr_expect_eq(fix.tested_router.warming(start), 1U);
    cr_expect_eq(fix.times_sent("new", start, 1000).size(), 2U);
    cr_expect_eq(fix.times_sent("new", at(1100), 1000).size(), 2U);
    // After the warm-up and the period in which the instances lift the limit.
    cr_expect_eq(fix.tested_router.warming(at(4100)), 0U);
    cr_expect_gt(fix.times_sent("new", at(4100), 1000).size(), 50U);
}

Test(direct_slow_start, an_engine_without_a_warm_up_is_not_limited)
{
    fixture fix;
    fix.list_at(start, {fixture::record("old", 0)});
    cr_expect_gt(fix.times_sent("old", start, 1000).size(), 50U);
    // The remaining warm-up in an entry is ignored if the service has none.
    fix.config->services[drafts].warmup = milliseconds(0);
    fix.tested_router.install(start, fix.config);
    fix.list_at(at(1000), {fixture::record("odd", 60000)});
    cr_expect_gt(fix.times_sent("odd", at(1000), 1000).size(), 50U);
}

// The configuration may arrive after the endpoint entries.
Test(direct_slow_start, a_warm_up_holds_in_any_order_of_arrival)
{
    fixture fix;
    fix.config->services[drafts].warmup = milliseconds(0);
    fix.tested_router.install(start, fix.config);
    fix.list_at(start, {fixture::record("new", 3000)});
    auto newer = std::make_shared<catalogue>(*fix.config);
    newer->services[drafts].warmup = milliseconds(3000);
    newer->index();
    fix.tested_router.install(start, newer);
    cr_expect_eq(fix.times_sent("new", start, 1000).size(), 2U);
}

// The first entry, the notices of other instances and a later entry may
// contradict each other. Any of them with a newer revision starts a warm-up.
Test(direct_slow_start, any_newer_report_of_a_warm_up_limits_an_engine)
{
    fixture fix;
    fix.list_at(start, {fixture::record("one", 0)});
    cr_expect_gt(fix.times_sent("one", start, 1000).size(), 50U);
    const endpoint_id one = fixture::record("one", 0).id();
    const warming_notice current{one, 5, milliseconds(2000)};
    fix.tested_router.on_warming(at(1000), {&current, 1});
    cr_expect_eq(fix.times_sent("one", at(1000), 1490).size(), 0U,
                 "paused after turning cold");
    cr_expect_leq(fix.times_sent("one", at(2500), 500).size(), 2U);
    // An older notice and a repeated one have no effect.
    const warming_notice outdated{one, 4, milliseconds(9000)};
    fix.tested_router.on_warming(at(3000), {&outdated, 1});
    fix.tested_router.on_warming(at(3000), {&current, 1});
    cr_expect_eq(fix.tested_router.warming(at(4100)), 0U);
    // A newer entry starts another warm-up, which this instance reports to
    // others.
    fix.list_at(at(5000), {fixture::record("one", 3000, 9)});
    cr_expect_eq(fix.tested_router.warming(at(5000)), 1U);
    exchange_report report;
    fix.tested_router.fill_report(at(6000), report);
    cr_assert_eq(report.warming.size(), 1U);
    cr_expect_eq(report.warming[0].revision, 9U);
    cr_expect_eq(report.warming[0].left.count(), 2000);
}

// An engine may have restarted while its entry was missing or while it was
// unreachable, and accept requests before its entry announces the warm-up.
Test(direct_slow_start, an_engine_that_returns_is_assumed_cold)
{
    fixture fix;
    fix.list_at(start, {fixture::record("one", 0), fixture::record("two", 0)});
    fix.list_at(at(100), {fixture::record("two", 0)});
    fix.list_at(at(900),
                {fixture::record("one", 0), fixture::record("two", 0)});
    cr_expect_eq(fix.tested_router.warming(at(900)), 1U);
    // An engine that was unreachable is assumed to be cold, too.
    fixture other;
    other.list_at(start, {fixture::record("one", 0)});
    auto placed = std::get<placement_decision>(other.decide(start));
    other.tested_router.finished(start, placed, attempt_outcome::unreachable);
    cr_expect_eq(other.tested_router.warming(at(100)), 1U);
    cr_expect_eq(other.tested_router.warming(at(4100)), 0U);
}

Test(direct_slow_start, a_domain_is_cold_after_its_drain_ends)
{
    fixture fix;
    const domain_id yard = domain_id::of("yard");
    endpoint_record one = fixture::record("one", 0);
    one.domain = yard;
    fix.list_at(start, {one});
    fix.tested_router.set_drained(start, {yard}, {});
    const domain_drain ended{yard, 7, false, duration(0)};
    fix.tested_router.set_drained(at(1000), {}, {&ended, 1});
    cr_expect_eq(fix.times_sent("one", at(1000), 1000).size(), 2U);
    cr_expect_eq(fix.tested_router.warming(at(5100)), 0U);
    // An instance that receives the report later learns how long ago the drain
    // ended.
    fixture late;
    late.list_at(start, {one});
    const domain_drain long_ago{yard, 7, false, seconds(60)};
    late.tested_router.set_drained(start, {}, {&long_ago, 1});
    cr_expect_eq(late.tested_router.warming(start), 0U);
}

// A request beyond the limit is refused at once, with the time after which the
// engine may get one more.
Test(direct_slow_start,
     a_request_is_admitted_after_the_retry_time_of_its_refusal)
{
    fixture fix;
    fix.list_at(start, {fixture::record("new", 3000)});
    cr_expect_eq(fix.times_sent("new", start, 10).size(), 1U);
    cr_expect_eq(fix.times_sent("new", at(500), 10).size(), 1U);
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

// The engine was warm when the request was assigned to it, and is known to be
// cold before the request is written.
Test(direct_slow_start, a_request_that_waits_for_its_connection_is_withheld)
{
    fixture fix;
    fix.list_at(start, {fixture::record("one", 0)});
    const auto placed = std::get<placement_decision>(fix.decide(start));
    fix.list_at(at(100), {fixture::record("one", 3000, 2)});
    cr_expect(fix.tested_router.withheld(at(100), placed) ==
              withheld_reason::warming_up);
    cr_expect_not(fix.tested_router.may_fetch(
        at(100), {placed.endpoint.id(), placed.endpoint.address, 1000, 5}));
}

// Requests that wait for a connection count against the limit until they are
// abandoned.
Test(direct_slow_start, pending_requests_count_against_the_limit)
{
    fixture fix;
    fix.list_at(start, {fixture::record("new", 3000)});
    request_profile asked = fix.make_profile({{1, 1000}, {2, 100}}, start);
    auto first = std::get<placement_decision>(fix.decide(start));
    fix.tested_router.sent(start, asked, first);
    auto second = std::get<placement_decision>(fix.decide(start));
    fix.tested_router.sent(start, asked, second);
    cr_expect(std::holds_alternative<refusal_decision>(fix.decide(start)));
    fix.tested_router.finished(start, second, attempt_outcome::abandoned);
    cr_expect(std::holds_alternative<placement_decision>(fix.decide(start)));
}
