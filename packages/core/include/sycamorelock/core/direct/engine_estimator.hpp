// Online estimate of the prefill time of a service's engines, from observed
// times to first token. The configuration has no such parameters, and they
// differ between deployments.
#pragma once

#include "sycamorelock/core/strong_types.hpp"

#include <array>
#include <map>

namespace sycamorelock::core::direct
{

/// Linear cost model of an engine's prefill, in ms.
struct prefill_cost_model
{
    /// Fixed time from the start of the engine's work to the first token,
    /// excluding prefill.
    double first_ms = 0;
    /// Prefill time per token.
    double ms_per_token = 0;
    /// Attention cost: each processed token attends to all tokens before it.
    /// In ms per million such pairs.
    double ms_per_million_pairs = 0;
    /// Number of observations behind the model, discounted by age.
    double weight = 0;

    /// Prefill time, in ms, of `uncached` tokens that follow `cached` tokens
    /// whose KV cache is reused.
    [[nodiscard]] double prefill_time_ms(double cached, double uncached) const;
};

/// One observed time to first token and the inputs of the model for it. Token
/// counts are those of the prompt.
struct prefill_sample
{
    double cached = 0;
    double uncached = 0;
    /// Predicted wait for earlier prompts. Observations with longer waits are
    /// less reliable and get a lower weight.
    double wait_ms = 0;
    /// Time from the start of the engine's work to the first token: time since
    /// the request was sent minus the predicted wait, divided by the engine's
    /// slowdown factor.
    double observed_first_token_ms = 0;
};

/// Robust least squares with exponential forgetting (time constant 15 s). An
/// observation's weight falls with its residual: waits that are not known yet
/// shift observations by hundreds of ms, and plain least squares would follow
/// such outliers.
class engine_estimator
{
  public:
    /// Time constant of the exponential forgetting: long enough for some
    /// hundred observations, short enough to follow a change of the engines
    /// after a release.
    static constexpr duration decay_time = std::chrono::seconds(15);
    /// Models reported by other instances are dropped at this age.
    static constexpr duration report_lifetime = std::chrono::seconds(5);
    /// Weight of the prior, as a number of observations.
    static constexpr double prior_weight = 4;

    /// Sets the prior, which applies before anything is observed.
    /// \param tokens_per_ms a prefill rate that engines reach for certain, such
    /// as the configured throughput; 0 if none is configured.
    void set_prior(double tokens_per_ms);

    /// Adds an observation of this instance.
    void observe(time_point now, const prefill_sample& sample);
    /// Stores the model that another instance fitted to its observations.
    void report(time_point now, instance_id from,
                const prefill_cost_model& model);

    /// Recomputes the model and returns the one fitted to this instance's
    /// observations alone, to be reported to other instances. To be called a
    /// few times a second.
    prefill_cost_model refresh(time_point now);
    /// The model for routing decisions: combines this instance's observations,
    /// unexpired reports of other instances and the prior.
    [[nodiscard]] const prefill_cost_model& figures() const { return current_; }
    /// The model fitted to this instance's observations alone, to be reported
    /// to other instances.
    [[nodiscard]] prefill_cost_model own(time_point now) const;

  private:
    static constexpr std::size_t terms = 3;
    using vector = std::array<double, terms>;
    struct reported_model
    {
        time_point at;
        prefill_cost_model figures;
    };

    [[nodiscard]] prefill_cost_model fit() const;
    [[nodiscard]] double age_factor(time_point now) const;

    /// Normal equations: weighted sums of the products of the terms, and of the
    /// products of terms and observed times.
    std::array<vector, terms> products_{};
    vector times_{};
    double weight_ = 0;
    /// Running estimate of the absolute residual, in ms. Observations with
    /// larger residuals get a lower weight.
    double scale_ms_ = 10;
    time_point updated_at_;
    prefill_cost_model prior_;
    std::map<instance_id, reported_model> reported_;
    prefill_cost_model current_;
};

} // namespace sycamorelock::core::direct
