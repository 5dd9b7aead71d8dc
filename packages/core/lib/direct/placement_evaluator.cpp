// Predicted times and costs of placing a request at an endpoint.
#include "sycamorelock/core/direct/placement_evaluator.hpp"

#include "sycamorelock/core/direct/prompt_homes.hpp"

#include <algorithm>

namespace sycamorelock::core::direct
{

namespace
{

/// Weight of prefill time in the cost of a placement, in addition to the delay
/// of the request itself: repeating the prefill of a prefix that another
/// engine has cached delays every later request.
constexpr double repeated_prefill_cost_factor = 5.0;
/// Weight of transfer time in the cost of a placement, in addition to the
/// delay of the request itself: a transfer occupies two links and leaves one
/// more copy, which takes memory from other prompts. A weight of 2 lowers the
/// benchmark score of days with failures from 0.645 to 0.616; 20 changes it by
/// 0.003 at most.
constexpr double transfer_cost_factor = 10.0;
/// Minimum number of tokens to fetch: prefill of fewer takes less time than
/// setting up a transfer.
constexpr double min_fetch_tokens = 32;
/// Expected delay, in ms, caused by an endpoint that fails every request.
constexpr double failure_cost_ms = 2000;
/// Round-trip time, in ms, to an endpoint in another failure domain.
constexpr double remote_domain_cost_ms = 3;
/// Maximum of the term that breaks ties, in ms. It is derived from a hash, so
/// that all instances agree on the order of the endpoints.
constexpr double max_tie_break_ms = 15;
/// Fraction of an engine's slots that placements may use. The remainder is
/// reserved for requests of other instances that have not been reported yet.
/// In the engine model, with engines slowed down by a factor of three, it
/// lowers the proportion of late first tokens from 27 to 19 in 100.
constexpr double usable_slot_fraction = 0.95;
/// Time up to which the demand for a prefix is predicted from its past.
constexpr duration max_demand_forecast = std::chrono::seconds(30);

} // namespace

placement_evaluator::placement_evaluator(const evaluation_state& state,
                                         const mechanism_set& mechanisms,
                                         domain_id domain, std::uint64_t seed)
    : state_(state), mechanisms_(mechanisms), domain_(domain), seed_(seed)
{
}

prompt_source placement_evaluator::find_source(time_point now,
                                               const request_profile& request,
                                               const service& service_info,
                                               endpoint_list engines) const
{
    prompt_source best;
    if (!service_info.can_fetch() || request.parts.empty() ||
        !uses(mechanism::prompt_fetch))
        return best;
    double best_busy_ms = 0;
    for (const endpoint_state* state : engines)
    {
        if (!state->is_fetch_source(now))
            continue;
        const double tokens = state_.cache.ready(now, state->id, request.parts);
        const double busy_ms = state_.links.busy_ms(now, state->id);
        const bool better = tokens > best.tokens ||
                            (tokens == best.tokens && busy_ms < best_busy_ms);
        if (tokens < min_fetch_tokens || !better)
            continue;
        best = {state, tokens};
        best_busy_ms = busy_ms;
    }
    return best;
}

void placement_evaluator::evaluate_fetch(const evaluation_context& context,
                                         placement_candidate& result) const
{
    const endpoint_state* const source = context.source.state;
    const double tokens = context.source.tokens - result.cached;
    if (source == nullptr || source == result.state ||
        tokens < min_fetch_tokens)
        return;
    const double transfer_ms =
        state_.links.transfer_ms(context.now, context.service_info, source->id,
                                 result.state->id, tokens);
    placement_candidate fetched = result;
    fetched.prefill_ms =
        context.prefill_ms(context.source.tokens) * result.slowdown;
    fetched.cost.prefill = prefill_cost(context, fetched);
    fetched.cost.transfer = transfer_ms * (1 + transfer_cost_factor);
    if (fetched.cost.transfer + fetched.cost.prefill >= result.cost.prefill)
        return;
    fetched.cached = context.source.tokens;
    fetched.fetch =
        fetch_plan{source->id, source->record.address, tokens, transfer_ms};
    result = std::move(fetched);
}

void placement_evaluator::apply_reported_slowdown(double work_ms,
                                                  placement_candidate& result)
{
    if (!result.reported)
        return;
    result.reported_slowdown = result.reported->over(work_ms);
    // The observed slowdown corrects the reported one.
    result.slowdown *= result.reported_slowdown;
}

void placement_evaluator::evaluate_engine(const evaluation_context& context,
                                          placement_candidate& result) const
{
    const endpoint_id id = result.state->id;
    const endpoint_work work = state_.ledger.total(id);
    const double slots = std::max(1U, result.state->record.slots);
    result.cached = std::min(state_.cache.cached(id, context.request.parts),
                             context.request.prompt_tokens);
    apply_reported_slowdown(work.unread_ms + context.prefill_ms(result.cached),
                            result);
    result.prefill_ms = context.prefill_ms(result.cached) * result.slowdown;
    result.free_slots =
        slots * usable_slot_fraction - work.running - work.waiting;
    result.ms_per_request =
        context.hold_estimate.mean_ms() / (slots * usable_slot_fraction);
    result.wait_ms =
        work.unread_ms * result.slowdown +
        context.hold_estimate.wait_ms(work.running + work.waiting,
                                      slots * usable_slot_fraction);
    // A prompt that does not fit into the free memory waits until requests end.
    if (work.tokens + context.request.prompt_tokens >
        context.service_info.kv_capacity_tokens)
        result.wait_ms += to_ms(std::chrono::milliseconds(1000));
    result.cost.wait = result.wait_ms;
    result.cost.prefill = prefill_cost(context, result);
    evaluate_fetch(context, result);
    if (context.remote_price_ms > 0 && uses(mechanism::domain_homes) &&
        result.state->record.domain == domain_)
        evaluate_saved_traffic(context, result);
}

void placement_evaluator::evaluate_saved_traffic(
    const evaluation_context& context, placement_candidate& result) const
{
    const double transfer_ms = result.fetch ? result.fetch->transfer_ms : 0;
    const double cost_to_others = prefill_cost(context, result) -
                                  result.prefill_ms +
                                  transfer_ms * transfer_cost_factor;
    if (cost_to_others <= 0)
        return;
    const double expected = state_.demand.expected_requests(
        context.now, shared_key(context.request.parts),
        state_.cache.residence(result.state->id, max_demand_forecast));
    result.cost.saved_traffic =
        std::min(cost_to_others, expected * context.remote_price_ms);
}

void placement_evaluator::evaluate_plain(const evaluation_context& context,
                                         placement_candidate& result) const
{
    const unsigned waiting = state_.ledger.total(result.state->id).waiting;
    const double slots = std::max(1U, result.state->record.slots);
    apply_reported_slowdown(context.plain_work_ms, result);
    result.prefill_ms = context.plain_work_ms * result.slowdown;
    result.free_slots = slots - waiting;
    result.ms_per_request = result.prefill_ms / slots;
    result.wait_ms =
        std::max(0.0, 1 - result.free_slots) * result.ms_per_request;
    result.cost.wait = result.wait_ms;
    result.cost.prefill = result.ms_per_request * (waiting + 1);
}

placement_candidate
placement_evaluator::evaluate(const evaluation_context& context,
                              const endpoint_state& endpoint) const
{
    placement_candidate result;
    result.state = &endpoint;
    if (uses(mechanism::engine_speed))
        result.slowdown = endpoint.health.slowdown(context.now);
    if (uses(mechanism::reported_slowdown))
        result.reported = state_.slowdowns.belief(context.now, endpoint.id);
    if (context.service_info.is_engine())
        evaluate_engine(context, result);
    else
        evaluate_plain(context, result);
    if (uses(mechanism::failure_price))
        result.cost.failure =
            endpoint.health.failure_rate(context.now) * failure_cost_ms;
    if (endpoint.record.domain != domain_)
        result.cost.remote_domain =
            remote_domain_cost_ms + context.remote_price_ms;
    const std::uint64_t key = context.request.parts.empty()
                                  ? seed_
                                  : shared_key(context.request.parts);
    // A tie is not worth the price of leaving the failure domain.
    const double tie_break_ms =
        context.remote_price_ms > 0
            ? std::min(max_tie_break_ms, context.remote_price_ms)
            : max_tie_break_ms;
    result.cost.tie_break = rank_of(key, endpoint.id) * tie_break_ms;
    return result;
}

double
placement_evaluator::prefill_cost(const evaluation_context& context,
                                  const placement_candidate& option) const
{
    const double repeated_ms = std::max(
        0.0, option.prefill_ms - context.unshared_prefill_ms * option.slowdown);
    return option.prefill_ms + repeated_ms * prefill_cost_factor();
}

double placement_evaluator::prefill_cost_factor() const
{
    return uses(mechanism::reread_price) ? repeated_prefill_cost_factor : 0;
}

bool placement_evaluator::wait_is_unreliable(
    const evaluation_context& context, const placement_candidate& option) const
{
    // From this weight on, the observations count at least as much as the
    // default estimate.
    static constexpr double known_weight = 2 * engine_estimator::prior_weight;
    return context.service_info.is_engine() &&
           context.figures.weight < known_weight && option.free_slots >= 1 &&
           state_.ledger.total(option.state->id).waiting <= 1;
}

} // namespace sycamorelock::core::direct
