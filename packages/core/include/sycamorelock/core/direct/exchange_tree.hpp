// Exchange in a large fleet: each failure domain has an aggregator that sums
// up its members, tells the other domains' aggregators, and hands every member
// the sum of all the others. Messages per instance do not grow with the fleet;
// only the aggregator's grow, with the size of its domain.
#pragma once

#include "sycamorelock/core/direct/exchange.hpp"

#include <map>
#include <string>

namespace sycamorelock::core::direct
{

/// Work and demands of some instances together.
struct exchange_sum
{
    std::vector<endpoint_work> work;
    std::vector<account_demand> demands;
};

/// Work and demands of all instances, from which a member's own are taken out.
struct exchange_total
{
    std::map<endpoint_id, endpoint_work> work;
    std::map<account_id, account_demand> demands;

    void add(const exchange_sum& part);
    [[nodiscard]] exchange_sum without(const exchange_sum& part) const;
};

class exchange_tree
{
  public:
    /// A part that is older than this is left out: it spans a few reports.
    static constexpr duration part_life = std::chrono::milliseconds(1200);

    void set_own(time_point now, exchange_sum own);
    /// A member of this failure domain, for which this instance aggregates.
    void on_member(time_point now, const std::string& member, exchange_sum own);
    /// The sum of another failure domain.
    void on_domain(time_point now, const std::string& domain, exchange_sum sum);

    /// This instance was chosen as aggregator by at least one member lately.
    [[nodiscard]] bool aggregates(time_point now) const;
    /// Members that reported lately.
    [[nodiscard]] std::vector<std::string> members(time_point now) const;
    /// Sum of this instance and its members.
    [[nodiscard]] exchange_sum domain_sum(time_point now) const;
    /// Sum of this domain and all others, made once for a round of reports.
    [[nodiscard]] exchange_total total(time_point now) const;
    /// Sum of all others as one member sees them; empty name: this instance.
    [[nodiscard]] exchange_sum rest_for(const exchange_total& total,
                                        const std::string& member) const;

  private:
    struct part
    {
        time_point at;
        exchange_sum sum;
    };
    [[nodiscard]] static bool fresh(time_point now, const part& which)
    {
        return now - which.at <= part_life;
    }

    void add_domain(time_point now, exchange_total& sum) const;

    part own_;
    std::map<std::string, part> members_;
    std::map<std::string, part> domains_;
};

} // namespace sycamorelock::core::direct
