// Drains and warm-up: endpoints of drained failure domains receive no new
// requests, warming endpoints receive them at a limited rate.
#include "sycamorelock/core/direct/router.hpp"

#include <algorithm>
#include <cmath>

namespace sycamorelock::core::direct
{

void router::set_drained(time_point now, const std::set<domain_id>& domains,
                         std::span<const domain_drain> ended)
{
    drained_domains_ = domains;
    for (auto& [id, state] : endpoints_)
        state.is_drained = drained_domains_.contains(state.record.domain);
    for (const domain_drain& each : ended)
    {
        for (auto& [id, state] : endpoints_)
        {
            if (state.record.domain == each.domain)
                start_warmup_limit(now, state,
                                   warmup_duration(state.record.service) -
                                       each.ended_for,
                                   false);
        }
    }
}

bool router::all_drained(endpoint_list endpoints)
{
    bool has_drained = false;
    for (const endpoint_state* state : endpoints)
    {
        if (state->is_leaving())
            continue;
        if (!state->is_drained)
            return false;
        has_drained = true;
    }
    return has_drained;
}

duration router::warmup_duration(service_id id) const
{
    const service* service_info = config_ ? find_service(id) : nullptr;
    return service_info == nullptr ? duration(0)
                                   : duration(service_info->warmup);
}

void router::start_warmup_limit(time_point now, endpoint_state& endpoint,
                                duration left, bool in_use)
{
    slow_start_.extend_warmup(now, endpoint.id, left, in_use);
    update_warmup_limit(endpoint);
}

void router::update_warmup_limit(endpoint_state& endpoint) const
{
    // If the service configures no warm-up, the remaining time in an entry is
    // ignored.
    endpoint.limited_until =
        warmup_duration(endpoint.record.service) > duration(0)
            ? slow_start_.limited_until(
                  endpoint.id, rank_of(options_.self.value(), endpoint.id))
            : time_point();
}

void router::apply_warmup_entry(time_point now, endpoint_state& endpoint,
                                bool was_known)
{
    // The endpoint may have been down while its entry was missing.
    if (!was_known && slow_start_.note_listed(endpoint.id))
        start_warmup_limit(now, endpoint,
                           warmup_duration(endpoint.record.service), false);
    if (endpoint.record.warmup_left.count() == 0 ||
        endpoint.record.revision <= endpoint.warming_revision)
        return;
    endpoint.warming_revision = endpoint.record.revision;
    start_warmup_limit(now, endpoint, endpoint.record.warmup_left,
                       was_known && !endpoint.is_drained);
}

void router::on_warming(time_point now, std::span<const warming_notice> notices)
{
    for (const warming_notice& notice : notices)
    {
        const auto found = endpoints_.find(notice.endpoint);
        if (found == endpoints_.end() ||
            notice.revision <= found->second.warming_revision)
            continue;
        endpoint_state& state = found->second;
        state.warming_revision = notice.revision;
        start_warmup_limit(now, state, notice.left, !state.is_drained);
    }
}

std::size_t router::warming(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(
        endpoints_.begin(), endpoints_.end(),
        [now](const auto& each) { return each.second.is_limited(now); }));
}

unsigned router::warmup_quota(time_point now,
                              const endpoint_state& endpoint) const
{
    const service* service_info = find_service(endpoint.record.service);
    if (service_info == nullptr)
        return 0;
    const double allowed =
        service_info->warmup_requests_per_second * options_.warmup.overrun +
        options_.warmup.slack;
    static constexpr double max_quota = 1e6;
    return warmup_allowances_.own_share(
        now, endpoint.id,
        static_cast<unsigned>(std::min(std::floor(allowed), max_quota)));
}

bool router::admits(time_point now, const endpoint_state& endpoint,
                    unsigned reserved) const
{
    return slow_start_.admits(now, endpoint.id, warmup_quota(now, endpoint),
                              reserved);
}

std::optional<duration> router::warmup_delay(time_point now,
                                             endpoint_list endpoints) const
{
    std::optional<duration> shortest_delay;
    for (const endpoint_state* state : endpoints)
    {
        if (!state->is_usable(now) || !state->is_limited(now))
            continue;
        const duration delay = slow_start_.time_until_admitted(
            now, state->id, warmup_quota(now, *state));
        shortest_delay = std::min(shortest_delay.value_or(delay), delay);
    }
    return shortest_delay;
}

void router::written(time_point now, placement_decision& placement)
{
    const auto found = endpoints_.find(placement.request_load.endpoint);
    if (found == endpoints_.end() ||
        warmup_duration(found->second.record.service) <= duration(0))
        return;
    cancel_reservation(found->second, placement);
    slow_start_.sent(now, placement.request_load.endpoint);
}

void router::cancel_reservation(endpoint_state& endpoint,
                                placement_decision& placement)
{
    if (!placement.reserved)
        return;
    placement.reserved = false;
    endpoint.reserved_requests -= std::min(endpoint.reserved_requests, 1U);
}

} // namespace sycamorelock::core::direct
