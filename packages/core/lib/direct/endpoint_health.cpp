// Exponential averages that fade towards "nothing known".
#include "sycamorelock/core/direct/endpoint_health.hpp"

#include <algorithm>
#include <cmath>

namespace sycamorelock::core::direct
{

namespace
{

/// Weight of one observation of the speed. An instance sees about one first
/// token a second from each engine; a slow engine shows after three.
constexpr double speed_weight = 0.25;
/// A single reading may not say more than this factor: predictions rest on
/// reports that are some hundred ms old.
constexpr double most_slowness = 8;
/// Below this prediction, in ms, delays of the network and of this process
/// would pass for a slow engine.
constexpr double least_prediction = 40;
constexpr double failure_weight = 0.2;
/// After this time half of the experience is gone.
constexpr double half_life_s = 6;
constexpr duration first_pause = std::chrono::milliseconds(500);
constexpr duration longest_pause = std::chrono::seconds(4);
constexpr unsigned most_doublings = 3;

double fade(time_point from, time_point now)
{
    const double seconds = std::chrono::duration<double>(now - from).count();
    return std::exp2(-std::max(0.0, seconds) / half_life_s);
}

} // namespace

void endpoint_health::first_token(time_point now, double actual_ms,
                                  double predicted_ms)
{
    const double ratio = std::clamp((actual_ms + least_prediction) /
                                        (predicted_ms + least_prediction),
                                    1 / most_slowness, most_slowness);
    const double before = log_slowness_ * fade(slowness_at_, now);
    // The prediction already holds the slowness, so the ratio corrects it.
    log_slowness_ = before + speed_weight * std::log(ratio);
    log_slowness_ = std::clamp(log_slowness_, -std::log(most_slowness),
                               std::log(most_slowness));
    slowness_at_ = now;
}

void endpoint_health::note(time_point now, double failure)
{
    const double before = failures_ * fade(failures_at_, now);
    failures_ = before + failure_weight * (failure - before);
    failures_at_ = now;
}

void endpoint_health::succeeded(time_point now)
{
    unreachable_in_a_row_ = 0;
    note(now, 0);
}

void endpoint_health::failed(time_point now)
{
    note(now, 1);
}

void endpoint_health::unreachable(time_point now)
{
    note(now, 1);
    const unsigned doublings = std::min(unreachable_in_a_row_, most_doublings);
    ++unreachable_in_a_row_;
    aside_until_ =
        now + std::min(first_pause * (1 << doublings), longest_pause);
}

double endpoint_health::slowness(time_point now) const
{
    return std::exp(log_slowness_ * fade(slowness_at_, now));
}

double endpoint_health::failure_rate(time_point now) const
{
    return failures_ * fade(failures_at_, now);
}

} // namespace sycamorelock::core::direct
