// State behind the routing decisions: configuration, endpoints, open work, KV
// cache contents and client accounts.
#include "sycamorelock/core/direct/router.hpp"

#include "sycamorelock/core/direct/peers.hpp"

#include <algorithm>
#include <cmath>

namespace sycamorelock::core::direct
{

namespace
{

/// A request whose prefill takes longer than this, in ms, makes the next
/// report urgent. Until other instances know of it, they queue short requests
/// behind it: on a day without failures, two thirds of the late first tokens
/// had been predicted in time. Urgent reports raise the benchmark score of
/// days with failures by 0.006.
constexpr double urgent_prefill_ms = 60;
/// Upper bound, in ms, on the predicted completion of a prefill: an hour,
/// longer than any caller waits. Callers may state prompt sizes whose
/// predicted time would overflow the clock.
constexpr double max_prefill_due_ms = 3'600'000;
/// Fraction of an engine's memory that holds prompts. It includes the prompts
/// of running requests; the remainder holds the generated tokens of running
/// requests, a few tokens each.
constexpr double prompt_memory_fraction = 0.95;
/// Default time, in ms, for which a response occupies an engine slot, used
/// until the first response has completed: two hundred tokens at human reading
/// speed.
constexpr double default_answer_ms = 5000;
/// Default mean processing time, in ms, of a request to a plain service, used
/// to predict the wait for a slot.
constexpr double default_plain_work_ms = 30;
/// Maximum number of prompt parts in a copy of the KV cache estimates. A part
/// takes 12 bytes, which limits the copy to about 250 KB.
constexpr std::size_t max_copied_parts = 20000;
/// Fractions of the fleet's retry slack and retry ratio that instances use.
/// The budget is divided among instances that do not see each other's retries
/// immediately, so a part of it is left unused.
constexpr double usable_retry_slack = 0.6;
constexpr double usable_retry_ratio = 0.8;

/// Time from sending a request until its engine starts prefill.
milliseconds time_to_prefill_start(const placement_decision& placement)
{
    const double ms = placement.wait_ms +
                      (placement.fetch ? placement.fetch->transfer_ms : 0);
    return milliseconds(
        static_cast<milliseconds::rep>(std::min(ms, max_prefill_due_ms)));
}

} // namespace

std::string_view to_string(withheld_reason reason)
{
    switch (reason)
    {
    case withheld_reason::gone:
        return "gone";
    case withheld_reason::leaving:
        return "leaving";
    case withheld_reason::backing_off:
        return "resting";
    case withheld_reason::drained:
        return "drained";
    case withheld_reason::warming_up:
        return "warming_up";
    case withheld_reason::other_release:
        return "other_release";
    }
    return "unknown";
}

router::router(router_options options)
    : options_(options), random_(options.seed),
      warmup_allowances_(options.self, options.domain, options.domains),
      domain_traffic_(options.remote_price), crashes_(options.self)
{
}

void router::set_members(time_point now,
                         const std::vector<fleet_member>& members)
{
    warmup_allowances_.set_members(now, members);
    std::vector<instance_id> instances;
    instances.reserve(members.size());
    const auto here = static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(),
                      [this](const fleet_member& each)
                      { return each.domain == options_.domain; }));
    domain_demand_.set_instances(1 + here, 1 + members.size());
    for (const fleet_member& each : members)
        instances.push_back(each.instance);
    crashes_.set_members(std::move(instances));
}

void router::install(time_point now, std::shared_ptr<const catalogue> newer)
{
    update_stream_routes(now, *newer);
    config_ = std::move(newer);
    domain_traffic_.keep_routes(
        [this](const std::string& name)
        {
            return std::any_of(config_->routes.begin(), config_->routes.end(),
                               [&name](const route& each)
                               { return each.name == name; });
        });
    return_promises_.install(*config_);
    update_default_estimates();
    for (auto& [id, state] : endpoints_)
        update_warmup_limit(state);
}

hold_time router::hold_time_of(const service& service_info) const
{
    const auto learned = hold_times_.find(service_info.id);
    return learned == hold_times_.end() ? hold_time(default_answer_ms)
                                        : learned->second;
}

void router::update_default_estimates()
{
    static constexpr double ms_per_second = 1000;
    if (!config_)
        return;
    for (const auto& [id, engines] : endpoints_by_service_)
    {
        if (const service* service_info = find_service(id);
            service_info == nullptr || !service_info->is_engine())
            continue;
        estimators_[id].set_prior(config_->limits.tokens_per_second /
                                  ms_per_second /
                                  static_cast<double>(engines.size()));
    }
}

