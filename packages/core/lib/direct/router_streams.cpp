// Streams that callers may resume: what is noted when one is sent, and where
// one that is resumed may go on.
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

void router::tell_releases(time_point now)
{
    std::map<service_id, std::set<release_id>> listed;
    for (const auto& [id, state] : endpoints_)
        listed[state.record.service].insert(state.release);
    streams_.set_listed(now, listed);
}

void router::tell_routes(time_point now, const catalogue& newer)
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
    // With several services, any of them may have begun it.
    if (way.targets.size() != 1)
        return {};
    const service_id service = way.targets.front().service;
    const std::optional<release_id> sole = streams_.sole(now, service);
    if (!sole)
        return {};
    return {stream_source::sole, service, sole};
}

void router::note_stream(time_point now, stream_key key,
                         const placement_decision& at, unsigned attempt)
{
    const bool moves =
        streams_.note(now, {key, at.endpoint.service, at.release, attempt});
    // Reports of a large fleet come often, and each is passed on by others.
    const bool is_awaited =
        !large_fleet_ && streams_.must_tell(now, at.endpoint.service);
    urgent_ = urgent_ || moves || is_awaited;
}

void router::note_resumed(time_point now, stream_key key,
                          const placement_decision& at)
{
    streams_.note_resumed(now, key, at.endpoint.service, at.release);
}

refusal_decision router::refuse_unknown_release()
{
    // Others may know it, or be heard again.
    static constexpr milliseconds soon{500};
    return refuse(refusal::release_unknown, to_ms(soon), 0);
}

} // namespace sycamorelock::core::direct
