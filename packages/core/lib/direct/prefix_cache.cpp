// Evicts the least recently used parts first, as the engines do.
#include "sycamorelock/core/direct/prefix_cache.hpp"

#include <algorithm>

namespace sycamorelock::core::direct
{

std::uint64_t extend_key(std::uint64_t before, std::string_view part_id)
{
    // 64-bit FNV-1a over the id, continued from the key of the parts before.
    static constexpr std::uint64_t offset = 14695981039346656037ULL;
    static constexpr std::uint64_t prime = 1099511628211ULL;
    std::uint64_t key = before == 0 ? offset : before;
    for (const char c : part_id)
        key = (key ^ static_cast<unsigned char>(c)) * prime;
    return (key ^ '/') * prime;
}

void prefix_cache::engine_cache::insert(std::list<entry>::iterator before,
                                        const entry& added)
{
    index[added.key] = order.insert(before, added);
    tokens += added.tokens;
}

void prefix_cache::engine_cache::drop_oldest()
{
    const entry& oldest = order.back();
    tokens -= oldest.tokens;
    index.erase(oldest.key);
    order.pop_back();
}

void prefix_cache::forget(endpoint_id engine)
{
    const auto found = engines_.find(engine);
    if (found == engines_.end())
        return;
    parts_ -= found->second.order.size();
    engines_.erase(found);
}

void prefix_cache::evict_excess(const engine_cache& changed, std::size_t before)
{
    parts_ = parts_ - before + changed.order.size();
    for (; parts_ > max_kept_parts; --parts_)
    {
        const auto largest = std::ranges::max_element(
            engines_, {},
            [](const auto& each) { return each.second.order.size(); });
        largest->second.drop_oldest();
    }
}

void prefix_cache::touch(endpoint_id engine, std::span<const prompt_part> parts,
                         double capacity, time_point ready_at)
{
    // An engine rejects a prompt larger than its memory and evicts nothing for
    // it.
    double tokens = 0;
    for (const prompt_part& part : parts)
        tokens += part.tokens;
    if (tokens > capacity)
        return;
    engine_cache& cache = engines_[engine];
    const std::size_t before = cache.order.size();
    // In reverse, so that the beginning, which other prompts share, ends up as
    // the most recently used.
    for (auto part = parts.rbegin(); part != parts.rend(); ++part)
    {
        const auto found = cache.index.find(part->key);
        if (found != cache.index.end())
        {
            found->second->ready_at =
                std::min(found->second->ready_at, ready_at);
            found->second->shared = true;
            found->second->used_at = ready_at;
            cache.order.splice(cache.order.begin(), cache.order, found->second);
            continue;
        }
        cache.insert(cache.order.begin(),
                     {part->key, part->tokens, ready_at, false, ready_at});
    }
    while (cache.tokens > capacity && !cache.order.empty())
    {
        const entry& oldest = cache.order.back();
        if (oldest.used_at != time_point())
            cache.evicted_after =
                std::max(duration(0), ready_at - oldest.used_at);
        cache.drop_oldest();
    }
    evict_excess(cache, before);
}

duration prefix_cache::residence(endpoint_id engine, duration limit) const
{
    const auto cache = engines_.find(engine);
    if (cache == engines_.end() || !cache->second.evicted_after)
        return limit;
    return std::min(limit, *cache->second.evicted_after);
}

std::vector<prompt_part> prefix_cache::shared(time_point now,
                                              endpoint_id engine,
                                              std::size_t max_parts) const
{
    std::vector<prompt_part> result;
    const auto cache = engines_.find(engine);
    if (cache == engines_.end())
        return result;
    for (const entry& each : cache->second.order)
    {
        if (result.size() >= max_parts)
            break;
        if (each.shared && each.ready_at <= now)
            result.push_back({each.key, each.tokens});
    }
    return result;
}

void prefix_cache::adopt(endpoint_id engine, std::span<const prompt_part> parts,
                         double capacity)
{
    engine_cache& cache = engines_[engine];
    const std::size_t before = cache.order.size();
    for (const prompt_part& part : parts)
    {
        if (cache.tokens + part.tokens > capacity)
            break;
        if (!cache.index.contains(part.key))
            cache.insert(cache.order.end(),
                         {part.key, part.tokens, {}, true, {}});
    }
    evict_excess(cache, before);
}

double prefix_cache::cached(endpoint_id engine,
                            std::span<const prompt_part> parts) const
{
    return ready(time_point::max(), engine, parts);
}

double prefix_cache::ready(time_point now, endpoint_id engine,
                           std::span<const prompt_part> parts) const
{
    const auto cache = engines_.find(engine);
    if (cache == engines_.end())
        return 0;
    double tokens = 0;
    for (const prompt_part& part : parts)
    {
        const auto found = cache->second.index.find(part.key);
        if (found == cache->second.index.end() || found->second->ready_at > now)
            break;
        tokens += part.tokens;
    }
    return tokens;
}

} // namespace sycamorelock::core::direct
