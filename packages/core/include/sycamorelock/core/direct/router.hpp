// Decides for each request of this instance where it goes, or why not. Each
// instance decides by itself from the exchanged state of all.
#pragma once

#include "sycamorelock/core/direct/account_shares.hpp"
#include "sycamorelock/core/direct/catalogue.hpp"
#include "sycamorelock/core/direct/endpoint_health.hpp"
#include "sycamorelock/core/direct/endpoint_notices.hpp"
#include "sycamorelock/core/direct/endpoint_registry.hpp"
#include "sycamorelock/core/direct/engine_estimator.hpp"
#include "sycamorelock/core/direct/exchange.hpp"
#include "sycamorelock/core/direct/hold_time.hpp"
#include "sycamorelock/core/direct/load_ledger.hpp"
#include "sycamorelock/core/direct/mechanism.hpp"
#include "sycamorelock/core/direct/prefix_cache.hpp"
#include "sycamorelock/core/direct/prompt_fetch.hpp"
#include "sycamorelock/core/direct/prompt_homes.hpp"
#include "sycamorelock/core/direct/rate_meter.hpp"
#include "sycamorelock/core/direct/slow_start.hpp"
#include "sycamorelock/core/direct/stream_releases.hpp"
#include "sycamorelock/core/retry_budget.hpp"

#include <memory>
#include <random>
#include <set>
#include <span>
#include <variant>

namespace sycamorelock::core::direct
{

/// What the decision needs to know of a request.
struct request_profile
{
    const route* way = nullptr;
    std::optional<account_id> account;
    /// Prompt in order; empty for plain services.
    std::vector<prompt_part> parts;
    double prompt_tokens = 0;
    double output_tokens = 0;
    time_point arrived;
    /// When the caller stops waiting.
    time_point deadline;
    /// How the account stood when the request came.
    account_standing standing;
    /// The only release that may go on with the stream; none: any may begin.
    std::optional<release_id> release;

    /// Tokens that count against the share of the account: generated ones cost
    /// about twice as much as those that are read.
    [[nodiscard]] double share_tokens() const
    {
        return prompt_tokens + 2 * output_tokens;
    }
};

enum class refusal : std::uint8_t
{
    /// No endpoint of the service is known or usable.
    no_endpoint,
    /// Operators drain the failure domains of all endpoints that do not leave.
    drained,
    /// All endpoints that do not leave have asked for rest.
    resting,
    /// All usable endpoints warm up and have got what they may get of this
    /// instance.
    warming_up,
    /// The first token would come too late.
    overloaded,
    /// The account asks for more than its share of a busy pool.
    beyond_share,
    /// No time is left.
    too_late,
    /// A stream is resumed, and nobody who can be reached knows its release.
    release_unknown,
    /// No endpoint of the stream's release is listed that does not leave.
    release_gone,
    /// This instance may end before the request does.
    instance_ends,
};
std::string_view to_string(refusal reason);

/// The endpoint for one attempt, with what decided it.
struct placement_decision
{
    endpoint_record endpoint;
    /// That of the endpoint, which takes a digest to make.
    release_id release;
    double predicted_ms = 0;
    /// Tokens that need not be read, with those that are fetched.
    double cached_tokens = 0;
    double wait_ms = 0;
    /// Observed over predicted time of the endpoint, when it was chosen.
    double slowness = 1;
    std::optional<fetch_plan> fetch;
    load_ledger::hold hold;
    /// When it began to hold a slot: before its connection stands.
    time_point sent;
    /// It counts among those that were chosen for an endpoint that warms up
    /// and are not sent yet.
    bool reserved = false;
    /// It tries an endpoint in the rest of a long rest.
    bool is_trial = false;
};

struct refusal_decision
{
    refusal reason = refusal::no_endpoint;
    milliseconds retry_after{0};
    double wait_ms = 0;
    /// The wait beyond which the request is refused.
    double allowed_ms = 0;
};

using routing_decision = std::variant<placement_decision, refusal_decision>;

/// How an attempt at an endpoint ended.
enum class attempt_outcome : std::uint8_t
{
    succeeded,
    /// The endpoint failed it; it may have run.
    failed,
    /// The endpoint declined it; it has not run.
    declined,
    unreachable,
    abandoned,
};

/// Why a request is not sent to the endpoint that was chosen for it.
enum class withheld_reason : std::uint8_t
{
    /// The endpoint's entry is gone.
    gone,
    /// The endpoint leaves.
    leaving,
    /// The endpoint has asked for rest.
    resting,
    /// Operators drain the endpoint's failure domain.
    drained,
    /// The endpoint warms up and has got what it may get of this instance.
    warming_up,
    /// The endpoint's entry tells of another release by now.
    other_release,
};
std::string_view to_string(withheld_reason reason);

/// Where a stream that a caller resumes may go on.
struct stream_resolution
{
    stream_source source = stream_source::unknown;
    /// That of the stream, one of its route's; with `release` if it is known.
    service_id service;
    std::optional<release_id> release;
};

/// What operators let an endpoint get in any second while it warms up.
struct warmup_bounds
{
    /// As a multiple of what its service states.
    double overrun = 1;
    /// A number more.
    double slack = 0;
};

struct router_options
{
    instance_id self;
    domain_id domain;
    /// Failure domains of the fleet, as far as settings name them.
    std::set<domain_id> domains;
    warmup_bounds warmup;
    std::uint64_t seed = 1;
    /// Share of requests that may be sent a second time, over the fleet.
    double retry_ratio = 0.2;
    /// Requests more than that, over the fleet and the window of the rule.
    double retry_slack = 50;
    mechanism_set mechanisms;
};

class router
{
  public:
    explicit router(router_options options);

