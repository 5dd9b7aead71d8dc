// Measures the delay of an event loop by that of a periodic timer.
#pragma once

#include "sycamorelock/core/strong_types.hpp"

#include <atomic>

namespace sycamorelock::core::direct
{

/// Requests to an overloaded instance wait in socket buffers, where the routing
/// decision cannot account for them. Timer ticks are delayed by as much, so
/// they show the overload.
class tick_delay
{
  public:
    /// Mean delay above which an instance should get no new callers. It is a
    /// third to a half of the tightest latency objectives of current
    /// deployments.
    static constexpr duration max_mean_delay = std::chrono::milliseconds(250);
    /// The thread is considered hung if there was no tick for this time.
    static constexpr duration hang_timeout = std::chrono::milliseconds(1500);

    /// \param period intended time between ticks.
    explicit tick_delay(duration period) : period_(period) {}

    /// Records a tick. Returns whether the mean delay has crossed
    /// `max_mean_delay`. To be called by the thread of the event loop.
    bool tick(time_point now);

    /// Whether the mean delay is too long or the thread hangs; false before the
    /// first tick. May be called by any thread.
    [[nodiscard]] bool is_late(time_point now) const;

    /// Moving average of the delay. To be called by the thread of the event
    /// loop.
    [[nodiscard]] duration mean() const { return mean_; }

  private:
    duration period_;
    duration mean_{0};
    std::atomic<bool> late_{false};
    std::atomic<time_point> ticked_at_{time_point()};
};

} // namespace sycamorelock::core::direct
