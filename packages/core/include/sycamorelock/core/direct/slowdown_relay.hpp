// Relays reported slowdowns of endpoints through a large fleet: from members to
// their aggregator, between aggregators, and from each aggregator to its
// members.
#pragma once

#include "sycamorelock/core/direct/slowdown_tracker.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace sycamorelock::core::direct
{

/// Collects the newest note of each endpoint between two rounds of the
/// exchange. Several instances notice the same change before they hear of each
/// other, so repeated notes are dropped, and ages grow by the time for which a
/// note is held here.
class slowdown_relay
{
  public:
    /// Largest number of endpoints per round; notes of others are dropped.
    static constexpr std::size_t max_endpoints = 4096;

    /// Adds notes of this instance.
    void add_own(time_point now, const std::vector<slowdown_note>& notes);
    /// Adds notes of a member of this failure domain.
    void add_member(time_point now, const std::vector<slowdown_note>& notes);
    /// Adds notes of another failure domain, received from its aggregator.
    void add_domain(time_point now, const std::vector<slowdown_note>& notes);

    /// Returns the notes for this domain's aggregator.
    [[nodiscard]] std::vector<slowdown_note> take_own(time_point now);
    /// Returns the notes for the aggregators of other domains.
    [[nodiscard]] std::vector<slowdown_note> take_domain(time_point now);
    /// Returns the notes for the members of this domain.
    [[nodiscard]] std::vector<slowdown_note> take_all(time_point now);

    /// Number of notes received from other instances.
    [[nodiscard]] std::uint64_t received() const { return received_; }
    /// Number of this instance's notes that were sent to its aggregator.
    [[nodiscard]] std::uint64_t told() const { return told_; }
    /// Number of received notes that others had sent before, and of those
    /// beyond `max_endpoints`.
    [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

  private:
    struct report
    {
        time_point at;
        double slowdown = 1;
        bool pending = false;
    };
    using report_list = std::map<endpoint_id, report>;
    void append(report_list& to, time_point now,
                const std::vector<slowdown_note>& notes);
    std::vector<slowdown_note> take(report_list& from, time_point now);

    report_list own_;
    report_list domain_;
    report_list all_;
    std::uint64_t received_ = 0;
    std::uint64_t told_ = 0;
    std::uint64_t dropped_ = 0;
};

} // namespace sycamorelock::core::direct