std::optional<withheld_reason>
router::withheld(time_point now, const placement_decision& placement) const
{
    const auto found = endpoints_.find(placement.request_load.endpoint);
    if (found == endpoints_.end())
        return withheld_reason::gone;
    if (found->second.record.version != placement.endpoint.version ||
        found->second.record.service != placement.endpoint.service)
        return withheld_reason::other_release;
    if (found->second.is_leaving())
        return withheld_reason::leaving;
    if (found->second.is_drained)
        return withheld_reason::drained;
    if (found->second.is_backing_off(now) && !placement.is_probe)
        return withheld_reason::backing_off;
    if (found->second.is_limited(now) && !admits(now, found->second, 0))
        return withheld_reason::warming_up;
    return std::nullopt;
}

bool router::renew(time_point now, placement_decision& placement) const
{
    if (withheld(now, placement))
        return false;
    placement.fetch.reset();
    placement.sent = time_point();
    placement.reserved = false;
    placement.request_load.has_first_token = false;
    placement.request_load.prefill_starts_at = time_point::max();
    return true;
}

bool router::may_fetch(time_point now, const fetch_plan& plan) const
{
    const auto found = endpoints_.find(plan.source);
    return found != endpoints_.end() && found->second.is_fetch_source(now);
}

bool router::note_leaving(time_point now, const endpoint_record& from)
{
    const bool is_new = notices_.note_leaving(now, from);
    apply_notices(from.id());
    return is_new;
}

void router::note_backoff(time_point now, const endpoint_record& from,
                          milliseconds requested)
{
    notices_.note_backoff(now, from, requested);
    apply_notices(from.id());
}

void router::note_load(time_point now, const endpoint_record& from,
                       const endpoint_load& load)
{
    const endpoint_id endpoint = from.id();
    if (endpoints_.contains(endpoint))
        slowdowns_.note_load(now, endpoint, load);
}

bool router::predicts_single_requests(service_id id) const
{
    const service* const found = find_service(id);
    return (found != nullptr && found->moves_prefixes_quickly()) ||
           reports_slowdown(id);
}

void router::on_slowdowns(time_point now, std::span<const slowdown_note> notes)
{
    if (!uses(mechanism::slowdown_news))
        return;
    for (const slowdown_note& each : notes)
    {
        if (endpoints_.contains(each.endpoint))
            slowdowns_.add_remote(now, each);
    }
}

bool router::reports_slowdown(service_id service) const
{
    const endpoint_list listed = endpoints_of(service);
    return std::any_of(listed.begin(), listed.end(),
                       [this](const endpoint_state* each)
                       { return slowdowns_.reports_slowdown(each->id); });
}

void router::apply_notices(endpoint_id endpoint)
{
    const auto found = endpoints_.find(endpoint);
    if (found != endpoints_.end())
        found->second.apply(notices_);
}

std::optional<milliseconds> router::backoff_delay(time_point now,
                                                  service_id service)
{
    return backoff_delay_of(now, endpoints_of(service));
}

std::optional<milliseconds> router::backoff_delay_of(time_point now,
                                                     endpoint_list endpoints)
{
    std::optional<time_point> first_end;
    for (const endpoint_state* state : endpoints)
    {
        if (state->is_leaving() || state->is_drained)
            continue;
        if (!state->is_backing_off(now))
            return std::nullopt;
        if (!first_end || state->backoff_until < *first_end)
            first_end = state->backoff_until;
    }
    if (!first_end)
        return std::nullopt;
    return milliseconds(static_cast<milliseconds::rep>(
        std::ceil(make_refusals().add_jitter(to_ms(*first_end - now)))));
}

void router::set_endpoints(time_point now,
                           const std::map<std::string, endpoint_record>& all)
{
    notices_.expire_unlisted(now, all);
    std::map<endpoint_id, endpoint_state> next;
    endpoints_by_service_.clear();
    for (const auto& [boot, record] : all)
    {
        const endpoint_id id = record.id();
        const auto known = endpoints_.find(id);
        endpoint_state& state = next[id];
        if (known != endpoints_.end())
            state = known->second;
        state.record = record;
        state.id = id;
        state.release = record.release();
        state.is_drained = drained_domains_.contains(record.domain);
        state.apply(notices_);
        apply_warmup_entry(now, state, known != endpoints_.end());
    }
    slow_start_.forget_unlisted(now);
    for (const auto& [id, state] : endpoints_)
    {
        if (!next.contains(id))
        {
            cache_.forget(id);
            fetch_links_.forget(id);
            slowdowns_.forget(id);
            slow_start_.note_unlisted(now, id);
            if (!state.is_leaving())
                note_terminated(now, id);
        }
    }
    endpoints_ = std::move(next);
    for (const auto& [id, state] : endpoints_)
        endpoints_by_service_[state.record.service].push_back(&state);
    update_default_estimates();
    update_listed_releases(now);
}

