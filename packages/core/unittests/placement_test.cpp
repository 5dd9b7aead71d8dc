// Failure detection by gossip alone, with up to 370 instances (the design size)
// and with the small fleet of 14, and stability of rendezvous hashing.
#include "sycamorelock/core/placement.hpp"

#include <criterion/criterion.h>

#include <memory>

using namespace sycamorelock::core;

namespace
{

constexpr std::size_t domains = 7;

/// Placements that deliver gossip to each other without delay, on a simulated
/// clock.
class gossip_fleet
{
  public:
    explicit gossip_fleet(std::size_t count) : stopped_(count, false)
    {
        membership list;
        list.version = 1;
        for (std::size_t i = 0; i < count; ++i)
        {
            member item;
            item.name = "i" + std::to_string(i);
            item.id = instance_id::of(item.name);
            item.domain = domain_id::of("d" + std::to_string(i % domains));
            list.members[item.id] = item;
            index_[item.id] = i;
        }
        for (std::size_t i = 0; i < count; ++i)
        {
            outs_.push_back(std::make_unique<outbox>());
            const member& self =
                list.members.at(instance_id::of("i" + std::to_string(i)));
            placements_.push_back(std::make_unique<placement>(
                self.id, self.domain, static_cast<std::uint32_t>(i + 1),
                placement_options{}, i, *outs_.back()));
            placements_.back()->install(now_, wall_time(0), list);
        }
    }

    void run(std::chrono::seconds length)
    {
        const time_point end = now_ + length;
        while (now_ < end)
        {
            now_ += std::chrono::milliseconds(100);
            for (std::size_t i = 0; i < placements_.size(); ++i)
            {
                if (stopped_[i])
                    continue;
                placements_[i]->set_broken_connections(now_,
                                                       broken_connections_);
                placements_[i]->tick(now_, {1, 1});
                deliver_messages(i);
            }
        }
    }

    /// Stops an instance without breaking the connections to it: it neither
    /// sends nor receives from now on.
    void stop(std::size_t index) { stopped_[index] = true; }

    /// Stops an instance and breaks the connections of the others to it.
    void end_process(std::size_t index)
    {
        stop(index);
        break_connections(index);
    }

    /// Marks the connections to an instance as broken at all others. Gossip is
    /// still delivered.
    void break_connections(std::size_t index)
    {
        broken_connections_.insert(
            instance_id::of("i" + std::to_string(index)));
    }

    /// Number of running instances that suspect this one.
    [[nodiscard]] std::size_t count_suspecting(std::size_t index) const
    {
        const auto id = instance_id::of("i" + std::to_string(index));
        std::size_t count = 0;
        for (std::size_t i = 0; i < placements_.size(); ++i)
            count += !stopped_[i] && !placements_[i]->alive(id) ? 1 : 0;
        return count;
    }

    [[nodiscard]] int false_suspicions() const { return suspicion_count_; }

  private:
    void deliver_messages(std::size_t from)
    {
        const auto sender = instance_id::of("i" + std::to_string(from));
        for (const event& noted : outs_[from]->take_events())
            suspicion_count_ +=
                noted.number == event_number::instance_suspected ? 1 : 0;
        for (const auto& [to, messages] : outs_[from]->take_messages())
        {
            const std::size_t target = index_.at(to);
            if (stopped_[target])
                continue;
            for (const peer_message& content : messages)
            {
                placements_[target]->record_message_from(
                    now_, sender, static_cast<std::uint32_t>(from + 1));
                placements_[target]->on_gossip(now_, std::get<gossip>(content));
            }
        }
    }

    time_point now_{std::chrono::seconds(100)};
    std::vector<std::unique_ptr<outbox>> outs_;
    std::vector<std::unique_ptr<placement>> placements_;
    std::vector<bool> stopped_;
    std::set<instance_id> broken_connections_;
    std::map<instance_id, std::size_t> index_;
    int suspicion_count_ = 0;
};

} // namespace

Test(placement, no_instance_is_suspected_while_all_run_at_the_design_size)
{
    gossip_fleet fleet(370);
    fleet.run(std::chrono::seconds(90));
    cr_assert_eq(fleet.false_suspicions(), 0, "%d", fleet.false_suspicions());
}

Test(placement, a_stopped_instance_is_suspected_by_its_domain_within_45_seconds)
{
    gossip_fleet fleet(370);
    fleet.run(std::chrono::seconds(30));
    fleet.stop(0);
    // Its failure domain has 53 instances, 52 of which keep running.
    fleet.run(std::chrono::seconds(45));
    cr_assert(fleet.count_suspecting(0) >= 52, "%zu",
              fleet.count_suspecting(0));
}

Test(placement, an_ended_process_is_suspected_by_all_within_two_seconds)
{
    gossip_fleet fleet(370);
    fleet.run(std::chrono::seconds(30));
    fleet.end_process(0);
    fleet.run(std::chrono::seconds(2));
    cr_assert_eq(fleet.count_suspecting(0), 369U, "%zu",
                 fleet.count_suspecting(0));
    // Heartbeats of it that others still relay do not end the suspicion.
    for (int i = 0; i < 20; ++i)
    {
        fleet.run(std::chrono::seconds(1));
        cr_assert_eq(fleet.count_suspecting(0), 369U, "%zu",
                     fleet.count_suspecting(0));
    }
}

Test(placement,
     a_running_instance_with_a_broken_connection_does_not_stay_suspected)
{
    gossip_fleet fleet(14);
    fleet.run(std::chrono::seconds(20));
    fleet.break_connections(3);
    fleet.run(std::chrono::seconds(10));
    // Its own messages and its increasing heartbeat counter show that it runs.
    cr_assert_eq(fleet.count_suspecting(3), 0U, "%zu",
                 fleet.count_suspecting(3));
}

Test(placement, a_small_fleet_suspects_a_stopped_instance_within_12_seconds)
{
    gossip_fleet fleet(14);
    fleet.run(std::chrono::seconds(20));
    cr_assert_eq(fleet.false_suspicions(), 0);
    fleet.stop(3);
    fleet.run(std::chrono::seconds(12));
    cr_assert_eq(fleet.count_suspecting(3), 13U, "%zu",
                 fleet.count_suspecting(3));
}

Test(placement, removal_of_an_instance_reassigns_only_its_own_subjects)
{
    std::vector<instance_id> all;
    for (int i = 0; i < 50; ++i)
        all.push_back(instance_id::of("i" + std::to_string(i)));
    std::vector<instance_id> fewer(all.begin(), all.end() - 1);
    for (int i = 0; i < 200; ++i)
    {
        const std::string subject = "s" + std::to_string(i);
        const auto before = rendezvous(all, subject);
        if (before != all.back())
            cr_assert(rendezvous(fewer, subject) == before);
    }
}
