// Most of the time no endpoint has a notice, and no identity need be made.
#include "sycamorelock/core/direct/endpoint_notices.hpp"

#include <algorithm>

namespace sycamorelock::core::direct
{

endpoint_notices::notice& endpoint_notices::of(time_point now,
                                               const endpoint_record& which)
{
    notice& known = notices_[which.id()];
    if (known.address != which.address)
        known = {which.address, false, time_point(), time_point(), now};
    return known;
}

const endpoint_notices::notice*
endpoint_notices::find(const endpoint_record& which) const
{
    if (notices_.empty())
        return nullptr;
    const auto found = notices_.find(which.id());
    const bool holds =
        found != notices_.end() && found->second.address == which.address;
    return holds ? &found->second : nullptr;
}

bool endpoint_notices::note_leaving(time_point now, const endpoint_record& from)
{
    notice& known = of(now, from);
    const bool is_new = !known.leaving;
    known.leaving = true;
    return is_new;
}

bool endpoint_notices::is_leaving(const endpoint_record& which) const
{
    const notice* known = find(which);
    return known != nullptr && known->leaving;
}

void endpoint_notices::note_rest(time_point now, const endpoint_record& from,
                                 milliseconds asked)
{
    notice& known = of(now, from);
    known.rests_until =
        std::max(known.rests_until, now + std::min(asked, longest_rest));
    known.asked_until = std::max(known.asked_until, now + asked);
}

bool endpoint_notices::note_trial(time_point now, const endpoint_record& which)
{
    const notice* known = find(which);
    if (known == nullptr || now >= known->asked_until)
        return false;
    of(now, which).rests_until =
        std::min(known->asked_until, now + trial_period);
    return true;
}

void endpoint_notices::end_rest(time_point now, const endpoint_record& which)
{
    if (find(which) == nullptr)
        return;
    notice& known = of(now, which);
    known.rests_until = time_point();
    known.asked_until = time_point();
}

time_point endpoint_notices::rests_until(const endpoint_record& which) const
{
    const notice* known = find(which);
    return known == nullptr ? time_point() : known->rests_until;
}

void endpoint_notices::keep_listed(
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
                  { return now - each.second.listed_at > keep_unlisted; });
}

} // namespace sycamorelock::core::direct
