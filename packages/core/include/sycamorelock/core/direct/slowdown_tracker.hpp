// What is known of the speed of each endpoint: how it differs from the others
// of its service, and what slows its machine at present.
#pragma once

#include "sycamorelock/core/direct/endpoint_load.hpp"
#include "sycamorelock/core/strong_types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sycamorelock::core::direct
{

/// A slowdown that an endpoint reported of itself, on its way between
/// instances. Their clocks are not compared, so the note carries an age.
struct slowdown_note
{
    endpoint_id endpoint;
    duration age{0};
    double slowdown = 1;
};

/// Slowdown of an endpoint as an instance believes it.
struct slowdown_belief
{
    double present = 1;
    /// Slowdown without disturbances of the machine; equals `present` once a
    /// disturbance has ended.
    double lasting = 1;
    /// Time since the endpoint reported the newest slowdown that is known.
    duration age{0};

    /// Mean slowdown over work that takes `work_ms` on a machine with slowdown
    /// 1, as a disturbance may end before the work does.
    [[nodiscard]] double over(double work_ms) const;
};

/// Slowdowns that endpoints have reported of themselves, to this instance or
/// others. An endpoint that starts again has another id, so nothing of its
/// earlier start is believed.
///
/// The lasting slowdown is the time-weighted lower quartile of the reports of
/// recent seconds: disturbances only slow a machine and take a small part of
/// the time, but reports of them are passed on first. Reports may be merged in
/// any order.
class slowdown_tracker
{
  public:
    /// Disturbances of a machine last about this long.
    static constexpr duration disturbance_time = std::chrono::milliseconds(600);
    /// An endpoint that has reported no slowdown for this long counts as one
    /// that reports none.
    static constexpr duration lifetime = std::chrono::minutes(2);
    /// Reports that differ from what is believed by less than this factor are
    /// not passed on: errors of predictions for other reasons are larger.
    static constexpr double told_factor = 1.15;
    /// Interval after which an unchanged slowdown is passed on again, for
    /// instances that have started or were cut off.
    static constexpr duration repeat_interval = std::chrono::seconds(10);

    /// Whether slowdowns differ by more than `told_factor`.
    [[nodiscard]] static bool differs(double one, double other);

    /// Records the load that an endpoint reported in a response.
    void note_load(time_point now, endpoint_id endpoint,
                   const endpoint_load& load);
    /// Records what another instance passed on. Ignored if it is too old.
    void add_remote(time_point now, const slowdown_note& note);
    /// Whether the endpoint reports the slowdown of its machine.
    [[nodiscard]] bool reports_slowdown(endpoint_id endpoint) const
    {
        return reported_.contains(endpoint);
    }
    /// Empty if the endpoint reports no slowdown.
    [[nodiscard]] std::optional<slowdown_belief>
    belief(time_point now, endpoint_id endpoint) const;
    /// Returns the reports of this instance that others should know, each
    /// once.
    [[nodiscard]] std::vector<slowdown_note> take_unreported(time_point now);
    /// Removes endpoints that have ceased to report.
    void expire(time_point now);
    /// Removes what is known of an endpoint that is no longer listed.
    void forget(endpoint_id endpoint) { reported_.erase(endpoint); }

    [[nodiscard]] std::size_t size() const { return reported_.size(); }
    /// Largest present slowdown; 0 if no endpoint reports one.
    [[nodiscard]] double largest(time_point now) const;

  private:
    struct reported_slowdown
    {
        time_point at;
        double slowdown = 1;
        double lasting = 1;
        /// Lowest slowdown of each interval with a report, by its number.
        std::map<std::int64_t, double> lowest;
        /// Time of the newest report that is known to the other instances.
        std::optional<time_point> told_at;
        /// `slowdown` has to be passed on.
        bool unreported = false;

        void add(time_point when, double value);
        [[nodiscard]] double present(time_point now) const;
        [[nodiscard]] double lower_quartile() const;
    };
    std::map<endpoint_id, reported_slowdown> reported_;
};

} // namespace sycamorelock::core::direct
