// Chooses an endpoint for each request of this instance, or refuses the
// request with a reason. Each instance decides on its own, from the state that
// all instances exchange.
#pragma once

#include "sycamorelock/core/crash_tracker.hpp"
#include "sycamorelock/core/direct/account_shares.hpp"
#include "sycamorelock/core/direct/admission_control.hpp"
#include "sycamorelock/core/direct/catalogue.hpp"
#include "sycamorelock/core/direct/domain_demand.hpp"
#include "sycamorelock/core/direct/domain_traffic.hpp"
#include "sycamorelock/core/direct/endpoint_health.hpp"
#include "sycamorelock/core/direct/endpoint_notices.hpp"
#include "sycamorelock/core/direct/endpoint_registry.hpp"
#include "sycamorelock/core/direct/endpoint_state.hpp"
#include "sycamorelock/core/direct/engine_estimator.hpp"
#include "sycamorelock/core/direct/exchange.hpp"
#include "sycamorelock/core/direct/hold_time.hpp"
#include "sycamorelock/core/direct/load_ledger.hpp"
#include "sycamorelock/core/direct/mechanism.hpp"
#include "sycamorelock/core/direct/placement_cost.hpp"
#include "sycamorelock/core/direct/placement_evaluator.hpp"
#include "sycamorelock/core/direct/prediction_error.hpp"
#include "sycamorelock/core/direct/prefix_cache.hpp"
#include "sycamorelock/core/direct/prompt_fetch.hpp"
#include "sycamorelock/core/direct/prompt_homes.hpp"
#include "sycamorelock/core/direct/rate_meter.hpp"
#include "sycamorelock/core/direct/refusal_builder.hpp"
#include "sycamorelock/core/direct/request_profile.hpp"
#include "sycamorelock/core/direct/return_promises.hpp"
#include "sycamorelock/core/direct/slow_start.hpp"
#include "sycamorelock/core/direct/slowdown_tracker.hpp"
#include "sycamorelock/core/direct/stream_releases.hpp"
#include "sycamorelock/core/direct/unseen_work.hpp"
#include "sycamorelock/core/retry_budget.hpp"

#include <memory>
#include <random>
#include <set>
#include <span>
#include <variant>

namespace sycamorelock::core::direct
{

/// Keys of the parts of a prompt that may crash the engines that answer on
/// them: all but the last one, which belongs to the request or its session.
std::vector<crash_key> shared_part_keys(std::span<const prompt_part> parts);

/// The endpoint chosen for one attempt, with the inputs of the choice.
struct placement_decision
{
    endpoint_record endpoint;
    /// Release of `endpoint`. Kept because computing it takes a digest.
    release_id release;
    double predicted_ms = 0;
    /// Prompt tokens that need no prefill: those in the endpoint's KV cache
    /// and those fetched from another engine.
    double cached_tokens = 0;
    double wait_ms = 0;
    /// Part of the wait that is for work that no report contained yet, at an
    /// engine of usual speed.
    double unseen_ms = 0;
    /// Slowdown factor (observed over predicted time) of the endpoint when it
    /// was chosen.
    double slowdown = 1;
    /// What the endpoint reported of itself, empty if it reports nothing, and
    /// the part of `slowdown` that follows from it.
    std::optional<slowdown_belief> reported;
    double reported_slowdown = 1;
    std::optional<fetch_plan> fetch;
    /// Terms of the cost that the endpoint was chosen by.
    placement_cost cost;
    /// Whether the endpoint is in another failure domain than this instance.
    bool leaves_domain = false;
    load_ledger::request_load request_load;
    /// Time at which the attempt began to occupy a slot, before its connection
    /// is established.
    time_point sent;
    /// Whether the attempt is counted in the requests that are reserved at a
    /// warming endpoint and not yet sent.
    bool reserved = false;
    /// Whether the attempt probes an endpoint during a long back-off.
    bool is_probe = false;
    /// Account that counts as served with these tokens; empty if none does.
    std::optional<account_id> account;
    double share_tokens = 0;
};

using routing_decision = std::variant<placement_decision, refusal_decision>;

/// How an attempt at an endpoint ended.
enum class attempt_outcome : std::uint8_t
{
    succeeded,
    /// The endpoint failed the request, which may have been executed.
    failed,
    /// The endpoint declined the request, which was not executed.
    declined,
    unreachable,
    abandoned,
};

/// Why a request is not sent to the endpoint that was chosen for it.
enum class withheld_reason : std::uint8_t
{
    /// The endpoint is no longer listed.
    gone,
    /// The endpoint is leaving.
    leaving,
    /// The endpoint has requested back-off.
    backing_off,
    /// Operators drain the failure domain of the endpoint.
    drained,
    /// The endpoint is warming up and has received this instance's quota.
    warming_up,
    /// The entry of the endpoint now names another release.
    other_release,
};
std::string_view to_string(withheld_reason reason);

/// Service and release that may continue a stream that a caller resumes.
struct stream_resolution
{
    stream_source source = stream_source::unknown;
    /// Service of the stream, one of the targets of its route. Set if
    /// `release` is known.
    service_id service;
    std::optional<release_id> release;
};

/// Tolerance on the number of requests that an endpoint may receive in any
/// second while it warms up.
struct warmup_bounds
{
    /// Multiple of the rate that the service configures.
    double overrun = 1;
    /// Requests allowed in addition.
    double slack = 0;
};

struct router_options
{
    instance_id self;
    domain_id domain;
    /// Failure domains of the fleet that are named in the settings.
    std::set<domain_id> domains;
    warmup_bounds warmup;
    std::uint64_t seed = 1;
    /// Fraction of requests, over the whole fleet, that may be retried.
    double retry_ratio = 0.2;
    /// Retries allowed in addition, over the whole fleet and the window of the
    /// rule.
    double retry_slack = 50;
    domain_price remote_price;
    mechanism_set mechanisms;
};

/// Keeps the state that routing decisions depend on and makes the decisions.
class router
{
  public:
    explicit router(router_options options);

