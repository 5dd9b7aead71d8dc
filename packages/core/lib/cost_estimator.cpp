// Implements the exponential moving averages of actual costs.
#include "sycamorelock/core/cost_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace sycamorelock::core
{

namespace
{
/// Weight of a new sample in the moving averages.
constexpr double sample_weight = 0.15;
} // namespace

cost_estimator::cost_estimator(std::size_t max_entries)
    : max_entries_(max_entries)
{
}

cost cost_estimator::estimate(account_id account, service_id service,
                              std::optional<cost> hint,
                              cost default_estimate) const
{
    const auto found = entries_.find({account, service});
    if (found == entries_.end())
        return hint.value_or(default_estimate);
    const entry& known = found->second;
    double value = known.mean;
    if (hint && known.hint_seen)
        value = static_cast<double>(hint->value()) * known.hint_ratio;
    return cost(std::max<std::int64_t>(1, std::llround(value)));
}

void cost_estimator::learn(account_id account, service_id service,
                           std::optional<cost> hint, cost actual)
{
    const auto key = std::make_pair(account, service);
    if (entries_.size() >= max_entries_ && !entries_.contains(key))
        entries_.erase(entries_.begin());
    const auto [found, inserted] = entries_.try_emplace(key);
    entry& known = found->second;
    const auto sample = static_cast<double>(actual.value());
    known.mean =
        inserted ? sample : known.mean + sample_weight * (sample - known.mean);
    if (!hint || hint->value() <= 0)
        return;
    const double ratio = sample / static_cast<double>(hint->value());
    known.hint_ratio =
        known.hint_seen
            ? known.hint_ratio + sample_weight * (ratio - known.hint_ratio)
            : ratio;
    known.hint_seen = true;
}

} // namespace sycamorelock::core
