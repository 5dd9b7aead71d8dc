// Idle connections, the most recently used first.
#include "sycamorelock/adapters/direct/channel_pool.hpp"

#include "../socket_state.hpp"

namespace sycamorelock::adapters::direct
{

std::unique_ptr<endpoint_channel> channel_pool::take(core::time_point now,
                                                     core::endpoint_id endpoint)
{
    const auto found = idle_.find(endpoint);
    if (found == idle_.end())
        return nullptr;
    auto& list = found->second;
    while (!list.empty())
    {
        auto channel = std::move(list.back());
        list.pop_back();
        if (channel->idle_until > now && is_quiet(channel->socket))
            return channel;
    }
    return nullptr;
}

void channel_pool::give(core::endpoint_id endpoint,
                        std::unique_ptr<endpoint_channel> channel)
{
    auto& list = idle_[endpoint];
    if (list.size() >= max_idle)
        return;
    channel->reused = true;
    list.push_back(std::move(channel));
}

std::size_t channel_pool::idle() const
{
    std::size_t count = 0;
    for (const auto& [endpoint, list] : idle_)
        count += list.size();
    return count;
}

} // namespace sycamorelock::adapters::direct
