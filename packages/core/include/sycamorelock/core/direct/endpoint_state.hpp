// What an instance knows of one listed endpoint.
#pragma once

#include "sycamorelock/core/direct/endpoint_health.hpp"
#include "sycamorelock/core/direct/endpoint_notices.hpp"
#include "sycamorelock/core/direct/endpoint_registry.hpp"
#include "sycamorelock/core/direct/release.hpp"

#include <cstdint>
#include <span>

namespace sycamorelock::core::direct
{

/// A listed endpoint, with what this instance has learned of it.
struct endpoint_state
{
    endpoint_record record;
    /// Identifiers of `record`. Kept because computing them takes a
    /// digest.
    endpoint_id id;
    release_id release;
    endpoint_health health;
    /// The endpoint announced in a response that it is leaving.
    bool announced_leaving = false;
    /// End of the back-off that the endpoint requested.
    time_point backoff_until;
    /// Operators drain the failure domain of the endpoint.
    bool is_drained = false;
    /// Time until which this instance limits its requests to the endpoint
    /// because it is warming up.
    time_point limited_until;
    /// Revision of the latest entry that announced a warm-up.
    std::uint64_t warming_revision = 0;
    /// Requests that were placed at the endpoint during its warm-up and
    /// are not sent yet.
    unsigned reserved_requests = 0;

    /// Copies the state that the endpoint announced in responses.
    void apply(const endpoint_notices& notices)
    {
        announced_leaving = notices.is_leaving(record);
        backoff_until = notices.backoff_end(record);
    }
    [[nodiscard]] bool is_leaving() const
    {
        return record.draining || announced_leaving;
    }
    [[nodiscard]] bool is_backing_off(time_point now) const
    {
        return now < backoff_until;
    }
    [[nodiscard]] bool is_limited(time_point now) const
    {
        return now < limited_until;
    }
    /// Whether other engines may fetch KV cache contents from this one.
    [[nodiscard]] bool is_fetch_source(time_point now) const
    {
        return is_usable(now) && !is_limited(now);
    }
    /// Whether new requests may be placed here, regardless of the warm-up
    /// limit.
    [[nodiscard]] bool is_usable(time_point now) const
    {
        return !is_leaving() && !is_drained && !is_backing_off(now) &&
               !health.is_ejected(now);
    }
};

using endpoint_list = std::span<const endpoint_state* const>;

} // namespace sycamorelock::core::direct
