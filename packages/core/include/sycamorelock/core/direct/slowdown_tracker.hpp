// What is known of the speed of each endpoint: how it differs from the others
// of its service, and what slows its machine at present.
#pragma once

#include "sycamorelock/core/direct/endpoint_load.hpp"
#include "sycamorelock/core/strong_types.hpp"

#include <map>

namespace sycamorelock::core::direct
{

/// Latest load reports of endpoints. An endpoint that starts again has another
/// id, so nothing of its earlier start is believed.
class slowdown_tracker
{
  public:
    /// Records the load that an endpoint reported in a response.
    void note_load(time_point now, endpoint_id endpoint,
                   const endpoint_load& load);
    /// Whether the endpoint reports the slowdown of its machine.
    [[nodiscard]] bool reports_slowdown(endpoint_id endpoint) const;
    /// Removes what is known of an endpoint that is no longer listed.
    void forget(endpoint_id endpoint) { reported_.erase(endpoint); }

  private:
    struct reported_slowdown
    {
        time_point at;
        double slowdown = 1;
    };
    std::map<endpoint_id, reported_slowdown> reported_;
};

} // namespace sycamorelock::core::direct
