// Which shards a service has and who schedules each, for the settings and the
// placement in force.
#pragma once

#include "sycamorelock/core/placement.hpp"

namespace sycamorelock::core
{

/// How scheduling is spread over the instances. All but `full` are baselines
/// that the design is measured against.
enum class scheduling_mode : std::uint8_t
{
    full,
    /// Each instance alone, with an equal part of every endpoint's slots.
    alone,
    /// First come, first served under shared limits.
    fcfs,
    /// The design without exchange between schedulers.
    no_exchange,
};

class shard_directory
{
  public:
    shard_directory(scheduling_mode mode, const placement& where);

    void configure(const topology& tree);

    /// The shard at which a request of a service is queued: one of the own
    /// failure domain if it has endpoints there.
    [[nodiscard]] const shard_spec* home(service_id service,
                                         std::uint64_t spread) const;
    [[nodiscard]] std::optional<instance_id> owner(const shard_id& shard);
    [[nodiscard]] const std::vector<shard_spec>*
    shards(service_id service) const;
    [[nodiscard]] const std::map<service_id, std::vector<shard_spec>>&
    all() const
    {
        return shards_;
    }
    [[nodiscard]] scheduling_mode mode() const { return mode_; }

  private:
    scheduling_mode mode_;
    const placement& placement_;
    std::map<service_id, std::vector<shard_spec>> shards_;
    std::map<shard_id, std::optional<instance_id>> owners_;
    std::uint64_t owners_generation_ = 0;
};

} // namespace sycamorelock::core
