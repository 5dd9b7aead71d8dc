// Entries come and go at once, but after an outage a missing entry waits.
#include "sycamorelock/core/direct/endpoint_registry.hpp"

namespace sycamorelock::core::direct
{

bool endpoint_registry::put(endpoint_record record)
{
    going_.erase(record.boot);
    endpoint_record& known = records_[record.boot];
    const bool older = known.revision > record.revision;
    const bool same =
        known.service == record.service && known.address == record.address &&
        known.domain == record.domain && known.slots == record.slots &&
        known.draining == record.draining;
    if (older)
        return false;
    known = std::move(record);
    return !same;
}

void endpoint_registry::remove(time_point now, const std::string& boot)
{
    if (records_.contains(boot))
        going_.emplace(boot, std::max(now, grace_until_));
}

void endpoint_registry::replace(time_point now,
                                const std::vector<endpoint_record>& all)
{
    std::map<std::string, bool> listed;
    for (const endpoint_record& record : all)
    {
        listed[record.boot] = true;
        put(record);
    }
    for (const auto& [boot, record] : records_)
    {
        if (!listed.contains(boot))
            remove(now, boot);
    }
}

bool endpoint_registry::expire(time_point now)
{
    bool dropped = false;
    for (auto it = going_.begin(); it != going_.end();)
    {
        if (now < it->second)
        {
            ++it;
            continue;
        }
        dropped = records_.erase(it->first) > 0 || dropped;
        it = going_.erase(it);
    }
    return dropped;
}

} // namespace sycamorelock::core::direct
