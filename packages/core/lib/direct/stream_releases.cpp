// A stream is looked for among those of this instance, those that others told,
// and last by the releases that its service has had.
#include "sycamorelock/core/direct/stream_releases.hpp"

namespace sycamorelock::core::direct
{

std::string_view to_string(stream_source source)
{
    switch (source)
    {
    case stream_source::unknown:
        return "unknown";
    case stream_source::own:
        return "own";
    case stream_source::told:
        return "told";
    case stream_source::sole:
        return "sole";
    }
    return "unknown";
}

void stream_releases::set_longest(milliseconds /*timeout*/) {}

void stream_releases::set_listed(
    time_point /*now*/,
    const std::map<service_id, std::set<release_id>>& /*listed*/)
{
}

void stream_releases::set_current(time_point /*now*/, time_point /*at*/) {}

void stream_releases::note_moved(time_point /*now*/, service_id /*service*/) {}

void stream_releases::set_shared(std::set<service_id> /*services*/) {}

bool stream_releases::note(time_point /*now*/, const stream_note& /*sent*/)
{
    return false;
}

void stream_releases::note_resumed(time_point /*now*/,
                                   const stream_note& /*sent*/)
{
}

void stream_releases::end(time_point /*now*/, stream_key /*key*/) {}

void stream_releases::hear(time_point /*now*/,
                           std::span<const stream_note> /*told*/)
{
}

stream_releases::finding stream_releases::find(time_point /*now*/,
                                               stream_key /*key*/) const
{
    return {};
}

std::optional<release_id> stream_releases::sole(time_point /*now*/,
                                                service_id /*service*/) const
{
    return std::nullopt;
}

bool stream_releases::must_tell(time_point /*now*/,
                                service_id /*service*/) const
{
    return false;
}

std::vector<stream_note> stream_releases::take_untold(time_point /*now*/)
{
    return {};
}

bool stream_releases::wants_copy(time_point /*now*/) const
{
    return false;
}

bool stream_releases::may_give(time_point /*now*/) const
{
    return false;
}

stream_copy stream_releases::copy(time_point /*now*/) const
{
    return {};
}

void stream_releases::adopt(time_point /*now*/, const stream_copy& /*known*/) {}

void stream_releases::sweep(time_point /*now*/) {}

} // namespace sycamorelock::core::direct
