// Simulation of a fleet: callers, routers that exchange delayed reports, and
// model engines, in one process and without a network. Runs the routing
// decisions under load patterns.
#pragma once

#include "account_seconds.hpp"
#include "engine_model.hpp"
#include "returning_callers.hpp"

#include "sycamorelock/core/direct/router.hpp"

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace model
{

namespace direct = sycamorelock::core::direct;
namespace core = sycamorelock::core;

/// A type of request. Each type has its own route. The predefined values are
/// those of current deployments.
struct request_type
{
    std::string name;
    double requests_per_second = 0;
    /// Length of the prompt prefix that requests have in common.
    double shared_tokens = 0;
    /// Mean of the exponential distribution of the rest of the prompt, to which
    /// a minimum of 50 tokens is added.
    double mean_unique_tokens = 0;
    double output_tokens = 0;
    /// Number of different shared prefixes. Each request draws one of them.
    unsigned distinct_prefixes = 1;
    /// Objective for the time to first token.
    double objective_ms = 0;
    /// Time after which the caller gives up.
    double deadline_ms = 0;
    /// Whether requests carry the description of the prompt: its parts and
    /// token counts. Without it the router can neither predict the prefill nor
    /// the cached prefix.
    bool describes_prompt = true;
    /// Sizes of the request's body and of the whole answer.
    double body_bytes = 0;
    double answer_bytes = 0;
    /// Whether accounts have prefixes of their own instead of common ones.
    bool has_own_prefixes = false;
};

/// Traffic of a client account.
struct account_load
{
    std::string name;
    /// Weight of the account in the total traffic.
    double traffic_weight = 1;
};

/// Configuration of a simulation.
struct simulation_config
{
    std::size_t routers = 8;
    std::size_t engines = 18;
    /// Configured throughput of all engines, as routers know it: prompt tokens
    /// count once, generated tokens twice. Zero: not configured.
    double tokens_per_second = 560000;
    std::vector<request_type> request_types;
    std::vector<account_load> accounts;
    std::uint64_t seed = 1;
    /// Time until a report reaches the other routers.
    double report_delay_ms = 5;
    double report_period_ms = 100;
    engine_parameters engine_params;
    /// Size of a token in the KV cache, and bandwidth of an engine's link to
    /// the others. Engines cannot fetch prefixes from each other if either is
    /// zero.
    double token_bytes = 0;
    double link_bytes_per_ms = 0;
    direct::mechanism_set mechanisms;
    /// Number of failure domains. Routers and engines belong to them in turn.
    std::size_t domains = 1;
    /// Price of traffic between failure domains that operators state.
    double remote_ms_per_kb = 0;
    /// Whether engines report the slowdown of their machines.
    bool reports_slowdown = false;
    caller_behaviour after_refusal = caller_behaviour::gives_up;
    /// Additional report delay, drawn for each report.
    double report_delay_spread_ms = 0;
    /// Slowdown that an engine reports with each first token; engines report
    /// none if empty.
    std::function<std::optional<double>(std::size_t engine)> reported_slowdown;
};

/// The deployment "atlas" at its nominal load.
simulation_config atlas_config();

/// A deployment that drafts letters: half as many engines, which are faster and
/// can fetch prefixes from each other, and short requests beside prompts of up
/// to 50,000 tokens.
simulation_config letter_drafts_config();

/// A large fleet of routers for two engines with eight slots each. Requests
/// carry no description of their prompts and exceed the engines' capacity.
simulation_config undescribed_prompts_config();

/// The deployment "atlas" five times as large. The report delay is that of
/// reports that aggregators relay.
simulation_config large_fleet_config();

/// Counts of requests by outcome.
struct request_counts
{
    /// All requests that callers sent to a router.
    unsigned offered_requests = 0;
    /// First token within the objective, or after it.
    unsigned on_time = 0;
    unsigned late = 0;
    unsigned refused = 0;
    /// Refused requests during which an engine had at least a quarter of its
    /// slots free.
    unsigned refused_with_free_slots = 0;
};

/// Results of the requests that callers of one failure domain sent.
struct domain_counts
{
    request_counts requests;
    /// Requests placed in another failure domain, and their size with the
    /// answers.
    unsigned sent_away = 0;
    double bytes_away = 0;
};

/// A simulated fleet that runs in its own time, and the results of its
/// requests.
class fleet_simulation
{
  public:
    explicit fleet_simulation(simulation_config plan);

    /// Advances the simulation.
    void run(double seconds);

    // Load patterns and faults. They remain in effect until changed.

    /// Multiplies the request rate of all request types.
    void set_traffic_factor(double factor) { traffic_factor_ = factor; }
    /// Multiplies the request rate of one client account. The rates of the
    /// others do not change.
    void set_account_factor(const std::string& name, double factor);
    /// Sets the share of requests of the first type that use one particular
    /// shared prefix. The others draw theirs at random.
    void set_hot_prompt_share(double share) { hot_prompt_share_ = share; }
    /// Multiplies the request rate in one failure domain.
    void set_domain_factor(std::size_t domain, double factor)
    {
        domain_factors_[domain] = factor;
    }
    /// Drains these failure domains, and ends all other drains.
    void drain_domains(const std::set<std::size_t>& domains);
    /// Number of engines.
    [[nodiscard]] std::size_t engines() const { return plan_.engines; }
    /// Removes engines from the endpoint listing. Their open requests fail.
    void crash_engines(std::size_t first, std::size_t count);
    /// Multiplies the duration of the engines' steps.
    void slow_engines(std::size_t first, std::size_t count, double slowdown);
    /// Partitions the network: reports between routers below this index and the
    /// others are lost. Reports in transit are lost too.
    void partition_routers_at(std::size_t index) { partition_at_ = index; }
    void heal_partition() { partition_at_ = 0; }
    /// Resets all results except the token counts of engines and transfers,
    /// which count from the start of the simulation.
    void reset_results();

    [[nodiscard]] const request_counts&
    counts_of_type(const std::string& name) const;
    [[nodiscard]] request_counts total_counts() const;
    [[nodiscard]] const domain_counts& counts_of_domain(std::size_t index) const
    {
        return domain_counts_[index];
    }
    [[nodiscard]] const request_counts&
    counts_of_account(const std::string& name) const;
    /// What accounts asked for and got in each second since the start.
    [[nodiscard]] const account_seconds& seconds() const { return seconds_; }
    /// Tokens of the account's requests that got a first token: prompt tokens
    /// count once, generated tokens twice.
    [[nodiscard]] double served_tokens(const std::string& account) const;
    [[nodiscard]] const return_counts& returns() const { return returns_; }
    /// Replaces a router by one that has just started.
    void restart_router(std::size_t index);
    /// Prompt tokens of shared prefixes that engines prefilled again after
    /// their KV cache had evicted them.
    [[nodiscard]] double repeated_prefill_tokens() const;
    /// Prompt tokens that engines have prefilled.
    [[nodiscard]] double prefilled_tokens() const;
    /// Prompt tokens that engines fetched from other engines' KV caches.
    [[nodiscard]] double tokens_fetched() const { return tokens_fetched_; }
    /// Median relative error of the predicted time to first token:
    /// abs(predicted - observed) / observed.
    [[nodiscard]] double median_prediction_error() const;
    /// Quantile of abs(log(observed / predicted)) of the times to first token,
    /// with 20 ms added to both for delays that the engine does not cause.
    [[nodiscard]] double log_error_quantile(double fraction) const;
    /// Fraction of late first tokens among those that were predicted in time.
    [[nodiscard]] double late_of_predicted_on_time() const;
    /// Requests sent to a range of engines since results were last reset.
    [[nodiscard]] unsigned requests_sent_to(std::size_t first,
                                            std::size_t count) const;

  private:
    /// A request that was placed and has not ended.
    struct open_request
    {
        std::size_t router = 0;
        std::size_t engine = 0;
        std::string type;
        std::string account;
        /// Prompt tokens, and generated tokens twice.
        double tokens = 0;
        double objective_ms = 0;
        double arrived_ms = 0;
        std::uint64_t id = 0;
        double answer_bytes = 0;
        double output_tokens = 0;
        bool has_returned = false;
        bool was_promised = false;
        core::time_point sent;
        direct::request_profile profile;
        direct::placement_decision placed;
    };
    /// A report in transit.
    struct pending_report
    {
        double due_ms = 0;
        std::size_t from = 0;
        direct::exchange_report report;
    };

    /// A request that the engine receives at `due_ms`, after any fetch of its
    /// prefix from another engine.
    struct pending_submission
    {
        double due_ms = 0;
        std::size_t engine = 0;
        engine_request request;
        double fetched_tokens = 0;
    };

    /// Generates the requests of one arrival event: one on average, and more
    /// if factors of client accounts raise the traffic.
    void generate_requests(const request_type& type, std::size_t route_index);
    /// Draws the router that a request arrives at.
    [[nodiscard]] std::size_t draw_router();
    [[nodiscard]] std::size_t domain_of(std::size_t index) const
    {
        return index % plan_.domains;
    }
    /// Sends an attempt of a request to a random router.
    void send_attempt(open_request request);
    /// Lets the caller of a refused request return later.
    void schedule_return(open_request request,
                         const direct::refusal_decision& refused);
    /// Whether a listed engine has at least a quarter of its slots free.
    [[nodiscard]] bool has_free_slots() const;
    void schedule_submission(const open_request& request, std::uint64_t id,
                             double output_tokens);
    void submit_due_requests();
    /// Index of the engine with this endpoint ID; 0 if there is none.
    [[nodiscard]] std::size_t engine_index(core::endpoint_id id) const;
    void on_first_token(std::uint64_t id, double at_ms);
    void on_completed(std::uint64_t id, double at_ms);
    /// Collects due and urgent reports, and delivers those whose delay is over.
    void exchange_reports();
    /// Gives all routers the current endpoint listing.
    void publish_engines();
    [[nodiscard]] core::time_point to_time_point(double ms) const;

    simulation_config plan_;
    std::mt19937_64 generator_;
    double now_ms_ = 0;
    double next_report_ms_ = 0;
    double traffic_factor_ = 1;
    double hot_prompt_share_ = 0;
    /// Index of the first router of the second partition; 0: no partition.
    std::size_t partition_at_ = 0;
    std::uint64_t next_id_ = 1;
    std::shared_ptr<direct::catalogue> config_;
    std::vector<std::unique_ptr<direct::router>> routers_;
    std::vector<std::unique_ptr<engine_model>> engines_;
    std::vector<bool> is_listed_;
    std::vector<pending_report> pending_reports_;
    std::vector<pending_submission> pending_submissions_;
    returning_callers<open_request> returning_;
    return_counts returns_;
    double tokens_fetched_ = 0;
    std::vector<double> prediction_errors_;
    std::vector<double> log_errors_;
    unsigned predicted_on_time_ = 0;
    unsigned late_of_predicted_on_time_ = 0;
    std::map<std::uint64_t, open_request> open_requests_;
    std::map<std::string, double> account_factors_;
    std::map<std::string, request_counts> type_counts_;
    std::map<std::string, request_counts> account_counts_;
    std::map<std::string, double> served_tokens_;
    account_seconds seconds_;
    std::vector<unsigned> sent_to_engine_;
    std::vector<double> domain_factors_;
    std::vector<domain_counts> domain_counts_;
};

} // namespace model
