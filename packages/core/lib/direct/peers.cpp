// Failure detection by the numbers of periodic reports. Report numbers and
// addresses spread from instance to instance by gossip.
#include "sycamorelock/core/direct/peers.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace sycamorelock::core::direct
{

peers::peers(std::string self, domain_id domain, std::uint64_t incarnation,
             const std::vector<std::string>& seeds)
    : self_(std::move(self)), domain_(domain), incarnation_(incarnation),
      random_(static_cast<std::minstd_rand::result_type>(incarnation))
{
    set_seeds(seeds);
}

void peers::set_seeds(const std::vector<std::string>& seeds)
{
    seeds_ = {seeds.begin(), seeds.end()};
    seeds_.erase(self_);
}

bool peers::process_report(time_point now, const exchange_report& report)
{
    if (report.sender == self_)
        return false;
    peer& from = peers_[report.sender];
    if (report.incarnation < from.incarnation)
        return false;
    const bool restarted = from.incarnation != report.incarnation;
    if (!restarted && report.number <= from.direct_number)
        return false;
    if (restarted)
    {
        from.acknowledged = 0;
        from.acknowledged_at = now;
        from.number = 0;
    }
    from.incarnation = report.incarnation;
    from.direct_number = report.number;
    from.number = std::max(from.number, report.number);
    from.domain = report.domain;
    from.leaving = report.leaving;
    from.last_report_at = now;
    from.live = true;
    for (const peer_status& seen : report.peers)
    {
        if (seen.address == self_)
            acknowledge(now, from, seen);
        else if (seen.address != report.sender)
            merge_sighting(now, seen);
    }
    return true;
}

bool peers::is_newest(const exchange_report& report) const
{
    const auto known = peers_.find(report.sender);
    return known == peers_.end() || report.number >= known->second.number;
}

void peers::acknowledge(time_point now, peer& from, const peer_status& own)
{
    if (own.incarnation != incarnation_ ||
        own.report_number <= from.acknowledged)
        return;
    from.acknowledged = own.report_number;
    from.acknowledged_at = now;
}

void peers::merge_sighting(time_point now, const peer_status& seen)
{
    const auto [position, inserted] = peers_.try_emplace(seen.address);
    peer& known = position->second;
    if (inserted)
        known.known_since = known.acknowledged_at = now;
    if (seen.incarnation < known.incarnation)
        return;
    const bool restarted = seen.incarnation > known.incarnation;
    if (!restarted && seen.report_number <= known.number)
        return;
    known.incarnation = seen.incarnation;
    known.number = seen.report_number;
    if (restarted)
    {
        known.direct_number = 0;
        known.leaving = false;
    }
    known.domain = seen.domain;
    known.last_report_at = now;
    known.live = true;
}

void peers::fill_report(time_point now, exchange_report& report)
{
    report.sender = self_;
    report.domain = domain_;
    report.incarnation = incarnation_;
    report.peers.clear();
    std::erase_if(peers_,
                  [now](const auto& entry)
                  {
                      const peer& known = entry.second;
                      return now - std::max(known.last_report_at,
                                            known.known_since) >
                             forget_after;
                  });
    using entry = decltype(peers_)::value_type;
    std::vector<const entry*> live;
    live.reserve(peers_.size());
    for (const entry& each : peers_)
    {
        if (is_live(now, each.second))
            live.push_back(&each);
    }
    std::vector<const entry*> sampled;
    std::sample(live.begin(), live.end(), std::back_inserter(sampled),
                gossip_size, random_);
    for (const entry* each : sampled)
        report.peers.push_back({each->first, each->second.incarnation,
                                each->second.number, each->second.domain});
}

std::vector<std::string> peers::known_addresses() const
{
    std::set<std::string> all = seeds_;
    for (const auto& [address, known] : peers_)
        all.insert(address);
    return {all.begin(), all.end()};
}

std::vector<std::string> peers::gossip_targets(time_point now)
{
    std::vector<std::string> result;
    for (const auto& [address, known] : peers_)
    {
        if (is_live(now, known))
            result.push_back(address);
    }
    std::shuffle(result.begin(), result.end(), random_);
    result.resize(std::min(result.size(), gossip_fanout));
    // On average once in three rounds, an unreachable peer or a seed is added,
    // so that the parts of a partitioned fleet find each other again.
    static constexpr std::size_t rounds_per_extra_target = 3;
    std::uniform_int_distribution<std::size_t> draw(0, rounds_per_extra_target -
                                                           1);
    if (draw(random_) > 0)
        return result;
    std::vector<std::string> candidates(seeds_.begin(), seeds_.end());
    for (const auto& [address, known] : peers_)
    {
        if (!is_live(now, known))
            candidates.push_back(address);
    }
    if (!candidates.empty())
        result.push_back(candidates[std::uniform_int_distribution<std::size_t>(
            0, candidates.size() - 1)(random_)]);
    return result;
}

std::string peers::aggregator(time_point now, domain_id domain) const
{
    // The longest-running instance is preferred, because a newly started one
    // has no totals of its members yet. Until their reports reach it, all other
    // instances would consider endpoints and accounts idle. While instances
    // disagree about the aggregator after a change, work may be counted twice
    // or not at all; the next totals correct that.
    const std::string* oldest = nullptr;
    std::uint64_t started = 0;
    if (domain == domain_ && !leaving_)
    {
        oldest = &self_;
        started = incarnation_;
    }
    for (const auto& [address, known] : peers_)
    {
        if (known.domain != domain || !is_live(now, known) || known.leaving)
            continue;
        if (oldest != nullptr &&
            std::tie(started, *oldest) < std::tie(known.incarnation, address))
            continue;
        oldest = &address;
        started = known.incarnation;
    }
    return oldest == nullptr || oldest == &self_ ? std::string() : *oldest;
}

std::set<domain_id> peers::other_domains(time_point now) const
{
    std::set<domain_id> result;
    for (const auto& [address, known] : peers_)
    {
        if (is_live(now, known) && known.domain != domain_)
            result.insert(known.domain);
    }
    return result;
}

std::vector<std::string> peers::stale_links(time_point now)
{
    std::vector<std::string> result;
    // In a large fleet, most reports arrive through other instances and are not
    // acknowledged to the sender.
    if (large(now))
        return result;
    for (auto& [address, known] : peers_)
    {
        if (now - known.acknowledged_at < stale_link_after)
            continue;
        known.acknowledged_at = now;
        result.push_back(address);
    }
    return result;
}

std::size_t peers::reachable_count(time_point now) const
{
    std::size_t count = 0;
    for (const auto& [address, known] : peers_)
        count += is_live(now, known) ? 1 : 0;
    return count;
}

std::vector<fleet_member> peers::members(time_point now) const
{
    std::vector<fleet_member> result;
    result.reserve(peers_.size());
    for (const auto& [address, known] : peers_)
    {
        const bool has_reported = known.last_report_at != time_point();
        const bool has_left = known.leaving && !is_live(now, known);
        if (has_reported && !has_left)
            result.push_back({instance_id::of(address), known.domain});
    }
    return result;
}

std::vector<instance_id> peers::newly_unreachable(time_point now)
{
    std::vector<instance_id> result;
    for (auto& [address, known] : peers_)
    {
        if (!known.live || now - known.last_report_at < unreachable_after)
            continue;
        known.live = false;
        result.push_back(instance_id::of(address));
    }
    return result;
}

} // namespace sycamorelock::core::direct
