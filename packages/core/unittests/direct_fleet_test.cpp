// Tests of the discovery of instances, and of the sums of load that a large
// fleet exchanges by aggregators.
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
const domain_id own_domain = domain_id::of("here");
const domain_id other_domain = domain_id::of("there");

std::string instance_address(std::size_t index)
{
    return "10.0.0." + std::to_string(100 + index) + ":7000";
}

/// Instances that exchange reports without delay. Even ones are in the failure
/// domain `own_domain`, odd ones in `other_domain`. The seeds are instances 0
/// and 1.
struct peer_group
{
    std::vector<std::unique_ptr<peers>> instances;
    /// Instances that neither send nor receive.
    std::set<std::size_t> stopped;
    time_point now = start;

    explicit peer_group(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            instances.push_back(std::make_unique<peers>(
                instance_address(i), i % 2 == 0 ? own_domain : other_domain,
                i + 1,
                std::vector<std::string>{instance_address(0),
                                         instance_address(1)}));
    }

    /// Advances the time by 200 ms and has each running instance report once.
    void exchange_round()
    {
        now += milliseconds(200);
        for (std::size_t i = 0; i < instances.size(); ++i)
        {
            if (stopped.contains(i))
                continue;
            exchange_report report;
            instances[i]->fill_report(now, report);
            instances[i]->assign_number(report);
            const auto targets = instances[i]->large(now)
                                     ? instances[i]->gossip_targets(now)
                                     : instances[i]->known_addresses();
            for (const std::string& to : targets)
                deliver(to, report);
        }
        for (auto& each : instances)
            each->newly_unreachable(now);
    }

    void deliver(const std::string& to, const exchange_report& report)
    {
        for (std::size_t i = 0; i < instances.size(); ++i)
        {
            if (instance_address(i) == to && !stopped.contains(i))
                instances[i]->process_report(now, report);
        }
    }
};

/// The load of an instance with one waiting request of one client account.
exchange_sum sum_with_work(double ms)
{
    endpoint_work work;
    work.endpoint = endpoint_id::of("e");
    work.unread_ms = ms;
    work.waiting = 1;
    return {{work}, {{account_id::of("a"), ms, ms}}};
}

} // namespace

Test(direct_peers, all_instances_discover_each_other_from_two_seeds)
{
    for (const std::size_t count : {3, 8, 40})
    {
        peer_group group(count);
        for (int i = 0; i < 40; ++i)
            group.exchange_round();
        for (const auto& each : group.instances)
            cr_expect_eq(each->reachable_count(group.now), count - 1,
                         "%zu of %zu", each->reachable_count(group.now),
                         count - 1);
    }
}

Test(direct_peers, seeds_that_are_unreachable_or_self_are_tolerated)
{
    peer_group group(4);
    group.stopped = {0};
    for (int i = 0; i < 20; ++i)
        group.exchange_round();
    cr_expect_eq(group.instances[1]->reachable_count(group.now), 2U);
    cr_expect_eq(group.instances[3]->reachable_count(group.now), 2U);
}

Test(direct_peers, a_stopped_instance_and_its_restart_are_detected)
{
    for (const std::size_t count : {6, 30})
    {
        peer_group group(count);
        for (int i = 0; i < 40; ++i)
            group.exchange_round();
        group.stopped = {3};
        for (int i = 0; i < 40; ++i)
            group.exchange_round();
        cr_expect_eq(group.instances[1]->reachable_count(group.now), count - 2);
        group.stopped.clear();
        group.instances[3] = std::make_unique<peers>(
            instance_address(3), other_domain, 1000,
            std::vector<std::string>{instance_address(0)});
        for (int i = 0; i < 40; ++i)
            group.exchange_round();
        cr_expect_eq(group.instances[1]->reachable_count(group.now), count - 1);
    }
}

Test(direct_peers, each_failure_domain_has_one_aggregator)
{
    peer_group group(20);
    for (int i = 0; i < 40; ++i)
        group.exchange_round();
    cr_expect(group.instances[0]->aggregator(group.now, own_domain).empty());
    for (std::size_t i = 2; i < 20; i += 2)
        cr_expect_eq(group.instances[i]->aggregator(group.now, own_domain),
                     instance_address(0));
    cr_expect_eq(group.instances[0]->aggregator(group.now, other_domain),
                 instance_address(1));
    cr_expect_eq(
        group.instances[0]->other_domains(group.now).count(other_domain), 1U);
}

// Guards against an instance becoming the aggregator right after its restart:
// it has no sums yet, so that all members would consider endpoints idle.
Test(direct_peers, a_restarted_instance_does_not_become_the_aggregator)
{
    peer_group group(20);
    for (int i = 0; i < 40; ++i)
        group.exchange_round();
    group.stopped = {0};
    for (int i = 0; i < 40; ++i)
        group.exchange_round();
    group.stopped.clear();
    group.instances[0] =
        std::make_unique<peers>(instance_address(0), own_domain, 1000,
                                std::vector<std::string>{instance_address(1)});
    for (int round = 0; round < 40; ++round)
    {
        group.exchange_round();
        for (std::size_t i = 4; i < 20; i += 2)
            cr_assert_eq(group.instances[i]->aggregator(group.now, own_domain),
                         instance_address(2), "round %d", round);
        cr_assert(
            group.instances[2]->aggregator(group.now, own_domain).empty());
    }
    cr_expect_eq(group.instances[0]->aggregator(group.now, own_domain),
                 instance_address(2));
}

