// Limits what endpoints that warm up get from the whole fleet, without a
// coordinator: each endpoint's allowance is divided among a few instances.
#pragma once

#include "sycamorelock/core/strong_types.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sycamorelock::core::direct
{

/// An instance of the fleet that may send requests, live or silent.
struct fleet_member
{
    instance_id instance;
    domain_id domain;

    auto operator<=>(const fleet_member&) const = default;
};

/// Who may send how much to an endpoint that warms up. Rendezvous hashing
/// divides the requests of one second among the failure domains, and the part
/// of a domain among its instances. Parts of domains do not depend on who is
/// heard, so that in a cut both sides together stay within the allowance.
class allowance_parts
{
  public:
    /// A part that an instance gains may be used after this time: until then
    /// another one may not know that it has lost it.
    static constexpr duration settling = std::chrono::seconds(2);

    /// \param domains failure domains of the fleet, as far as settings name
    /// them; those of known instances are added.
    allowance_parts(instance_id self, domain_id own,
                    std::set<domain_id> domains);

    /// Takes the instances that are known now, without this one.
    void set_members(time_point now, const std::vector<fleet_member>& members);

    /// Requests that this instance may send to an endpoint in any second.
    /// \param allowance those that all instances together may send.
    [[nodiscard]] unsigned own_part(time_point now, endpoint_id endpoint,
                                    unsigned allowance) const;

  private:
    /// A picture of the fleet, in force until the next one.
    struct view
    {
        time_point since;
        /// Other instances of the own domain.
        std::vector<instance_id> others;
    };

    [[nodiscard]] unsigned part_in(const view& seen, endpoint_id endpoint,
                                   unsigned allowance) const;

    instance_id self_;
    domain_id own_;
    std::set<domain_id> domains_;
    /// Newest first. Empty until anything is known.
    std::deque<view> views_;
};

/// Which endpoints warm up, and what this instance has sent to each endpoint
/// within the last second.
class slow_start
{
  public:
    /// The bound counts any second. A little more covers clocks that differ.
    static constexpr duration window = std::chrono::milliseconds(1020);
    /// Time without a request to an endpoint that turned cold while in use:
    /// what others send in ignorance of it ends meanwhile.
    static constexpr duration pause = std::chrono::milliseconds(1500);
    /// An absurd time must not limit an endpoint for good.
    static constexpr duration longest = std::chrono::minutes(10);
    /// After the warm-up instances lift the limit one after the other within
    /// this time.
    static constexpr duration lift = std::chrono::seconds(1);
    /// An endpoint that is not listed for so long has ended.
    static constexpr duration keep_unlisted = std::chrono::minutes(10);

    /// An endpoint warms up for some more time. The longest such time holds.
    /// \param in_use others may be sending to it without a limit.
    void note(time_point now, endpoint_id endpoint, duration left, bool in_use);

    /// What is left of the warm-up; zero if there is none.
    [[nodiscard]] duration left(time_point now, endpoint_id endpoint) const;

    /// When the limit ends; in the past if there is none.
    /// \param rank this instance's rank in lifting it, from 0 to 1.
    [[nodiscard]] time_point limited_until(endpoint_id endpoint,
                                           double rank) const;

    /// Whether one more request may be sent to an endpoint that warms up.
    /// \param part requests that this instance may send in any second.
    /// \param chosen requests that were chosen for it and are not sent yet.
    [[nodiscard]] bool admits(time_point now, endpoint_id endpoint,
                              unsigned part, unsigned chosen) const;

    /// Time until `admits` may hold, or the limit ends; zero if it does now.
    [[nodiscard]] duration free_in(time_point now, endpoint_id endpoint,
                                   unsigned part) const;

    /// Notes a request whose first bytes were just sent.
    void sent(time_point now, endpoint_id endpoint);

    /// An endpoint is not listed any more.
    void note_unlisted(time_point now, endpoint_id endpoint);
    /// An endpoint is listed. Returns whether it had not been for a while.
    bool listed_again(endpoint_id endpoint);
    /// Forgets endpoints that have not been listed for long.
    void forget_unlisted(time_point now);

  private:
    struct state
    {
        time_point warm_at;
        time_point paused_until;
        std::deque<time_point> sent;
        /// Since when it is not listed.
        std::optional<time_point> unlisted;
    };

    [[nodiscard]] const state* find(endpoint_id endpoint) const;
    [[nodiscard]] static unsigned sent_within(time_point now,
                                              const state& known);

    std::map<endpoint_id, state> known_;
};

} // namespace sycamorelock::core::direct
