// Bisection over the cost that the last request pays.
#include "sycamorelock/core/direct/unseen_requests.hpp"

#include <algorithm>
#include <limits>
#include <numeric>

namespace sycamorelock::core::direct
{

namespace
{

/// Answers may seem to hold a slot for no time; a request still adds this, in
/// ms.
constexpr double least_ms_per_request = 0.01;

/// Requests that an endpoint takes until the next one costs more than `level`.
double taken_below(const endpoint_offer& offer, double level)
{
    if (level < offer.cost_ms)
        return 0;
    const double ms_per_request =
        std::max(least_ms_per_request, offer.ms_per_request);
    return std::max(0.0, offer.free_slots +
                             (level - offer.cost_ms) / ms_per_request);
}

double taken_below(std::span<const endpoint_offer> offers, double level)
{
    return std::accumulate(offers.begin(), offers.end(), 0.0,
                           [level](double sum, const endpoint_offer& offer)
                           { return sum + taken_below(offer, level); });
}

} // namespace

std::vector<double> spread_requests(std::span<const endpoint_offer> offers,
                                    double requests)
{
    // To a fraction of a ms for costs of hours.
    static constexpr int halvings = 40;
    double low = std::numeric_limits<double>::infinity();
    for (const endpoint_offer& offer : offers)
        low = std::min(low, offer.cost_ms);
    double step = 1;
    while (!offers.empty() && taken_below(offers, low + step) < requests)
        step *= 2;
    double high = low + step;
    for (int i = 0; i < halvings; ++i)
    {
        const double middle = (low + high) / 2;
        (taken_below(offers, middle) < requests ? low : high) = middle;
    }
    std::vector<double> taken;
    taken.reserve(offers.size());
    double sum = 0;
    for (const endpoint_offer& offer : offers)
    {
        taken.push_back(taken_below(offer, high));
        sum += taken.back();
    }
    // At one cost several endpoints may have more room than is needed.
    for (double& each : taken)
        each *= requests / sum;
    return taken;
}

} // namespace sycamorelock::core::direct
