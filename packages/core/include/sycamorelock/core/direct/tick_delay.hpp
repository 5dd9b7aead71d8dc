// How late an event loop is, by the ticks that it should run on time.
#pragma once

#include "sycamorelock/core/strong_types.hpp"

#include <atomic>

namespace sycamorelock::core::direct
{

/// Requests of an overloaded instance wait in sockets, where no decision sees
/// them. Its ticks wait as long.
class tick_delay
{
  public:
    /// Mean delay from which an instance should get no new callers: a third to
    /// a half of the tightest objectives of today's deployments.
    static constexpr duration longest = std::chrono::milliseconds(250);
    /// Without any tick for this time the thread hangs.
    static constexpr duration silence = std::chrono::milliseconds(1500);

    explicit tick_delay(duration period) : period_(period) {}

    /// Notes a tick. Returns whether `late` has changed.
    bool tick(time_point now);

    /// Any thread. Not before the first tick.
    [[nodiscard]] bool late(time_point now) const;

    /// Mean delay of the last ticks.
    [[nodiscard]] duration mean() const { return mean_; }

  private:
    duration period_;
    duration mean_{0};
    std::atomic<bool> late_{false};
    std::atomic<time_point> ticked_at_{time_point()};
};

} // namespace sycamorelock::core::direct
