// Merges drains by last writer wins, ordered by the revision of the store.
#include "sycamorelock/core/direct/drained_domains.hpp"

namespace sycamorelock::core::direct
{

bool drained_domains::put(time_point now, const domain_drain& drain)
{
    const auto found = known_.find(drain.domain);
    const bool is_known = found != known_.end();
    if (is_known && found->second.revision >= drain.revision)
        return false;
    if (!is_known && known_.size() >= max_domains)
        return false;
    known_[drain.domain] = {drain.revision, drain.active,
                            now - drain.ended_for};
    return true;
}

std::vector<domain_drain>
drained_domains::put_all(time_point now,
                         const std::vector<domain_drain>& drains)
{
    std::vector<domain_drain> newer;
    for (const domain_drain& each : drains)
    {
        if (put(now, each))
            newer.push_back(each);
    }
    return newer;
}

std::vector<domain_drain>
drained_domains::replace(time_point now, std::uint64_t revision,
                         const std::vector<domain_drain>& active)
{
    std::vector<domain_drain> changed;
    std::set<domain_id> listed;
    for (const domain_drain& each : active)
    {
        listed.insert(each.domain);
        if (put(now, each))
            changed.push_back(each);
    }
    for (auto& [domain, known] : known_)
    {
        if (!known.active || listed.contains(domain) ||
            known.revision > revision)
            continue;
        known = {revision, false, now};
        changed.push_back({domain, revision, false, duration(0)});
    }
    return changed;
}

bool drained_domains::is_drained(domain_id domain) const
{
    const auto found = known_.find(domain);
    return found != known_.end() && found->second.active;
}

std::set<domain_id> drained_domains::active() const
{
    std::set<domain_id> result;
    for (const auto& [domain, known] : known_)
    {
        if (known.active)
            result.insert(domain);
    }
    return result;
}

std::vector<domain_drain> drained_domains::for_report(time_point now) const
{
    std::vector<domain_drain> result;
    result.reserve(known_.size());
    for (const auto& [domain, known] : known_)
        result.push_back({domain, known.revision, known.active,
                          known.active ? duration(0) : now - known.ended_at});
    return result;
}

} // namespace sycamorelock::core::direct