endpoint_list router::endpoints_of(service_id service) const
{
    const auto listed = endpoints_by_service_.find(service);
    if (listed == endpoints_by_service_.end())
        return {};
    return listed->second;
}

const service* router::find_service(service_id id) const
{
    const auto found = config_->services.find(id);
    return found == config_->services.end() ? nullptr : &found->second;
}

void router::admit(time_point now, request_profile& request)
{
    for (const route_target& target : request.route_config->targets)
    {
        const auto found = budgets_.find(target.service);
        if (found != budgets_.end())
            found->second.earn();
    }
    request.urgency = urgency_of(request);
    if (!request.account || request.parts.empty())
        return;
    request.standing = account_shares_.record_demand(
        now, *request.account, request.share_tokens(),
        config_->limits.tokens_per_second);
    recognise_return(now, request);
}

void router::recognise_return(time_point now, request_profile& request)
{
    const route& asked = *request.route_config;
    const duration elapsed = return_promises_.since_first_attempt(
        asked.name, request.deadline - request.arrived);
    if (asked.targets.empty() ||
        !promises_returns(asked.targets.front().service))
        return;
    request.since_first_attempt = elapsed;
    request.is_return = return_promises::redeem(
        now, account_shares_, *request.account, asked.objective, elapsed);
}

unsigned router::urgency_of(const request_profile& request) const
{
    if (request.account && config_)
    {
        const auto found = config_->accounts.find(*request.account);
        if (found != config_->accounts.end() && found->second.urgency)
            return *found->second.urgency;
    }
    return request.route_config->urgency;
}

service_id router::pick_service(const route& request_route)
{
    double sum = 0;
    for (const route_target& target : request_route.targets)
        sum += target.weight;
    std::uniform_real_distribution<double> draw(0, sum);
    double left = draw(random_);
    for (const route_target& target : request_route.targets)
    {
        left -= target.weight;
        if (left < 0)
            return target.service;
    }
    return request_route.targets.empty() ? service_id{}
                                         : request_route.targets.back().service;
}

bool router::spend_retry(service_id service)
{
    const auto instances =
        static_cast<double>(std::max<std::size_t>(fleet_size_, 1));
    const auto [found, fresh] = budgets_.try_emplace(
        service, options_.retry_ratio * usable_retry_ratio,
        std::max(1.0, options_.retry_slack * usable_retry_slack / instances));
    return found->second.spend();
}

void router::set_fleet_size(std::size_t instances)
{
    fleet_size_ = std::max(fleet_size_, instances);
    large_fleet_ = fleet_size_ > peers::mesh_limit + 1;
}

void router::sent(time_point now, const request_profile& request,
                  placement_decision& placement)
{
    placement.sent = now;
    if (uses(mechanism::reading_progress))
        placement.request_load.prefill_starts_at =
            now + time_to_prefill_start(placement);
    placement.request_load.slowdown = placement.slowdown;
    ledger_.open(placement.request_load);
    if (const auto found = endpoints_.find(placement.request_load.endpoint);
        found != endpoints_.end() && found->second.is_limited(now))
    {
        placement.reserved = true;
        ++found->second.reserved_requests;
    }
    report_is_urgent_ = report_is_urgent_ ||
                        (placement.request_load.unread_ms > urgent_prefill_ms &&
                         uses(mechanism::urgent_reports));
    if (request.account && !request.parts.empty())
    {
        placement.account = request.account;
        placement.share_tokens = request.share_tokens();
        account_shares_.record_sent(now, *placement.account,
                                    placement.share_tokens);
    }
    const service* service_info = find_service(placement.endpoint.service);
    if (service_info == nullptr || !service_info->is_engine() ||
        request.parts.empty())
        return;
    return_promises_.record_sent(now, service_info->id, request.share_tokens());
    unseen_work_[service_info->id].record_sent(
        now, placement.request_load.unread_ms);
    if (placement.fetch)
        fetch_links_.record_transfer(now, *placement.fetch,
                                     placement.request_load.endpoint);
    const cache_note note{placement.request_load.endpoint, request.parts,
                          milliseconds(static_cast<milliseconds::rep>(std::min(
                              placement.predicted_ms, max_prefill_due_ms)))};
    on_cache_notes(now, {&note, 1});
    domain_demand_.note_own(now);
    unsent_cache_notes_.push_back(note);
}

