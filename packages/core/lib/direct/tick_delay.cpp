// An exponential moving average with a time constant of ten ticks.
#include "sycamorelock/core/direct/tick_delay.hpp"

#include <algorithm>

namespace sycamorelock::core::direct
{

bool tick_delay::tick(time_point now)
{
    static constexpr duration::rep ticks_averaged = 10;
    const time_point before = ticked_at_;
    ticked_at_ = now;
    if (before == time_point())
        return false;
    const duration delay = std::max(duration(0), now - before - period_);
    mean_ += (delay - mean_) / ticks_averaged;
    const bool late = mean_ > max_mean_delay;
    return late_.exchange(late) != late;
}

bool tick_delay::is_late(time_point now) const
{
    const time_point ticked = ticked_at_;
    return late_ || (ticked != time_point() && now - ticked > hang_timeout);
}

} // namespace sycamorelock::core::direct
