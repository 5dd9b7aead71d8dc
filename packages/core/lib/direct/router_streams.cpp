// Resumable streams: records where they are sent, and resolves the service and
// release that may continue a resumed one.
#include "sycamorelock/core/direct/router.hpp"

#include <algorithm>

namespace sycamorelock::core::direct
{

namespace
{

bool leads_to(const route& request_route, service_id service)
{
    return std::any_of(request_route.targets.begin(),
                       request_route.targets.end(),
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
    for (const route& new_route : newer.routes)
    {
        if (!new_route.resumable)
            continue;
        longest = std::max(longest, new_route.timeout);
        const route* const old_route =
            config_ ? config_->find_route(new_route.host, new_route.prefix)
                    : nullptr;
        for (const route_target& target : new_route.targets)
        {
            if (new_route.targets.size() > 1)
                shared.insert(target.service);
            if (old_route != nullptr && !leads_to(*old_route, target.service))
                streams_.note_route_moved(now, target.service);
        }
    }
    streams_.set_max_stream_duration(longest);
    streams_.set_shared(std::move(shared));
}

stream_resolution router::resolve(time_point now, std::optional<stream_key> key,
                                  const route& request_route) const
{
    if (key)
    {
        const stream_releases::stream_origin known = streams_.find(now, *key);
        if (known.source != stream_source::unknown)
            return leads_to(request_route, known.service)
                       ? stream_resolution{known.source, known.service,
                                           known.release}
                       : stream_resolution();
    }
    // If the route has several services, any of them may have begun the
    // stream.
    if (request_route.targets.size() != 1)
        return {};
    const service_id service = request_route.targets.front().service;
    const std::optional<release_id> sole = streams_.sole(now, service);
    if (!sole)
        return {};
    return {stream_source::sole, service, sole};
}

void router::note_stream(time_point now, stream_key key,
                         const placement_decision& placement, unsigned attempt)
{
    const bool replaces_known_release = streams_.note(
        now, {key, placement.endpoint.service, placement.release, attempt});
    // Large fleets send no urgent report: their reports are frequent, and each
    // is forwarded by other instances.
    const bool others_need_note =
        !large_fleet_ && streams_.must_report(now, placement.endpoint.service);
    report_is_urgent_ =
        report_is_urgent_ || replaces_known_release || others_need_note;
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
    static constexpr milliseconds short_delay{500};
    return make_refusals().refuse(refusal::release_unknown, to_ms(short_delay),
                                  0);
}

} // namespace sycamorelock::core::direct
