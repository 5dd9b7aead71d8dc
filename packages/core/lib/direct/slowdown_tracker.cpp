// Endpoints that report no slowdown of their machine are not stored.
#include "sycamorelock/core/direct/slowdown_tracker.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sycamorelock::core::direct
{

namespace
{

/// Intervals over which reports are combined. The lowest report of an interval
/// is one without a disturbance if there was any.
constexpr duration interval = std::chrono::seconds(1);
constexpr std::size_t max_intervals = 32;
/// Intervals for which a report stands for those after it without any.
constexpr std::int64_t max_interval_weight = 5;

} // namespace

double slowdown_belief::over(double work_ms) const
{
    // The report came at a random moment of the disturbance.
    const double left_ms =
        std::max(0.0, std::chrono::duration<double, std::milli>(
                          slowdown_tracker::disturbance_time - age)
                          .count()) /
        2;
    const double done_ms = left_ms / present;
    if (work_ms <= done_ms)
        return present;
    return (left_ms + (work_ms - done_ms) * lasting) / work_ms;
}

double slowdown_tracker::reported_slowdown::lower_quartile() const
{
    std::vector<std::pair<double, std::int64_t>> weighted;
    std::int64_t total = 0;
    for (auto it = lowest.begin(); it != lowest.end(); ++it)
    {
        const auto next = std::next(it);
        const std::int64_t weight =
            next == lowest.end()
                ? 1
                : std::min(next->first - it->first, max_interval_weight);
        weighted.emplace_back(it->second, weight);
        total += weight;
    }
    std::sort(weighted.begin(), weighted.end());
    std::int64_t sum = 0;
    for (const auto& [value, weight] : weighted)
    {
        sum += weight;
        if (4 * sum >= total)
            return value;
    }
    return 1;
}

void slowdown_tracker::reported_slowdown::add(time_point when, double value)
{
    const std::int64_t number = when.time_since_epoch() / interval;
    const auto [found, is_new] = lowest.try_emplace(number, value);
    found->second = std::min(found->second, value);
    if (lowest.size() > max_intervals)
        lowest.erase(lowest.begin());
    lasting = lower_quartile();
    // Reports of the same time are ordered by value, so that the result does
    // not depend on the order of arrival.
    if (std::pair(when, value) > std::pair(at, slowdown))
    {
        at = when;
        slowdown = value;
    }
}

double slowdown_tracker::reported_slowdown::present(time_point now) const
{
    return now - at < disturbance_time ? slowdown : lasting;
}

bool slowdown_tracker::differs(double one, double other)
{
    return std::max(one, other) > std::min(one, other) * told_factor;
}

void slowdown_tracker::note_load(time_point now, endpoint_id endpoint,
                                 const endpoint_load& load)
{
    if (!load.slowdown)
        return;
    const auto [found, is_new] = reported_.try_emplace(endpoint);
    reported_slowdown& known = found->second;
    const bool is_news =
        is_new || differs(*load.slowdown, known.present(now)) ||
        !known.told_at || now - *known.told_at >= repeat_interval;
    known.add(now, *load.slowdown);
    known.unreported = known.unreported || is_news;
}

void slowdown_tracker::add_remote(time_point now, const slowdown_note& note)
{
    if (note.age >= lifetime || note.age < duration(0))
        return;
    const time_point at = now - note.age;
    reported_slowdown& known = reported_[note.endpoint];
    // What others have passed on already is not passed on again.
    if (known.unreported && at + disturbance_time / 2 >= known.at &&
        !differs(note.slowdown, known.slowdown))
        known.unreported = false;
    known.told_at = std::max(known.told_at.value_or(at), at);
    known.add(at, note.slowdown);
}

std::optional<slowdown_belief>
slowdown_tracker::belief(time_point now, endpoint_id endpoint) const
{
    const auto found = reported_.find(endpoint);
    if (found == reported_.end())
        return std::nullopt;
    const reported_slowdown& known = found->second;
    return slowdown_belief{known.present(now), known.lasting, now - known.at};
}

std::vector<slowdown_note> slowdown_tracker::take_unreported(time_point now)
{
    std::vector<slowdown_note> result;
    for (auto& [endpoint, known] : reported_)
    {
        if (!std::exchange(known.unreported, false))
            continue;
        known.told_at = now;
        result.push_back({endpoint, now - known.at, known.slowdown});
    }
    return result;
}

void slowdown_tracker::expire(time_point now)
{
    std::erase_if(reported_, [now](const auto& entry)
                  { return now - entry.second.at >= lifetime; });
}

double slowdown_tracker::largest(time_point now) const
{
    double result = 0;
    for (const auto& [endpoint, known] : reported_)
        result = std::max(result, known.present(now));
    return result;
}

} // namespace sycamorelock::core::direct
