// How instances find each other, and the sums of a large fleet.
#include "sycamorelock/core/direct/exchange_tree.hpp"
#include "sycamorelock/core/direct/peers.hpp"

#include <criterion/criterion.h>

#include <memory>

using namespace sycamorelock::core;
using namespace sycamorelock::core::direct;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr time_point start{std::chrono::seconds(1000)};
const domain_id here = domain_id::of("here");
const domain_id there = domain_id::of("there");

std::string address(std::size_t index)
{
    return "10.0.0." + std::to_string(100 + index) + ":7000";
}

/// Instances that deliver reports to each other at once.
struct small_world
{
    std::vector<std::unique_ptr<peers>> all;
    std::set<std::size_t> down;
    time_point now = start;

    explicit small_world(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            all.push_back(std::make_unique<peers>(
                address(i), i % 2 == 0 ? here : there, i + 1,
                std::vector<std::string>{address(0), address(1)}));
    }

    void round()
    {
        now += milliseconds(200);
        for (std::size_t i = 0; i < all.size(); ++i)
        {
            if (down.contains(i))
                continue;
            exchange_report report;
            all[i]->fill_report(now, report);
            all[i]->number(report);
            const auto targets = all[i]->large(now)
                                     ? all[i]->gossip_targets(now)
                                     : all[i]->everyone();
            for (const std::string& to : targets)
                deliver(to, report);
        }
        for (auto& each : all)
            each->newly_silent(now);
    }

    void deliver(const std::string& to, const exchange_report& report)
    {
        for (std::size_t i = 0; i < all.size(); ++i)
        {
            if (address(i) == to && !down.contains(i))
                all[i]->heard(now, report);
        }
    }
};

exchange_sum work_of(double ms)
{
    endpoint_work work;
    work.endpoint = endpoint_id::of("e");
    work.unread_ms = ms;
    work.waiting = 1;
    return {{work}, {{account_id::of("a"), ms, ms}}};
}

} // namespace

Test(direct_peers, all_find_each_other_from_two_seeds)
{
    for (const std::size_t count : {3, 8, 40})
    {
        small_world world(count);
        for (int i = 0; i < 40; ++i)
            world.round();
        for (const auto& each : world.all)
            cr_expect_eq(each->live(world.now), count - 1, "%zu of %zu",
                         each->live(world.now), count - 1);
    }
}

Test(direct_peers, a_seed_that_is_this_instance_or_down_does_no_harm)
{
    small_world world(4);
    world.down = {0};
    for (int i = 0; i < 20; ++i)
        world.round();
    cr_expect_eq(world.all[1]->live(world.now), 2U);
    cr_expect_eq(world.all[3]->live(world.now), 2U);
}

Test(direct_peers, an_ended_instance_is_noticed_and_its_return_too)
{
    for (const std::size_t count : {6, 30})
    {
        small_world world(count);
        for (int i = 0; i < 40; ++i)
            world.round();
        world.down = {3};
        for (int i = 0; i < 40; ++i)
            world.round();
        cr_expect_eq(world.all[1]->live(world.now), count - 2);
        world.down.clear();
        world.all[3] = std::make_unique<peers>(
            address(3), there, 1000, std::vector<std::string>{address(0)});
        for (int i = 0; i < 40; ++i)
            world.round();
        cr_expect_eq(world.all[1]->live(world.now), count - 1);
    }
}

Test(direct_peers, one_aggregator_a_failure_domain)
{
    small_world world(20);
    for (int i = 0; i < 40; ++i)
        world.round();
    cr_expect(world.all[0]->aggregator(world.now, here).empty());
    for (std::size_t i = 2; i < 20; i += 2)
        cr_expect_eq(world.all[i]->aggregator(world.now, here), address(0));
    cr_expect_eq(world.all[0]->aggregator(world.now, there), address(1));
    cr_expect_eq(world.all[0]->other_domains(world.now).count(there), 1U);
}

// Guards against all members turning to an instance that has just started: it
// has no sums yet, and all take endpoints for idle.
Test(direct_peers, an_instance_that_returns_does_not_aggregate)
{
    small_world world(20);
    for (int i = 0; i < 40; ++i)
        world.round();
    world.down = {0};
    for (int i = 0; i < 40; ++i)
        world.round();
    world.down.clear();
    world.all[0] = std::make_unique<peers>(
        address(0), here, 1000, std::vector<std::string>{address(1)});
    for (int round = 0; round < 40; ++round)
    {
        world.round();
        for (std::size_t i = 4; i < 20; i += 2)
            cr_assert_eq(world.all[i]->aggregator(world.now, here), address(2),
                         "round %d", round);
        cr_assert(world.all[2]->aggregator(world.now, here).empty());
    }
    cr_expect_eq(world.all[0]->aggregator(world.now, here), address(2));
}