    /// Replaces the configuration.
    void install(time_point now, std::shared_ptr<const catalogue> newer);
    [[nodiscard]] const std::shared_ptr<const catalogue>& config() const
    {
        return config_;
    }
    /// Replaces the listing of endpoints.
    void set_endpoints(time_point now,
                       const std::map<std::string, endpoint_record>& all);
    /// Sets the failure domains that operators drain. Their endpoints receive
    /// no new requests, on any route.
    /// \param ended drains that were withdrawn; endpoints of these domains may
    /// have cold caches.
    void set_drained(time_point now, const std::set<domain_id>& domains,
                     std::span<const domain_drain> ended);
    /// Sets the other instances that may send requests.
    void set_members(time_point now, const std::vector<fleet_member>& members);
    /// Processes another instance's notices of warming endpoints.
    void on_warming(time_point now, std::span<const warming_notice> notices);
    void set_warmup_bounds(warmup_bounds bounds) { options_.warmup = bounds; }
    /// Number of endpoints whose requests this instance limits because they
    /// are warming up.
    [[nodiscard]] std::size_t warming(time_point now) const;
    [[nodiscard]] bool knows(endpoint_id endpoint) const
    {
        return endpoints_.contains(endpoint);
    }
    [[nodiscard]] bool has_endpoints() const { return !endpoints_.empty(); }
    /// Name of one start of an endpoint as its entry has it; empty if it is not
    /// listed.
    [[nodiscard]] std::string name_of(endpoint_id endpoint) const
    {
        const auto found = endpoints_.find(endpoint);
        return found == endpoints_.end() ? std::string()
                                         : found->second.record.boot;
    }

    /// Registers a new request: credits the retry budgets of its services and
    /// stores the standing of the client account in `request`.
    void admit(time_point now, request_profile& request);

    /// Chooses an endpoint that is not in `tried`. A repeated attempt is never
    /// refused because of load.
    routing_decision decide(time_point now, request_profile& request,
                            service_id target_service,
                            const std::set<endpoint_id>& tried, bool repeated);

    /// Picks one of the route's services at random, by the weights of its
    /// targets.
    service_id pick_service(const route& request_route);

    /// Returns why the request must not be sent to the chosen endpoint after
    /// all, given what has been learned since the choice. To be called right
    /// before the first byte is written.
    [[nodiscard]] std::optional<withheld_reason>
    withheld(time_point now, const placement_decision& placement) const;
    /// Makes the placement of an attempt that has ended that of another one at
    /// the same endpoint, without a fetch. Returns false if the request must
    /// not be sent there any more.
    bool renew(time_point now, placement_decision& placement) const;
    /// Whether the source engine of a planned KV cache fetch may still be
    /// used.
    [[nodiscard]] bool may_fetch(time_point now, const fetch_plan& plan) const;

