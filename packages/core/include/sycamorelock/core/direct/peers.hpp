// Membership of the fleet: which other instances are reachable. Instances are
// discovered from a few seed addresses and from the peers that reports list.
#pragma once

#include "sycamorelock/core/direct/exchange.hpp"
#include "sycamorelock/core/direct/slow_start.hpp"

#include <map>
#include <random>
#include <set>

namespace sycamorelock::core::direct
{

/// Tracks the other instances by the numbers of the reports that they send or
/// that others have received from them. Not thread-safe.
class peers
{
  public:
    /// An instance counts as unreachable if no newer report of it has become
    /// known for this time. That is thirty report periods; in a large fleet, a
    /// report number takes about a second to reach every instance.
    static constexpr duration unreachable_after = std::chrono::seconds(3);
    /// Reports are still sent to an instance for this time after its last
    /// report, so that the fleet reunites after a network partition.
    static constexpr duration forget_after = std::chrono::seconds(60);
    /// A connection whose reports have not been acknowledged for this time is
    /// reopened, because a connection can stop delivering without a reset.
    static constexpr duration stale_link_after = std::chrono::seconds(2);
    /// Up to this many other instances, every instance sends its full reports
    /// to every other one, which costs less than a hundredth of a core at ten
    /// reports per second. Larger fleets exchange reports through aggregators.
    static constexpr std::size_t mesh_limit = 12;
    /// Number of reachable instances that an instance of a large fleet gossips
    /// to in each round.
    static constexpr std::size_t gossip_fanout = 2;
    /// Maximum number of peers that a report lists.
    static constexpr std::size_t gossip_size = 20;

    /// \param self IP:port of this instance's exchange.
    /// \param domain failure domain of this instance.
    /// \param incarnation a number that grows with each start of this instance.
    /// \param seeds addresses of instances to contact first.
    peers(std::string self, domain_id domain, std::uint64_t incarnation,
          const std::vector<std::string>& seeds);

    void set_seeds(const std::vector<std::string>& seeds);
    /// Marks this instance as leaving: it stays the aggregator of its failure
    /// domain only if no other instance can take over.
    void leave() { leaving_ = true; }

    /// Processes a report that came directly from its sender. Returns false if
    /// it is outdated, from an earlier incarnation of the sender, or from this
    /// instance itself.
    bool process_report(time_point now, const exchange_report& report);

    /// Whether no newer report of its sender is known. After a network
    /// partition, connections deliver the reports that queued up throughout it.
    [[nodiscard]] bool is_newest(const exchange_report& report) const;

    /// Fills in the sender's fields and a random sample of the reachable peers,
    /// and removes peers whose `forget_after` has passed.
    void fill_report(time_point now, exchange_report& report);
    /// Assigns the next number to a report. A receiver ignores reports whose
    /// number is not higher than that of the last one.
    void assign_number(exchange_report& report) { report.number = ++number_; }

    /// Instances that may send requests to endpoints: all with a known report
    /// that have not been forgotten. Unreachable instances are included, since
    /// they may be running behind a network partition; those that were leaving
    /// before they became unreachable are not.
    [[nodiscard]] std::vector<fleet_member> members(time_point now) const;

    /// Whether the fleet is too large for a full mesh of reports.
    [[nodiscard]] bool large(time_point now) const
    {
        return reachable_count(now) > mesh_limit;
    }

    /// Addresses to send reports to in a small fleet: the seeds and all known
    /// peers.
    [[nodiscard]] std::vector<std::string> known_addresses() const;
    /// Randomly drawn addresses to gossip to in a large fleet.
    std::vector<std::string> gossip_targets(time_point now);
    /// Address of the instance that should aggregate a failure domain: the one
    /// with the lowest incarnation, hence the longest running, of those that
    /// are reachable and not leaving. Empty if that is this instance or if the
    /// domain has no such instance.
    [[nodiscard]] std::string aggregator(time_point now,
                                         domain_id domain) const;
    /// Failure domains of reachable instances, without this instance's own.
    [[nodiscard]] std::set<domain_id> other_domains(time_point now) const;

    /// Addresses whose connection must be reopened, each at most once per
    /// `stale_link_after`.
    std::vector<std::string> stale_links(time_point now);

    /// Number of reachable instances, without this one.
    [[nodiscard]] std::size_t reachable_count(time_point now) const;

    /// Instances that became unreachable since the last call.
    std::vector<instance_id> newly_unreachable(time_point now);

  private:
    struct peer
    {
        domain_id domain;
        std::uint64_t incarnation = 0;
        /// Number of the newest report known, directly or through other
        /// instances.
        std::uint64_t number = 0;
        /// Number of the newest report received from it directly.
        std::uint64_t direct_number = 0;
        /// Number of the newest own report that it has acknowledged.
        std::uint64_t acknowledged = 0;
        /// Start of the wait for the next acknowledgement: the time of the last
        /// acknowledgement, or of the last request to reopen the connection.
        time_point acknowledged_at;
        /// When the newest known report became known.
        time_point last_report_at;
        /// When another instance first listed it.
        time_point known_since;
        /// Cleared by `newly_unreachable` once the peer is unreachable.
        bool live = false;
        bool leaving = false;
    };

    [[nodiscard]] bool is_live(time_point now, const peer& which) const
    {
        return which.live && now - which.last_report_at < unreachable_after;
    }
    /// Takes over what another instance reported about a peer.
    void merge_sighting(time_point now, const peer_status& seen);
    /// Records the newest own report that `from` has received, according to its
    /// entry for this instance.
    void acknowledge(time_point now, peer& from, const peer_status& own);

    std::string self_;
    domain_id domain_;
    std::uint64_t incarnation_;
    std::set<std::string> seeds_;
    std::uint64_t number_ = 0;
    bool leaving_ = false;
    std::map<std::string, peer> peers_;
    std::minstd_rand random_;
};

} // namespace sycamorelock::core::direct
