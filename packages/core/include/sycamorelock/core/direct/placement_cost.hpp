// Cost of placing a request at an endpoint.
#pragma once

namespace sycamorelock::core::direct
{

/// Terms of the cost of one placement, in ms: the predicted delay of the
/// request itself and the delay that the placement is expected to cause to
/// other requests.
struct placement_cost
{
    /// Wait for requests that are already at the endpoint.
    double wait = 0;
    /// Prefill, and the delay of the requests that wait for it.
    double prefill = 0;
    /// Transfer of a cached prefix from another engine.
    double transfer = 0;
    /// Expected delay by failures of the endpoint.
    double failure = 0;
    /// Delay and price of traffic to another failure domain.
    double remote_domain = 0;
    /// Makes all instances prefer the same of otherwise equal endpoints.
    double tie_break = 0;
    /// Price of traffic that a new copy of the prompt's shared prefix in the
    /// own failure domain is expected to save.
    double saved_traffic = 0;

    [[nodiscard]] double total() const
    {
        return wait + prefill + transfer + failure + remote_domain + tie_break -
               saved_traffic;
    }
};

} // namespace sycamorelock::core::direct
