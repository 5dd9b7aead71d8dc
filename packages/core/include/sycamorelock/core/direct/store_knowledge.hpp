// Compares what this instance has read from the platform's state store with
// what other instances report: which of them have missed changes, and how
// current the endpoints known here are.
#pragma once

#include "sycamorelock/core/direct/copy_limiter.hpp"
#include "sycamorelock/core/direct/exchange.hpp"
#include "sycamorelock/core/direct/settled_number.hpp"

#include <string>

namespace sycamorelock::core::direct
{

/// Finds the instances that need a copy of the endpoint list. The store may
/// reject calls of some instances for many seconds while it serves the others.
/// Without copies, those kept sending requests to endpoints that had left: 47
/// requests per minute in a fleet of 77 instances in which the store rejected
/// one aggregator and some of its members.
class store_knowledge
{
  public:
    /// An instance that lacks a change for longer than this is sent a copy. One
    /// that can read the store has the change within 500 ms plus the duration
    /// of a call. The delay is well below the shortest time for which requests
    /// to a leaving endpoint are tolerated (2 s).
    static constexpr duration help_delay = std::chrono::milliseconds(700);

    /// Records how far this instance has read the store. To be called before
    /// each round of the exchange.
    ///
    /// \param revision revision up to which this instance has read the store.
    /// \param digest digest of the known endpoints.
    void set_known_state(time_point now, std::uint64_t revision,
                         std::uint64_t digest);

    /// Whether `peer`, which reported this view of the store, must be sent all
    /// endpoints. If so, the copy counts as sent for the rate limit.
    bool needs_endpoints(time_point now, const std::string& peer,
                         const store_view& reported);

    /// Processes the view of an instance that reads the store itself. If it has
    /// the same endpoints, those known here are as current as its own.
    void confirm(time_point now, const store_view& reported);

    /// The time as of which the endpoints known here were current.
    /// \param answered_at when the store last answered this instance.
    [[nodiscard]] time_point current_at(time_point answered_at) const
    {
        return std::max(answered_at, confirmed_at_);
    }

  private:
    settled_number revisions_{help_delay};
    std::uint64_t digest_ = 0;
    time_point confirmed_at_;
    copy_limiter pace_;
};

} // namespace sycamorelock::core::direct
