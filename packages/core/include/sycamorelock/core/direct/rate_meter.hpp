// Exponentially decaying average of the rate of discrete amounts.
#pragma once

#include "sycamorelock/core/strong_types.hpp"

namespace sycamorelock::core::direct
{

/// Averages the rate of amounts that are added at points in time.
class rate_meter
{
  public:
    /// Time constant of the exponential decay. Shares are compared over a few
    /// seconds, and a flood of requests should be visible within one second.
    static constexpr duration time_constant = std::chrono::milliseconds(1500);

    void add(time_point now, double amount);
    /// Takes back what is left of an amount that was added before. The rate
    /// does not fall below 0.
    void subtract(time_point now, double amount);
    /// Amount per second.
    [[nodiscard]] double rate_at(time_point now) const;

    /// Returns the factor by which a rate decays over a time without any
    /// amount.
    [[nodiscard]] static double decay_factor(duration age);

    /// Returns the rate, in amount per second, that one amount adds to the
    /// average at the time it is added.
    [[nodiscard]] static double rate_increment(double amount);

  private:
    double rate_ = 0;
    time_point at_;
};

} // namespace sycamorelock::core::direct