    void install(time_point now, std::shared_ptr<const catalogue> newer);
    [[nodiscard]] const std::shared_ptr<const catalogue>& config() const
    {
        return config_;
    }
    void set_endpoints(time_point now,
                       const std::map<std::string, endpoint_record>& all);
    /// Failure domains that operators drain: nothing new goes to their
    /// endpoints, whatever way it would take.
    /// \param ended those that were taken back: their endpoints may be cold.
    void set_drained(time_point now, const std::set<domain_id>& domains,
                     std::span<const domain_drain> ended);
    /// Instances that may send requests, without this one.
    void set_members(time_point now, const std::vector<fleet_member>& members)
    {
        parts_.set_members(now, members);
    }
    /// Endpoints that warm up, as another instance knows.
    void on_warming(time_point now, std::span<const warming_notice> notices);
    void set_warmup_bounds(warmup_bounds bounds) { options_.warmup = bounds; }
    /// Endpoints that warm up.
    [[nodiscard]] std::size_t warming(time_point now) const;
    [[nodiscard]] bool knows(endpoint_id endpoint) const
    {
        return endpoints_.contains(endpoint);
    }
    [[nodiscard]] bool has_endpoints() const { return !endpoints_.empty(); }

    /// Notes a new request: earns retries, checks the account's share.
    void admit(time_point now, request_profile& asked);

    /// Chooses an endpoint that is not in `tried`. For a repeated attempt
    /// nothing is refused for load.
    routing_decision decide(time_point now, request_profile& asked,
                            service_id service,
                            const std::set<endpoint_id>& tried, bool repeated);

    /// Draws the service of a request by the weights of its route.
    service_id pick_service(const route& way);

    /// Whether what has become known of an endpoint since it was chosen forbids
    /// to send the request. To be asked right before the first byte.
    [[nodiscard]] std::optional<withheld_reason>
    withheld(time_point now, const placement_decision& at) const;
    /// The same for the engine that a prompt's memory is fetched from.
    [[nodiscard]] bool may_fetch(time_point now, const fetch_plan& plan) const;

    /// An endpoint said in an answer that it leaves. Returns whether that is
    /// new.
    bool note_leaving(time_point now, const endpoint_record& from);
    /// An endpoint turned a request away and wants none for a time.
    void note_rest(time_point now, const endpoint_record& from,
                   milliseconds asked);
    /// After which time a caller that could not be served may come back, if all
    /// endpoints of the service that do not leave rest: each caller after
    /// another one, and not before the first rest ends.
    [[nodiscard]] std::optional<milliseconds> rest_pause(time_point now,
                                                         service_id service);

