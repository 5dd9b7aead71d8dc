// Parts of an allowance by rendezvous hashing, and a sliding second.
#include "sycamorelock/core/direct/slow_start.hpp"

#include "sycamorelock/core/direct/prompt_homes.hpp"

#include <algorithm>
#include <limits>

namespace sycamorelock::core::direct
{

namespace
{

/// The part at a place of an amount that is divided as evenly as whole numbers
/// allow.
unsigned part_at(std::size_t place, std::size_t places, unsigned amount)
{
    const auto each = static_cast<unsigned>(amount / places);
    return each + (place < amount % places ? 1 : 0);
}

/// How many ids have a higher rank for an endpoint than one of them.
template <class Ids, class Id>
std::size_t place_of(const Ids& ids, Id which, endpoint_id endpoint)
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

allowance_parts::allowance_parts(instance_id self, domain_id own,
                                 std::set<domain_id> domains)
    : self_(self), own_(own), domains_(std::move(domains))
{
    domains_.insert(own);
}

void allowance_parts::set_members(time_point now,
                                  const std::vector<fleet_member>& members)
{
    std::vector<instance_id> others;
    for (const fleet_member& each : members)
    {
        domains_.insert(each.domain);
        if (each.domain == own_ && each.instance != self_)
            others.push_back(each.instance);
    }
    std::sort(others.begin(), others.end());
    if (!views_.empty() && views_.front().others == others)
        return;
    views_.push_front({now, std::move(others)});
    while (views_.size() > 1 &&
           now - views_[views_.size() - 2].since >= settling)
        views_.pop_back();
}

unsigned allowance_parts::part_in(const view& seen, endpoint_id endpoint,
                                  unsigned allowance) const
{
    const unsigned of_domain =
        part_at(place_of(domains_, own_, endpoint), domains_.size(), allowance);
    return part_at(place_of(seen.others, self_, endpoint),
                   seen.others.size() + 1, of_domain);
}

unsigned allowance_parts::own_part(time_point now, endpoint_id endpoint,
                                   unsigned allowance) const
{
    unsigned least = std::numeric_limits<unsigned>::max();
    for (const view& seen : views_)
    {
        least = std::min(least, part_in(seen, endpoint, allowance));
        // What was seen before it has settled.
        if (now - seen.since >= settling)
            return least;
    }
    return 0;
}

void slow_start::note(time_point now, endpoint_id endpoint, duration left,
                      bool in_use)
{
    if (left <= duration(0))
        return;
    state& known = known_[endpoint];
    const bool was_warm = known.warm_at <= now;
    known.warm_at = std::max(known.warm_at, now + std::min(left, longest));
    if (in_use && was_warm)
        known.paused_until = now + pause;
}

const slow_start::state* slow_start::find(endpoint_id endpoint) const
{
    const auto found = known_.find(endpoint);
    return found == known_.end() ? nullptr : &found->second;
}

unsigned slow_start::sent_within(time_point now, const state& known)
{
    const auto first =
        std::upper_bound(known.sent.begin(), known.sent.end(), now - window);
    return static_cast<unsigned>(known.sent.end() - first);
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
    return known->warm_at + std::chrono::duration_cast<duration>(lift * rank);
}

bool slow_start::admits(time_point now, endpoint_id endpoint, unsigned part,
                        unsigned chosen) const
{
    const state* known = find(endpoint);
    if (known == nullptr)
        return chosen < part;
    return now >= known->paused_until &&
           sent_within(now, *known) + chosen < part;
}

duration slow_start::free_in(time_point now, endpoint_id endpoint,
                             unsigned part) const
{
    const state* known = find(endpoint);
    if (known == nullptr)
        return duration(0);
    const time_point warm = std::max(now, known->warm_at);
    time_point free = std::max(now, known->paused_until);
    if (part == 0)
        free = warm;
    else if (sent_within(now, *known) >= part)
        free = std::max(free, known->sent[known->sent.size() - part] + window);
    return std::min(free, warm) - now;
}

void slow_start::sent(time_point now, endpoint_id endpoint)
{
    std::deque<time_point>& times = known_[endpoint].sent;
    times.push_back(now);
    while (times.front() < now - window)
        times.pop_front();
}

void slow_start::note_unlisted(time_point now, endpoint_id endpoint)
{
    known_[endpoint].unlisted = now;
}

bool slow_start::listed_again(endpoint_id endpoint)
{
    const auto found = known_.find(endpoint);
    if (found == known_.end() || !found->second.unlisted)
        return false;
    found->second.unlisted.reset();
    return true;
}

void slow_start::forget_unlisted(time_point now)
{
    std::erase_if(known_,
                  [now](const auto& each)
                  {
                      const auto& unlisted = each.second.unlisted;
                      return unlisted && now - *unlisted > keep_unlisted;
                  });
}

} // namespace sycamorelock::core::direct
