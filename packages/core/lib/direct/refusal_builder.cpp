// Retry delays of refusals.
#include "sycamorelock/core/direct/refusal_builder.hpp"

#include "sycamorelock/core/direct/admission.hpp"
#include "sycamorelock/core/direct/rate_meter.hpp"

#include <algorithm>
#include <cmath>

namespace sycamorelock::core::direct
{

refusal_decision refusal_builder::refuse(refusal reason, double pause_ms,
                                         double wait_ms)
{
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    const double pause = std::max(min_delay_ms, pause_ms) * spread(random_);
    return {reason, milliseconds(static_cast<int>(pause)), wait_ms};
}

refusal_decision refusal_builder::refuse_until(refusal reason, duration time)
{
    const double pause = add_jitter(std::max(min_delay_ms, to_ms(time)));
    return {reason, milliseconds(static_cast<int>(pause)), 0};
}

refusal_decision refusal_builder::refuse_for_load(refusal reason,
                                                  double wait_ms,
                                                  double allowed_ms)
{
    // The retry delays spread the callers over the time that the backlog
    // takes.
    refusal_decision result = refuse(reason, wait_ms, wait_ms);
    result.allowed_ms = allowed_ms;
    return result;
}

refusal_decision
refusal_builder::refuse_excess_demand(const account_standing& standing)
{
    // The recent consumption of the account decays exponentially; requests are
    // refused until it is back at the limit.
    const double decay_ms =
        to_ms(rate_meter::time_constant) *
        std::log(standing.fair / uniform_admission::far_beyond_share_ratio);
    return refuse(refusal::beyond_share, decay_ms, 0);
}

double refusal_builder::add_jitter(double ms)
{
    // Keeps callers from all returning at the moment at which the delay ends.
    std::uniform_real_distribution<double> spread(1, 1.25);
    return ms * spread(random_);
}

} // namespace sycamorelock::core::direct