void router::first_token(time_point now, const request_profile& request,
                         placement_decision& placement, time_point sent)
{
    ledger_.begin(placement.request_load);
    crashes_.note_response(now, placement.request_load.endpoint, sent);
    if (!crashes_.empty())
    {
        // An engine that crashes on a part does so before its first token.
        for (const crash_key key : shared_part_keys(request.parts))
            note_executed(now, key);
    }
    const double observed_first_token_ms = to_ms(now - sent);
    const auto found = endpoints_.find(placement.request_load.endpoint);
    // A change of the reported slowdown must not count as observed slowdown
    // too.
    const double change = slowdown_change(now, placement);
    if (found != endpoints_.end())
        found->second.health.record_first_token(
            now, observed_first_token_ms, placement.predicted_ms * change);
    if (predicts_single_requests(placement.endpoint.service))
        prediction_errors_[placement.endpoint.service].observe(
            observed_first_token_ms, placement.predicted_ms);
    if (placement.reported)
        record_plain_work(placement, observed_first_token_ms / change);
    const auto estimator = estimators_.find(placement.endpoint.service);
    const bool is_cold =
        found != endpoints_.end() && found->second.is_limited(now);
    if (estimator == estimators_.end() || placement.fetch || is_cold ||
        !uses(mechanism::learned_figures))
        return;
    prefill_sample observed;
    observed.cached = placement.cached_tokens;
    observed.uncached = request.prompt_tokens - placement.cached_tokens;
    observed.wait_ms = placement.wait_ms;
    observed.observed_first_token_ms =
        (observed_first_token_ms - placement.wait_ms) /
        (placement.slowdown * change);
    estimator->second.observe(now, observed);
}

double router::slowdown_change(time_point now,
                               const placement_decision& placement) const
{
    if (!placement.reported)
        return 1;
    const auto known = slowdowns_.belief(now, placement.request_load.endpoint);
    return known ? (placement.reported->present + known->present) / 2 /
                       placement.reported_slowdown
                 : 1;
}

double router::plain_work_ms(service_id service) const
{
    const auto learned = plain_work_.find(service);
    return learned == plain_work_.end() ? default_plain_work_ms
                                        : learned->second.mean_ms();
}

void router::record_plain_work(const placement_decision& placement,
                               double observed_ms)
{
    const service* service_info = find_service(placement.endpoint.service);
    // With a wait, the observed time tells more of the other requests than of
    // this one.
    if (service_info == nullptr || service_info->is_engine() ||
        placement.wait_ms > 0)
        return;
    plain_work_.try_emplace(service_info->id, hold_time(default_plain_work_ms))
        .first->second.observe(observed_ms / placement.slowdown);
}

void router::record_hold_time(time_point now,
                              const placement_decision& placement)
{
    const service* service_info = find_service(placement.endpoint.service);
    if (service_info == nullptr || !service_info->is_engine() ||
        !uses(mechanism::learned_figures))
        return;
    hold_times_.try_emplace(service_info->id, hold_time_of(*service_info))
        .first->second.observe(to_ms(now - placement.sent) - placement.wait_ms);
}

void router::finished(time_point now, placement_decision& placement,
                      attempt_outcome outcome)
{
    // A caller that leaves has had the work of the engine.
    const bool was_lost = outcome != attempt_outcome::succeeded &&
                          outcome != attempt_outcome::abandoned &&
                          !placement.request_load.has_first_token;
    if (was_lost && placement.account && large_fleet_ &&
        uses(mechanism::underserved_accounts))
        account_shares_.record_lost(now, *placement.account,
                                    placement.share_tokens, placement.sent);
    ledger_.close(placement.request_load);
    const auto found = endpoints_.find(placement.request_load.endpoint);
    if (found == endpoints_.end())
        return;
    cancel_reservation(found->second, placement);
    endpoint_health& health = found->second.health;
    switch (outcome)
    {
    case attempt_outcome::succeeded:
        health.succeeded(now);
        if (placement.is_probe)
        {
            notices_.end_backoff(now, placement.endpoint);
            apply_notices(placement.request_load.endpoint);
        }
        record_hold_time(now, placement);
        break;
    case attempt_outcome::failed:
    case attempt_outcome::declined:
        health.failed(now);
        break;
    case attempt_outcome::unreachable:
        health.unreachable(now);
        // The endpoint may become reachable again before it announces that its
        // caches are cold.
        start_warmup_limit(now, found->second,
                           warmup_duration(found->second.record.service),
                           false);
        break;
    case attempt_outcome::abandoned:
        break;
    }
}

