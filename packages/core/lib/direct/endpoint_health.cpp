// Exponential moving averages that decay to their initial values, a slowdown
// factor of 1 and a failure rate of 0.
#include "sycamorelock/core/direct/endpoint_health.hpp"

#include <algorithm>
#include <cmath>

namespace sycamorelock::core::direct
{

namespace
{

/// Weight of one slowdown observation. An instance observes about one first
/// token per second from each engine, and detects a slow engine after three.
constexpr double slowdown_weight = 0.25;
/// Limit of a single observation and of the average, as a factor in either
/// direction: predictions are based on reports that are some hundred
/// milliseconds old.
constexpr double max_slowdown = 8;
/// Added to the observed and the predicted time, so that delays of the network
/// and of this process don't count as a slowdown when the prediction is short.
constexpr double latency_allowance_ms = 40;
/// Weight of one request in the failure rate.
constexpr double failure_weight = 0.2;
/// Half-life of both averages.
constexpr double half_life_s = 6;
/// Ejection time after the first failure in a row; it doubles with each further
/// one up to the maximum.
constexpr duration initial_ejection = std::chrono::milliseconds(500);
constexpr duration max_ejection = std::chrono::seconds(4);
constexpr unsigned max_doublings = 3;

double decay_factor(time_point from, time_point now)
{
    const double seconds = std::chrono::duration<double>(now - from).count();
    return std::exp2(-std::max(0.0, seconds) / half_life_s);
}

} // namespace

void endpoint_health::record_first_token(time_point now, double actual_ms,
                                         double predicted_ms)
{
    const double ratio = std::clamp((actual_ms + latency_allowance_ms) /
                                        (predicted_ms + latency_allowance_ms),
                                    1 / max_slowdown, max_slowdown);
    const double before = log_slowdown_ * decay_factor(slowdown_at_, now);
    // The prediction already includes the current slowdown factor, so the ratio
    // is a correction of it.
    log_slowdown_ = before + slowdown_weight * std::log(ratio);
    log_slowdown_ = std::clamp(log_slowdown_, -std::log(max_slowdown),
                               std::log(max_slowdown));
    slowdown_at_ = now;
}

void endpoint_health::record_outcome(time_point now, double failure)
{
    const double before = failure_rate_ * decay_factor(failure_rate_at_, now);
    failure_rate_ = before + failure_weight * (failure - before);
    failure_rate_at_ = now;
}

void endpoint_health::succeeded(time_point now)
{
    consecutive_unreachable_ = 0;
    record_outcome(now, 0);
}

void endpoint_health::failed(time_point now)
{
    record_outcome(now, 1);
}

void endpoint_health::unreachable(time_point now)
{
    record_outcome(now, 1);
    const unsigned doublings =
        std::min(consecutive_unreachable_, max_doublings);
    ++consecutive_unreachable_;
    ejected_until_ =
        now + std::min(initial_ejection * (1 << doublings), max_ejection);
}

double endpoint_health::slowdown(time_point now) const
{
    return std::exp(log_slowdown_ * decay_factor(slowdown_at_, now));
}

double endpoint_health::failure_rate(time_point now) const
{
    return failure_rate_ * decay_factor(failure_rate_at_, now);
}

} // namespace sycamorelock::core::direct
