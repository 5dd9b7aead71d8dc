// Exchange in a large fleet: the aggregator of each failure domain sums up the
// reports of its members, sends the sum to the aggregators of the other
// domains, and sends each member the sum of all other instances. The number of
// messages per instance does not grow with the fleet, except that of an
// aggregator, which grows with the size of its domain.
#pragma once

#include "sycamorelock/core/direct/exchange.hpp"

#include <map>
#include <string>

namespace sycamorelock::core::direct
{

/// Sums of the work and demands of a set of instances.
struct exchange_sum
{
    std::vector<endpoint_work> work;
    std::vector<account_demand> demands;
};

/// Sums of the work and demands of all instances, from which those of one
/// member can be subtracted.
struct exchange_total
{
    std::map<endpoint_id, endpoint_work> work;
    std::map<account_id, account_demand> demands;

    void add(const exchange_sum& part);
    [[nodiscard]] exchange_sum without(const exchange_sum& part) const;
};

/// Latest sums received from the members of this failure domain and from other
/// domains.
class exchange_tree
{
  public:
    /// Sums older than this are ignored. The time spans a few report intervals.
    static constexpr duration max_part_age = std::chrono::milliseconds(1200);

    void set_own(time_point now, exchange_sum own);
    /// Stores the report of a member of this failure domain, for which this
    /// instance is the aggregator.
    void on_member(time_point now, const std::string& member, exchange_sum own);
    /// Stores the sum of another failure domain.
    void on_domain(time_point now, const std::string& domain, exchange_sum sum);

    /// Whether at least one member has recently reported to this instance as
    /// its aggregator.
    [[nodiscard]] bool aggregates(time_point now) const;
    /// Members that have reported within the maximum age.
    [[nodiscard]] std::vector<std::string> members(time_point now) const;
    /// Returns the sum of this instance and its members.
    [[nodiscard]] exchange_sum domain_sum(time_point now) const;
    /// Returns the sum of this domain and all others. It is computed once per
    /// round of reports.
    [[nodiscard]] exchange_total total(time_point now) const;
    /// Returns the total without one member's own part.
    /// \param member name of the member; empty for this instance.
    [[nodiscard]] exchange_sum total_without(const exchange_total& total,
                                             const std::string& member) const;

  private:
    struct part
    {
        time_point at;
        exchange_sum sum;
    };
    [[nodiscard]] static bool is_current(time_point now, const part& candidate)
    {
        return now - candidate.at <= max_part_age;
    }

    void add_domain(time_point now, exchange_total& sum) const;

    part own_;
    std::map<std::string, part> members_;
    std::map<std::string, part> domains_;
};

} // namespace sycamorelock::core::direct
