// Usually no endpoint has a notice. Look-ups check for that first, since the id
// of an endpoint is computed by each call of endpoint_record::id().
#include "sycamorelock/core/direct/endpoint_notices.hpp"

#include <algorithm>

namespace sycamorelock::core::direct
{

endpoint_notices::notice&
endpoint_notices::find_or_create(time_point now,
                                 const endpoint_record& endpoint)
{
    notice& known = notices_[endpoint.id()];
    if (known.address != endpoint.address)
        known = {endpoint.address, false, time_point(), time_point(), now};
    return known;
}

const endpoint_notices::notice*
endpoint_notices::find(const endpoint_record& endpoint) const
{
    if (notices_.empty())
        return nullptr;
    const auto found = notices_.find(endpoint.id());
    const bool matches =
        found != notices_.end() && found->second.address == endpoint.address;
    return matches ? &found->second : nullptr;
}

bool endpoint_notices::note_leaving(time_point now,
                                    const endpoint_record& endpoint)
{
    notice& known = find_or_create(now, endpoint);
    const bool is_first = !known.leaving;
    known.leaving = true;
    return is_first;
}

bool endpoint_notices::is_leaving(const endpoint_record& endpoint) const
{
    const notice* known = find(endpoint);
    return known != nullptr && known->leaving;
}

void endpoint_notices::note_backoff(time_point now,
                                    const endpoint_record& endpoint,
                                    milliseconds requested)
{
    notice& known = find_or_create(now, endpoint);
    known.backoff_end =
        std::max(known.backoff_end, now + std::min(requested, max_backoff));
    known.requested_until = std::max(known.requested_until, now + requested);
}

bool endpoint_notices::note_probe(time_point now,
                                  const endpoint_record& endpoint)
{
    const notice* known = find(endpoint);
    if (known == nullptr || now >= known->requested_until)
        return false;
    find_or_create(now, endpoint).backoff_end =
        std::min(known->requested_until, now + probe_interval);
    return true;
}

void endpoint_notices::end_backoff(time_point now,
                                   const endpoint_record& endpoint)
{
    if (find(endpoint) == nullptr)
        return;
    notice& known = find_or_create(now, endpoint);
    known.backoff_end = time_point();
    known.requested_until = time_point();
}

time_point endpoint_notices::backoff_end(const endpoint_record& endpoint) const
{
    const notice* known = find(endpoint);
    return known == nullptr ? time_point() : known->backoff_end;
}

void endpoint_notices::expire_unlisted(
    time_point now, const std::map<std::string, endpoint_record>& listed)
{
    if (notices_.empty())
        return;
    for (const auto& [boot, record] : listed)
    {
        const auto found = notices_.find(record.id());
        if (found != notices_.end())
            found->second.listed_at = now;
    }
    std::erase_if(notices_, [now](const auto& each)
                  { return now - each.second.listed_at > notice_retention; });
}

} // namespace sycamorelock::core::direct
