// Least squares by normal equations with three terms. The Cauchy weight
// function of iteratively reweighted least squares, applied once to each
// observation, limits the influence of outliers.
#include "sycamorelock/core/direct/engine_estimator.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sycamorelock::core::direct
{

namespace
{

constexpr double million = 1e6;
/// Tokens per unit of the fit, which brings the terms to a similar magnitude.
constexpr double token_unit = 1000;
/// Lower bound of the residual scale, in ms: smaller residuals are noise of
/// the network and of the engines' steps.
constexpr double min_scale_ms = 5;
/// Factors by which one observation moves the residual scale. In equilibrium
/// two of three residuals exceed the scale, so that frequent unpredicted waits
/// do not raise it until all observations count in full. It can double within
/// 25 observations, so that a change of the engines is followed within seconds.
constexpr double scale_up = 1.03;
constexpr double scale_down = 1.06;
/// Prior prefill rate where no throughput is configured: slower than engines
/// that serve interactive requests.
constexpr double default_tokens_per_ms = 10;
/// Prior of the fixed time: one step of a slow engine.
constexpr double prior_first_ms = 30;
/// Prior of the attention cost. A prompt of 10,000 tokens has 50 million pairs,
/// which cost 25 ms: a tenth more at 40 tokens per ms, 2.5 % more at ten.
constexpr double prior_ms_per_million_pairs = 0.5;
/// An observation whose residual is this multiple of the residual scale gets
/// half the weight.
constexpr double half_weight_residuals = 2;
/// A predicted wait of this length, in ms, halves the weight of an observation:
/// requests that other instances sent since their last reports are not known,
/// which can make the predicted wait wrong by as much.
constexpr double half_weight_wait_ms = 50;

/// Millions of token pairs that attention evaluates in the prefill of
/// `uncached` tokens after `cached` ones.
double pairs(double cached, double uncached)
{
    return uncached * (cached + uncached / 2) / million;
}

double weighted_mean(double mine, double my_weight, double other,
                     double other_weight)
{
    const double sum = my_weight + other_weight;
    return sum <= 0 ? mine : (mine * my_weight + other * other_weight) / sum;
}

prefill_cost_model weighted_mean(const prefill_cost_model& mine,
                                 const prefill_cost_model& other)
{
    prefill_cost_model result;
    result.first_ms =
        weighted_mean(mine.first_ms, mine.weight, other.first_ms, other.weight);
    result.ms_per_token = weighted_mean(mine.ms_per_token, mine.weight,
                                        other.ms_per_token, other.weight);
    result.ms_per_million_pairs =
        weighted_mean(mine.ms_per_million_pairs, mine.weight,
                      other.ms_per_million_pairs, other.weight);
    result.weight = mine.weight + other.weight;
    return result;
}

/// Solves `rows` x = `right` by Gauss-Jordan elimination with partial pivoting.
/// Components whose pivot is close to zero are set to 0.
template <std::size_t N>
std::array<double, N> solve(std::array<std::array<double, N>, N> rows,
                            std::array<double, N> right)
{
    static constexpr double epsilon = 1e-9;
    for (std::size_t i = 0; i < N; ++i)
    {
        std::size_t best = i;
        for (std::size_t k = i + 1; k < N; ++k)
        {
            if (std::abs(rows[k][i]) > std::abs(rows[best][i]))
                best = k;
        }
        std::swap(rows[i], rows[best]);
        std::swap(right[i], right[best]);
        if (std::abs(rows[i][i]) < epsilon)
            continue;
        for (std::size_t k = 0; k < N; ++k)
        {
            if (k == i)
                continue;
            const double factor = rows[k][i] / rows[i][i];
            for (std::size_t j = i; j < N; ++j)
                rows[k][j] -= factor * rows[i][j];
            right[k] -= factor * right[i];
        }
    }
    std::array<double, N> result{};
    for (std::size_t i = 0; i < N; ++i)
        result[i] = std::abs(rows[i][i]) < epsilon ? 0 : right[i] / rows[i][i];
    return result;
}

} // namespace

double prefill_cost_model::prefill_time_ms(double cached, double uncached) const
{
    return uncached * ms_per_token +
           pairs(cached, uncached) * ms_per_million_pairs;
}

void engine_estimator::set_prior(double tokens_per_ms)
{
    prior_.first_ms = prior_first_ms;
    prior_.ms_per_token =
        1 / (tokens_per_ms > 0 ? tokens_per_ms : default_tokens_per_ms);
    prior_.ms_per_million_pairs = prior_ms_per_million_pairs;
    prior_.weight = prior_weight;
    if (current_.weight <= prior_weight)
        current_ = prior_;
}

double engine_estimator::age_factor(time_point now) const
{
    const double age = std::chrono::duration<double>(now - updated_at_).count();
    return std::exp(-std::max(0.0, age) /
                    std::chrono::duration<double>(decay_time).count());
}

void engine_estimator::observe(time_point now, const prefill_sample& sample)
{
    const double expected =
        current_.first_ms +
        current_.prefill_time_ms(sample.cached, sample.uncached);
    const double residual = std::abs(sample.observed_first_token_ms - expected);
    scale_ms_ = residual > scale_ms_
                    ? scale_ms_ * scale_up
                    : std::max(min_scale_ms, scale_ms_ / scale_down);
    const double relative_residual =
        residual / (half_weight_residuals * scale_ms_);
    const double sample_weight = half_weight_wait_ms /
                                 (half_weight_wait_ms + sample.wait_ms) /
                                 (1 + relative_residual * relative_residual);
    const double decay = age_factor(now);
    const vector term{1, sample.uncached / token_unit,
                      pairs(sample.cached, sample.uncached)};
    for (std::size_t i = 0; i < terms; ++i)
    {
        for (std::size_t j = 0; j < terms; ++j)
            products_[i][j] =
                products_[i][j] * decay + sample_weight * term[i] * term[j];
        times_[i] = times_[i] * decay +
                    sample_weight * term[i] * sample.observed_first_token_ms;
    }
    weight_ = weight_ * decay + 1;
    updated_at_ = now;
    // The first observations take effect at once, since the prior may be far
    // off.
    if (weight_ < prior_weight)
        refresh(now);
}

void engine_estimator::report(time_point now, instance_id from,
                              const prefill_cost_model& model)
{
    reported_[from] = {now, model};
}

prefill_cost_model engine_estimator::fit() const
{
    // Ridge regularisation towards the prior resolves collinear terms.
    static constexpr double ridge = 0.2;
    std::array<vector, terms> rows = products_;
    vector right = times_;
    const vector prior_mean{prior_.first_ms, prior_.ms_per_token * token_unit,
                            prior_.ms_per_million_pairs};
    static constexpr vector scale{1, 1, 10};
    for (std::size_t i = 0; i < terms; ++i)
    {
        rows[i][i] += ridge * scale[i];
        right[i] += ridge * scale[i] * prior_mean[i];
    }
    const vector solution = solve(rows, right);
    prefill_cost_model result;
    result.first_ms = std::max(0.0, solution[0]);
    // Prefill always costs time: no engine exceeds a thousand tokens per ms.
    result.ms_per_token = std::max(0.001, solution[1] / token_unit);
    result.ms_per_million_pairs = std::max(0.0, solution[2]);
    result.weight = weight_;
    return result;
}

prefill_cost_model engine_estimator::own(time_point now) const
{
    prefill_cost_model result = fit();
    result.weight *= age_factor(now);
    return result;
}

prefill_cost_model engine_estimator::refresh(time_point now)
{
    const prefill_cost_model mine = own(now);
    current_ = weighted_mean(prior_, mine);
    std::erase_if(reported_, [now](const auto& entry)
                  { return now - entry.second.at > report_lifetime; });
    for (const auto& [from, model] : reported_)
        current_ = weighted_mean(current_, model.figures);
    return mine;
}

} // namespace sycamorelock::core::direct
