// Moves an estimate of the quantile by a small step with each observation.
#include "sycamorelock/core/direct/prediction_error.hpp"

#include <algorithm>
#include <cmath>

namespace sycamorelock::core::direct
{

namespace
{

/// Step of the logarithm of the factor. Some fifty observations change the
/// factor by half.
constexpr double step = 0.01;

} // namespace

void prediction_error::observe(double observed_ms, double predicted_ms)
{
    const double ratio =
        std::max(1.0, observed_ms) / std::max(1.0, predicted_ms);
    const bool is_above = std::log(ratio) > log_factor_;
    log_factor_ += is_above ? step * quantile : -step * (1 - quantile);
    log_factor_ = std::clamp(log_factor_, 0.0, std::log(max_factor));
}

double prediction_error::factor() const
{
    return std::exp(log_factor_);
}

} // namespace sycamorelock::core::direct
