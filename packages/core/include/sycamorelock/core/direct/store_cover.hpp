// Whether an instance of a large fleet must read the platform's store itself,
// or knows enough from its aggregator.
#pragma once

#include "sycamorelock/core/direct/exchange.hpp"

namespace sycamorelock::core::direct
{

/// Calls to the store are shared by all instances and each costs. With 72
/// instances that all wait for changes they were 6,790 in a minute.
class store_cover
{
  public:
    /// Seven reports of an aggregator: after this silence an instance reads by
    /// itself, long before the shortest time in which a leaving endpoint may
    /// still be sent requests (2 s).
    static constexpr duration silence = milliseconds(700);
    /// Oldest answer of the store that an aggregator may build on. It has one
    /// every 750 ms at most.
    static constexpr milliseconds oldest_answer{1100};

    /// Notes what the own aggregator told.
    void heard(time_point now, const store_view& view);

    /// The aggregator's knowledge is fresh enough.
    [[nodiscard]] bool covered(time_point now) const;

    /// Up to when the endpoints that the aggregator told of were right.
    [[nodiscard]] time_point current_at() const { return current_at_; }

  private:
    time_point heard_at_;
    time_point current_at_;
    bool fresh_ = false;
};

} // namespace sycamorelock::core::direct
