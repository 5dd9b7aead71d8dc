// Looks up shards and their owners. Owners are cached until the placement
// changes.
#include "sycamorelock/core/shard_directory.hpp"

namespace sycamorelock::core
{

shard_directory::shard_directory(scheduling_mode mode,
                                 const placement& instances)
    : mode_(mode), placement_(instances)
{
}

void shard_directory::configure(const topology& config)
{
    shards_.clear();
    owners_.clear();
    for (const auto& [id, service] : config.services)
    {
        if (mode_ != scheduling_mode::alone)
        {
            shards_[id] = shards_of(service);
            continue;
        }
        // Each instance schedules all endpoints of the service itself, as one
        // shard.
        shard_spec shard;
        shard.id = {id, placement_.domain(), 0};
        shard.endpoints = service.endpoints;
        shards_[id].push_back(std::move(shard));
    }
}

const shard_spec*
shard_directory::home_shard(service_id service,
                            std::uint64_t request_number) const
{
    const auto* all = shards(service);
    if (all == nullptr || all->empty())
        return nullptr;
    std::vector<const shard_spec*> local;
    for (const shard_spec& shard : *all)
    {
        if (shard.id.domain == placement_.domain())
            local.push_back(&shard);
    }
    if (!local.empty())
        return local[request_number % local.size()];
    return &(*all)[request_number % all->size()];
}

std::optional<instance_id> shard_directory::owner(const shard_id& shard)
{
    if (mode_ == scheduling_mode::alone)
        return placement_.self();
    if (owners_generation_ != placement_.generation())
    {
        owners_.clear();
        owners_generation_ = placement_.generation();
    }
    const auto cached = owners_.find(shard);
    if (cached != owners_.end())
        return cached->second;
    const auto owner = placement_.owner_of(shard);
    owners_.emplace(shard, owner);
    return owner;
}

const std::vector<shard_spec>* shard_directory::shards(service_id service) const
{
    const auto found = shards_.find(service);
    return found == shards_.end() ? nullptr : &found->second;
}

} // namespace sycamorelock::core
