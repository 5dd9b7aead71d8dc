// Since when the platform's store has answered, to this instance or to any
// other that told so.
#pragma once

#include "sycamorelock/core/direct/exchange.hpp"

namespace sycamorelock::core::direct
{

/// Entries of endpoints lapse only while the store is away from all. An
/// instance that alone lost it has missed changes and nothing else.
class store_uptime
{
  public:
    /// Answers of a store that is up are at most 2.5 s apart at a reader, by
    /// the longest wait for a change and the pause before it. Entries lapse
    /// after three heartbeats of 1.2 s, the last of which may have come just
    /// before the outage.
    static constexpr duration least_outage = milliseconds(2600);
    /// A longer uptime is told as this.
    static constexpr milliseconds most_told{60'000};

    /// The store answered this instance. Returns whether that ended an outage.
    bool answered(time_point now) { return extend(now, now); }

    /// Takes over what another instance told. It must not have been on its way
    /// for long. Returns whether it tells of the end of an outage.
    bool told(time_point now, const store_view& view);

    [[nodiscard]] time_point since() const { return since_; }
    [[nodiscard]] milliseconds told_at(time_point now) const;

  private:
    /// The store was up in a span of time.
    bool extend(time_point from, time_point to);

    time_point since_;
    /// Zero until an answer is known.
    time_point last_;
};

} // namespace sycamorelock::core::direct
