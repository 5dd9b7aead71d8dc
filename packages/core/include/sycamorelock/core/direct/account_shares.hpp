// Max-min fair shares of the engines' throughput among client accounts.
#pragma once

#include "sycamorelock/core/strong_types.hpp"

#include <map>
#include <vector>

namespace sycamorelock::core::direct
{

/// What an account asks of the fleet through one instance.
struct account_demand
{
    account_id account;
    /// Tokens asked for, per second.
    double rate = 0;
};

/// The largest share `s` such that the sum of min(demand, s) is at most the
/// throughput; infinite if all demands fit.
double max_min_share(double throughput, std::vector<double> demands);

class account_shares
{
  public:
    /// Demand is averaged over about this time: shares are judged by the
    /// account over a few seconds, and a burst shows within one.
    static constexpr duration averaging = std::chrono::milliseconds(2000);
    static constexpr duration report_life = std::chrono::milliseconds(3000);

    /// Notes a request and returns whether it lies within the account's share
    /// of `throughput` (tokens per second over the whole fleet).
    bool ask(time_point now, account_id account, double tokens,
             double throughput);

    void report(time_point now, instance_id from,
                const std::vector<account_demand>& demands);
    [[nodiscard]] std::vector<account_demand> own(time_point now) const;

  private:
    struct meter
    {
        double rate = 0;
        time_point at;
        /// Tokens that the account may still use within its share.
        double credit = 0;
        time_point credit_at;

        void decay(time_point now);
        [[nodiscard]] double rate_at(time_point now) const;
    };
    struct instance_report
    {
        time_point at;
        std::map<account_id, double> rates;
    };

    [[nodiscard]] std::map<account_id, double>
    fleet_rates(time_point now) const;

    std::map<account_id, meter> meters_;
    std::map<instance_id, instance_report> reports_;
    double share_ = 0;
    time_point share_at_;
    std::map<account_id, double> total_;
};

} // namespace sycamorelock::core::direct
