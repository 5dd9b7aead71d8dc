// Tracks since when the platform's state store has been reachable for this
// instance or for any other that reported so.
#pragma once

#include "sycamorelock/core/direct/exchange.hpp"

namespace sycamorelock::core::direct
{

/// Entries of endpoints lapse only while the whole fleet cannot reach the
/// store. If a single instance loses the store, it misses changes but no entry
/// lapses, so this does not count as an outage.
class store_uptime
{
  public:
    /// Shortest time without answers that counts as an outage. A reader gets
    /// answers from a reachable store at most 2.5 s apart: the longest wait for
    /// a change plus the pause before it. Entries lapse after three
    /// heartbeat periods of 1.2 s each; the last heartbeat may have arrived
    /// just before the outage.
    static constexpr duration min_outage = milliseconds(2600);
    /// Longer uptimes are reported as this value.
    static constexpr milliseconds max_reported_uptime{60'000};

    /// Records an answer of the store to this instance. Returns whether it
    /// ended an outage.
    bool answered(time_point now) { return add_span(now, now); }

    /// Merges the uptime that another instance reported. Its times are relative
    /// to the time of sending, so the report must not have been delayed for
    /// long. Returns whether it shows the end of an outage.
    bool merge_report(time_point now, const store_view& view);

    /// Start of the current uptime.
    [[nodiscard]] time_point since() const { return since_; }
    /// The uptime to report to other instances, zero if no answer is known.
    [[nodiscard]] milliseconds for_report(time_point now) const;

  private:
    /// Adds a span of time in which the store was reachable. Returns whether it
    /// begins after an outage.
    bool add_span(time_point from, time_point to);

    time_point since_;
    /// Time of the last known answer, zero if there is none.
    time_point last_answer_at_;
};

} // namespace sycamorelock::core::direct
