// Streams that callers may resume: what is noted when one is sent, and where
// one that is resumed may go on.
#include "sycamorelock/core/direct/router.hpp"

namespace sycamorelock::core::direct
{

void router::tell_releases(time_point /*now*/) {}

void router::tell_routes(time_point /*now*/, const catalogue& /*newer*/) {}

stream_resolution router::resolve(time_point /*now*/,
                                  std::optional<stream_key> /*key*/,
                                  const route& /*way*/) const
{
    return {};
}

void router::note_stream(time_point /*now*/, stream_key /*key*/,
                         const placement_decision& /*at*/, unsigned /*attempt*/)
{
}

void router::note_resumed(time_point /*now*/, stream_key /*key*/,
                          const placement_decision& /*at*/)
{
}

std::optional<stream_copy> router::copy_streams(time_point /*now*/) const
{
    return std::nullopt;
}

refusal_decision router::refuse_without_release(time_point now,
                                                service_id service,
                                                release_id /*release*/)
{
    return refuse_without_endpoint(now, service);
}

} // namespace sycamorelock::core::direct
