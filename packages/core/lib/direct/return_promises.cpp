// Places within the objective of a request are promised; a caller without one
// is told a pause beyond it, which cannot be mistaken for a promise.
#include "sycamorelock/core/direct/return_promises.hpp"

#include <algorithm>

namespace sycamorelock::core::direct
{

namespace
{

/// Part of the work that an instance sends that returns may be promised. New
/// requests keep the larger part.
constexpr double promised_part = 0.3;
/// New requests leave room for the returns that are due before they would be
/// served.
constexpr duration promised_window = std::chrono::milliseconds(200);
/// A shorter pause ends before the engines have done any work.
constexpr duration min_pause = std::chrono::milliseconds(100);
/// Attempts that are closer to the first one did not wait as they were told;
/// the time on the way to the caller and back may shorten a pause.
constexpr duration min_recognised_pause = std::chrono::milliseconds(80);
constexpr double ms_per_second = 1000;

duration from_ms(double ms)
{
    static constexpr double us_per_ms = 1000;
    return duration(static_cast<duration::rep>(ms * us_per_ms));
}

} // namespace

void return_promises::install(const catalogue& newer)
{
    longest_budgets_.clear();
    std::erase_if(places_beyond_share_, [&newer](const auto& entry)
                  { return !newer.accounts.contains(entry.first); });
}

void return_promises::record_sent(time_point now, service_id service,
                                  double tokens)
{
    sent_[service].add(now, tokens);
}

double return_promises::tokens_per_second(time_point now,
                                          service_id service) const
{
    const auto found = sent_.find(service);
    return found == sent_.end() ? 0 : found->second.rate_at(now);
}

duration return_promises::since_first_attempt(const std::string& route,
                                              duration budget)
{
    duration& longest = longest_budgets_[route];
    longest = std::max(longest, budget);
    const duration elapsed = longest - budget;
    return elapsed < min_recognised_pause ? duration(0) : elapsed;
}

bool return_promises::redeem(time_point now, account_shares& accounts,
                             account_id account, duration objective,
                             duration since_first_attempt)
{
    // Room is promised only within the objective.
    return since_first_attempt > duration(0) &&
           since_first_attempt <= objective &&
           accounts.redeem_promise(now, account, since_first_attempt);
}

double return_promises::promised_wait_ms(time_point now,
                                         service_id service) const
{
    const auto places = places_.find(service);
    const double rate = tokens_per_second(now, service);
    if (places == places_.end() || rate <= 0)
        return 0;
    return places->second.promised(now, promised_window) / rate * ms_per_second;
}

std::optional<duration> return_promises::reserve(time_point now,
                                                 const refused_attempt& refused,
                                                 const account_shares& accounts)
{
    // A promise that no account holds could not be recognised.
    if (!refused.account || refused.is_return)
        return std::nullopt;
    const double allowed_ms = std::max(0.0, refused.allowed_ms);
    return_query query;
    query.earliest = std::max(min_pause, from_ms(refused.wait_ms - allowed_ms));
    // Room for a return that would be late is better used by a new request.
    const duration in_objective =
        from_ms(to_ms(refused.objective) / refused.error_factor -
                refused.service_ms - allowed_ms);
    query.in_budget =
        std::min(refused.time_left / budget_divisor, in_objective);
    query.tokens = refused.tokens;
    query.tokens_per_second =
        promised_part * (refused.is_beyond_share
                             ? accounts.own_served(now, *refused.account)
                             : tokens_per_second(now, refused.service));
    return_schedule& places = refused.is_beyond_share
                                  ? places_beyond_share_[*refused.account]
                                  : places_[refused.service];
    return places.reserve(now, query);
}

return_advice return_promises::advise(time_point now,
                                      const refused_attempt& refused,
                                      account_shares& accounts,
                                      std::mt19937_64& random)
{
    const auto place = reserve(now, refused, accounts);
    if (place)
        accounts.record_promise(now, *refused.account);
    // Callers without a promise are spread over the time for which they wait
    // at most.
    const duration longest =
        std::max(min_pause, refused.time_left / budget_divisor);
    std::uniform_real_distribution<double> spread(
        to_ms(std::min(longest, refused.objective)), to_ms(longest));
    const double unpromised_ms = place ? 0 : spread(random);
    return {place.value_or(from_ms(unpromised_ms)), place.has_value()};
}

} // namespace sycamorelock::core::direct
