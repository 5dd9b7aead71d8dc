// Implements the slot accounting of one shard.
#include "sycamorelock/core/endpoint_pool.hpp"

#include <algorithm>
#include <cassert>

namespace sycamorelock::core
{

namespace
{
/// Limit of prompt prefixes stored per shard. The map is cleared when full.
constexpr std::size_t max_prefixes = 4096;
} // namespace

endpoint_pool::endpoint_pool(endpoint_pool_options options, outbox& out)
    : options_(options), out_(out)
{
}

void endpoint_pool::configure(const std::vector<endpoint_spec>& specs,
                              duration target_token_delay,
                              std::uint32_t slot_share_divisor)
{
    assert(slot_share_divisor > 0 &&
           "slots are divided among at least one router");
    target_token_delay_ = target_token_delay;
    for (auto& [id, endpoint] : endpoints_)
        endpoint.configured = false;
    for (const endpoint_spec& spec : specs)
    {
        const bool known = endpoints_.contains(spec.id);
        state& endpoint = endpoints_[spec.id];
        const std::uint32_t old_slots = endpoint.slots;
        endpoint.spec = spec;
        endpoint.configured = true;
        endpoint.slots =
            (spec.slots + slot_share_divisor - 1) / slot_share_divisor;
        if (!known || old_slots != endpoint.slots)
            endpoint.limit = endpoint.slots;
    }
    // An endpoint removed from the configuration is kept while its slots are in
    // use.
    std::erase_if(endpoints_,
                  [](const auto& entry) {
                      return !entry.second.configured && entry.second.used == 0;
                  });
}

bool endpoint_pool::leaving(const state& endpoint)
{
    return endpoint.marked_leaving || endpoint.reported_leaving;
}

void endpoint_pool::emit_leaving_event(const state& endpoint, bool was_leaving)
{
    if (leaving(endpoint) && !was_leaving)
        out_.record_event(event_number::endpoint_leaving, endpoint.spec.name);
}

void endpoint_pool::set_leaving(endpoint_id id, bool leaves)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end())
        return;
    const bool was_leaving = leaving(found->second);
    found->second.marked_leaving = leaves;
    emit_leaving_event(found->second, was_leaving);
}

std::uint32_t endpoint_pool::free_slots_of(const state& endpoint)
{
    if (!endpoint.configured || leaving(endpoint) || endpoint.ejected)
        return 0;
    const auto& foreign_samples = endpoint.foreign_load;
    const std::uint32_t foreign_load =
        *std::min_element(foreign_samples.begin(), foreign_samples.end());
    const auto limit = static_cast<std::uint32_t>(endpoint.limit);
    const std::uint32_t occupied = endpoint.used + foreign_load;
    return occupied >= limit ? 0 : limit - occupied;
}

std::optional<endpoint_id> endpoint_pool::pick(std::uint32_t prefix,
                                               endpoint_id tried) const
{
    if (prefix != 0)
    {
        const auto cached = prefix_endpoints_.find(prefix);
        if (cached != prefix_endpoints_.end() && cached->second != tried)
        {
            const auto found = endpoints_.find(cached->second);
            if (found != endpoints_.end() && free_slots_of(found->second) > 0)
                return cached->second;
        }
    }
    const state* best = nullptr;
    double best_score = 0;
    for (const auto& [id, endpoint] : endpoints_)
    {
        const std::uint32_t free = free_slots_of(endpoint);
        if (free == 0)
            continue;
        // The free fraction is at most 1, so one recent failure outweighs any
        // difference in load.
        const std::uint32_t penalty = endpoint.failures + (id == tried ? 1 : 0);
        const double score = static_cast<double>(free) / endpoint.slots -
                             static_cast<double>(penalty);
        if (best != nullptr && score <= best_score)
            continue;
        best = &endpoint;
        best_score = score;
    }
    if (best == nullptr)
        return std::nullopt;
    return best->spec.id;
}

void endpoint_pool::acquire_slot(endpoint_id id, std::uint32_t prefix)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end())
        return;
    ++found->second.used;
    if (prefix == 0)
        return;
    if (prefix_endpoints_.size() >= max_prefixes)
        prefix_endpoints_.clear();
    prefix_endpoints_[prefix] = id;
}