    /// Up to when the endpoints known here were right.
    void set_endpoints_current(time_point now, time_point at)
    {
        streams_.set_current(now, at);
    }
    /// Finds out where a stream may go on.
    /// \param key of the caller's attempt that began it; none if the caller
    /// named none.
    [[nodiscard]] stream_resolution resolve(time_point now,
                                            std::optional<stream_key> key,
                                            const route& way) const;
    /// A stream that callers may resume is sent to an endpoint.
    /// \param attempt its number, from 1.
    void note_stream(time_point now, stream_key key,
                     const placement_decision& at, unsigned attempt);
    /// A resumed stream is sent to an endpoint of its release.
    /// \param key of the attempt that began it.
    void note_resumed(time_point now, stream_key key,
                      const placement_decision& at);
    /// The caller has got all of a stream.
    void end_stream(time_point now, stream_key key) { streams_.end(now, key); }
    /// Streams of other instances.
    void on_streams(time_point now, std::span<const stream_note> told)
    {
        streams_.hear(now, told);
    }
    /// What is known of streams, for an instance that has started; nothing if
    /// that is too little.
    /// \param has_started the one who asks lacks all streams; else releases.
    [[nodiscard]] std::optional<stream_copy>
    copy_streams(time_point now, bool has_started) const
    {
        return streams_.copy(now, has_started);
    }
    /// Tells the others once more of the streams of this instance.
    void retell_streams() { streams_.retell(); }
    /// Refuses to go on with a stream whose release is not known.
    refusal_decision refuse_unknown_release();
    /// Takes over what another instance knew of them.
    void adopt_streams(time_point now, const stream_copy& known)
    {
        streams_.adopt(now, known);
    }
    [[nodiscard]] const stream_releases& streams() const { return streams_; }

    /// Takes a repeat from the budget; false if it is spent.
    bool spend_retry(service_id service);

    void sent(time_point now, const request_profile& asked,
              placement_decision& at);
    /// The first bytes of the request were just written.
    void written(time_point now, placement_decision& at);
    void first_token(time_point now, const request_profile& asked,
                     placement_decision& at, time_point sent);
    void finished(time_point now, placement_decision& at,
                  attempt_outcome outcome);

    void on_report(time_point now, const exchange_report& report);
    /// Notes what engines read of requests of other instances.
    void on_notes(time_point now, std::span<const cache_note> notes);
    /// What is known of the engines' caches, for an instance that has started.
    [[nodiscard]] std::vector<cache_note> copy_caches(time_point now) const;
    /// Takes over what another instance knew of them.
    void adopt_caches(std::span<const cache_note> known);
    void forget_instance(instance_id gone) { ledger_.forget_instance(gone); }
    /// This instance's part of the exchange since the previous call.
    void fill_report(time_point now, exchange_report& report);
    /// Whether the others should be told at once of what was sent.
    [[nodiscard]] bool report_is_urgent() const { return urgent_; }
    void set_fleet_size(std::size_t instances);
    /// Whether news of other instances comes by way of aggregators, and late.
    [[nodiscard]] bool large_fleet() const { return large_fleet_; }
    /// Changes the fleet's budget of repeats.
    void set_retries(double ratio, double slack)
    {
        options_.retry_ratio = ratio;
        options_.retry_slack = slack;
        budgets_.clear();
    }

    [[nodiscard]] const load_ledger& ledger() const { return ledger_; }

  private:
    struct endpoint_state
    {
        endpoint_record record;
        /// Those of the record, which take a digest to make.
        endpoint_id id;
        release_id release;
        endpoint_health health;
        /// It said so in an answer.
        bool said_leaving = false;
        /// It has asked for rest until then.
        time_point rests_until;
        /// Operators drain its failure domain.
        bool is_drained = false;
        /// It warms up until then, as far as this instance limits itself.
        time_point limited_until;
        /// Entry that told of the warm-up last.
        std::uint64_t warming_revision = 0;
        /// Requests chosen for it while it warms up that are not sent yet.
        unsigned chosen = 0;