void router::on_report(time_point now, const exchange_report& report)
{
    const instance_id from = instance_id::of(report.sender);
    ledger_.report(now, from, report.work);
    account_shares_.report(now, from, report.demands);
    on_cache_notes(now, report.notes);
    on_streams(now, report.streams);
    crashes_.add_remote(now, report.crashes);
    on_slowdowns(now, report.slowdowns);
    for (const service_figures& received : report.figures)
    {
        const auto known = estimators_.find(received.service);
        if (known != estimators_.end() && uses(mechanism::learned_figures))
            known->second.report(now, from, received.figures);
    }
}

void router::record_prompt_demand(time_point now,
                                  std::span<const cache_note> notes)
{
    prompt_homes_.sweep(now);
    for (const cache_note& note : notes)
    {
        if (note.parts.empty())
            continue;
        const auto engine = endpoints_.find(note.engine);
        if (engine == endpoints_.end())
            continue;
        const auto learned = estimators_.find(engine->second.record.service);
        if (learned == estimators_.end())
            continue;
        prompt_homes_.note(
            now, shared_key(note.parts),
            learned->second.figures().prefill_time_ms(
                shared_tokens(note.parts), note.parts.back().tokens));
    }
}

void router::record_domain_demand(time_point now,
                                  std::span<const cache_note> notes)
{
    domain_demand_.sweep(now);
    for (const cache_note& note : notes)
    {
        const auto engine = endpoints_.find(note.engine);
        if (note.parts.size() > 1 && engine != endpoints_.end() &&
            predicts_single_requests(engine->second.record.service))
            domain_demand_.note(now, shared_key(note.parts));
    }
}

void router::on_cache_notes(time_point now, std::span<const cache_note> notes)
{
    if (large_fleet_)
        record_prompt_demand(now, notes);
    if (domain_traffic_.is_priced() && uses(mechanism::domain_homes))
        record_domain_demand(now, notes);
    for (const cache_note& note : notes)
    {
        const double capacity = cache_capacity_tokens(note.engine);
        if (capacity > 0 && !note.parts.empty())
            cache_.touch(note.engine, note.parts, capacity, now + note.due);
    }
}

double router::cache_capacity_tokens(endpoint_id endpoint) const
{
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end() || !config_)
        return 0;
    const service* service_info = find_service(found->second.record.service);
    return service_info != nullptr && service_info->is_engine()
               ? service_info->kv_capacity_tokens * prompt_memory_fraction
               : 0;
}

std::vector<cache_note> router::copy_caches(time_point now) const
{
    std::vector<cache_note> known;
    const std::size_t max_parts_per_engine =
        max_copied_parts / std::max<std::size_t>(1, endpoints_.size());
    for (const auto& [id, state] : endpoints_)
    {
        std::vector<prompt_part> parts =
            cache_.shared(now, id, max_parts_per_engine);
        if (!parts.empty())
            known.push_back({id, std::move(parts), milliseconds(0)});
    }
    return known;
}

void router::adopt_caches(std::span<const cache_note> known)
{
    if (!uses(mechanism::cache_copies))
        return;
    for (const cache_note& each : known)
    {
        const double capacity = cache_capacity_tokens(each.engine);
        if (capacity > 0)
            cache_.adopt(each.engine, each.parts, capacity);
    }
}

void router::fill_report(time_point now, exchange_report& report)
{
    report_is_urgent_ = false;
    ledger_.refresh(now);
    report.figures.clear();
    for (auto& [service, estimator] : estimators_)
    {
        report.figures.push_back({service, estimator.refresh(now)});
    }
    report.work = ledger_.own();
    report.notes = std::move(unsent_cache_notes_);
    unsent_cache_notes_.clear();
    report.demands = account_shares_.own(now);
    report.streams = streams_.take_unreported(now);
    report.crashes = crashes_.take_unreported(now);
    slowdowns_.expire(now);
    report.slowdowns.clear();
    if (uses(mechanism::slowdown_news))
        report.slowdowns = slowdowns_.take_unreported(now);
    report.wants_streams = streams_.wants_streams(now);
    report.wants_releases = streams_.wants_releases(now);
    report.warming.clear();
    for (const auto& [id, state] : endpoints_)
    {
        if (state.warming_revision == 0)
            continue;
        const duration left = slow_start_.left(now, id);
        if (left > duration(0))
            report.warming.push_back(
                {id, state.warming_revision,
                 std::chrono::duration_cast<milliseconds>(left)});
    }
}

} // namespace sycamorelock::core::direct
