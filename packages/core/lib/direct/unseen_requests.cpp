// Finds the common cost up to which the endpoints are filled by bisection.
#include "sycamorelock/core/direct/unseen_requests.hpp"

#include <algorithm>
#include <limits>
#include <numeric>

namespace sycamorelock::core::direct
{

namespace
{

/// Lower bound of the wait that a request adds, in ms. The estimated time for
/// which a request occupies a slot may be zero.
constexpr double min_ms_per_request = 0.01;

/// Returns the number of requests that an endpoint gets until the next one
/// costs more than `level`, in ms.
double requests_below(const endpoint_cost& offer, double level)
{
    if (level < offer.cost_ms)
        return 0;
    const double ms_per_request =
        std::max(min_ms_per_request, offer.ms_per_request);
    return std::max(0.0, offer.free_slots +
                             (level - offer.cost_ms) / ms_per_request);
}

double requests_below(std::span<const endpoint_cost> offers, double level)
{
    return std::accumulate(offers.begin(), offers.end(), 0.0,
                           [level](double sum, const endpoint_cost& offer)
                           { return sum + requests_below(offer, level); });
}

} // namespace

std::vector<double> spread_requests(std::span<const endpoint_cost> offers,
                                    double requests)
{
    // Resolves a fraction of a millisecond at costs of hours.
    static constexpr int bisection_steps = 40;
    double low = std::numeric_limits<double>::infinity();
    for (const endpoint_cost& offer : offers)
        low = std::min(low, offer.cost_ms);
    double step = 1;
    while (!offers.empty() && requests_below(offers, low + step) < requests)
        step *= 2;
    double high = low + step;
    for (int i = 0; i < bisection_steps; ++i)
    {
        const double middle = (low + high) / 2;
        (requests_below(offers, middle) < requests ? low : high) = middle;
    }
    std::vector<double> counts;
    counts.reserve(offers.size());
    double sum = 0;
    for (const endpoint_cost& offer : offers)
    {
        counts.push_back(requests_below(offer, high));
        sum += counts.back();
    }
    // If several endpoints have free slots at the same cost, they may accept
    // more requests than there are.
    for (double& each : counts)
        each *= requests / sum;
    return counts;
}

} // namespace sycamorelock::core::direct
