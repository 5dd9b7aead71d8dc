// What this instance knows of the platform's store, compared with what others
// tell: who lacks news that it could not read, and whose news is newer.
#pragma once

#include "sycamorelock/core/direct/exchange.hpp"
#include "sycamorelock/core/direct/help_pace.hpp"

#include <deque>
#include <string>

namespace sycamorelock::core::direct
{

/// The store may turn some instances away for many seconds while it serves the
/// others. Without help those went on sending to endpoints that had left: 47
/// requests in a minute with 77 instances, of which one aggregator and some of
/// its members were turned away.
class store_knowledge
{
  public:
    /// Whoever reads the store has a change within 500 ms and the time of an
    /// answer; later it does not reach it. Well under the shortest time for
    /// which a leaving endpoint may still be sent requests (2 s).
    static constexpr duration help_after = std::chrono::milliseconds(700);

    /// Notes what this instance knows. To be called before each round of the
    /// exchange.
    /// \param digest of the endpoints.
    void know(time_point now, std::uint64_t revision, std::uint64_t digest);

    /// Whether an instance that told this must be sent all endpoints.
    bool must_help(time_point now, const std::string& peer,
                   const store_view& told);

    /// An instance that reads the store itself told its knowledge. If it knows
    /// the same endpoints, this instance is as up to date as that one.
    void confirm(time_point now, const store_view& told);

    /// Up to when the endpoints known here were right.
    /// \param answered_at when the store last answered this instance.
    [[nodiscard]] time_point current_at(time_point answered_at) const
    {
        return std::max(answered_at, confirmed_at_);
    }

  private:
    struct state
    {
        time_point since;
        std::uint64_t revision = 0;
    };

    /// Newest last; the first is the newest that is older than `help_after`.
    std::deque<state> revisions_;
    std::uint64_t digest_ = 0;
    time_point confirmed_at_;
    help_pace pace_;
};

} // namespace sycamorelock::core::direct
