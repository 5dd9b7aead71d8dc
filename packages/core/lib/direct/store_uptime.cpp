// The uptime is the union of the time spans in which any instance had answers.
#include "sycamorelock/core/direct/store_uptime.hpp"

#include <algorithm>

namespace sycamorelock::core::direct
{

bool store_uptime::merge_report(time_point now, const store_view& view)
{
    const bool has_span = view.revision > 0 && view.uptime >= view.age;
    return has_span && add_span(now - view.uptime, now - view.age);
}

bool store_uptime::add_span(time_point from, time_point to)
{
    const bool is_first = last_answer_at_ == time_point();
    const bool after_outage = from - last_answer_at_ >= min_outage;
    if (is_first || after_outage)
    {
        since_ = from;
        last_answer_at_ = to;
        return !is_first;
    }
    if (since_ - to >= min_outage)
        return false;
    since_ = std::min(since_, from);
    last_answer_at_ = std::max(last_answer_at_, to);
    return false;
}

milliseconds store_uptime::for_report(time_point now) const
{
    if (last_answer_at_ == time_point())
        return milliseconds(0);
    return std::min(max_reported_uptime,
                    std::chrono::duration_cast<milliseconds>(now - since_));
}

} // namespace sycamorelock::core::direct
