// Exponentially averaged demands, and max-min fair shares computed from their
// sums over the whole fleet.
#include "sycamorelock/core/direct/account_shares.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace sycamorelock::core::direct
{

namespace
{

/// Minimum time between recomputations of the shares: the interval of reports.
constexpr duration refresh_period = std::chrono::milliseconds(100);
/// Time constant of the sums behind `account_shares::fleet_ratio`.
constexpr duration ratio_period = std::chrono::seconds(10);
/// Age at which a report is removed: less than a thousandth of its rates is
/// left after the decay.
constexpr duration max_report_age = 7 * rate_meter::time_constant;
/// An account is underserved below both of these parts: of what it asks for,
/// and of the share of the tokens that all accounts are served. Callers are
/// promised half of what they ask for or of what the best served account gets,
/// whichever is less, over a few seconds. The best one gets up to
/// `uniform_admission::far_beyond_share_ratio` of the share, so half of that is
/// three quarters. The other half has a margin, since the averages lag by their
/// time constant.
constexpr double part_of_demand = 0.6;
constexpr double part_of_share = 0.75;
/// A single refusal does not make an account underserved: its callers miss no
/// more than this number of requests in the time constant of the averages.
constexpr double tolerated_requests = 1;

} // namespace

double max_min_share(double throughput, std::vector<double> demands)
{
    std::sort(demands.begin(), demands.end());
    double left = throughput;
    std::size_t count = demands.size();
    for (const double demand : demands)
    {
        const double even = left / static_cast<double>(count);
        if (demand > even)
            return even;
        left -= demand;
        --count;
    }
    return std::numeric_limits<double>::infinity();
}

void account_shares::refresh(time_point now, double throughput)
{
    fleet_.clear();
    std::erase_if(reports_, [now](const auto& entry)
                  { return now - entry.second.at > max_report_age; });
    for (const account_demand& demand : own(now))
        fleet_[demand.account] += demand;
    for (const auto& [instance, report] : reports_)
    {
        const duration age = now - report.at;
        const double factor =
            age > full_weight_age ? rate_meter::decay_factor(age) : 1;
        for (const auto& [id, demand] : report.demands)
            fleet_[id] += {id, demand.asked * factor, demand.served * factor,
                           demand.promised * decaying_sum::left(age),
                           demand.redeemed * decaying_sum::left(age)};
    }
    std::vector<double> asked;
    double served = 0;
    asked.reserve(fleet_.size());
    for (const auto& [id, demand] : fleet_)
    {
        asked.push_back(demand.asked);
        served += demand.served;
    }
    const double total = std::accumulate(asked.begin(), asked.end(), 0.0);
    add_to_ratio(now, total);
    refreshed_at_ = now;
    overload_ = total / std::max(throughput, served);
    fair_share_ = max_min_share(std::max(throughput, served), asked);
    present_share_ = max_min_share(served, asked);
    owed_share_ = max_min_share(throughput, std::move(asked));
}

account_standing account_shares::record_demand(time_point now,
                                               account_id account,
                                               double tokens, double throughput)
{
    own_[account].asked.add(now, tokens);
    if (throughput <= 0)
        return {};
    const double one = rate_meter::rate_increment(tokens);
    if (now - refreshed_at_ >= refresh_period)
        refresh(now, throughput);
    const account_demand& demand = fleet_[account];
    account_standing result;
    result.owed = demand.served / owed_share_;
    result.fair = demand.served / fair_share_;
    const double due = std::min(part_of_demand * (demand.asked - one),
                                part_of_share * present_share_);
    result.is_underserved = demand.served + tolerated_requests * one < due;
    result.asked = demand.asked;
    result.served = demand.served;
    result.owed_share = owed_share_;
    result.fair_share = fair_share_;
    result.present_share = present_share_;
    result.report_age = report_age(now);
    return result;
}

std::optional<duration> account_shares::report_age(time_point now) const
{
    if (reports_.empty())
        return std::nullopt;
    const auto newest = std::max_element(reports_.begin(), reports_.end(),
                                         [](const auto& a, const auto& b)
                                         { return a.second.at < b.second.at; });
    return now - newest->second.at;
}

void account_shares::record_sent(time_point now, account_id account,
                                 double tokens)
{
    own_[account].served.add(now, tokens);
    // The account's next request through this instance sees the tokens without
    // a recomputation.
    const double rate = rate_meter::rate_increment(tokens);
    fleet_[account].served += rate;
    // At most this much belongs to the share of the account.
    present_share_ += rate;
}

void account_shares::record_lost(time_point now, account_id account,
                                 double tokens, time_point sent)
{
    const double left = tokens * rate_meter::decay_factor(now - sent);
    own_[account].served.subtract(now, left);
    double& served = fleet_[account].served;
    served = std::max(0.0, served - rate_meter::rate_increment(left));
}

void account_shares::record_promise(time_point now, account_id account)
{
    own_[account].promised.add(now, 1);
    fleet_[account].promised += 1;
}

bool account_shares::redeem_promise(time_point now, account_id account,
                                    duration age)
{
    const auto found = fleet_.find(account);
    if (found == fleet_.end())
        return false;
    // What is left of the promise of this return.
    const double left = decaying_sum::left(age);
    if (found->second.promised - found->second.redeemed < left / 2)
        return false;
    own_[account].redeemed.add(now, left);
    found->second.redeemed += left;
    return true;
}

double account_shares::own_served(time_point now, account_id account) const
{
    const auto found = own_.find(account);
    return found == own_.end() ? 0 : found->second.served.rate_at(now);
}

void account_shares::add_to_ratio(time_point now, double fleet_rate)
{
    own_rates_.push_back(
        {now, std::accumulate(own_.begin(), own_.end(), 0.0,
                              [now](double sum, const auto& entry) {
                                  return sum + entry.second.asked.rate_at(now);
                              })});
    // The rates of the others are as old. With its present rate, an instance
    // would underestimate them at the beginning of a flood.
    while (own_rates_.size() > 1 &&
           now - own_rates_[1].at >= unseen_work::max_report_age)
        own_rates_.pop_front();
    const duration elapsed = std::min(now - refreshed_at_, ratio_period);
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const double kept = std::exp(
        -seconds / std::chrono::duration<double>(ratio_period).count());
    fleet_asked_ = fleet_asked_ * kept + fleet_rate * seconds;
    own_asked_ = own_asked_ * kept + own_rates_.front().tokens * seconds;
}

double account_shares::fleet_ratio() const
{
    return own_asked_ > 0 ? std::max(1.0, fleet_asked_ / own_asked_) : 1;
}

void account_shares::report(time_point now, instance_id from,
                            const std::vector<account_demand>& demands)
{
    instance_report& known = reports_[from];
    const double factor = rate_meter::decay_factor(now - known.at);
    const double sum_factor = decaying_sum::left(now - known.at);
    known.at = now;
    for (auto& [id, previous] : known.demands)
    {
        previous.asked *= factor;
        previous.served *= factor;
        previous.promised *= sum_factor;
        previous.redeemed *= sum_factor;
    }
    for (const account_demand& demand : demands)
    {
        account_demand& merged = known.demands[demand.account];
        merged.account = demand.account;
        merged.asked = std::max(merged.asked, demand.asked);
        merged.served = std::max(merged.served, demand.served);
        merged.promised = std::max(merged.promised, demand.promised);
        merged.redeemed = std::max(merged.redeemed, demand.redeemed);
    }
    std::erase_if(known.demands,
                  [](const auto& entry) { return entry.second.asked < 1; });
}

std::vector<account_demand> account_shares::own(time_point now) const
{
    std::vector<account_demand> result;
    for (const auto& [id, rates] : own_)
    {
        const double asked = rates.asked.rate_at(now);
        if (asked >= 1)
            result.push_back({id, asked, rates.served.rate_at(now),
                              rates.promised.at(now), rates.redeemed.at(now)});
    }
    return result;
}

} // namespace sycamorelock::core::direct