    /// Records that an endpoint announced in a response that it is leaving.
    /// Returns whether this was unknown before.
    bool note_leaving(time_point now, const endpoint_record& from);
    /// Records the load that an endpoint reported in a response.
    void note_load(time_point now, const endpoint_record& from,
                   const endpoint_load& load);
    /// Processes slowdowns that other instances passed on.
    void on_slowdowns(time_point now, std::span<const slowdown_note> notes);
    [[nodiscard]] const slowdown_tracker& slowdowns() const
    {
        return slowdowns_;
    }
    /// Whether an endpoint of the service reports how much its machine is
    /// slowed at present.
    [[nodiscard]] bool reports_slowdown(service_id service) const;
    /// Whether the time to the first token of a single request can be predicted
    /// well enough to decide by it: endpoints of the service report their
    /// slowdown, or prefixes move between its engines quickly, so that it
    /// hardly matters whether the news of their caches is old.
    [[nodiscard]] bool predicts_single_requests(service_id id) const;
    /// Records the size of a complete answer to a request.
    void note_answer(const request_profile& request, double bytes)
    {
        domain_traffic_.note_answer(request.route_config->name, bytes);
    }
    /// Records that an endpoint declined a request and requested back-off for
    /// a time.
    void note_backoff(time_point now, const endpoint_record& from,
                      milliseconds requested);
    /// Retry delay for a caller whose request cannot be served, if all
    /// endpoints of the service that are neither leaving nor drained have
    /// requested back-off. The delay is randomised per caller and never ends
    /// before the first back-off does.
    [[nodiscard]] std::optional<milliseconds> backoff_delay(time_point now,
                                                            service_id service);

    /// Sets the time up to which the endpoint listing is known to be correct.
    void set_endpoints_current(time_point now, time_point at)
    {
        streams_.set_listing_time(now, at);
    }
    /// Finds the service and release that may continue a stream.
    /// \param key key of the attempt that began the stream; empty if the
    /// caller sent none.
    [[nodiscard]] stream_resolution resolve(time_point now,
                                            std::optional<stream_key> key,
                                            const route& request_route) const;
    /// Records that a resumable stream is sent to an endpoint.
    /// \param attempt number of the attempt, from 1.
    void note_stream(time_point now, stream_key key,
                     const placement_decision& placement, unsigned attempt);
    /// Records that a resumed stream is sent to an endpoint of its release.
    /// \param key key of the attempt that began the stream.
    void note_resumed(time_point now, stream_key key,
                      const placement_decision& placement);
    /// Records that the caller has received the whole stream.
    void end_stream(time_point now, stream_key key) { streams_.end(now, key); }
    /// Processes notes of streams from another instance.
    void on_streams(time_point now, std::span<const stream_note> received)
    {
        streams_.add_remote(now, received);
    }
    /// Returns the known streams and releases for an instance that requests a
    /// copy; empty if this instance knows too little itself.
    /// \param has_started whether the requesting instance has just started and
    /// lacks all streams; otherwise it lacks only releases.
    [[nodiscard]] std::optional<stream_copy>
    copy_streams(time_point now, bool has_started) const
    {
        return streams_.copy(now, has_started);
    }
    /// Queues the notes of this instance's streams for another transmission.
    void requeue_stream_reports() { streams_.requeue_reports(); }
    /// Refuses to resume a stream whose release is unknown.
    refusal_decision refuse_unknown_release();
    /// Merges a copy of streams and releases from another instance.
    void adopt_streams(time_point now, const stream_copy& known)
    {
        streams_.adopt(now, known);
    }
    [[nodiscard]] const stream_releases& streams() const { return streams_; }

    /// Records that the connection of an attempt broke before the response was
    /// complete. Counts as a crash once the endpoint is known to have
    /// terminated.
    /// \param keys keys of the request that may have crashed the endpoint.
    void suspect_crash(time_point now, const placement_decision& placement,
                       std::span<const crash_key> keys);
    /// Records that an endpoint has terminated.
    void note_terminated(time_point now, endpoint_id endpoint);
    /// Records that an endpoint executed a request and did not crash.
    void note_executed(time_point now, crash_key key);
    /// Refuses a quarantined request.
    refusal_decision refuse_quarantined(time_point now,
                                        std::span<const crash_key> keys);
    [[nodiscard]] crash_tracker& crashes() { return crashes_; }
    [[nodiscard]] const crash_tracker& crashes() const { return crashes_; }

