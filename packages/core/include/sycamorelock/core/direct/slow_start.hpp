// Limits the requests that endpoints get during their warm-up from all
// instances together, without a coordinator: each instance computes its share
// of an endpoint's allowance by rendezvous hashing.
#pragma once

#include "sycamorelock/core/strong_types.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sycamorelock::core::direct
{

/// An instance of the fleet that may send requests, reachable or not.
struct fleet_member
{
    instance_id instance;
    domain_id domain;

    auto operator<=>(const fleet_member&) const = default;
};

/// Divides the allowance of an endpoint that warms up. Rendezvous hashing
/// divides the requests of one second among the failure domains, and the share
/// of a domain among its instances. The shares of the domains do not depend on
/// which instances are reachable, so that both sides of a network partition
/// together stay within the allowance.
class allowance_shares
{
  public:
    /// Time after which an instance may use a share that it gained. Until then
    /// the previous holder may not know that it has lost the share.
    static constexpr duration settling_time = std::chrono::seconds(2);

    /// \param domains failure domains of the fleet that the settings name;
    /// those of known instances are added.
    allowance_shares(instance_id self, domain_id own,
                     std::set<domain_id> domains);

    /// Sets the instances that are known now, without this one.
    void set_members(time_point now, const std::vector<fleet_member>& members);

    /// Returns the number of requests that this instance may send to an
    /// endpoint in any second: the smallest of its shares under the memberships
    /// of the last `settling_time`; zero until the first members have been
    /// known for that time.
    /// \param allowance requests that all instances together may send in any
    /// second.
    [[nodiscard]] unsigned own_share(time_point now, endpoint_id endpoint,
                                     unsigned allowance) const;

  private:
    /// Membership of the own failure domain from a time on.
    struct membership
    {
        time_point since;
        /// Other instances of the own domain, sorted.
        std::vector<instance_id> domain_peers;
    };

    [[nodiscard]] unsigned share_under(const membership& members,
                                       endpoint_id endpoint,
                                       unsigned allowance) const;

    instance_id self_;
    domain_id own_;
    std::set<domain_id> domains_;
    /// Newest first. Empty until the first call of set_members.
    std::deque<membership> memberships_;
};

/// Tracks which endpoints warm up, and which requests this instance has sent
/// to each endpoint within the last second.
class slow_start
{
  public:
    /// Length of the sliding window in which sent requests count. The allowance
    /// holds for any second; the additional 20 ms cover clocks that differ.
    static constexpr duration window = std::chrono::milliseconds(1020);
    /// Time without requests to an endpoint that turned cold while in use.
    /// Instances that do not know of the warm-up yet stop sending at the full
    /// rate within this time.
    static constexpr duration cold_pause = std::chrono::milliseconds(1500);
    /// Upper bound of a warm-up, so that an implausible value cannot limit an
    /// endpoint forever.
    static constexpr duration max_warmup = std::chrono::minutes(10);
    /// Time after the end of a warm-up over which the instances lift the limit
    /// one after the other.
    static constexpr duration lift_period = std::chrono::seconds(1);
    /// Time after which an unlisted endpoint is considered gone and its state
    /// is removed.
    static constexpr duration unlisted_retention = std::chrono::minutes(10);

    /// Records that an endpoint warms up for the time `left` from now on. Of
    /// several calls the latest end of the warm-up holds.
    /// \param in_use whether other instances may be sending to the endpoint
    /// without a limit.
    void extend_warmup(time_point now, endpoint_id endpoint, duration left,
                       bool in_use);

    /// Returns the remaining time of the warm-up; zero if there is none.
    [[nodiscard]] duration left(time_point now, endpoint_id endpoint) const;

    /// Returns when the limit ends; a time in the past if there is none.
    /// \param rank position of this instance in the order in which instances
    /// lift the limit, from 0 to 1.
    [[nodiscard]] time_point limited_until(endpoint_id endpoint,
                                           double rank) const;

    /// Returns whether one more request may be sent to an endpoint that warms
    /// up.
    /// \param share requests that this instance may send in any second.
    /// \param pending requests that are assigned to the endpoint and not sent
    /// yet.
    [[nodiscard]] bool admits(time_point now, endpoint_id endpoint,
                              unsigned share, unsigned pending) const;

    /// Returns the time until `admits` may return true or the limit ends; zero
    /// if a request may be sent now.
    [[nodiscard]] duration time_until_admitted(time_point now,
                                               endpoint_id endpoint,
                                               unsigned share) const;

    /// Records a request whose first bytes were just sent.
    void sent(time_point now, endpoint_id endpoint);

    /// Records that an endpoint is no longer listed.
    void note_unlisted(time_point now, endpoint_id endpoint);
    /// Records that an endpoint is listed. Returns whether it was unlisted
    /// before.
    bool note_listed(endpoint_id endpoint);
    /// Removes the state of endpoints that have been unlisted for longer than
    /// `unlisted_retention`.
    void forget_unlisted(time_point now);

  private:
    struct state
    {
        /// When the warm-up ends.
        time_point warm_at;
        /// End of the `cold_pause`.
        time_point paused_until;
        /// When requests were sent to the endpoint, oldest first.
        std::deque<time_point> sent;
        /// When the endpoint was removed from the list, if it is not listed.
        std::optional<time_point> unlisted_since;
    };

    [[nodiscard]] const state* find(endpoint_id endpoint) const;
    /// Number of requests that were sent to the endpoint within the `window`
    /// that ends now.
    [[nodiscard]] static unsigned sent_within(time_point now,
                                              const state& endpoint);

    std::map<endpoint_id, state> states_;
};

} // namespace sycamorelock::core::direct