        /// Takes over what the endpoint has said of itself.
        void apply(const endpoint_notices& notices)
        {
            said_leaving = notices.is_leaving(record);
            rests_until = notices.rests_until(record);
        }
        [[nodiscard]] bool is_leaving() const
        {
            return record.draining || said_leaving;
        }
        [[nodiscard]] bool is_resting(time_point now) const
        {
            return now < rests_until;
        }
        [[nodiscard]] bool is_limited(time_point now) const
        {
            return now < limited_until;
        }
        /// Whether engines may fetch from it.
        [[nodiscard]] bool is_source(time_point now) const
        {
            return is_usable(now) && !is_limited(now);
        }
        /// Apart from the limit of a warm-up.
        [[nodiscard]] bool is_usable(time_point now) const
        {
            return !is_leaving() && !is_drained && !is_resting(now) &&
                   !health.set_aside(now);
        }
    };
    using listing = std::span<const endpoint_state* const>;
    struct candidate
    {
        const endpoint_state* state = nullptr;
        double wait_ms = 0;
        double read_ms = 0;
        double cached = 0;
        double slowness = 1;
        /// Requests that get a slot at once, and what each beyond them adds to
        /// the wait, in ms.
        double free_slots = 0;
        double ms_per_request = 1;
        std::optional<fetch_plan> fetch;
        /// Time to the first token plus what the choice costs others.
        double cost = 0;
    };
    /// The engine that keeps most of a prompt.
    struct prompt_source
    {
        const endpoint_state* state = nullptr;
        double tokens = 0;
    };

    /// Requests of a service that were weighed here, and those that were sent.
    struct admission
    {
        rate_meter weighed;
        rate_meter sent;

        /// How many were weighed for each that was sent.
        [[nodiscard]] double weighed_for_sent(time_point now) const;
    };

    /// What the candidates for one request have in common.
    struct weighing
    {
        time_point now;
        const request_profile& asked;
        const service& kind;
        engine_figures figures;
        hold_time held;
        prompt_source source;

        /// How long requests hold a slot.
        [[nodiscard]] double held_ms() const;
        /// Time that an engine of usual speed reads if it keeps so many tokens.
        [[nodiscard]] double read_ms(double kept) const
        {
            return figures.read_ms(kept, asked.prompt_tokens - kept);
        }
    };

