// Evidence of requests that crash their endpoints, and the refusal of those
// that are quarantined.
#include "sycamorelock/core/direct/router.hpp"

#include <algorithm>

namespace sycamorelock::core::direct
{

std::vector<crash_key> shared_part_keys(std::span<const prompt_part> parts)
{
    std::vector<crash_key> keys;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i)
        keys.push_back(crash_key_of_part(parts[i].key));
    return keys;
}

void router::suspect_crash(time_point now, const placement_decision& placement,
                           std::span<const crash_key> keys)
{
    const auto found = endpoints_.find(placement.request_load.endpoint);
    const bool may_have_crashed =
        found != endpoints_.end() && !found->second.is_leaving();
    if (!may_have_crashed)
        return;
    for (const crash_key key : keys)
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

refusal_decision router::refuse_quarantined(time_point now,
                                            std::span<const crash_key> keys)
{
    return make_refusals().refuse_until(refusal::quarantined,
                                        crashes_.time_to_probe(now, keys));
}

} // namespace sycamorelock::core::direct
