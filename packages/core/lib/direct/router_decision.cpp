// Which endpoint a request goes to, by the predicted time to its first token
// and what the choice costs others, or why it goes to none.
#include "sycamorelock/core/direct/router.hpp"
#include "sycamorelock/core/direct/unseen_requests.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace sycamorelock::core::direct
{

namespace
{

/// Reading again what another engine keeps takes time from every request that
/// comes after, so it counts more than its own delay.
constexpr double reread_price = 5.0;
/// A transfer keeps two links from others, and leaves one more copy that takes
/// memory from other prompts, so it counts more than its own delay too. With 10
/// the worth of the days with trouble is 0.645 on Atlas and on Kurzeme and
/// 0.694 on Vejle; with 2 it is 0.616, 0.615 and 0.692, with 20 0.648, 0.648,
/// 0.691.
constexpr double transfer_price = 10.0;
/// Fewer tokens than this are read: a transfer would take longer to set up.
constexpr double least_fetch = 32;
/// Expected delay, in ms, from an endpoint that fails every request.
constexpr double failure_price_ms = 2000;
/// Way to an endpoint in another failure domain and back, in ms.
constexpr double domain_price_ms = 3;
/// Largest term that settles ties, in ms: all instances agree on the order.
constexpr double tie_ms = 15;
/// Longest wait for earlier prompts, as a share of the tightest objective of
/// the service: for accounts within what operators owe them, and for those
/// beyond it that have at most their fair part of what the engines reach. The
/// second is short, so that what nobody is owed delays nobody much.
constexpr double wait_share = 0.6;
constexpr double wait_share_beyond = 0.15;
/// An account that got this many times its fair part is refused even where no
/// one waits, while others ask for more than they get: what it leaves goes to
/// them. Otherwise an account whose prompts lie at idle engines got three
/// times as much as one whose engines are busy.
constexpr double far_beyond = 1.5;
constexpr double wait_share_far_beyond = -0.01;
/// Wait for a slot of a plain service: mean work of one request, in ms, until
/// observed otherwise.
constexpr double plain_work_ms = 30;
/// Part of an engine's slots that may be counted on: others may have sent as
/// many requests that are not known yet as the rest. Without it, on engines
/// that turned three times as slow, 27 in 100 first tokens are late, with it 19
/// (engine model).
constexpr double known_slots = 0.95;
/// Mean age of news in a large fleet, in ms: two waits for a report (every
/// 50 ms), the ticks of three processes, and the ways between them.
constexpr double news_age_ms = 150;
/// Requests that a plain endpoint may hold waiting, as a share of its slots.
constexpr double plain_backlog = 3.0;

/// Longest wait as a share of the objective.
double allowed_wait(const account_standing& standing,
                    const mechanism_set& mechanisms)
{
    if (standing.owed <= 1 || !mechanisms.has(mechanism::fair_shares))
        return wait_share;
    if (!mechanisms.has(mechanism::far_beyond))
        return wait_share_beyond;
    const double excess =
        std::clamp((standing.fair - 1) / (far_beyond - 1), 0.0, 1.0);
    return wait_share_beyond +
           excess * (wait_share_far_beyond - wait_share_beyond);
}

} // namespace

std::vector<const router::endpoint_state*>
router::usable(time_point now, const request_profile& asked,
               const service& kind, const std::set<endpoint_id>& tried) const
{
    const listing listed = endpoints_of(kind.id);
    std::vector<const endpoint_state*> result;
    result.reserve(listed.size());
    for (const endpoint_state* state : listed)
    {
        if (asked.release && *asked.release != state->release)
            continue;
        const bool is_open =
            state->is_usable(now) &&
            (!state->is_limited(now) || admits(now, *state, state->chosen));
        if (is_open && (tried.empty() || !tried.contains(state->id)))
            result.push_back(state);
    }
    if (!large_fleet_ || !kind.is_engine() || asked.parts.size() < 2 ||
        !uses(mechanism::prompt_homes))
        return result;
    const std::uint64_t key = shared_key(asked.parts);
    keep_highest_ranked(key, result, homes_.count(now, key),
                        [](const endpoint_state* state) { return state->id; });
    return result;
}

router::prompt_source router::find_source(time_point now,
                                          const request_profile& asked,
                                          const service& kind) const
{
    prompt_source best;
    if (!kind.can_fetch() || asked.parts.empty() ||
        !uses(mechanism::prompt_fetch))
        return best;
    double best_busy = 0;
    for (const endpoint_state* state : endpoints_of(kind.id))
    {
        if (!state->is_source(now))
            continue;
        const double tokens = cache_.ready(now, state->id, asked.parts);
        const double busy = links_.busy_ms(now, state->id);
        const bool better =
            tokens > best.tokens || (tokens == best.tokens && busy < best_busy);
        if (tokens < least_fetch || !better)
            continue;
        best = {state, tokens};
        best_busy = busy;
    }
    return best;
}

router::weighing router::prepare(time_point now, const request_profile& asked,
                                 const service& kind) const
{
    const auto learned = estimators_.find(kind.id);
    return {now,
            asked,
            kind,
            learned == estimators_.end() ? engine_figures()
                                         : learned->second.figures(),
            held_at(kind),
            find_source(now, asked, kind)};
}

void router::weigh_fetch(const weighing& of, candidate& made) const
{
    const endpoint_state* const source = of.source.state;
    const double tokens = of.source.tokens - made.cached;
    if (source == nullptr || source == made.state || tokens < least_fetch)
        return;
    const double transfer_ms =
        links_.transfer_ms(of.now, of.kind, source->id, made.state->id, tokens);
    const double read_ms = of.read_ms(of.source.tokens) * made.slowness;
    const double cost = made.wait_ms + transfer_ms * (1 + transfer_price) +
                        read_ms * (1 + price_of_reading());
    if (cost >= made.cost)
        return;
    made.cost = cost;
    made.cached = of.source.tokens;
    made.read_ms = read_ms;
    made.fetch =
        fetch_plan{source->id, source->record.address, tokens, transfer_ms};
}

void router::weigh_engine(const weighing& of, candidate& made) const
{
    const endpoint_id id = made.state->id;
    const endpoint_work work = ledger_.total(id);
    const double slots = std::max(1U, made.state->record.slots);
    made.cached =
        std::min(cache_.cached(id, of.asked.parts), of.asked.prompt_tokens);
    made.read_ms = of.read_ms(made.cached) * made.slowness;
    made.free_slots = slots * known_slots - work.running - work.waiting;
    made.ms_per_request = of.held.mean_ms() / (slots * known_slots);
    made.wait_ms =
        work.unread_ms * made.slowness +
        of.held.wait_ms(work.running + work.waiting, slots * known_slots);
    if (work.tokens + of.asked.prompt_tokens > of.kind.memory_tokens)
        made.wait_ms += to_ms(std::chrono::milliseconds(1000));
    made.cost = made.wait_ms + made.read_ms * (1 + price_of_reading());
    weigh_fetch(of, made);
}

void router::weigh_plain(candidate& made) const
{
    const unsigned waiting = ledger_.total(made.state->id).waiting;
    const double slots = std::max(1U, made.state->record.slots);
    made.read_ms = plain_work_ms * made.slowness;
    made.free_slots = slots - waiting;
    made.ms_per_request = made.read_ms / slots;
    made.wait_ms = std::max(0.0, 1 - made.free_slots) * made.ms_per_request;
    made.cost = made.wait_ms + made.ms_per_request * (waiting + 1);
}

router::candidate router::weigh(const weighing& of,
                                const endpoint_state& at) const
{
    candidate made;
    made.state = &at;
    if (uses(mechanism::engine_speed))
        made.slowness = at.health.slowness(of.now);
    if (of.kind.is_engine())
        weigh_engine(of, made);
    else
        weigh_plain(made);
    if (uses(mechanism::failure_price))
        made.cost += at.health.failure_rate(of.now) * failure_price_ms;
    if (at.record.domain != options_.domain)
        made.cost += domain_price_ms;
    const std::uint64_t key =
        of.asked.parts.empty() ? options_.seed : shared_key(of.asked.parts);
    made.cost += rank_of(key, at.id) * tie_ms;
    return made;
}

double router::weighing::held_ms() const
{
    return kind.is_engine() ? held.mean_ms() : plain_work_ms;
}

double router::ended_unseen(const weighing& of, const candidate& at) const
{
    const double slots = at.state->record.slots;
    return std::min<double>(ledger_.open_elsewhere(at.state->id), slots) *
           news_age_ms / std::max(1.0, of.held_ms());
}

double router::unseen_requests(const weighing& of,
                               std::span<const candidate> at) const
{
    // As many come in a time as are open in it (Little's law).
    double open = 0;
    for (const candidate& each : at)
        open += ledger_.open_elsewhere(each.state->id);
    const auto known = admissions_.find(of.kind.id);
    const double weighed_for_sent =
        known == admissions_.end() ? 1 : known->second.weighed_for_sent(of.now);
    return open * news_age_ms / std::max(1.0, of.held_ms()) * weighed_for_sent;
}

double router::admission::weighed_for_sent(time_point now) const
{
    // One more of each, so that a quiet instance takes all for sent.
    const double one = rate_meter::rate_of(1);
    return std::max(1.0,
                    (weighed.rate_at(now) + one) / (sent.rate_at(now) + one));
}

router::candidate router::draw(const weighing& of, std::vector<candidate> from)
{
    std::vector<endpoint_offer> offers;
    offers.reserve(from.size());
    for (const candidate& each : from)
    {
        const double wait_ms =
            std::max(0.0, 1 - each.free_slots) * each.ms_per_request;
        offers.push_back({each.cost - wait_ms,
                          each.free_slots + ended_unseen(of, each),
                          each.ms_per_request});
    }
    const std::vector<double> expected =
        spread_requests(offers, 1 + unseen_requests(of, from));
    std::discrete_distribution<std::size_t> pick(expected.begin(),
                                                 expected.end());
    const std::size_t drawn = pick(random_);
    candidate best = std::move(from[drawn]);
    // Some of the others' requests are there before this one.
    std::uniform_real_distribution<double> earlier(0, expected[drawn]);
    const double waiting_known = std::max(0.0, 1 - best.free_slots);
    const double waiting =
        std::max(0.0, 1 + earlier(random_) - offers[drawn].free_slots);
    best.wait_ms += (waiting - waiting_known) * best.ms_per_request;
    return best;
}

std::optional<router::candidate>
router::choose(const weighing& of,
               const std::vector<const endpoint_state*>& from)
{
    std::vector<candidate> weighed;
    weighed.reserve(from.size());
    for (const endpoint_state* state : from)
        weighed.push_back(weigh(of, *state));
    if (weighed.empty())
        return std::nullopt;
    if (large_fleet_ && of.asked.parts.empty() &&
        uses(mechanism::unseen_requests))
        return draw(of, std::move(weighed));
    return std::move(
        *std::min_element(weighed.begin(), weighed.end(),
                          [](const candidate& a, const candidate& b)
                          { return a.cost < b.cost; }));
}

double router::price_of_reading() const
{
    return uses(mechanism::reread_price) ? reread_price : 0;
}

double router::longest_wait(const request_profile& asked,
                            const service& kind) const
{
    if (!kind.is_engine())
        return plain_backlog * plain_work_ms;
    return to_ms(config_->tightest_objective(kind.id)) *
           allowed_wait(asked.standing, options_.mechanisms);
}

refusal_decision router::refuse(refusal reason, double pause_ms, double wait_ms)
{
    static constexpr double least_ms = 100;
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    const double pause = std::max(least_ms, pause_ms) * spread(random_);
    return {reason, milliseconds(static_cast<int>(pause)), wait_ms};
}

refusal_decision router::refuse_until(refusal reason, duration time)
{
    static constexpr double least_ms = 100;
    const double pause = spread_beyond(std::max(least_ms, to_ms(time)));
    return {reason, milliseconds(static_cast<int>(pause)), 0};
}

refusal_decision router::refuse_for_load(const request_profile& asked,
                                         double wait_ms, double allowed_ms)
{
    // Callers come back spread over the time that the backlog takes.
    const refusal reason =
        asked.standing.owed > 1 ? refusal::beyond_share : refusal::overloaded;
    refusal_decision made = refuse(reason, wait_ms, wait_ms);
    made.allowed_ms = allowed_ms;
    return made;
}

std::vector<const router::endpoint_state*>
router::fitting(const request_profile& asked, service_id service) const
{
    std::vector<const endpoint_state*> result;
    for (const endpoint_state* state : endpoints_of(service))
    {
        if (!asked.release || *asked.release == state->release)
            result.push_back(state);
    }
    return result;
}

refusal_decision router::refuse_without_endpoint(time_point now,
                                                 const request_profile& asked,
                                                 service_id service)
{
    static constexpr milliseconds soon{500};
    // A drain takes seconds.
    static constexpr milliseconds drained_pause{2000};
    const std::vector<const endpoint_state*> known = fitting(asked, service);
    const bool is_gone =
        asked.release && std::all_of(known.begin(), known.end(),
                                     [](const endpoint_state* each)
                                     { return each->is_leaving(); });
    if (is_gone)
        return {refusal::release_gone, soon, 0};
    if (const auto pause = rest_pause_of(now, known))
        return {refusal::resting, *pause, 0};
    if (const auto free = warming_pause(now, known))
        return refuse_until(refusal::warming_up, *free);
    if (all_drained(known))
        return refuse(refusal::drained, to_ms(drained_pause), 0);
    return {refusal::no_endpoint, soon, 0};
}

refusal_decision router::refuse_far_beyond(const request_profile& asked)
{
    // What the account got lately fades; until it is at the limit again, new
    // requests are refused as well.
    const double fade_ms = to_ms(rate_meter::averaging) *
                           std::log(asked.standing.fair / far_beyond);
    return refuse(refusal::beyond_share, fade_ms, 0);
}

routing_decision router::decide(time_point now, request_profile& asked,
                                service_id wanted,
                                const std::set<endpoint_id>& tried,
                                bool repeated)
{
    if (now >= asked.deadline)
        return refusal_decision{refusal::too_late, milliseconds(0), 0};
    const service* kind = find_service(wanted);
    if (kind == nullptr)
        return refuse_without_endpoint(now, asked, wanted);
    const double allowed = repeated ? std::numeric_limits<double>::infinity()
                                    : std::min(longest_wait(asked, *kind),
                                               to_ms(asked.deadline - now));
    // No wait is short enough, so none is looked for: an account that floods
    // must not take the processor from others.
    if (allowed < 0)
        return refuse_far_beyond(asked);
    ledger_.advance(now);
    const weighing of = prepare(now, asked, *kind);
    std::optional<candidate> best =
        choose(of, usable(now, asked, *kind, tried));
    if (!best)
        return refuse_without_endpoint(now, asked, wanted);
    // Not sent to an engine with a shorter wait that would read everything
    // again: under load that takes more from others than a refusal does.
    admission& admitted = admissions_[kind->id];
    admitted.weighed.add(now, 1);
    const bool is_unknown = waits_for_a_guess(of, *best) &&
                            best->wait_ms < to_ms(asked.deadline - now);
    if (best->wait_ms > allowed && !is_unknown)
        return refuse_for_load(asked, best->wait_ms, allowed);
    admitted.sent.add(now, 1);
    placement_decision made = place(of, std::move(*best));
    made.is_trial = notices_.note_trial(now, made.endpoint);
    if (made.is_trial)
        apply_notices(made.hold.endpoint);
    return made;
}

bool router::waits_for_a_guess(const weighing& of, const candidate& at) const
{
    // As many readings as the guess counts for outweigh it.
    static constexpr double known_weight = 2 * engine_estimator::guess_weight;
    return of.kind.is_engine() && of.figures.weight < known_weight &&
           at.free_slots >= 1 && ledger_.total(at.state->id).waiting <= 1;
}

placement_decision router::place(const weighing& of, candidate best) const
{
    placement_decision made;
    made.endpoint = best.state->record;
    made.release = best.state->release;
    made.wait_ms = best.wait_ms;
    made.cached_tokens = best.cached;
    made.slowness = best.slowness;
    made.predicted_ms = best.wait_ms + best.read_ms;
    made.hold.endpoint = best.state->id;
    made.hold.tokens = of.asked.prompt_tokens + of.asked.output_tokens;
    if (!of.kind.is_engine())
        return made;
    made.predicted_ms += of.figures.first_ms * best.slowness;
    made.hold.unread_ms = of.read_ms(best.cached);
    made.fetch = std::move(best.fetch);
    if (made.fetch)
        made.predicted_ms += made.fetch->transfer_ms;
    return made;
}

} // namespace sycamorelock::core::direct