    /// Takes one retry from the budget; returns false if the budget is
    /// exhausted.
    bool spend_retry(service_id service);

    /// Records that an attempt starts at its endpoint. Every attempt that is
    /// started must end with a call of `finished`.
    void sent(time_point now, const request_profile& request,
              placement_decision& placement);
    /// Records that the first bytes of the request have been written.
    void written(time_point now, placement_decision& placement);
    /// Records the first token, and updates the learned engine figures and the
    /// slowdown factor.
    /// \param sent time at which the request was sent.
    void first_token(time_point now, const request_profile& request,
                     placement_decision& placement, time_point sent);
    /// Records the end of an attempt and frees the work that it held.
    void finished(time_point now, placement_decision& placement,
                  attempt_outcome outcome);

    /// Processes a report from another instance.
    void on_report(time_point now, const exchange_report& report);
    /// Processes notes of the prompts that other instances have sent to
    /// engines.
    void on_cache_notes(time_point now, std::span<const cache_note> notes);
    /// Returns the estimated contents of the engines' KV caches, for an
    /// instance that has started.
    [[nodiscard]] std::vector<cache_note> copy_caches(time_point now) const;
    /// Merges another instance's estimate of the engines' KV caches.
    void adopt_caches(std::span<const cache_note> known);
    /// Drops the open work reported by an instance.
    void forget_instance(instance_id gone) { ledger_.forget_instance(gone); }
    /// Fills in the state to report to other instances, with all events since
    /// the previous call.
    void fill_report(time_point now, exchange_report& report);
    /// Whether the report must be sent immediately instead of at its next
    /// period.
    [[nodiscard]] bool report_is_urgent() const { return report_is_urgent_; }
    /// Sets the number of instances; only a larger number than before has an
    /// effect.
    void set_fleet_size(std::size_t instances);
    /// Whether reports of other instances arrive through aggregators, with
    /// additional delay.
    [[nodiscard]] bool large_fleet() const { return large_fleet_; }
    /// Changes the retry budget of the fleet.
    void set_retries(double ratio, double slack)
    {
        options_.retry_ratio = ratio;
        options_.retry_slack = slack;
        budgets_.clear();
    }

    [[nodiscard]] const load_ledger& ledger() const { return ledger_; }

  private:
    /// Rates of a service's requests that this instance evaluated, and of
    /// those that it sent.
    struct admission_rates
    {
        rate_meter evaluated;
        rate_meter sent;

        /// Ratio of evaluated to sent requests, at least 1.
        [[nodiscard]] double evaluated_per_sent(time_point now) const;
    };

