// What decisions rest on: configuration, endpoints, work, caches and accounts.
#include "sycamorelock/core/direct/router.hpp"

#include "sycamorelock/core/direct/peers.hpp"

#include <algorithm>
#include <cmath>

namespace sycamorelock::core::direct
{

namespace
{

/// The others are told at once of a prompt that takes this long to read, in ms.
/// What they do not know of yet makes them send small requests behind it: of
/// the first tokens that were late on a calm day, two thirds had been predicted
/// in time. Worth of the days with trouble: 0.006 more (Vejle, three seeds a
/// day).
constexpr double urgent_ms = 60;
/// Longest time, in ms, until an engine is thought to have read a prompt: an
/// hour, longer than anyone waits. Callers name sizes that no clock can count.
constexpr double longest_due_ms = 3'600'000;
/// Part of an engine's memory that keeps prompts. Those of running requests are
/// among them; what else runs is what it generates, a few tokens each.
constexpr double kept_memory = 0.95;
/// How long an engine's answer is thought to hold a slot until one has ended,
/// in ms: two hundred tokens at the speed at which people read along.
constexpr double guessed_answer_ms = 5000;
/// Parts that a copy of what engines keep tells of: 12 bytes each, so that it
/// is some 250 KB at most.
constexpr std::size_t most_copied = 20000;
/// The fleet's slack for repeats is divided among instances that do not see
/// each other's repeats at once; a part stays unused.
constexpr double slack_in_use = 0.6;
constexpr double ratio_in_use = 0.8;

/// Time from the sending of a request until its engine begins to read.
milliseconds reading_begins_after(const placement_decision& at)
{
    const double ms = at.wait_ms + (at.fetch ? at.fetch->transfer_ms : 0);
    return milliseconds(
        static_cast<milliseconds::rep>(std::min(ms, longest_due_ms)));
}

} // namespace

std::string_view to_string(refusal reason)
{
    switch (reason)
    {
    case refusal::no_endpoint:
        return "no_endpoint";
    case refusal::drained:
        return "drained";
    case refusal::resting:
        return "resting";
    case refusal::warming_up:
        return "warming_up";
    case refusal::overloaded:
        return "overloaded";
    case refusal::beyond_share:
        return "beyond_share";
    case refusal::too_late:
        return "too_late";
    case refusal::release_unknown:
        return "release_unknown";
    case refusal::release_gone:
        return "release_gone";
    case refusal::instance_ends:
        return "instance_ends";
    }
    return "unknown";
}

std::string_view to_string(withheld_reason reason)
{
    switch (reason)
    {
    case withheld_reason::gone:
        return "gone";
    case withheld_reason::leaving:
        return "leaving";
    case withheld_reason::resting:
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
      parts_(options.self, options.domain, options.domains)
{
}

void router::install(time_point now, std::shared_ptr<const catalogue> newer)
{
    tell_routes(now, *newer);
    config_ = std::move(newer);
    renew_guesses();
    for (auto& [id, state] : endpoints_)
        renew_limit(state);
}

hold_time router::held_at(const service& kind) const
{
    const auto learned = holds_.find(kind.id);
    return learned == holds_.end() ? hold_time(guessed_answer_ms)
                                   : learned->second;
}

void router::renew_guesses()
{
    static constexpr double ms_per_second = 1000;
    if (!config_)
        return;
    for (const auto& [id, engines] : by_service_)
    {
        if (const service* kind = find_service(id);
            kind == nullptr || !kind->is_engine())
            continue;
        estimators_[id].set_guess(config_->limits.tokens_per_second /
                                  ms_per_second /
                                  static_cast<double>(engines.size()));
    }
}

std::optional<withheld_reason>
router::withheld(time_point now, const placement_decision& at) const
{
    const auto found = endpoints_.find(at.hold.endpoint);
    if (found == endpoints_.end())
        return withheld_reason::gone;
    if (found->second.record.version != at.endpoint.version ||
        found->second.record.service != at.endpoint.service)
        return withheld_reason::other_release;
    if (found->second.is_leaving())
        return withheld_reason::leaving;
    if (found->second.is_drained)
        return withheld_reason::drained;
    if (found->second.is_resting(now) && !at.is_trial)
        return withheld_reason::resting;
    if (found->second.is_limited(now) && !admits(now, found->second, 0))
        return withheld_reason::warming_up;
    return std::nullopt;
}

bool router::may_fetch(time_point now, const fetch_plan& plan) const
{
    const auto found = endpoints_.find(plan.source);
    return found != endpoints_.end() && found->second.is_source(now);
}

bool router::note_leaving(time_point now, const endpoint_record& from)
{
    const bool is_new = notices_.note_leaving(now, from);
    apply_notices(from.id());
    return is_new;
}

void router::note_rest(time_point now, const endpoint_record& from,
                       milliseconds asked)
{
    notices_.note_rest(now, from, asked);
    apply_notices(from.id());
}

void router::apply_notices(endpoint_id endpoint)
{
    const auto found = endpoints_.find(endpoint);
    if (found != endpoints_.end())
        found->second.apply(notices_);
}

std::optional<milliseconds> router::rest_pause(time_point now,
                                               service_id service)
{
    return rest_pause_of(now, endpoints_of(service));
}

std::optional<milliseconds> router::rest_pause_of(time_point now,
                                                  listing endpoints)
{
    std::optional<time_point> first_end;
    for (const endpoint_state* state : endpoints)
    {
        if (state->is_leaving() || state->is_drained)
            continue;
        if (!state->is_resting(now))
            return std::nullopt;
        if (!first_end || state->rests_until < *first_end)
            first_end = state->rests_until;
    }
    if (!first_end)
        return std::nullopt;
    return milliseconds(static_cast<milliseconds::rep>(
        std::ceil(spread_beyond(to_ms(*first_end - now)))));
}

double router::spread_beyond(double ms)
{
    // So that not all callers come at the moment at which it ends.
    std::uniform_real_distribution<double> spread(1, 1.25);
    return ms * spread(random_);
}

void router::set_endpoints(time_point now,
                           const std::map<std::string, endpoint_record>& all)
{
    notices_.keep_listed(now, all);
    std::map<endpoint_id, endpoint_state> next;
    by_service_.clear();
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
        state.is_drained = drained_.contains(record.domain);
        state.apply(notices_);
        note_warmup(now, state, known != endpoints_.end());
    }
    slow_start_.forget_unlisted(now);
    for (const auto& [id, state] : endpoints_)
    {
        if (!next.contains(id))
        {
            cache_.forget(id);
            links_.forget(id);
            slow_start_.note_unlisted(now, id);
        }
    }
    endpoints_ = std::move(next);
    for (const auto& [id, state] : endpoints_)
        by_service_[state.record.service].push_back(&state);
    renew_guesses();
    tell_releases(now);
}

router::listing router::endpoints_of(service_id service) const
{
    const auto listed = by_service_.find(service);
    if (listed == by_service_.end())
        return {};
    return listed->second;
}

const service* router::find_service(service_id id) const
{
    const auto found = config_->services.find(id);
    return found == config_->services.end() ? nullptr : &found->second;
}

void router::admit(time_point now, request_profile& asked)
{
    for (const route_target& target : asked.way->targets)
    {
        const auto found = budgets_.find(target.service);
        if (found != budgets_.end())
            found->second.earn();
    }
    if (!asked.account || asked.parts.empty())
        return;
    asked.standing = shares_.ask(now, *asked.account, asked.share_tokens(),
                                 config_->limits.tokens_per_second);
}

service_id router::pick_service(const route& way)
{
    double sum = 0;
    for (const route_target& target : way.targets)
        sum += target.weight;
    std::uniform_real_distribution<double> draw(0, sum);
    double left = draw(random_);
    for (const route_target& target : way.targets)
    {
        left -= target.weight;
        if (left < 0)
            return target.service;
    }
    return way.targets.empty() ? service_id{} : way.targets.back().service;
}

bool router::spend_retry(service_id service)
{
    const auto instances =
        static_cast<double>(std::max<std::size_t>(fleet_size_, 1));
    const auto [found, fresh] = budgets_.try_emplace(
        service, options_.retry_ratio * ratio_in_use,
        std::max(1.0, options_.retry_slack * slack_in_use / instances));
    return found->second.spend();
}

void router::set_fleet_size(std::size_t instances)
{
    fleet_size_ = std::max(fleet_size_, instances);
    large_fleet_ = fleet_size_ > peers::mesh_limit + 1;
}

void router::sent(time_point now, const request_profile& asked,
                  placement_decision& at)
{
    at.sent = now;
    if (uses(mechanism::reading_progress))
        at.hold.reads_from = now + reading_begins_after(at);
    at.hold.slowness = at.slowness;
    ledger_.open(at.hold);
    if (const auto found = endpoints_.find(at.hold.endpoint);
        found != endpoints_.end() && found->second.is_limited(now))
    {
        at.reserved = true;
        ++found->second.chosen;
    }
    urgent_ = urgent_ || (at.hold.unread_ms > urgent_ms &&
                          uses(mechanism::urgent_reports));
    if (asked.account && !asked.parts.empty())
        shares_.serve(now, *asked.account, asked.share_tokens());
    const service* kind = find_service(at.endpoint.service);
    if (kind == nullptr || !kind->is_engine() || asked.parts.empty())
        return;
    if (at.fetch)
        links_.started(now, *at.fetch, at.hold.endpoint);
    const cache_note note{at.hold.endpoint, asked.parts,
                          milliseconds(static_cast<milliseconds::rep>(
                              std::min(at.predicted_ms, longest_due_ms)))};
    on_notes(now, {&note, 1});
    notes_.push_back(note);
}

void router::first_token(time_point now, const request_profile& asked,
                         placement_decision& at, time_point sent)
{
    ledger_.begin(at.hold);
    const double took_ms = to_ms(now - sent);
    const auto found = endpoints_.find(at.hold.endpoint);
    if (found != endpoints_.end())
        found->second.health.first_token(now, took_ms, at.predicted_ms);
    const auto learns = estimators_.find(at.endpoint.service);
    const bool is_cold =
        found != endpoints_.end() && found->second.is_limited(now);
    if (learns == estimators_.end() || at.fetch || is_cold ||
        !uses(mechanism::learned_figures))
        return;
    reading seen;
    seen.cached = at.cached_tokens;
    seen.uncached = asked.prompt_tokens - at.cached_tokens;
    seen.wait_ms = at.wait_ms;
    seen.took_ms = (took_ms - at.wait_ms) / at.slowness;
    learns->second.observe(now, seen);
}

void router::note_held(time_point now, const placement_decision& at)
{
    const service* kind = find_service(at.endpoint.service);
    if (kind == nullptr || !kind->is_engine() ||
        !uses(mechanism::learned_figures))
        return;
    holds_.try_emplace(kind->id, held_at(*kind))
        .first->second.observe(to_ms(now - at.sent) - at.wait_ms);
}

void router::finished(time_point now, placement_decision& at,
                      attempt_outcome outcome)
{
    ledger_.close(at.hold);
    const auto found = endpoints_.find(at.hold.endpoint);
    if (found == endpoints_.end())
        return;
    unreserve(found->second, at);
    endpoint_health& health = found->second.health;
    switch (outcome)
    {
    case attempt_outcome::succeeded:
        health.succeeded(now);
        if (at.is_trial)
        {
            notices_.end_rest(now, at.endpoint);
            apply_notices(at.hold.endpoint);
        }
        note_held(now, at);
        break;
    case attempt_outcome::failed:
    case attempt_outcome::declined:
        health.failed(now);
        break;
    case attempt_outcome::unreachable:
        health.unreachable(now);
        // It may be back before it says that it is cold.
        limit(now, found->second, warmup_of(found->second.record.service),
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
    ledger_.refresh(now);
    shares_.report(now, from, report.demands);
    on_notes(now, report.notes);
    on_streams(now, report.streams);
    for (const service_figures& told : report.figures)
    {
        const auto known = estimators_.find(told.service);
        if (known != estimators_.end() && uses(mechanism::learned_figures))
            known->second.report(now, from, told.figures);
    }
}

void router::note_demand(time_point now, std::span<const cache_note> notes)
{
    homes_.sweep(now);
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
        homes_.note(now, shared_key(note.parts),
                    learned->second.figures().read_ms(
                        shared_tokens(note.parts), note.parts.back().tokens));
    }
}

void router::on_notes(time_point now, std::span<const cache_note> notes)
{
    if (large_fleet_)
        note_demand(now, notes);
    for (const cache_note& note : notes)
    {
        const double capacity = kept_tokens(note.engine);
        if (capacity > 0 && !note.parts.empty())
            cache_.touch(note.engine, note.parts, capacity, now + note.due);
    }
}

double router::kept_tokens(endpoint_id endpoint) const
{
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end() || !config_)
        return 0;
    const service* kind = find_service(found->second.record.service);
    return kind != nullptr && kind->is_engine()
               ? kind->memory_tokens * kept_memory
               : 0;
}

std::vector<cache_note> router::copy_caches(time_point now) const
{
    std::vector<cache_note> known;
    const std::size_t most =
        most_copied / std::max<std::size_t>(1, endpoints_.size());
    for (const auto& [id, state] : endpoints_)
    {
        std::vector<prompt_part> parts = cache_.shared(now, id, most);
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
        const double capacity = kept_tokens(each.engine);
        if (capacity > 0)
            cache_.adopt(each.engine, each.parts, capacity);
    }
}

void router::fill_report(time_point now, exchange_report& report)
{
    urgent_ = false;
    ledger_.refresh(now);
    report.figures.clear();
    for (auto& [service, estimator] : estimators_)
    {
        report.figures.push_back({service, estimator.refresh(now)});
    }
    report.work = ledger_.own();
    report.notes = std::move(notes_);
    notes_.clear();
    report.demands = shares_.own(now);
    report.streams = streams_.take_untold(now);
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
