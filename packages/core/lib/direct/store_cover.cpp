// The last word of the aggregator counts, and only for a moment.
#include "sycamorelock/core/direct/store_cover.hpp"

namespace sycamorelock::core::direct
{

void store_cover::heard(time_point now, const store_view& view)
{
    heard_at_ = now;
    if (view.revision > 0)
        current_at_ = now - view.age;
    fresh_ = view.revision > 0 && view.age <= oldest_answer;
}

bool store_cover::covered(time_point now) const
{
    return fresh_ && now - heard_at_ <= silence;
}

} // namespace sycamorelock::core::direct