// Guards against a leaving instance that goes on aggregating: its members have
// turned to another one, and it takes endpoints for idle until it ends.
Test(direct_peers, an_instance_that_leaves_turns_to_another_aggregator)
{
    small_world world(20);
    for (int i = 0; i < 40; ++i)
        world.round();
    world.all[0]->leave();
    cr_expect_eq(world.all[0]->aggregator(world.now, here), address(2));
}

// Guards against instances that disagree for good about the aggregator, as some
// of them remember that it left before it started again.
Test(direct_peers, an_instance_that_left_and_returned_may_aggregate)
{
    peers one(address(0), here, 1, {});
    exchange_report report;
    report.sender = address(1);
    report.domain = there;
    report.incarnation = 5;
    report.number = 3;
    report.leaving = true;
    cr_assert(one.heard(start, report));
    cr_assert(one.aggregator(start, there).empty());
    exchange_report gossip;
    gossip.sender = address(2);
    gossip.domain = here;
    gossip.incarnation = 1;
    gossip.number = 1;
    gossip.peers = {{address(1), 6, 1, there}};
    cr_assert(one.heard(start, gossip));
    cr_expect_eq(one.aggregator(start, there), address(1));
}

Test(direct_peers, a_report_is_taken_once_and_only_from_the_newest_process)
{
    peers one(address(0), here, 1, {});
    exchange_report report;
    report.sender = address(1);
    report.incarnation = 5;
    report.number = 3;
    cr_expect(one.heard(start, report));
    cr_expect_not(one.heard(start, report));
    report.number = 2;
    cr_expect_not(one.heard(start, report));
    report.incarnation = 6;
    cr_expect(one.heard(start, report));
    report.incarnation = 5;
    report.number = 9;
    cr_expect_not(one.heard(start, report));
}

// After a cut heals, connections bring what was sent meanwhile. Whoever sent it
// knows more by now, as others tell.
Test(direct_peers, a_report_from_before_the_newest_known_is_old)
{
    peers one(address(0), here, 1, {});
    exchange_report other;
    other.sender = address(1);
    other.incarnation = 1;
    other.number = 5;
    cr_expect(one.heard(start, other));
    cr_expect(one.is_newest(other));
    exchange_report gossip;
    gossip.sender = address(2);
    gossip.incarnation = 1;
    gossip.number = 1;
    gossip.peers = {{address(1), 1, 60, here}};
    cr_expect(one.heard(start, gossip));
    other.number = 6;
    cr_expect(one.heard(start, other));
    cr_expect_not(one.is_newest(other));
    other.number = 61;
    cr_expect(one.heard(start, other));
    cr_expect(one.is_newest(other));
}

Test(direct_peers, a_link_that_nobody_acknowledges_is_dialled_anew)
{
    peers one(address(0), here, 1, {});
    exchange_report report;
    report.sender = address(1);
    report.incarnation = 5;
    time_point now = start;
    for (std::uint64_t i = 1; i <= 30; ++i)
    {
        now += milliseconds(100);
        exchange_report own;
        one.fill_report(now, own);
        one.number(own);
        report.number = i;
        report.peers = {{address(0), 1, own.number, here}};
        one.heard(now, report);
        cr_expect(one.stale_links(now).empty());
    }
    report.peers.clear();
    std::size_t renewed = 0;
    for (std::uint64_t i = 31; i <= 60; ++i)
    {
        now += milliseconds(100);
        report.number = i;
        one.heard(now, report);
        renewed += one.stale_links(now).size();
    }
    cr_expect_eq(renewed, 1U);
}

Test(direct_tree, a_member_gets_the_sum_of_all_others)
{
    exchange_tree tree;
    tree.set_own(start, work_of(1));
    tree.on_member(start, "m1", work_of(10));
    tree.on_member(start, "m2", work_of(100));
    tree.on_domain(start, "there", work_of(1000));
    cr_expect(tree.aggregates(start));
    cr_expect_float_eq(tree.domain_sum(start).work.at(0).unread_ms, 111, 1e-9);
    cr_expect_float_eq(
        tree.rest_for(tree.total(start), "m1").work.at(0).unread_ms, 1101,
        1e-9);
    cr_expect_float_eq(
        tree.rest_for(tree.total(start), "").work.at(0).unread_ms, 1110, 1e-9);
    cr_expect_float_eq(
        tree.rest_for(tree.total(start), "m2").demands.at(0).asked, 1011, 1e-9);
}

Test(direct_tree, silent_members_and_domains_leave_the_sum)
{
    exchange_tree tree;
    tree.set_own(start, work_of(1));
    tree.on_member(start, "m1", work_of(10));
    tree.on_domain(start, "there", work_of(1000));
    const time_point later = start + seconds(2);
    tree.on_member(later, "m2", work_of(100));
    cr_expect_float_eq(
        tree.rest_for(tree.total(later), "").work.at(0).unread_ms, 100, 1e-9);
    cr_expect_eq(tree.members(later).size(), 1U);
}