    [[nodiscard]] weighing prepare(time_point now, const request_profile& asked,
                                   const service& kind) const;
    /// Time to the first token and its price at one endpoint.
    [[nodiscard]] candidate weigh(const weighing& of,
                                  const endpoint_state& at) const;
    void weigh_engine(const weighing& of, candidate& made) const;
    void weigh_plain(candidate& made) const;
    /// The endpoint for a request, of those that it may go to.
    [[nodiscard]] std::optional<candidate>
    choose(const weighing& of, const std::vector<const endpoint_state*>& from);
    /// Draws it so that what others have sent since the last news spreads over
    /// all, and places the request among those.
    candidate draw(const weighing& of, std::vector<candidate> from);
    /// Requests of others that have ended there since the last news.
    [[nodiscard]] double ended_unseen(const weighing& of,
                                      const candidate& at) const;
    /// Requests that others would have sent to these since the last news, had
    /// none been refused.
    [[nodiscard]] double unseen_requests(const weighing& of,
                                         std::span<const candidate> at) const;
    /// Fetches the beginning of the prompt instead, where that is cheaper.
    void weigh_fetch(const weighing& of, candidate& made) const;
    [[nodiscard]] prompt_source find_source(time_point now,
                                            const request_profile& asked,
                                            const service& kind) const;
    /// Whether the wait at an engine is that for one prompt, and what it takes
    /// is a guess.
    [[nodiscard]] bool waits_for_a_guess(const weighing& of,
                                         const candidate& at) const;
    [[nodiscard]] placement_decision place(const weighing& of,
                                           candidate best) const;
    void renew_guesses();
    /// Takes what an endpoint's new entry says of its warm-up.
    void note_warmup(time_point now, endpoint_state& at, bool was_known);
    /// An endpoint warms up for some more time.
    /// \param in_use others may be sending to it without a limit.
    void limit(time_point now, endpoint_state& at, duration left, bool in_use);
    /// Puts in force what is known of its warm-up.
    void renew_limit(endpoint_state& at) const;
    /// Time for which an endpoint of a service warms up; zero if it needs none.
    [[nodiscard]] duration warmup_of(service_id id) const;
    /// Whether one more request may go to an endpoint that warms up.
    /// \param chosen those that were chosen for it before and are not sent.
    [[nodiscard]] bool admits(time_point now, const endpoint_state& at,
                              unsigned chosen) const;
    /// Requests that this instance may send it in any second.
    [[nodiscard]] unsigned own_part(time_point now,
                                    const endpoint_state& at) const;
    /// Time until one of these endpoints may get a request, if all that are
    /// usable warm up.
    [[nodiscard]] std::optional<duration>
    warming_pause(time_point now, listing endpoints) const;
    /// As `rest_pause`, of these endpoints.
    [[nodiscard]] std::optional<milliseconds> rest_pause_of(time_point now,
                                                            listing endpoints);
    static void unreserve(endpoint_state& at, placement_decision& placed);
    /// Whether operators drain the domains of all of these endpoints that do
    /// not leave; false if there are none.
    [[nodiscard]] static bool all_drained(listing endpoints);
    /// Puts a new notice of an endpoint in force.
    void apply_notices(endpoint_id endpoint);
    /// How long answers of engines of a service hold a slot.
    [[nodiscard]] hold_time held_at(const service& kind) const;
    /// Learns it from an answer that has ended.
    void note_held(time_point now, const placement_decision& at);
    [[nodiscard]] double price_of_reading() const;
    [[nodiscard]] bool uses(mechanism which) const
    {
        return options_.mechanisms.has(which);
    }
    /// Wait, in ms, at which a request is refused rather than sent.
    [[nodiscard]] double longest_wait(const request_profile& asked,
                                      const service& kind) const;
    /// Asks to come back after about a pause, each caller after another one.
    refusal_decision refuse(refusal reason, double pause_ms, double wait_ms);
    /// A time no shorter than another, for each caller another one.
    [[nodiscard]] double spread_beyond(double ms);
    /// Asks to come back no sooner than a time.
    refusal_decision refuse_until(refusal reason, duration time);
    refusal_decision refuse_for_load(const request_profile& asked,
                                     double wait_ms, double allowed_ms);
    refusal_decision refuse_without_endpoint(time_point now,
                                             const request_profile& asked,
                                             service_id service);
    /// Tells the streams which releases have endpoints.
    void tell_releases(time_point now);
    /// The longest time of a stream, and routes that lead elsewhere by now.
    void tell_routes(time_point now, const catalogue& newer);
    refusal_decision refuse_far_beyond(const request_profile& asked);
    /// Tokens of prompts that an endpoint has room for; 0 if it is not known
    /// or no engine.
    [[nodiscard]] double kept_tokens(endpoint_id endpoint) const;
    /// Counts how many ask about each prompt. Only a large fleet chooses by it.
    void note_demand(time_point now, std::span<const cache_note> notes);
    /// All endpoints of a service that are listed.
    [[nodiscard]] listing endpoints_of(service_id service) const;
    /// Those of them that a request may ever go to, by their release.
    [[nodiscard]] std::vector<const endpoint_state*>
    fitting(const request_profile& asked, service_id service) const;
    /// Endpoints that a request may go to, without those in `tried`.
    [[nodiscard]] std::vector<const endpoint_state*>
    usable(time_point now, const request_profile& asked, const service& kind,
           const std::set<endpoint_id>& tried) const;
    [[nodiscard]] const service* find_service(service_id id) const;

    router_options options_;
    std::mt19937_64 random_;
    std::shared_ptr<const catalogue> config_;
    std::map<endpoint_id, endpoint_state> endpoints_;
    /// Into `endpoints_`, whose elements stay where they are.
    std::map<service_id, std::vector<const endpoint_state*>> by_service_;
    std::set<domain_id> drained_;
    slow_start slow_start_;
    allowance_parts parts_;
    endpoint_notices notices_;
    load_ledger ledger_;
    prefix_cache cache_;
    prompt_homes homes_;
    fetch_links links_;
    std::map<service_id, engine_estimator> estimators_;
    std::map<service_id, hold_time> holds_;
    std::map<service_id, admission> admissions_;
    account_shares shares_;
    std::map<service_id, retry_budget> budgets_;
    std::vector<cache_note> notes_;
    stream_releases streams_;
    /// A long prompt was sent since the last report.
    bool urgent_ = false;
    /// Largest number of instances seen.
    std::size_t fleet_size_ = 0;
    /// News of other instances comes by way of aggregators, and late.
    bool large_fleet_ = false;
};

} // namespace sycamorelock::core::direct