    /// Evaluates by the current state; valid until the router changes.
    [[nodiscard]] placement_evaluator make_evaluator() const;
    [[nodiscard]] evaluation_context
    make_context(time_point now, const request_profile& request,
                 const service& service_info) const;
    /// Adds engines of the own failure domain to those that may prefill the
    /// request's shared prefix.
    void add_domain_homes(std::uint64_t key,
                          const std::vector<const endpoint_state*>& usable,
                          std::vector<const endpoint_state*>& homes) const;
    /// Records which prefixes are requested, for services with a price of
    /// traffic between failure domains.
    void record_domain_demand(time_point now,
                              std::span<const cache_note> notes);
    /// Whether the price of traffic between failure domains is part of the
    /// decisions about a service.
    [[nodiscard]] bool prices_domains(service_id service) const;
    /// Chooses the best of the endpoints that the request may be sent to.
    [[nodiscard]] std::optional<placement_candidate>
    choose_endpoint(const evaluation_context& context,
                    const std::vector<const endpoint_state*>& endpoints);
    /// Work, in ms, that the other instances have probably sent to each engine
    /// of the service since their last reports, beyond what it has completed
    /// since; 0 where reports arrive without delay.
    /// \param engines number of usable engines of the service.
    [[nodiscard]] double unseen_work_ms(time_point now,
                                        const service& service_info,
                                        std::size_t engines) const;
    /// Draws the endpoint at random, such that the requests that other
    /// instances have sent since their last reports spread over all endpoints.
    /// The wait of the result assumes a random position among those requests.
    placement_candidate
    draw_candidate(const evaluation_context& context,
                   std::vector<placement_candidate> candidates);
    /// Estimated number of other instances' requests at this endpoint that
    /// have completed since the last reports.
    [[nodiscard]] double
    unreported_completions(const evaluation_context& context,
                           const placement_candidate& option) const;
    /// Estimated number of requests that other instances would have sent to
    /// these endpoints since their last reports if they had refused none.
    [[nodiscard]] double
    unreported_requests(const evaluation_context& context,
                        std::span<const placement_candidate> candidates) const;
    [[nodiscard]] placement_decision
    make_placement(const evaluation_context& context,
                   placement_candidate best) const;
    void update_default_estimates();
    /// Applies the warm-up state in a new entry of an endpoint.
    void apply_warmup_entry(time_point now, endpoint_state& endpoint,
                            bool was_known);
    /// Records that an endpoint is warming up for the given remaining time.
    /// \param in_use whether other instances may be sending to the endpoint
    /// without a limit.
    void start_warmup_limit(time_point now, endpoint_state& endpoint,
                            duration left, bool in_use);
    /// Recomputes until when the endpoint is limited.
    void update_warmup_limit(endpoint_state& endpoint) const;
    /// Configured warm-up time of the service's endpoints; zero if they need
    /// none.
    [[nodiscard]] duration warmup_duration(service_id id) const;
    /// Whether the quota of a warming endpoint allows one more request.
    /// \param reserved requests that were placed at the endpoint before and
    /// are not sent yet.
    [[nodiscard]] bool admits(time_point now, const endpoint_state& endpoint,
                              unsigned reserved) const;
    /// Number of requests that this instance may send to a warming endpoint in
    /// any second.
    [[nodiscard]] unsigned warmup_quota(time_point now,
                                        const endpoint_state& endpoint) const;
    /// Time until the first of these endpoints may receive a request; empty if
    /// no usable one is warming up.
    [[nodiscard]] std::optional<duration>
    warmup_delay(time_point now, endpoint_list endpoints) const;
    /// Same as `backoff_delay`, for a given list of endpoints.
    [[nodiscard]] std::optional<milliseconds>
    backoff_delay_of(time_point now, endpoint_list endpoints);
    static void cancel_reservation(endpoint_state& endpoint,
                                   placement_decision& placement);
    /// Whether operators drain the failure domains of all endpoints in the
    /// list that are not leaving; false if there are none.
    [[nodiscard]] static bool all_drained(endpoint_list endpoints);
    /// Copies the recorded announcements of an endpoint into its state.
    void apply_notices(endpoint_id endpoint);
    /// Estimated time for which requests of a service occupy a slot.
    [[nodiscard]] hold_time hold_time_of(const service& service_info) const;
    /// Mean processing time, in ms, of a request to a plain service on a
    /// machine with slowdown 1. Learned where endpoints report a slowdown.
    [[nodiscard]] double plain_work_ms(service_id service) const;
    void record_plain_work(const placement_decision& placement,
                           double observed_ms);
    /// Ratio of the mean of the slowdowns that an endpoint reported before and
    /// after the first token to the one that the placement assumed; 1 if the
    /// endpoint reports none.
    [[nodiscard]] double
    slowdown_change(time_point now, const placement_decision& placement) const;
    /// Updates the estimate from a completed request.
    void record_hold_time(time_point now, const placement_decision& placement);
    [[nodiscard]] bool uses(mechanism which) const
    {
        return options_.mechanisms.is_enabled(which);
    }
    [[nodiscard]] unsigned urgency_of(const request_profile& request) const;
    [[nodiscard]] admission_control make_admission() const;
    /// What admission needs to know of a service.
    [[nodiscard]] admission_control::service_conditions
    admission_conditions(const service& service_info) const;
    [[nodiscard]] refusal_builder make_refusals()
    {
        return refusal_builder(random_);
    }
    /// Sets the retry delay of a refusal to a time at which there will be
    /// room.
    void schedule_return(time_point now, const request_profile& request,
                         service_id service, refusal_decision& refused,
                         double service_ms);
    /// Factor by which observed times to the first token exceed predicted ones
    /// at a service.
    [[nodiscard]] double error_factor(service_id service) const;
    /// Recognises a caller that returns as it was told.
    void recognise_return(time_point now, request_profile& request);
    /// Whether refused callers of the service are promised room.
    [[nodiscard]] bool promises_returns(service_id service) const
    {
        return uses(mechanism::promised_returns) &&
               predicts_single_requests(service);
    }
    refusal_decision refuse_without_endpoint(time_point now,
                                             const request_profile& request,
                                             service_id service);
    /// Passes the releases of all listed endpoints to the stream table.
    void update_listed_releases(time_point now);
    /// Passes the longest stream timeout, the services that share a route and
    /// the changed route targets of a new configuration to the stream table.
    void update_stream_routes(time_point now, const catalogue& newer);
    /// Estimated capacity, in tokens, of the endpoint's KV cache for prompts;
    /// 0 if the endpoint is unknown or no engine.
    [[nodiscard]] double cache_capacity_tokens(endpoint_id endpoint) const;
    /// Records the request rate of each prompt. Only large fleets use it.
    void record_prompt_demand(time_point now,
                              std::span<const cache_note> notes);
    /// All listed endpoints of a service.
    [[nodiscard]] endpoint_list endpoints_of(service_id service) const;
    /// Listed endpoints of a service whose release may serve the request.
    [[nodiscard]] std::vector<const endpoint_state*>
    endpoints_of_release(const request_profile& request,
                         service_id service) const;
    /// Endpoints that may receive the request now, except those in `tried`.
    [[nodiscard]] std::vector<const endpoint_state*>
    usable_endpoints(time_point now, const request_profile& request,
                     const service& service_info,
                     const std::set<endpoint_id>& tried) const;
    /// Those of the usable endpoints at which the request is placed as a rule:
    /// in a large fleet the homes of its shared prefix.
    [[nodiscard]] std::vector<const endpoint_state*>
    home_endpoints(time_point now, const request_profile& request,
                   const service& service_info,
                   const std::vector<const endpoint_state*>& usable) const;
    /// Why the endpoint may not receive the request now; empty if it may.
    [[nodiscard]] std::optional<exclusion>
    exclusion_of(time_point now, const request_profile& request,
                 const std::set<endpoint_id>& tried,
                 const endpoint_state& endpoint) const;
    /// Counts the service's endpoints for the explanation of a refusal.
    /// \param compared number of the usable endpoints that were compared.
    [[nodiscard]] endpoint_survey
    survey_endpoints(time_point now, const request_profile& request,
                     service_id service, const std::set<endpoint_id>& tried,
                     endpoint_list usable, std::size_t compared) const;
    [[nodiscard]] const service* find_service(service_id id) const;

