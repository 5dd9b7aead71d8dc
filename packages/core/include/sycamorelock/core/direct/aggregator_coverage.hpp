// Decides whether an instance of a large fleet has to read the platform's state
// store itself or can rely on the reports of its aggregator.
#pragma once

#include "sycamorelock/core/direct/exchange.hpp"

namespace sycamorelock::core::direct
{

/// Tracks how current the endpoints are that the aggregator of this instance
/// reports. Members rely on them to limit the load on the store, whose capacity
/// for calls all instances share: 72 instances that all wait for changes made
/// 6,790 calls per minute.
class aggregator_coverage
{
  public:
    /// An instance reads the store itself if its aggregator has sent no report
    /// for this time, which is seven report periods. That is far below the
    /// shortest time for which requests to a leaving endpoint are tolerated
    /// (2 s).
    static constexpr duration aggregator_timeout = milliseconds(700);
    /// Maximum age of the store's last answer to the aggregator. An aggregator
    /// gets an answer at least every 750 ms.
    static constexpr milliseconds max_answer_age{1100};

    /// Processes the store's part of a report of the own aggregator.
    void process_report(time_point now, const store_view& view);

    /// Whether the aggregator's last report is recent enough, and was based on
    /// a recent enough answer of the store.
    [[nodiscard]] bool covered(time_point now) const;

    /// The time as of which the endpoints that the aggregator reported were
    /// current.
    [[nodiscard]] time_point current_at() const { return current_at_; }

  private:
    time_point last_report_at_;
    time_point current_at_;
    bool is_current_ = false;
};

} // namespace sycamorelock::core::direct