void endpoint_pool::record_failure(time_point now, state& endpoint)
{
    ++endpoint.failures;
    if (endpoint.failures < options_.eject_after_failures || endpoint.ejected)
        return;
    endpoint.ejected = true;
    endpoint.ejected_until = now + options_.eject_for;
    out_.record_event(event_number::endpoint_ejected, endpoint.spec.name);
}

void endpoint_pool::adapt_limit(time_point now, state& endpoint,
                                duration token_delay)
{
    const auto slots = static_cast<double>(endpoint.slots);
    if (token_delay.count() > 0)
    {
        // Weight of a new sample in the exponential moving average.
        static constexpr double sample_weight = 0.2;
        const auto sample = static_cast<double>(token_delay.count());
        const double before = endpoint.token_delay_us;
        endpoint.token_delay_us =
            before == 0 ? sample : before + sample_weight * (sample - before);
    }
    const double max_delay_us =
        static_cast<double>(target_token_delay_.count()) *
        options_.max_slowdown_factor;
    const bool slow =
        max_delay_us > 0 && endpoint.token_delay_us > max_delay_us;
    if (!slow)
    {
        endpoint.limit = std::min(slots, endpoint.limit + 1 / endpoint.limit);
        return;
    }
    if (now < endpoint.next_adapt)
        return;
    endpoint.next_adapt = now + options_.adapt_period;
    endpoint.limit = std::max(1.0, endpoint.limit * options_.shrink_factor);
}

void endpoint_pool::release_slot(time_point now, endpoint_id id,
                                 attempt_outcome outcome, duration token_delay)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end())
        return;
    state& endpoint = found->second;
    assert(endpoint.used > 0 && "a slot is released once");
    --endpoint.used;
    if (outcome == attempt_outcome::endpoint_failed)
    {
        record_failure(now, endpoint);
        return;
    }
    if (outcome != attempt_outcome::completed)
        return;
    endpoint.failures = 0;
    adapt_limit(now, endpoint, token_delay);
}

void endpoint_pool::on_load(endpoint_id id, const load_report& report)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end())
        return;
    state& endpoint = found->second;
    const bool was_leaving = leaving(endpoint);
    endpoint.reported_leaving = report.leaving;
    emit_leaving_event(endpoint, was_leaving);
    const std::uint32_t foreign_load =
        report.running > endpoint.used ? report.running - endpoint.used : 0;
    endpoint.foreign_load.at(endpoint.next_foreign_load) = foreign_load;
    endpoint.next_foreign_load =
        (endpoint.next_foreign_load + 1) % endpoint.foreign_load.size();
}

void endpoint_pool::tick(time_point now)
{
    for (auto& [id, endpoint] : endpoints_)
    {
        if (!endpoint.ejected || now < endpoint.ejected_until)
            continue;
        // Slow start: the limit starts at one slot and grows with each success,
        // and the next failure ejects the endpoint again.
        endpoint.ejected = false;
        endpoint.failures = options_.eject_after_failures - 1;
        endpoint.limit = 1;
        out_.record_event(event_number::endpoint_restored, endpoint.spec.name);
    }
}

std::uint32_t endpoint_pool::free_slots() const
{
    std::uint32_t total = 0;
    for (const auto& [id, endpoint] : endpoints_)
        total += free_slots_of(endpoint);
    return total;
}

std::uint32_t endpoint_pool::used_slots() const
{
    std::uint32_t total = 0;
    for (const auto& [id, endpoint] : endpoints_)
        total += endpoint.used;
    return total;
}

std::uint32_t endpoint_pool::usable_slots() const
{
    std::uint32_t total = 0;
    for (const auto& [id, endpoint] : endpoints_)
    {
        if (!endpoint.configured || leaving(endpoint) || endpoint.ejected)
            continue;
        total += static_cast<std::uint32_t>(endpoint.limit);
    }
    return total;
}

bool endpoint_pool::contains(endpoint_id id) const
{
    return endpoints_.contains(id);
}

std::uint32_t endpoint_pool::excess_slots() const
{
    std::uint32_t total = 0;
    for (const auto& [id, endpoint] : endpoints_)
    {
        if (endpoint.used > endpoint.slots)
            total += endpoint.used - endpoint.slots;
    }
    return total;
}

} // namespace sycamorelock::core
