// The union of the spans in which anyone had answers.
#include "sycamorelock/core/direct/store_uptime.hpp"

#include <algorithm>

namespace sycamorelock::core::direct
{

bool store_uptime::told(time_point now, const store_view& view)
{
    const bool has_span = view.revision > 0 && view.up >= view.age;
    return has_span && extend(now - view.up, now - view.age);
}

bool store_uptime::extend(time_point from, time_point to)
{
    const bool first = last_ == time_point();
    const bool later = from - last_ >= least_outage;
    if (first || later)
    {
        since_ = from;
        last_ = to;
        return !first;
    }
    if (since_ - to >= least_outage)
        return false;
    since_ = std::min(since_, from);
    last_ = std::max(last_, to);
    return false;
}

milliseconds store_uptime::told_at(time_point now) const
{
    if (last_ == time_point())
        return milliseconds(0);
    return std::min(most_told,
                    std::chrono::duration_cast<milliseconds>(now - since_));
}

} // namespace sycamorelock::core::direct
