// Which other instances live, found from a few seeds and from what those tell.
#pragma once

#include "sycamorelock/core/direct/exchange.hpp"
#include "sycamorelock/core/direct/slow_start.hpp"

#include <map>
#include <random>
#include <set>

namespace sycamorelock::core::direct
{

class peers
{
  public:
    /// An instance of which nothing new was heard for this time counts as gone.
    /// Thirty reports; in a large fleet news takes about a second to get
    /// around.
    static constexpr duration silent_after = std::chrono::seconds(3);
    /// Afterwards it is still tried for this time, in case a cut heals.
    static constexpr duration forget_after = std::chrono::seconds(60);
    /// A link whose reports are not acknowledged for this time is dialled
    /// anew: connections can go silent without a reset.
    static constexpr duration stale_link_after = std::chrono::seconds(2);
    /// Up to this many others, each instance tells each other everything: at
    /// ten reports a second that costs under a hundredth of a core. Beyond it
    /// the exchange goes by aggregators.
    static constexpr std::size_t mesh_limit = 12;
    /// Instances that a large fleet's instance tells of others in each round,
    /// and how many others it tells them of.
    static constexpr std::size_t gossip_fanout = 2;
    static constexpr std::size_t gossip_size = 20;

    peers(std::string self, domain_id domain, std::uint64_t incarnation,
          const std::vector<std::string>& seeds);

    void set_seeds(const std::vector<std::string>& seeds);
    /// This instance is about to end and aggregates no more if another can.
    void leave() { leaving_ = true; }

    /// Takes a report. Returns false if it is an old one or from a process
    /// that has ended.
    bool heard(time_point now, const exchange_report& report);

    /// Whether nothing newer of its sender is known. After a cut, connections
    /// bring reports of its whole length.
    [[nodiscard]] bool is_newest(const exchange_report& report) const;

    /// Fills in the sender and what it knows of others.
    void fill_report(time_point now, exchange_report& report);
    /// Numbers a report. A receiver takes only higher numbers than before.
    void number(exchange_report& report) { report.number = ++number_; }

    /// Instances that may send requests: all that were heard of and are not
    /// forgotten, also silent ones, as a cut looks like their end. Those that
    /// left are not among them.
    [[nodiscard]] std::vector<fleet_member> members(time_point now) const;

    /// Whether the fleet is too large for everyone to tell everyone.
    [[nodiscard]] bool large(time_point now) const
    {
        return live(now) > mesh_limit;
    }

    /// Everyone to send reports to in a small fleet.
    [[nodiscard]] std::vector<std::string> everyone() const;
    /// A few, drawn at random, to tell of instances in a large fleet.
    std::vector<std::string> gossip_targets(time_point now);
    /// The instance that should aggregate a failure domain: of those that live
    /// and stay the one that started first, by the incarnation that each tells.
    /// Empty if it is this one, or none lives there and stays.
    [[nodiscard]] std::string aggregator(time_point now,
                                         domain_id domain) const;
    /// Failure domains of live instances other than the own one.
    [[nodiscard]] std::set<domain_id> other_domains(time_point now) const;

    /// Addresses whose link must be dialled anew.
    std::vector<std::string> stale_links(time_point now);

    /// Instances heard of lately, without this one.
    [[nodiscard]] std::size_t live(time_point now) const;

    /// Those that fell silent since the last call.
    std::vector<instance_id> newly_silent(time_point now);

  private:
    struct peer
    {
        domain_id domain;
        std::uint64_t incarnation = 0;
        /// Number of the newest report known, by whatever way.
        std::uint64_t number = 0;
        /// Number of the newest report that came from it directly.
        std::uint64_t direct_number = 0;
        /// Newest of our reports that it has acknowledged, and when we last
        /// sent one that it should.
        std::uint64_t acknowledged = 0;
        time_point acknowledged_at;
        time_point heard_at;
        time_point known_since;
        bool live = false;
        bool leaving = false;
    };

    [[nodiscard]] bool is_live(time_point now, const peer& which) const
    {
        return which.live && now - which.heard_at < silent_after;
    }
    void learn(time_point now, const peer_sight& seen);
    void acknowledge(time_point now, peer& from, const peer_sight& own);

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
