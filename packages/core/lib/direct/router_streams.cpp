// Resumable streams: records where they are sent, and resolves the service and
// release that may continue a resumed one.
#include "sycamorelock/core/direct/router.hpp"

#include <algorithm>

namespace sycamorelock::core::direct
{

namespace
{

bool leads_to(const route& way, service_id service)
{
    return std::any_of(way.targets.begin(), way.targets.end(),
                       [service](const route_target& target)
                       { return target.service == service; });
}

} // namespace

void router::update_listed_releases(time_point now)
{
    std::map<service_id, std::set<release_id>> listed;
    for (const auto& [id, state] : endpoints_)
        listed[state.record.service].insert(state.release);
    streams_.set_listed(now, listed);
}

void router::update_stream_routes(time_point now, const catalogue& newer)
{
    milliseconds longest{0};
    std::set<service_id> shared;
    for (const route& way : newer.routes)
    {
        if (!way.resumable)
            continue;
        longest = std::max(longest, way.timeout);
        const route* const before =
            config_ ? config_->find_route(way.host, way.prefix) : nullptr;
        for (const route_target& target : way.targets)
        {
            if (way.targets.size() > 1)
                shared.insert(target.service);
            if (before != nullptr && !leads_to(*before, target.service))
                streams_.note_moved(now, target.service);
        }
    }
    streams_.set_longest(longest);
    streams_.set_shared(std::move(shared));
}

stream_resolution router::resolve(time_point now, std::optional<stream_key> key,
                                  const route& way) const
{
    if (key)
    {
        const stream_releases::finding known = streams_.find(now, *key);
        if (known.source != stream_source::unknown)
            return leads_to(way, known.service)
                       ? stream_resolution{known.source, known.service,
                                           known.release}
                       : stream_resolution();
    }
    // If the route has several services, any of them may have begun the
    // stream.
    if (way.targets.size() != 1)
        return {};
    const service_id service = way.targets.front().service;
    const std::optional<release_id> sole = streams_.sole(now, service);
    if (!sole)
        return {};
    return {stream_source::sole, service, sole};
}

void router::note_stream(time_point now, stream_key key,
                         const placement_decision& placement, unsigned attempt)
{
    const bool moves = streams_.note(
        now, {key, placement.endpoint.service, placement.release, attempt});
    // Large fleets send no urgent report: their reports are frequent, and each
    // is forwarded by other instances.
    const bool is_awaited =
        !large_fleet_ && streams_.must_tell(now, placement.endpoint.service);
    report_is_urgent_ = report_is_urgent_ || moves || is_awaited;
}

void router::note_resumed(time_point now, stream_key key,
                          const placement_decision& placement)
{
    streams_.note_resumed(now, key, placement.endpoint.service,
                          placement.release);
}

refusal_decision router::refuse_unknown_release()
{
    // Another instance may know the release, or become reachable again.
    static constexpr milliseconds soon{500};
    return refuse(refusal::release_unknown, to_ms(soon), 0);
}

} // namespace sycamorelock::core::direct
