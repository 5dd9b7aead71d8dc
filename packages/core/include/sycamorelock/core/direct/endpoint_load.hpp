// Load that an endpoint reports about itself in its responses.
#pragma once

#include <optional>

namespace sycamorelock::core::direct
{

/// Load of an endpoint at the time of a response.
struct endpoint_load
{
    /// Requests that the endpoint executes.
    unsigned running = 0;
    /// Requests that wait at the endpoint for a slot.
    unsigned waiting = 0;
    unsigned slots = 0;
    /// Time that work takes at the endpoint at present, relative to the usual
    /// time of its service: what its machine is, and what disturbs it. Empty if
    /// the endpoint does not report it.
    std::optional<double> slowdown;
};

} // namespace sycamorelock::core::direct
