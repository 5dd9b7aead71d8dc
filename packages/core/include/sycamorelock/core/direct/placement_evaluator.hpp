// Evaluates an endpoint for a request: the predicted time to the first token
// and the cost of choosing the endpoint.
#pragma once

#include "sycamorelock/core/direct/domain_demand.hpp"
#include "sycamorelock/core/direct/endpoint_state.hpp"
#include "sycamorelock/core/direct/engine_estimator.hpp"
#include "sycamorelock/core/direct/hold_time.hpp"
#include "sycamorelock/core/direct/load_ledger.hpp"
#include "sycamorelock/core/direct/mechanism.hpp"
#include "sycamorelock/core/direct/placement_cost.hpp"
#include "sycamorelock/core/direct/prefix_cache.hpp"
#include "sycamorelock/core/direct/prompt_fetch.hpp"
#include "sycamorelock/core/direct/request_profile.hpp"
#include "sycamorelock/core/direct/slowdown_tracker.hpp"

#include <cstdint>
#include <optional>

namespace sycamorelock::core::direct
{

/// An endpoint that a request may be sent to, with its predicted times and the
/// cost of choosing it.
struct placement_candidate
{
    const endpoint_state* state = nullptr;
    /// Predicted wait for earlier requests, in ms.
    double wait_ms = 0;
    /// Predicted prefill time, in ms, or the processing time of a plain
    /// service.
    double prefill_ms = 0;
    /// Prompt tokens that need no prefill.
    double cached = 0;
    /// Factor of observed over predicted time.
    double slowdown = 1;
    /// What the endpoint reported of itself, empty if it reports nothing, and
    /// the part of `slowdown` that follows from it.
    std::optional<slowdown_belief> reported;
    double reported_slowdown = 1;
    /// Number of further requests that get a slot immediately, and the
    /// wait, in ms, that each request beyond them adds.
    double free_slots = 0;
    double ms_per_request = 1;
    std::optional<fetch_plan> fetch;
    placement_cost cost;
};

/// The engine that holds the longest cached prefix of a prompt.
struct prompt_source
{
    const endpoint_state* state = nullptr;
    double tokens = 0;
};

/// State shared by all candidates for one request.
struct evaluation_context
{
    time_point now;
    const request_profile& request;
    const service& service_info;
    prefill_cost_model figures;
    hold_time hold_estimate;
    prompt_source source;
    /// Price, in ms, of serving the request in another failure domain; 0 if
    /// that has none.
    double remote_price_ms = 0;
    /// Prefill time, in ms, of the part of the prompt that is not shared,
    /// on an engine with slowdown factor 1. It delays other requests alike
    /// wherever the request is placed, so that it is no reason to leave the
    /// failure domain. 0 where that has no price.
    double unshared_prefill_ms = 0;

    /// Mean processing time, in ms, of a request to a plain service.
    double plain_work_ms = 0;

    /// Mean time, in ms, for which a request of the service occupies a
    /// slot.
    [[nodiscard]] double mean_hold_ms() const
    {
        return service_info.is_engine() ? hold_estimate.mean_ms()
                                        : plain_work_ms;
    }
    /// Prefill time, in ms, of an engine with slowdown factor 1 that has
    /// `kept` tokens of the prompt in its KV cache.
    [[nodiscard]] double prefill_ms(double kept) const
    {
        return figures.prefill_time_ms(kept, request.prompt_tokens - kept);
    }
};

/// Learned state that evaluations read. All of it must outlive the evaluator.
struct evaluation_state
{
    const load_ledger& ledger;
    const prefix_cache& cache;
    const fetch_links& links;
    const slowdown_tracker& slowdowns;
    const domain_demand& demand;
};

/// Predicts the time to the first token at an endpoint and the cost of choosing
/// it. Changes no state and throws nothing of its own.
class placement_evaluator
{
  public:
    /// \param domain failure domain of this instance.
    /// \param seed key by which instances order endpoints of equal cost for
    /// requests without a described prompt.
    placement_evaluator(const evaluation_state& state,
                        const mechanism_set& mechanisms, domain_id domain,
                        std::uint64_t seed);

    [[nodiscard]] placement_candidate
    evaluate(const evaluation_context& context,
             const endpoint_state& endpoint) const;
    /// Finds the engine among `engines` that holds the longest prefix of the
    /// prompt, of those the one whose link is busy for the shortest time.
    [[nodiscard]] prompt_source find_source(time_point now,
                                            const request_profile& request,
                                            const service& service_info,
                                            endpoint_list engines) const;
    /// Whether the predicted wait at an engine comes from a single prompt
    /// whose prefill time is a default estimate, not an observation.
    [[nodiscard]] bool
    wait_is_unreliable(const evaluation_context& context,
                       const placement_candidate& option) const;

  private:
    void evaluate_engine(const evaluation_context& context,
                         placement_candidate& result) const;
    void evaluate_plain(const evaluation_context& context,
                        placement_candidate& result) const;
    /// Expected saving of traffic by a new copy of the request's shared prefix
    /// at an engine of the own failure domain. It makes up for no more than
    /// what the copy costs other requests.
    void evaluate_saved_traffic(const evaluation_context& context,
                                placement_candidate& result) const;
    /// Plans to fetch the cached prefix from another engine where that costs
    /// less than prefill.
    void evaluate_fetch(const evaluation_context& context,
                        placement_candidate& result) const;
    /// Multiplies the observed slowdown by the one that the endpoint reports,
    /// for the given amount of work.
    static void apply_reported_slowdown(double work_ms,
                                        placement_candidate& result);
    /// Prefill time, in ms, with the delay that its repeated part is expected
    /// to cause to other requests.
    [[nodiscard]] double prefill_cost(const evaluation_context& context,
                                      const placement_candidate& option) const;
    [[nodiscard]] double prefill_cost_factor() const;
    [[nodiscard]] bool uses(mechanism which) const
    {
        return mechanisms_.is_enabled(which);
    }

    evaluation_state state_;
    mechanism_set mechanisms_;
    domain_id domain_;
    std::uint64_t seed_;
};

} // namespace sycamorelock::core::direct
