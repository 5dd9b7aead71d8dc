// Placement of shards and idempotency keys on instances. The platform's member
// list gives the candidates; gossip of heartbeat counters between the instances
// detects which of them are unreachable.
#pragma once

#include "sycamorelock/core/outbox.hpp"
#include "sycamorelock/core/topology.hpp"

#include <boost/random/mersenne_twister.hpp>

#include <set>

namespace sycamorelock::core
{

struct placement_options
{
    /// Gossip period of a small fleet; a large fleet uses twice this period.
    duration gossip_period = std::chrono::milliseconds(500);
    /// Largest number of members that counts as a small fleet.
    std::size_t max_small_fleet_size = 16;
    /// Time without a sign of life after which an instance of the own failure
    /// domain is suspected, in gossip periods: a constant part, and a part for
    /// each doubling of the number of instances in the domain, because a
    /// heartbeat reaches all of them in logarithmic time.
    double suspicion_periods = 3;
    double suspicion_periods_per_doubling = 2;
    /// The same for a large fleet, where most heartbeats are relayed by third
    /// instances.
    double large_fleet_suspicion_periods = 8;
    double large_fleet_suspicion_periods_per_doubling = 3.3;
    /// Factor on that time for instances of other failure domains, whose
    /// heartbeats arrive less often.
    double remote_timeout_factor = 2;
    /// Time after which an instance with a lost connection is suspected. A
    /// running process would have been connected again within this time.
    duration disconnected_suspicion_timeout = std::chrono::seconds(1);
    /// Time after the loss of a connection in which messages that the instance
    /// sent before the loss may still arrive.
    duration max_message_transit_time = std::chrono::milliseconds(500);
    /// Largest number of heartbeats in one gossip message.
    std::size_t max_heartbeats = 48;
    /// How many of these are reserved for failure domains other than the
    /// receiver's.
    std::size_t reserved_remote_heartbeats = 16;
    /// Number of gossip periods after which one instance of another failure
    /// domain is sent a message too.
    std::size_t periods_per_remote_gossip = 2;
};

/// Detects unreachable instances and computes the owners of shards and
/// idempotency keys.
class placement
{
  public:
    placement(instance_id self, domain_id domain, std::uint32_t incarnation,
              placement_options options, std::uint64_t seed, outbox& out);

    /// Installs a member list. Returns false and ignores the list if its
    /// version is not newer than that of the list in force.
    bool install(time_point now, wall_time wall, membership list);

    void on_gossip(time_point now, const gossip& message);
    /// Records an authenticated message of any type, which proves that its
    /// sender is alive.
    void record_message_from(time_point now, instance_id sender,
                             std::uint32_t incarnation);
    /// Replaces the set of instances whose connections are currently broken.
    void set_broken_connections(time_point now,
                                const std::set<instance_id>& lost);
    void tick(time_point now, const config_version& config);
    /// Restarts the timeout of every instance. Called after this process was
    /// suspended, when missing heartbeats do not show that their senders
    /// failed.
    void reset_suspicion_timers(time_point now);
    void set_leaving() { leaving_ = true; }

    [[nodiscard]] bool alive(instance_id id) const;
    /// Live instances that are not leaving, of one failure domain or of all.
    [[nodiscard]] std::vector<instance_id> live_in(domain_id domain) const;
    [[nodiscard]] std::vector<instance_id> live() const;
    [[nodiscard]] std::optional<instance_id>
    owner_of(const shard_id& shard) const;
    /// Owner of an idempotency key. It depends on the platform's list alone:
    /// suspicion may differ on the two sides of a partition, and two owners
    /// would allow a request to run twice under one key.
    [[nodiscard]] std::optional<instance_id>
    key_owner(const idempotency_key& key) const;
    /// Start of the unbroken period in which this instance has owned a key, as
    /// far back as the remembered lists go; nullopt if it does not own it now.
    [[nodiscard]] std::optional<wall_time>
    key_owned_since(const idempotency_key& key) const;
    /// Whether more than half of the listed instances, this one included, are
    /// not suspected.
    [[nodiscard]] bool reaches_majority() const;
    /// Sends gossip at the next tick instead of at the end of the period, so
    /// that a change spreads sooner.
    void gossip_at_next_tick() { next_gossip_ = time_point{}; }
    /// Whether this instance is one of the two of its failure domain that read
    /// the configuration from the platform.
    [[nodiscard]] bool is_config_reader() const;

    [[nodiscard]] const membership& list() const { return list_; }
    [[nodiscard]] instance_id self() const { return self_; }
    [[nodiscard]] domain_id domain() const { return domain_; }
    [[nodiscard]] std::uint32_t incarnation_of(instance_id id) const;
    /// Increases whenever an owner may have changed.
    [[nodiscard]] std::uint64_t generation() const { return generation_; }

  private:
    struct peer
    {
        std::uint32_t incarnation = 0;
        std::uint32_t counter = 0;
        time_point last_alive_at;
        /// When the connection to the instance broke, unless it is connected.
        std::optional<time_point> disconnected_since;
        /// Whether the instance was shown to be alive after the connection
        /// broke.
        bool alive_since_disconnect = false;
        bool leaving = false;
        bool suspected = false;
    };

    /// Members of a list that is or was in force.
    struct past_membership
    {
        wall_time installed;
        std::vector<instance_id> members;
    };

    [[nodiscard]] bool is_small_fleet() const;
    [[nodiscard]] bool is_in_own_domain(instance_id id) const;
    /// Time without a sign of life after which an instance is suspected.
    /// `local` selects instances of this failure domain, otherwise those of
    /// others.
    [[nodiscard]] duration suspicion_timeout(bool local) const;
    [[nodiscard]] bool has_timed_out(time_point now, const peer& state,
                                     duration timeout) const;
    void mark_alive(time_point now, instance_id id, peer& state);
    void accept_heartbeat(time_point now, const heartbeat& received);
    void suspect_timed_out_peers(time_point now);
    [[nodiscard]] duration period() const;
    [[nodiscard]] std::size_t own_domain_size() const;
    void send_gossip(time_point now, const config_version& config);
    [[nodiscard]] gossip compose_gossip(domain_id receiver_domain,
                                        const config_version& config);
    [[nodiscard]] instance_id next_target(const std::vector<instance_id>& from,
                                          std::size_t& cursor) const;

    instance_id self_;
    domain_id domain_;
    std::uint32_t incarnation_;
    placement_options options_;
    boost::random::mt19937 random_;
    outbox& out_;
    membership list_;
    /// Oldest first, at most `max_past_memberships`.
    std::vector<past_membership> past_memberships_;
    std::map<instance_id, peer> peers_;
    std::uint32_t own_counter_ = 0;
    bool leaving_ = false;
    time_point next_gossip_;
    std::uint64_t gossip_rounds_ = 0;
    std::size_t own_domain_cursor_ = 0;
    std::size_t remote_cursor_ = 0;
    std::uint64_t generation_ = 1;
};

} // namespace sycamorelock::core
