// Extrapolates the recent work of this instance to the fleet.
#include "sycamorelock/core/direct/unseen_work.hpp"

#include <algorithm>

namespace sycamorelock::core::direct
{

double unseen_work::weight(double overload)
{
    return std::clamp(
        (overload - min_overload) / (full_overload - min_overload), 0.0, 1.0);
}

void unseen_work::record_sent(time_point now, double work_ms)
{
    while (!sent_.empty() && now - sent_.front().at > max_report_age)
        sent_.pop_front();
    sent_.push_back({now, work_ms});
}

double unseen_work::excess_ms(time_point now, double fleet_ratio,
                              std::size_t engines) const
{
    double own_ms = 0;
    for (const sent_work& each : sent_)
    {
        if (now - each.at <= max_report_age)
            own_ms += each.ms;
    }
    const double sent_ms =
        own_ms * (std::max(1.0, fleet_ratio) - 1) /
        static_cast<double>(std::max<std::size_t>(1, engines));
    return std::max(0.0, sent_ms - to_ms(max_report_age));
}

} // namespace sycamorelock::core::direct
