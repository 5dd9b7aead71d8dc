// Endpoints of drained failure domains get nothing new, those that warm up a
// limited part of the requests.
#include "sycamorelock/core/direct/router.hpp"

#include <algorithm>
#include <cmath>

namespace sycamorelock::core::direct
{

void router::set_drained(time_point now, const std::set<domain_id>& domains,
                         std::span<const domain_drain> ended)
{
    drained_ = domains;
    for (auto& [id, state] : endpoints_)
        state.is_drained = drained_.contains(state.record.domain);
    for (const domain_drain& each : ended)
    {
        for (auto& [id, state] : endpoints_)
        {
            if (state.record.domain == each.domain)
                limit(now, state,
                      warmup_of(state.record.service) - each.ended_for, false);
        }
    }
}

bool router::all_drained(listing endpoints)
{
    bool any = false;
    for (const endpoint_state* state : endpoints)
    {
        if (state->is_leaving())
            continue;
        if (!state->is_drained)
            return false;
        any = true;
    }
    return any;
}

duration router::warmup_of(service_id id) const
{
    const service* kind = config_ ? find_service(id) : nullptr;
    return kind == nullptr ? duration(0) : duration(kind->warmup);
}

void router::limit(time_point now, endpoint_state& at, duration left,
                   bool in_use)
{
    slow_start_.note(now, at.id, left, in_use);
    renew_limit(at);
}

void router::renew_limit(endpoint_state& at) const
{
    // Without a warm-up of its service an entry's time means nothing.
    at.limited_until = warmup_of(at.record.service) > duration(0)
                           ? slow_start_.limited_until(
                                 at.id, rank_of(options_.self.value(), at.id))
                           : time_point();
}

void router::note_warmup(time_point now, endpoint_state& at, bool was_known)
{
    // While its entry was missing it may have been down.
    if (!was_known && slow_start_.listed_again(at.id))
        limit(now, at, warmup_of(at.record.service), false);
    if (at.record.warmup_left.count() == 0 ||
        at.record.revision <= at.warming_revision)
        return;
    at.warming_revision = at.record.revision;
    limit(now, at, at.record.warmup_left, was_known && !at.is_drained);
}

void router::on_warming(time_point now, std::span<const warming_notice> notices)
{
    for (const warming_notice& told : notices)
    {
        const auto found = endpoints_.find(told.endpoint);
        if (found == endpoints_.end() ||
            told.revision <= found->second.warming_revision)
            continue;
        endpoint_state& state = found->second;
        state.warming_revision = told.revision;
        limit(now, state, told.left, !state.is_drained);
    }
}

std::size_t router::warming(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(
        endpoints_.begin(), endpoints_.end(),
        [now](const auto& each) { return each.second.is_limited(now); }));
}

unsigned router::own_part(time_point now, const endpoint_state& at) const
{
    const service* kind = find_service(at.record.service);
    if (kind == nullptr)
        return 0;
    const double allowed = kind->warmup_per_second * options_.warmup.overrun +
                           options_.warmup.slack;
    static constexpr double most = 1e6;
    return parts_.own_part(
        now, at.id, static_cast<unsigned>(std::min(std::floor(allowed), most)));
}

bool router::admits(time_point now, const endpoint_state& at,
                    unsigned chosen) const
{
    return slow_start_.admits(now, at.id, own_part(now, at), chosen);
}

std::optional<duration> router::warming_pause(time_point now,
                                              listing endpoints) const
{
    std::optional<duration> first;
    for (const endpoint_state* state : endpoints)
    {
        if (!state->is_usable(now) || !state->is_limited(now))
            continue;
        const duration free =
            slow_start_.free_in(now, state->id, own_part(now, *state));
        first = std::min(first.value_or(free), free);
    }
    return first;
}

void router::written(time_point now, placement_decision& at)
{
    const auto found = endpoints_.find(at.hold.endpoint);
    if (found == endpoints_.end() ||
        warmup_of(found->second.record.service) <= duration(0))
        return;
    unreserve(found->second, at);
    slow_start_.sent(now, at.hold.endpoint);
}

void router::unreserve(endpoint_state& at, placement_decision& placed)
{
    if (!placed.reserved)
        return;
    placed.reserved = false;
    at.chosen -= std::min(at.chosen, 1U);
}

} // namespace sycamorelock::core::direct
