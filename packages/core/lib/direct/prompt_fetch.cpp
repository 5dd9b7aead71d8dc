// Transfer times from link speed and the end of earlier transfers.
#include "sycamorelock/core/direct/prompt_fetch.hpp"

#include <algorithm>

namespace sycamorelock::core::direct
{

namespace
{

/// Round trip of the fetch request between two engines in a region, in ms,
/// excluding the transfer.
constexpr double setup_ms = 4;

} // namespace

double fetch_links::busy_ms(time_point now, endpoint_id engine) const
{
    const auto found = busy_until_.find(engine);
    if (found == busy_until_.end())
        return 0;
    return std::max(0.0, to_ms(found->second - now));
}

double fetch_links::transfer_ms(time_point now, const service& engines,
                                endpoint_id source, endpoint_id target,
                                double tokens) const
{
    return setup_ms + engines.transfer_ms(tokens) +
           std::max(busy_ms(now, source), busy_ms(now, target));
}

void fetch_links::record_transfer(time_point now, const fetch_plan& plan,
                                  endpoint_id target)
{
    const time_point end =
        now + std::chrono::duration_cast<duration>(
                  std::chrono::duration<double, std::milli>(plan.transfer_ms));
    for (const endpoint_id engine : {plan.source, target})
        busy_until_[engine] = std::max(busy_until_[engine], end);
}

} // namespace sycamorelock::core::direct