    router_options options_;
    std::mt19937_64 random_;
    std::shared_ptr<const catalogue> config_;
    std::map<endpoint_id, endpoint_state> endpoints_;
    /// Pointers into `endpoints_`, whose elements have stable addresses.
    std::map<service_id, std::vector<const endpoint_state*>>
        endpoints_by_service_;
    std::set<domain_id> drained_domains_;
    slow_start slow_start_;
    allowance_shares warmup_allowances_;
    endpoint_notices notices_;
    slowdown_tracker slowdowns_;
    domain_traffic domain_traffic_;
    domain_demand domain_demand_;
    load_ledger ledger_;
    prefix_cache cache_;
    prompt_homes prompt_homes_;
    fetch_links fetch_links_;
    std::map<service_id, engine_estimator> estimators_;
    std::map<service_id, hold_time> hold_times_;
    std::map<service_id, hold_time> plain_work_;
    std::map<service_id, admission_rates> admissions_;
    std::map<service_id, unseen_work> unseen_work_;
    std::map<service_id, prediction_error> prediction_errors_;
    return_promises return_promises_;
    account_shares account_shares_;
    std::map<service_id, retry_budget> budgets_;
    std::vector<cache_note> unsent_cache_notes_;
    stream_releases streams_;
    crash_tracker crashes_;
    /// A long prompt, an urgent stream note or evidence of a crash is waiting
    /// for the next report.
    bool report_is_urgent_ = false;
    /// Largest number of instances seen.
    std::size_t fleet_size_ = 0;
    /// Reports of other instances arrive through aggregators, with additional
    /// delay.
    bool large_fleet_ = false;
};

} // namespace sycamorelock::core::direct
