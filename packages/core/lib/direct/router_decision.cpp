// Chooses the endpoint of a request by the predicted time to the first token
// and the estimated cost to other requests, or refuses the request.
#include "sycamorelock/core/direct/router.hpp"
#include "sycamorelock/core/direct/unseen_requests.hpp"

#include <algorithm>
#include <iterator>
#include <limits>

namespace sycamorelock::core::direct
{

namespace
{

/// Mean age, in ms, of the reports from other instances in a large fleet: two
/// waits for a report (one every 50 ms), the ticks of three processes and the
/// network delays between them.
constexpr double mean_report_age_ms = 150;
/// Number of homes of a prefix in the own failure domain: with one, there would
/// be no alternative to its queue.
constexpr std::size_t domain_home_count = 2;

} // namespace

std::optional<exclusion>
router::exclusion_of(time_point now, const request_profile& request,
                     const std::set<endpoint_id>& tried,
                     const endpoint_state& endpoint) const
{
    if (request.release && *request.release != endpoint.release)
        return exclusion::other_release;
    if (endpoint.is_leaving())
        return exclusion::leaving;
    if (endpoint.is_drained)
        return exclusion::drained;
    if (endpoint.is_backing_off(now))
        return exclusion::backing_off;
    if (endpoint.health.is_ejected(now))
        return exclusion::ejected;
    if (endpoint.is_limited(now) &&
        !admits(now, endpoint, endpoint.reserved_requests))
        return exclusion::warming_up;
    if (tried.contains(endpoint.id))
        return exclusion::tried;
    return std::nullopt;
}

std::vector<const endpoint_state*>
router::usable_endpoints(time_point now, const request_profile& request,
                         const service& service_info,
                         const std::set<endpoint_id>& tried) const
{
    const endpoint_list listed = endpoints_of(service_info.id);
    std::vector<const endpoint_state*> result;
    result.reserve(listed.size());
    for (const endpoint_state* state : listed)
    {
        if (!exclusion_of(now, request, tried, *state))
            result.push_back(state);
    }
    return result;
}

std::vector<const endpoint_state*>
router::home_endpoints(time_point now, const request_profile& request,
                       const service& service_info,
                       const std::vector<const endpoint_state*>& usable) const
{
    if (!large_fleet_ || !service_info.is_engine() ||
        request.parts.size() < 2 || !uses(mechanism::prompt_homes))
        return usable;
    const std::uint64_t key = shared_key(request.parts);
    std::vector<const endpoint_state*> homes = usable;
    keep_highest_ranked(key, homes, prompt_homes_.count(now, key),
                        [](const endpoint_state* state) { return state->id; });
    if (prices_domains(service_info.id) && uses(mechanism::domain_homes))
        add_domain_homes(key, usable, homes);
    return homes;
}

endpoint_survey
router::survey_endpoints(time_point now, const request_profile& request,
                         service_id service, const std::set<endpoint_id>& tried,
                         endpoint_list usable, std::size_t compared) const
{
    endpoint_survey result;
    result.compared = static_cast<unsigned>(compared);
    for (const endpoint_state* state : endpoints_of(service))
    {
        ++result.listed;
        if (const auto reason = exclusion_of(now, request, tried, *state))
            result.exclude(*reason);
    }
    result.exclude(exclusion::not_home,
                   static_cast<unsigned>(usable.size() - compared));
    const auto queue_ms = [this](const endpoint_state* state)
    { return ledger_.total(state->id).unread_ms; };
    if (!usable.empty())
        result.shortest_queue_ms =
            queue_ms(*std::min_element(usable.begin(), usable.end(),
                                       [&](const auto* a, const auto* b)
                                       { return queue_ms(a) < queue_ms(b); }));
    return result;
}

void router::add_domain_homes(std::uint64_t key,
                              const std::vector<const endpoint_state*>& usable,
                              std::vector<const endpoint_state*>& homes) const
{
    std::vector<const endpoint_state*> own;
    std::copy_if(usable.begin(), usable.end(), std::back_inserter(own),
                 [this](const endpoint_state* state)
                 { return state->record.domain == options_.domain; });
    keep_highest_ranked(key, own, domain_home_count,
                        [](const endpoint_state* state) { return state->id; });
    for (const endpoint_state* state : own)
    {
        if (std::find(homes.begin(), homes.end(), state) == homes.end())
            homes.push_back(state);
    }
}

placement_evaluator router::make_evaluator() const
{
    return {{ledger_, cache_, fetch_links_, slowdowns_, domain_demand_},
            options_.mechanisms,
            options_.domain,
            options_.seed};
}

evaluation_context router::make_context(time_point now,
                                        const request_profile& request,
                                        const service& service_info) const
{
    const auto learned = estimators_.find(service_info.id);
    const double remote_price_ms =
        prices_domains(service_info.id)
            ? domain_traffic_.price_ms(request.route_config->name,
                                       request.body_bytes)
            : 0;
    evaluation_context result{
        now,
        request,
        service_info,
        learned == estimators_.end() ? prefill_cost_model()
                                     : learned->second.figures(),
        hold_time_of(service_info),
        make_evaluator().find_source(now, request, service_info,
                                     endpoints_of(service_info.id)),
        remote_price_ms,
        0,
        plain_work_ms(service_info.id)};
    // Without a price, failure domains hardly matter, and the weight of the
    // whole prefill favours the engines that are fastest at present.
    if (remote_price_ms > 0)
        result.unshared_prefill_ms =
            result.prefill_ms(shared_tokens(request.parts));
    return result;
}

bool router::prices_domains(service_id service) const
{
    return domain_traffic_.is_priced() && uses(mechanism::domain_price) &&
           predicts_single_requests(service);
}

double router::unreported_completions(const evaluation_context& context,
                                      const placement_candidate& option) const
{
    const double slots = option.state->record.slots;
    return std::min<double>(ledger_.open_elsewhere(option.state->id), slots) *
           mean_report_age_ms / std::max(1.0, context.mean_hold_ms());
}

double router::unreported_requests(
    const evaluation_context& context,
    std::span<const placement_candidate> candidates) const
{
    // Little's law: as many requests arrive within the mean hold time as are
    // open.
    double open = 0;
    for (const placement_candidate& each : candidates)
        open += ledger_.open_elsewhere(each.state->id);
    const auto known = admissions_.find(context.service_info.id);
    const double evaluated_per_sent =
        known == admissions_.end()
            ? 1
            : known->second.evaluated_per_sent(context.now);
    return open * mean_report_age_ms / std::max(1.0, context.mean_hold_ms()) *
           evaluated_per_sent;
}

double router::admission_rates::evaluated_per_sent(time_point now) const
{
    // Adding one request to both rates gives a ratio of 1 on an instance
    // without recent requests.
    const double one = rate_meter::rate_increment(1);
    return std::max(1.0,
                    (evaluated.rate_at(now) + one) / (sent.rate_at(now) + one));
}

placement_candidate
router::draw_candidate(const evaluation_context& context,
                       std::vector<placement_candidate> candidates)
{
    std::vector<endpoint_cost> offers;
    offers.reserve(candidates.size());
    for (const placement_candidate& each : candidates)
    {
        const double wait_ms =
            std::max(0.0, 1 - each.free_slots) * each.ms_per_request;
        offers.push_back(
            {each.cost.total() - wait_ms,
             each.free_slots + unreported_completions(context, each),
             each.ms_per_request});
    }
    const std::vector<double> expected =
        spread_requests(offers, 1 + unreported_requests(context, candidates));
    std::discrete_distribution<std::size_t> pick(expected.begin(),
                                                 expected.end());
    const std::size_t drawn = pick(random_);
    placement_candidate best = std::move(candidates[drawn]);
    // A random number of the other instances' requests reached the endpoint
    // before this one.
    std::uniform_real_distribution<double> earlier(0, expected[drawn]);
    const double waiting_known = std::max(0.0, 1 - best.free_slots);
    const double waiting =
        std::max(0.0, 1 + earlier(random_) - offers[drawn].free_slots);
    best.wait_ms += (waiting - waiting_known) * best.ms_per_request;
    return best;
}

std::optional<placement_candidate>
router::choose_endpoint(const evaluation_context& context,
                        const std::vector<const endpoint_state*>& endpoints)
{
    const placement_evaluator evaluator = make_evaluator();
    std::vector<placement_candidate> evaluated;
    evaluated.reserve(endpoints.size());
    for (const endpoint_state* state : endpoints)
        evaluated.push_back(evaluator.evaluate(context, *state));
    if (evaluated.empty())
        return std::nullopt;
    if (large_fleet_ && context.request.parts.empty() &&
        uses(mechanism::unseen_requests))
        return draw_candidate(context, std::move(evaluated));
    return std::move(*std::min_element(
        evaluated.begin(), evaluated.end(),
        [](const placement_candidate& a, const placement_candidate& b)
        { return a.cost.total() < b.cost.total(); }));
}

double router::unseen_work_ms(time_point now, const service& service_info,
                              std::size_t engines) const
{
    if (!large_fleet_ || !service_info.is_engine() ||
        !uses(mechanism::unseen_work))
        return 0;
    const auto known = unseen_work_.find(service_info.id);
    if (known == unseen_work_.end())
        return 0;
    return unseen_work::weight(account_shares_.overload()) *
           known->second.excess_ms(now, account_shares_.fleet_ratio(), engines);
}

admission_control router::make_admission() const
{
    return {*config_, return_promises_, options_.mechanisms};
}

admission_control::service_conditions
router::admission_conditions(const service& service_info) const
{
    const bool by_objective = service_info.is_engine() &&
                              uses(mechanism::objective_admission) &&
                              predicts_single_requests(service_info.id);
    return {service_info, by_objective, plain_work_ms(service_info.id),
            error_factor(service_info.id), false};
}

double router::error_factor(service_id service) const
{
    const auto known = prediction_errors_.find(service);
    return known == prediction_errors_.end() ? 1 : known->second.factor();
}

void router::schedule_return(time_point now, const request_profile& request,
                             service_id service, refusal_decision& refused,
                             double service_ms)
{
    refused_attempt attempt;
    attempt.service = service;
    attempt.account = request.account;
    attempt.tokens = request.share_tokens();
    attempt.objective = request.route_config->objective;
    attempt.time_left = request.deadline - now;
    attempt.wait_ms = refused.wait_ms;
    attempt.allowed_ms = refused.allowed_ms;
    attempt.service_ms = service_ms;
    attempt.error_factor = error_factor(service);
    attempt.is_beyond_share = refused.reason == refusal::beyond_share;
    attempt.is_return = request.is_return;
    const return_advice advice =
        return_promises_.advise(now, attempt, account_shares_, random_);
    refused.retry_after =
        std::chrono::duration_cast<milliseconds>(advice.pause);
    refused.is_promised = advice.is_promised;
}

std::vector<const endpoint_state*>
router::endpoints_of_release(const request_profile& request,
                             service_id service) const
{
    std::vector<const endpoint_state*> result;
    for (const endpoint_state* state : endpoints_of(service))
    {
        if (!request.release || *request.release == state->release)
            result.push_back(state);
    }
    return result;
}

refusal_decision router::refuse_without_endpoint(time_point now,
                                                 const request_profile& request,
                                                 service_id service)
{
    static constexpr milliseconds short_delay{500};
    // A drain takes several seconds.
    static constexpr milliseconds drained_pause{2000};
    const std::vector<const endpoint_state*> known =
        endpoints_of_release(request, service);
    const bool is_gone =
        request.release && std::all_of(known.begin(), known.end(),
                                       [](const endpoint_state* each)
                                       { return each->is_leaving(); });
    if (is_gone)
        return {refusal::release_gone, short_delay, 0};
    if (const auto pause = backoff_delay_of(now, known))
        return {refusal::backing_off, *pause, 0};
    if (const auto free = warmup_delay(now, known))
        return make_refusals().refuse_until(refusal::warming_up, *free);
    if (all_drained(known))
        return make_refusals().refuse(refusal::drained, to_ms(drained_pause),
                                      0);
    return {refusal::no_endpoint, short_delay, 0};
}

routing_decision router::decide(time_point now, request_profile& request,
                                service_id target_service,
                                const std::set<endpoint_id>& tried,
                                bool repeated)
{
    if (now >= request.deadline)
        return refusal_decision{refusal::too_late, milliseconds(0), 0};
    const service* service_info = find_service(target_service);
    if (service_info == nullptr)
        return refuse_without_endpoint(now, request, target_service);
    const admission_control admission = make_admission();
    admission_control::service_conditions conditions =
        admission_conditions(*service_info);
    double allowed_ms =
        repeated ? std::numeric_limits<double>::infinity()
                 : admission.max_wait_ms(now, request, conditions, 0);
    // A negative limit refuses every request, so endpoints are not evaluated:
    // an account that floods the instance must not take processor time from
    // other accounts.
    if (allowed_ms < 0)
        return make_refusals().refuse_excess_demand(request.standing);
    ledger_.advance(now);
    const evaluation_context context =
        make_context(now, request, *service_info);
    const std::vector<const endpoint_state*> usable =
        usable_endpoints(now, request, *service_info, tried);
    const std::vector<const endpoint_state*> homes =
        home_endpoints(now, request, *service_info, usable);
    std::optional<placement_candidate> best = choose_endpoint(context, homes);
    if (!best)
    {
        refusal_decision refused =
            refuse_without_endpoint(now, request, target_service);
        refused.survey =
            survey_endpoints(now, request, target_service, tried, usable, 0);
        return refused;
    }
    const double unseen_ms = unseen_work_ms(now, *service_info, usable.size());
    best->wait_ms += unseen_ms * best->slowdown;
    // An account is owed its share of the pool, wherever its prompts are kept.
    conditions.is_underserved = best->wait_ms > allowed_ms &&
                                homes.size() < usable.size() &&
                                request.standing.is_underserved &&
                                uses(mechanism::underserved_accounts);
    if (conditions.is_underserved)
    {
        best = choose_endpoint(context, usable);
        best->wait_ms += unseen_ms * best->slowdown;
    }
    const std::size_t compared =
        conditions.is_underserved ? usable.size() : homes.size();
    const double service_ms =
        best->prefill_ms + context.figures.first_ms * best->slowdown;
    if (!repeated && (conditions.by_objective || conditions.is_underserved))
        allowed_ms =
            admission.max_wait_ms(now, request, conditions, service_ms);
    // The request is refused rather than sent to an engine with a shorter wait
    // that would have to repeat the whole prefill: under load that costs other
    // requests more than the refusal does.
    admission_rates& admitted = admissions_[service_info->id];
    admitted.evaluated.add(now, 1);
    const std::optional<refusal> reason = admission_control::verdict(
        now, request,
        {best->wait_ms, make_evaluator().wait_is_unreliable(context, *best)},
        allowed_ms);
    if (reason)
    {
        refusal_decision refused =
            make_refusals().refuse_for_load(*reason, best->wait_ms, allowed_ms);
        refused.predicted_ms = best->wait_ms + service_ms;
        refused.unseen_ms = unseen_ms;
        refused.survey = survey_endpoints(now, request, target_service, tried,
                                          usable, compared);
        if (promises_returns(target_service) && service_info->is_engine())
            schedule_return(now, request, target_service, refused, service_ms);
        return refused;
    }
    admitted.sent.add(now, 1);
    placement_decision result = make_placement(context, std::move(*best));
    result.unseen_ms = unseen_ms;
    result.is_probe = notices_.note_probe(now, result.endpoint);
    if (result.is_probe)
        apply_notices(result.request_load.endpoint);
    return result;
}

placement_decision router::make_placement(const evaluation_context& context,
                                          placement_candidate best) const
{
    placement_decision result;
    result.endpoint = best.state->record;
    result.release = best.state->release;
    result.wait_ms = best.wait_ms;
    result.cached_tokens = best.cached;
    result.slowdown = best.slowdown;
    result.cost = best.cost;
    result.leaves_domain = best.state->record.domain != options_.domain;
    result.reported = best.reported;
    result.reported_slowdown = best.reported_slowdown;
    result.predicted_ms = best.wait_ms + best.prefill_ms;
    result.request_load.endpoint = best.state->id;
    result.request_load.tokens =
        context.request.prompt_tokens + context.request.output_tokens;
    if (!context.service_info.is_engine())
        return result;
    result.predicted_ms += context.figures.first_ms * best.slowdown;
    result.request_load.unread_ms = context.prefill_ms(best.cached);
    result.fetch = std::move(best.fetch);
    if (result.fetch)
        result.predicted_ms += result.fetch->transfer_ms;
    return result;
}

} // namespace sycamorelock::core::direct
