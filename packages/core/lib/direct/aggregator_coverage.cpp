// Only the last report of the aggregator counts, and only for a short time.
#include "sycamorelock/core/direct/aggregator_coverage.hpp"

namespace sycamorelock::core::direct
{

void aggregator_coverage::process_report(time_point now, const store_view& view)
{
    last_report_at_ = now;
    if (view.revision > 0)
        current_at_ = now - view.age;
    is_current_ = view.revision > 0 && view.age <= max_answer_age;
}

bool aggregator_coverage::covered(time_point now) const
{
    return is_current_ && now - last_report_at_ <= aggregator_timeout;
}

} // namespace sycamorelock::core::direct
