// Liveness by periodic reports; addresses spread from instance to instance.
#include "sycamorelock/core/direct/peers.hpp"

namespace sycamorelock::core::direct
{

peers::peers(std::string self, std::uint64_t incarnation,
             const std::vector<std::string>& seeds)
    : self_(std::move(self)), incarnation_(incarnation),
      seeds_(seeds.begin(), seeds.end())
{
    seeds_.erase(self_);
}

bool peers::heard(time_point now, const exchange_report& report)
{
    if (report.sender == self_)
        return false;
    peer& from = peers_[report.sender];
    const bool restarted = from.incarnation != report.incarnation;
    if (restarted && report.incarnation < from.incarnation)
        return false;
    if (!restarted && report.number <= from.number)
        return false;
    if (restarted)
        from.acknowledged_at = now;
    from.incarnation = report.incarnation;
    from.number = report.number;
    from.config_version = report.config_version;
    from.leaving = report.leaving;
    from.heard_at = now;
    from.live = true;
    for (const peer_sight& seen : report.peers)
    {
        if (seen.address == self_)
        {
            if (seen.incarnation == incarnation_ &&
                seen.heard > from.acknowledged)
            {
                from.acknowledged = seen.heard;
                from.acknowledged_at = now;
            }
            continue;
        }
        const auto [known, fresh] = peers_.try_emplace(seen.address);
        if (fresh)
            known->second.known_since = known->second.acknowledged_at = now;
    }
    return true;
}

void peers::fill_report(time_point now, exchange_report& report)
{
    report.sender = self_;
    report.incarnation = incarnation_;
    report.number = ++number_;
    std::erase_if(peers_,
                  [now](const auto& entry)
                  {
                      const peer& known = entry.second;
                      return now - std::max(known.heard_at, known.known_since) >
                             forget_after;
                  });
    for (const auto& [address, known] : peers_)
    {
        if (known.live)
            report.peers.push_back({address, known.incarnation, known.number});
    }
}

std::vector<std::string> peers::targets(time_point) const
{
    std::set<std::string> all = seeds_;
    for (const auto& [address, known] : peers_)
        all.insert(address);
    return {all.begin(), all.end()};
}

std::vector<std::string> peers::stale_links(time_point now)
{
    std::vector<std::string> result;
    for (auto& [address, known] : peers_)
    {
        if (now - known.acknowledged_at < stale_link_after)
            continue;
        known.acknowledged_at = now;
        result.push_back(address);
    }
    return result;
}

std::size_t peers::live(time_point now) const
{
    std::size_t count = 0;
    for (const auto& [address, known] : peers_)
        count += known.live && now - known.heard_at < silent_after ? 1 : 0;
    return count;
}

std::vector<instance_id> peers::newly_silent(time_point now)
{
    std::vector<instance_id> result;
    for (auto& [address, known] : peers_)
    {
        if (!known.live || now - known.heard_at < silent_after)
            continue;
        known.live = false;
        result.push_back(instance_id::of(address));
    }
    return result;
}

std::vector<std::string> peers::behind(time_point now,
                                       std::uint64_t version) const
{
    std::vector<std::string> result;
    for (const auto& [address, known] : peers_)
    {
        const bool live = known.live && now - known.heard_at < silent_after;
        if (live && known.config_version < version)
            result.push_back(address);
    }
    return result;
}

} // namespace sycamorelock::core::direct
