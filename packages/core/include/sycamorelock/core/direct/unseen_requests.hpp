// Estimates how the requests that other instances have sent since their last
// reports are distributed over endpoints. If instances with stale reports
// ignore these requests, all of them choose the endpoint that was the best at
// the time of the reports and overload it.
#pragma once

#include <span>
#include <vector>

namespace sycamorelock::core::direct
{

/// Cost of a request at an endpoint according to the last reports.
struct endpoint_cost
{
    /// Cost of the next request, in ms, without a wait for a slot.
    double cost_ms = 0;
    /// Requests that the endpoint accepts before further ones wait; if
    /// negative, the number of requests that wait already.
    double free_slots = 0;
    /// Increase of the wait by each request beyond the free slots, in ms.
    double ms_per_request = 0;
};

/// Returns how many of `requests` each endpoint gets if each request goes to
/// the endpoint where it costs least after the preceding requests. This fills
/// the endpoints up to a common cost, as in Dahlin, "Interpreting Stale Load
/// Information", 2000.
std::vector<double> spread_requests(std::span<const endpoint_cost> offers,
                                    double requests);

} // namespace sycamorelock::core::direct
