// Limits and verdicts of admission.
#include "sycamorelock/core/direct/admission_control.hpp"

#include <algorithm>

namespace sycamorelock::core::direct
{

namespace
{

/// Requests that may wait at a plain endpoint, as a multiple of its slots.
constexpr double max_plain_backlog = 3.0;

} // namespace

admission_control::admission_control(const catalogue& config,
                                     const return_promises& promises,
                                     const mechanism_set& mechanisms)
    : config_(config), promises_(promises), mechanisms_(mechanisms)
{
}

double admission_control::max_wait_ms(time_point now,
                                      const request_profile& request,
                                      const service_conditions& conditions,
                                      double service_ms) const
{
    const service& service_info = conditions.service_info;
    const double time_left_ms = to_ms(request.deadline - now);
    if (!service_info.is_engine())
        return std::min(max_plain_backlog * conditions.plain_work_ms,
                        time_left_ms);
    admission_query query;
    query.objective_ms = to_ms(request.route_config->objective);
    query.tightest_objective_ms =
        to_ms(config_.tightest_objective(service_info.id));
    query.time_left_ms = time_left_ms;
    if (!conditions.is_underserved)
        query.standing = request.standing;
    query.urgency = request.urgency;
    if (conditions.by_objective)
    {
        query.objective_ms -=
            to_ms(now - request.arrived + request.since_first_attempt);
        query.is_return = request.is_return;
        query.promised_ms = promises_.promised_wait_ms(now, service_info.id);
        query.service_ms = service_ms;
        query.error_factor = conditions.error_factor;
        return objective_admission(mechanisms_).max_wait_ms(query);
    }
    return uniform_admission(mechanisms_).max_wait_ms(query);
}

std::optional<refusal>
admission_control::verdict(time_point now, const request_profile& request,
                           const predicted_wait& wait, double allowed_ms)
{
    const bool is_unknown =
        wait.is_unreliable && wait.ms < to_ms(request.deadline - now);
    if (wait.ms > allowed_ms && !is_unknown)
        return request.standing.owed > 1 ? refusal::beyond_share
                                         : refusal::overloaded;
    return std::nullopt;
}

} // namespace sycamorelock::core::direct
