// Maps services to their shards and shards to the instances that schedule them,
// according to the current settings and placement.
#pragma once

#include "sycamorelock/core/placement.hpp"

namespace sycamorelock::core
{

/// How scheduling is distributed over the instances. All modes but `full` are
/// baselines for comparison.
enum class scheduling_mode : std::uint8_t
{
    /// Each shard has one scheduler with a fair queue. The schedulers of a
    /// service tell each other how much work they have granted to each account.
    full,
    /// Each instance schedules on its own, with an equal part of every
    /// endpoint's slots.
    alone,
    /// One scheduler per shard, so that limits are shared, but first come,
    /// first served and without exchange.
    fcfs,
    /// As `full`, but without exchange between schedulers.
    no_exchange,
};

/// Finds the shard at which a request is queued, and the instance that
/// schedules a shard.
class shard_directory
{
  public:
    shard_directory(scheduling_mode mode, const placement& instances);

    void configure(const topology& config);

    /// The shard at which a request of a service is queued, or null if the
    /// service has none. Shards in the local failure domain are preferred;
    /// `request_number` spreads requests over equal candidates.
    [[nodiscard]] const shard_spec*
    home_shard(service_id service, std::uint64_t request_number) const;
    /// The instance that schedules a shard, if there is one.
    [[nodiscard]] std::optional<instance_id> owner(const shard_id& shard);
    /// Shards of a service; null if it is unknown.
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
    /// Owners by the placement of generation `owners_generation_`.
    std::map<shard_id, std::optional<instance_id>> owners_;
    std::uint64_t owners_generation_ = 0;
};

} // namespace sycamorelock::core
