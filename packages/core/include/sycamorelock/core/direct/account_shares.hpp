// Max-min fair shares of the engines' throughput among client accounts.
#pragma once

#include "sycamorelock/core/direct/rate_meter.hpp"
#include "sycamorelock/core/direct/return_schedule.hpp"
#include "sycamorelock/core/direct/unseen_work.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace sycamorelock::core::direct
{

/// Recent demand of an account through one instance, or through several if
/// added up, and the part of it that was served.
struct account_demand
{
    account_id account;
    /// Tokens of all requests of the account, per second.
    double asked = 0;
    /// Tokens of requests that were sent to an endpoint, per second.
    double served = 0;
    /// Returns that refused callers were promised room for, and those that
    /// have taken place, as sums that decay like `decaying_sum`.
    double promised = 0;
    double redeemed = 0;

    account_demand& operator+=(const account_demand& other)
    {
        asked += other.asked;
        served += other.served;
        promised += other.promised;
        redeemed += other.redeemed;
        return *this;
    }
    /// Subtracts a demand that was added before. The result is at least 0.
    account_demand& operator-=(const account_demand& other)
    {
        asked = std::max(0.0, asked - other.asked);
        served = std::max(0.0, served - other.served);
        promised = std::max(0.0, promised - other.promised);
        redeemed = std::max(0.0, redeemed - other.redeemed);
        return *this;
    }
};

/// The served tokens of an account relative to its max-min fair share: 1 is
/// exactly the share, more is above it; 0 means that every demand can be met or
/// that no throughput is configured.
struct account_standing
{
    /// Relative to the share of the throughput that operators configure.
    double owed = 0;
    /// Relative to the share of the throughput that the engines reach at
    /// present, which is at least the configured one.
    double fair = 0;
    /// Whether the account gets far less than its max-min share of the tokens
    /// that all accounts are served, although it asks for more.
    bool is_underserved = false;
    /// The figures behind the ratios, in tokens per second over the whole
    /// fleet; shares are infinite if every demand can be met.
    double asked = 0;
    double served = 0;
    double owed_share = 0;
    double fair_share = 0;
    double present_share = 0;
    /// Age of the newest report from other instances; empty without one.
    std::optional<duration> report_age = {};
};

/// The largest share `s` such that the sum of min(demand, s) is at most the
/// throughput; infinite if all demands fit.
double max_min_share(double throughput, std::vector<double> demands);

/// Estimates the demand of each client account over the whole fleet, from this
/// instance's requests and the reports of others, and compares what an account
/// is served with its fair share.
class account_shares
{
  public:
    /// Age from which on the rates in a report decay as their averages do. The
    /// rates in a younger report are used unchanged, since accounts continue to
    /// send requests in the meantime.
    static constexpr duration full_weight_age = std::chrono::milliseconds(300);

    /// Records a request, and returns its account's use of the fleet relative
    /// to the account's share.
    /// \param throughput tokens per second that operators configure; 0 if
    /// none are configured.
    account_standing record_demand(time_point now, account_id account,
                                   double tokens, double throughput);
    /// Records that a request was sent to an endpoint.
    void record_sent(time_point now, account_id account, double tokens);

    /// Records that an endpoint lost a request before its first token, so that
    /// its account was not served.
    /// \param sent time at which the request was recorded as sent.
    void record_lost(time_point now, account_id account, double tokens,
                     time_point sent);

    /// Records that a caller of the account was promised room at its return.
    void record_promise(time_point now, account_id account);
    /// Redeems a promise to the account that was made this long ago, by any
    /// instance. Returns false if none is outstanding.
    bool redeem_promise(time_point now, account_id account, duration age);
    /// Tokens per second of the account that this instance has sent.
    [[nodiscard]] double own_served(time_point now, account_id account) const;
    /// Tokens that all accounts ask for from the whole fleet, relative to those
    /// that they ask for through this instance, over the last ten seconds or
    /// so; at least 1. It is 1 if no throughput is configured.
    [[nodiscard]] double fleet_ratio() const;
    /// Tokens that all accounts ask for, relative to the larger of the
    /// configured throughput and the tokens that they are served; 0 if no
    /// throughput is configured.
    [[nodiscard]] double overload() const { return overload_; }

    /// Merges the report of an instance, or of an aggregator that sums those of
    /// several instances. An average cannot fall faster than its exponential
    /// decay, so a reported value below the decayed previous one is replaced by
    /// that. This covers an aggregator that has just started and knows only a
    /// part of the fleet: without it, 79 instances sent 2.8 million tokens of
    /// one account in one second when an aggregator was replaced, and the
    /// account was owed a twentieth of them.
    void report(time_point now, instance_id from,
                const std::vector<account_demand>& demands);
    /// Returns the demands through this instance of at least one token per
    /// second.
    [[nodiscard]] std::vector<account_demand> own(time_point now) const;

  private:
    struct meters
    {
        rate_meter asked;
        rate_meter served;
        decaying_sum promised;
        decaying_sum redeemed;
    };
    struct own_rate
    {
        time_point at;
        double tokens = 0;
    };
    struct instance_report
    {
        time_point at;
        std::map<account_id, account_demand> demands;
    };

    /// Age of the newest report from others; empty without one.
    [[nodiscard]] std::optional<duration> report_age(time_point now) const;
    /// Recomputes the sums over the fleet and the shares.
    void refresh(time_point now, double throughput);
    /// Adds the demand since the last call to the sums behind `fleet_ratio`.
    /// \param fleet_rate tokens per second that all accounts ask for.
    void add_to_ratio(time_point now, double fleet_rate);

    std::map<account_id, meters> own_;
    std::map<instance_id, instance_report> reports_;
    /// Sums over the fleet, recomputed at most every 100 ms.
    std::map<account_id, account_demand> fleet_;
    /// Shares of the configured and of the present throughput, in tokens per
    /// second.
    double owed_share_ = 0;
    double fair_share_ = 0;
    /// Share of the tokens that all accounts are served.
    double present_share_ = 0;
    /// Tokens that all accounts have asked for lately, through all instances
    /// and through this one. Both decay alike.
    double fleet_asked_ = 0;
    double own_asked_ = 0;
    double overload_ = 0;
    /// What all accounts asked for through this instance, in tokens per second,
    /// at times that the reports of others do not cover yet; the first entry is
    /// the newest that they cover.
    std::deque<own_rate> own_rates_;
    time_point refreshed_at_;
};

} // namespace sycamorelock::core::direct
