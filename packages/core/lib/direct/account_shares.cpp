// Demands averaged with exponential decay; one share for the whole fleet.
#include "sycamorelock/core/direct/account_shares.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace sycamorelock::core::direct
{

namespace
{

/// How often the share is worked out anew: as often as reports come.
constexpr duration share_period = std::chrono::milliseconds(100);
/// Credit that an account may save, in seconds of its share: the shares are
/// judged over about four seconds, and requests are large against one second.
constexpr double saved_seconds = 2;

double seconds_between(time_point from, time_point to)
{
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

double averaging_seconds()
{
    return std::chrono::duration<double>(account_shares::averaging).count();
}

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

void account_shares::meter::decay(time_point now)
{
    rate = rate_at(now);
    at = now;
}

double account_shares::meter::rate_at(time_point now) const
{
    return rate * std::exp(-seconds_between(at, now) / averaging_seconds());
}

std::map<account_id, double> account_shares::fleet_rates(time_point now) const
{
    std::map<account_id, double> result;
    for (const auto& [id, own] : meters_)
        result[id] += own.rate_at(now);
    for (const auto& [instance, report] : reports_)
    {
        if (now - report.at > report_life)
            continue;
        for (const auto& [id, rate] : report.rates)
            result[id] += rate;
    }
    return result;
}

bool account_shares::ask(time_point now, account_id account, double tokens,
                         double throughput)
{
    meter& own = meters_[account];
    own.decay(now);
    own.rate += tokens / averaging_seconds();
    if (throughput <= 0)
        return true;
    if (now - share_at_ >= share_period)
    {
        share_at_ = now;
        total_ = fleet_rates(now);
        std::vector<double> demands;
        demands.reserve(total_.size());
        for (const auto& [id, rate] : total_)
            demands.push_back(rate);
        share_ = max_min_share(throughput, std::move(demands));
    }
    const double all = std::max(total_[account], own.rate);
    if (all <= share_)
        return true;
    // This instance may use the part of the share that its part of the
    // account's demand amounts to.
    const double allowed = share_ * own.rate / all;
    const double most = std::max(allowed * saved_seconds, tokens);
    const double earned = allowed * seconds_between(own.credit_at, now);
    own.credit = std::min(own.credit + earned, most);
    own.credit_at = now;
    if (own.credit < tokens)
        return false;
    own.credit -= tokens;
    return true;
}

void account_shares::report(time_point now, instance_id from,
                            const std::vector<account_demand>& demands)
{
    instance_report& kept = reports_[from];
    kept.at = now;
    kept.rates.clear();
    for (const account_demand& demand : demands)
        kept.rates[demand.account] = demand.rate;
}

std::vector<account_demand> account_shares::own(time_point now) const
{
    std::vector<account_demand> result;
    for (const auto& [id, own] : meters_)
    {
        const double rate = own.rate_at(now);
        if (rate >= 1)
            result.push_back({id, rate});
    }
    return result;
}

} // namespace sycamorelock::core::direct
