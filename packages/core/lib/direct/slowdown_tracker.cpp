// Endpoints that report no slowdown of their machine are not stored.
#include "sycamorelock/core/direct/slowdown_tracker.hpp"

namespace sycamorelock::core::direct
{

void slowdown_tracker::note_load(time_point now, endpoint_id endpoint,
                                 const endpoint_load& load)
{
    if (load.slowdown)
        reported_[endpoint] = {now, *load.slowdown};
}

bool slowdown_tracker::reports_slowdown(endpoint_id endpoint) const
{
    return reported_.contains(endpoint);
}

} // namespace sycamorelock::core::direct
