// Evidence of requests that crash their endpoints, and the refusal of those
// that are quarantined.
#include "sycamorelock/core/direct/router.hpp"

#include <algorithm>

namespace sycamorelock::core::direct
{

void router::suspect_crash(time_point now, const placement_decision& placement,
                           crash_key key)
{
    const auto found = endpoints_.find(placement.request_load.endpoint);
    const bool may_have_crashed =
        found != endpoints_.end() && !found->second.is_leaving();
    if (may_have_crashed)
        crashes_.suspect(now, found->first, key);
}

void router::note_terminated(time_point now, endpoint_id endpoint)
{
    crashes_.note_terminated(now, endpoint);
    report_is_urgent_ = report_is_urgent_ || crashes_.has_unreported();
}

void router::note_executed(time_point now, crash_key key)
{
    crashes_.note_success(now, key);
    report_is_urgent_ = report_is_urgent_ || crashes_.has_unreported();
}

refusal_decision router::refuse_quarantined(time_point now, crash_key key)
{
    return refuse_until(refusal::quarantined, crashes_.time_to_probe(now, key));
}

} // namespace sycamorelock::core::direct
