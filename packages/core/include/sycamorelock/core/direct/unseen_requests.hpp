// What other instances have sent since the news of them. Where that news is
// old, choosing the endpoint that was best in it sends everything there.
#pragma once

#include <span>
#include <vector>

namespace sycamorelock::core::direct
{

/// What an endpoint costs a request, as the news tells it.
struct endpoint_offer
{
    /// Cost of the next request, in ms, without a wait for a slot.
    double cost_ms = 0;
    /// Requests that it takes before they wait; negative if as many wait.
    double free_slots = 0;
    /// What each request beyond these adds to the wait, in ms.
    double ms_per_request = 0;
};

/// How many of `requests` each endpoint gets if each goes where it costs least
/// after those before it (the level that stale load information leads to:
/// Dahlin, "Interpreting Stale Load Information", 2000).
std::vector<double> spread_requests(std::span<const endpoint_offer> offers,
                                    double requests);

} // namespace sycamorelock::core::direct