// Guards against a leaving instance that remains its own aggregator: its
// members report to another one by then, so that it would consider endpoints
// idle until it exits.
Test(direct_peers, a_leaving_instance_selects_another_aggregator)
{
    peer_group group(20);
    for (int i = 0; i < 40; ++i)
        group.exchange_round();
    group.instances[0]->leave();
    cr_expect_eq(group.instances[0]->aggregator(group.now, own_domain),
                 instance_address(2));
}

// Guards against a permanent disagreement about the aggregator: an instance
// that still marks a restarted process as leaving would choose another one.
Test(direct_peers, a_restarted_instance_is_not_marked_as_leaving)
{
    peers receiver(instance_address(0), own_domain, 1, {});
    exchange_report report;
    report.sender = instance_address(1);
    report.domain = other_domain;
    report.incarnation = 5;
    report.number = 3;
    report.leaving = true;
    cr_assert(receiver.process_report(start, report));
    cr_assert(receiver.aggregator(start, other_domain).empty());
    exchange_report gossip;
    gossip.sender = instance_address(2);
    gossip.domain = own_domain;
    gossip.incarnation = 1;
    gossip.number = 1;
    gossip.peers = {{instance_address(1), 6, 1, other_domain}};
    cr_assert(receiver.process_report(start, gossip));
    cr_expect_eq(receiver.aggregator(start, other_domain), instance_address(1));
}

Test(direct_peers, duplicates_and_reports_of_older_processes_are_rejected)
{
    peers receiver(instance_address(0), own_domain, 1, {});
    exchange_report report;
    report.sender = instance_address(1);
    report.incarnation = 5;
    report.number = 3;
    cr_expect(receiver.process_report(start, report));
    cr_expect_not(receiver.process_report(start, report));
    report.number = 2;
    cr_expect_not(receiver.process_report(start, report));
    report.incarnation = 6;
    cr_expect(receiver.process_report(start, report));
    report.incarnation = 5;
    report.number = 9;
    cr_expect_not(receiver.process_report(start, report));
}

// When a network partition ends, connections deliver the reports that were sent
// during it. Gossip from other instances shows that their sender has sent newer
// ones since.
Test(direct_peers, a_report_with_a_lower_number_than_known_is_not_the_newest)
{
    peers receiver(instance_address(0), own_domain, 1, {});
    exchange_report other;
    other.sender = instance_address(1);
    other.incarnation = 1;
    other.number = 5;
    cr_expect(receiver.process_report(start, other));
    cr_expect(receiver.is_newest(other));
    exchange_report gossip;
    gossip.sender = instance_address(2);
    gossip.incarnation = 1;
    gossip.number = 1;
    gossip.peers = {{instance_address(1), 1, 60, own_domain}};
    cr_expect(receiver.process_report(start, gossip));
    other.number = 6;
    cr_expect(receiver.process_report(start, other));
    cr_expect_not(receiver.is_newest(other));
    other.number = 61;
    cr_expect(receiver.process_report(start, other));
    cr_expect(receiver.is_newest(other));
}

Test(direct_peers, a_link_without_acknowledgements_is_redialed)
{
    peers receiver(instance_address(0), own_domain, 1, {});
    exchange_report report;
    report.sender = instance_address(1);
    report.incarnation = 5;
    time_point now = start;
    for (std::uint64_t i = 1; i <= 30; ++i)
    {
        now += milliseconds(100);
        exchange_report own;
        receiver.fill_report(now, own);
        receiver.assign_number(own);
        report.number = i;
        report.peers = {{instance_address(0), 1, own.number, own_domain}};
        receiver.process_report(now, report);
        cr_expect(receiver.stale_links(now).empty());
    }
    report.peers.clear();
    std::size_t redialed_links = 0;
    for (std::uint64_t i = 31; i <= 60; ++i)
    {
        now += milliseconds(100);
        report.number = i;
        receiver.process_report(now, report);
        redialed_links += receiver.stale_links(now).size();
    }
    cr_expect_eq(redialed_links, 1U);
}

Test(direct_tree, a_member_gets_the_sum_of_all_others)
{
    exchange_tree tree;
    tree.set_own(start, sum_with_work(1));
    tree.on_member(start, "m1", sum_with_work(10));
    tree.on_member(start, "m2", sum_with_work(100));
    tree.on_domain(start, "there", sum_with_work(1000));
    cr_expect(tree.aggregates(start));
    cr_expect_float_eq(tree.domain_sum(start).work.at(0).unread_ms, 111, 1e-9);
    cr_expect_float_eq(
        tree.total_without(tree.total(start), "m1").work.at(0).unread_ms, 1101,
        1e-9);
    cr_expect_float_eq(
        tree.total_without(tree.total(start), "").work.at(0).unread_ms, 1110,
        1e-9);
    cr_expect_float_eq(
        tree.total_without(tree.total(start), "m2").demands.at(0).asked, 1011,
        1e-9);
}

Test(direct_tree, silent_members_and_domains_are_excluded_from_the_sum)
{
    exchange_tree tree;
    tree.set_own(start, sum_with_work(1));
    tree.on_member(start, "m1", sum_with_work(10));
    tree.on_domain(start, "there", sum_with_work(1000));
    const time_point later = start + seconds(2);
    tree.on_member(later, "m2", sum_with_work(100));
    cr_expect_float_eq(
        tree.total_without(tree.total(later), "").work.at(0).unread_ms, 100,
        1e-9);
    cr_expect_eq(tree.members(later).size(), 1U);
}
