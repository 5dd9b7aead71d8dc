// Shares of an allowance by rendezvous hashing, and a sliding window of sent
// requests.
#include "sycamorelock/core/direct/slow_start.hpp"

#include "sycamorelock/core/direct/prompt_homes.hpp"

#include <algorithm>
#include <limits>

namespace sycamorelock::core::direct
{

namespace
{

/// Divides `amount` into `count` integer shares that differ by at most one, and
/// returns the share at `index`; the larger shares come first.
unsigned even_share(std::size_t index, std::size_t count, unsigned amount)
{
    const auto base = static_cast<unsigned>(amount / count);
    return base + (index < amount % count ? 1 : 0);
}

/// Returns the position of an id in the rendezvous order of an endpoint: the
/// number of ids with a higher rank, where the lower id goes first on a tie.
template <class Ids, class Id>
std::size_t hash_position(const Ids& ids, Id which, endpoint_id endpoint)
{
    const double own = rank_of(which.value(), endpoint);
    return static_cast<std::size_t>(std::count_if(
        ids.begin(), ids.end(),
        [&](Id id)
        {
            const double rank = rank_of(id.value(), endpoint);
            return id != which && (rank > own || (rank == own && id < which));
        }));
}

} // namespace

allowance_shares::allowance_shares(instance_id self, domain_id own,
                                   std::set<domain_id> domains)
    : self_(self), own_(own), domains_(std::move(domains))
{
    domains_.insert(own);
}

void allowance_shares::set_members(time_point now,
                                   const std::vector<fleet_member>& members)
{
    std::vector<instance_id> peers;
    for (const fleet_member& each : members)
    {
        domains_.insert(each.domain);
        if (each.domain == own_ && each.instance != self_)
            peers.push_back(each.instance);
    }
    std::sort(peers.begin(), peers.end());
    if (!memberships_.empty() && memberships_.front().domain_peers == peers)
        return;
    memberships_.push_front({now, std::move(peers)});
    while (memberships_.size() > 1 &&
           now - memberships_[memberships_.size() - 2].since >= settling_time)
        memberships_.pop_back();
}

unsigned allowance_shares::share_under(const membership& members,
                                       endpoint_id endpoint,
                                       unsigned allowance) const
{
    const unsigned of_domain = even_share(
        hash_position(domains_, own_, endpoint), domains_.size(), allowance);
    return even_share(hash_position(members.domain_peers, self_, endpoint),
                      members.domain_peers.size() + 1, of_domain);
}

unsigned allowance_shares::own_share(time_point now, endpoint_id endpoint,
                                     unsigned allowance) const
{
    unsigned least = std::numeric_limits<unsigned>::max();
    for (const membership& members : memberships_)
    {
        least = std::min(least, share_under(members, endpoint, allowance));
        // Every instance knows by now that older memberships no longer hold.
        if (now - members.since >= settling_time)
            return least;
    }
    return 0;
}

void slow_start::extend_warmup(time_point now, endpoint_id endpoint,
                               duration left, bool in_use)
{
    if (left <= duration(0))
        return;
    state& known = states_[endpoint];
    const bool was_warm = known.warm_at <= now;
    known.warm_at = std::max(known.warm_at, now + std::min(left, max_warmup));
    if (in_use && was_warm)
        known.paused_until = now + cold_pause;
}

const slow_start::state* slow_start::find(endpoint_id endpoint) const
{
    const auto found = states_.find(endpoint);
    return found == states_.end() ? nullptr : &found->second;
}

unsigned slow_start::sent_within(time_point now, const state& endpoint)
{
    const auto first = std::upper_bound(endpoint.sent.begin(),
                                        endpoint.sent.end(), now - window);
    return static_cast<unsigned>(endpoint.sent.end() - first);
}

duration slow_start::left(time_point now, endpoint_id endpoint) const
{
    const state* known = find(endpoint);
    return known == nullptr ? duration(0)
                            : std::max(duration(0), known->warm_at - now);
}

time_point slow_start::limited_until(endpoint_id endpoint, double rank) const
{
    const state* known = find(endpoint);
    if (known == nullptr || known->warm_at == time_point())
        return {};
    return known->warm_at +
           std::chrono::duration_cast<duration>(lift_period * rank);
}

bool slow_start::admits(time_point now, endpoint_id endpoint, unsigned share,
                        unsigned pending) const
{
    const state* known = find(endpoint);
    if (known == nullptr)
        return pending < share;
    return now >= known->paused_until &&
           sent_within(now, *known) + pending < share;
}

duration slow_start::time_until_admitted(time_point now, endpoint_id endpoint,
                                         unsigned share) const
{
    const state* known = find(endpoint);
    if (known == nullptr)
        return duration(0);
    const time_point warm = std::max(now, known->warm_at);
    time_point free = std::max(now, known->paused_until);
    if (share == 0)
        free = warm;
    else if (sent_within(now, *known) >= share)
        free = std::max(free, known->sent[known->sent.size() - share] + window);
    return std::min(free, warm) - now;
}

void slow_start::sent(time_point now, endpoint_id endpoint)
{
    std::deque<time_point>& times = states_[endpoint].sent;
    times.push_back(now);
    while (times.front() < now - window)
        times.pop_front();
}

void slow_start::note_unlisted(time_point now, endpoint_id endpoint)
{
    states_[endpoint].unlisted_since = now;
}

bool slow_start::note_listed(endpoint_id endpoint)
{
    const auto found = states_.find(endpoint);
    if (found == states_.end() || !found->second.unlisted_since)
        return false;
    found->second.unlisted_since.reset();
    return true;
}

void slow_start::forget_unlisted(time_point now)
{
    std::erase_if(states_,
                  [now](const auto& each)
                  {
                      const auto& since = each.second.unlisted_since;
                      return since && now - *since > unlisted_retention;
                  });
}

} // namespace sycamorelock::core::direct
