// Implements the average as one value that decays with its age.
#include "sycamorelock/core/direct/rate_meter.hpp"

#include <algorithm>
#include <cmath>

namespace sycamorelock::core::direct
{

namespace
{

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

double rate_meter::rate_increment(double amount)
{
    return amount / seconds(time_constant);
}

void rate_meter::add(time_point now, double amount)
{
    rate_ = rate_at(now) + rate_increment(amount);
    at_ = now;
}

void rate_meter::subtract(time_point now, double amount)
{
    rate_ = std::max(0.0, rate_at(now) - rate_increment(amount));
    at_ = now;
}

double rate_meter::decay_factor(duration age)
{
    return std::exp(-std::max(0.0, seconds(age)) / seconds(time_constant));
}

double rate_meter::rate_at(time_point now) const
{
    return rate_ * decay_factor(now - at_);
}

} // namespace sycamorelock::core::direct
