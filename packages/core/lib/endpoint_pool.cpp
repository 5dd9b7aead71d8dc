// Slot accounting of one shard.
#include "sycamorelock/core/endpoint_pool.hpp"

#include <algorithm>
#include <cassert>

namespace sycamorelock::core
{

namespace
{
/// Prefixes remembered per shard; the map is emptied when it is full.
constexpr std::size_t max_prefixes = 4096;
} // namespace

endpoint_pool::endpoint_pool(endpoint_pool_options options, outbox& out)
    : options_(options), out_(out)
{
}

void endpoint_pool::configure(const std::vector<endpoint_spec>& specs,
                              duration target_token_delay,
                              std::uint32_t divide_slots)
{
    assert(divide_slots > 0 && "slots are divided by at least one router");
    target_token_delay_ = target_token_delay;
    for (auto& [id, endpoint] : endpoints_)
        endpoint.listed = false;
    for (const endpoint_spec& spec : specs)
    {
        const bool known = endpoints_.contains(spec.id);
        state& endpoint = endpoints_[spec.id];
        const std::uint32_t before = endpoint.slots;
        endpoint.spec = spec;
        endpoint.listed = true;
        endpoint.slots = (spec.slots + divide_slots - 1) / divide_slots;
        if (!known || before != endpoint.slots)
            endpoint.limit = endpoint.slots;
    }
    // An endpoint that was taken out of the settings stays until it is empty.
    std::erase_if(endpoints_, [](const auto& entry)
                  { return !entry.second.listed && entry.second.used == 0; });
}

bool endpoint_pool::leaving(const state& endpoint)
{
    return endpoint.leaving_by_list || endpoint.leaving_by_report;
}

void endpoint_pool::note_leaving(const state& endpoint, bool before)
{
    if (leaving(endpoint) && !before)
        out_.note(event_number::endpoint_leaving, endpoint.spec.name);
}

void endpoint_pool::set_leaving(endpoint_id id, bool by_list)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end())
        return;
    const bool before = leaving(found->second);
    found->second.leaving_by_list = by_list;
    note_leaving(found->second, before);
}

std::uint32_t endpoint_pool::free_of(const state& endpoint)
{
    if (!endpoint.listed || leaving(endpoint) || endpoint.ejected)
        return 0;
    const auto& samples = endpoint.foreign;
    const std::uint32_t foreign =
        *std::min_element(samples.begin(), samples.end());
    const auto limit = static_cast<std::uint32_t>(endpoint.limit);
    const std::uint32_t busy = endpoint.used + foreign;
    return busy >= limit ? 0 : limit - busy;
}

std::optional<endpoint_id> endpoint_pool::pick(std::uint32_t prefix,
                                               endpoint_id tried) const
{
    if (prefix != 0)
    {
        const auto warm = prefixes_.find(prefix);
        if (warm != prefixes_.end() && warm->second != tried)
        {
            const auto found = endpoints_.find(warm->second);
            if (found != endpoints_.end() && free_of(found->second) > 0)
                return warm->second;
        }
    }
    const state* best = nullptr;
    double best_score = 0;
    for (const auto& [id, endpoint] : endpoints_)
    {
        const std::uint32_t free = free_of(endpoint);
        if (free == 0)
            continue;
        // A recent failure weighs more than any difference in load.
        const std::uint32_t against = endpoint.failures + (id == tried ? 1 : 0);
        const double score = static_cast<double>(free) / endpoint.slots -
                             static_cast<double>(against);
        if (best != nullptr && score <= best_score)
            continue;
        best = &endpoint;
        best_score = score;
    }
    if (best == nullptr)
        return std::nullopt;
    return best->spec.id;
}

void endpoint_pool::take(endpoint_id id, std::uint32_t prefix)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end())
        return;
    ++found->second.used;
    if (prefix == 0)
        return;
    if (prefixes_.size() >= max_prefixes)
        prefixes_.clear();
    prefixes_[prefix] = id;
}

void endpoint_pool::count_failure(time_point now, state& endpoint)
{
    ++endpoint.failures;
    if (endpoint.failures < options_.eject_after || endpoint.ejected)
        return;
    endpoint.ejected = true;
    endpoint.ejected_until = now + options_.eject_for;
    out_.note(event_number::endpoint_ejected, endpoint.spec.name);
}

void endpoint_pool::adapt(time_point now, state& endpoint, duration token_delay)
{
    const auto slots = static_cast<double>(endpoint.slots);
    if (token_delay.count() > 0)
    {
        static constexpr double smoothing = 0.2;
        const auto sample = static_cast<double>(token_delay.count());
        const double before = endpoint.token_delay_us;
        endpoint.token_delay_us =
            before == 0 ? sample : before + smoothing * (sample - before);
    }
    const double bound =
        static_cast<double>(target_token_delay_.count()) * options_.slow_factor;
    const bool slow = bound > 0 && endpoint.token_delay_us > bound;
    if (!slow)
    {
        endpoint.limit = std::min(slots, endpoint.limit + 1 / endpoint.limit);
        return;
    }
    if (now < endpoint.next_adapt)
        return;
    endpoint.next_adapt = now + options_.adapt_period;
    endpoint.limit = std::max(1.0, endpoint.limit * options_.shrink);
}

void endpoint_pool::give_back(time_point now, endpoint_id id,
                              attempt_outcome outcome, duration token_delay)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end())
        return;
    state& endpoint = found->second;
    assert(endpoint.used > 0 && "a slot is given back once");
    --endpoint.used;
    if (outcome == attempt_outcome::endpoint_failed)
    {
        count_failure(now, endpoint);
        return;
    }
    if (outcome != attempt_outcome::completed)
        return;
    endpoint.failures = 0;
    adapt(now, endpoint, token_delay);
}

void endpoint_pool::on_load(endpoint_id id, const load_report& report)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end())
        return;
    state& endpoint = found->second;
    const bool before = leaving(endpoint);
    endpoint.leaving_by_report = report.leaving;
    note_leaving(endpoint, before);
    const std::uint32_t foreign =
        report.running > endpoint.used ? report.running - endpoint.used : 0;
    endpoint.foreign.at(endpoint.foreign_cursor) = foreign;
    endpoint.foreign_cursor =
        (endpoint.foreign_cursor + 1) % endpoint.foreign.size();
}

void endpoint_pool::tick(time_point now)
{
    for (auto& [id, endpoint] : endpoints_)
    {
        if (!endpoint.ejected || now < endpoint.ejected_until)
            continue;
        // Slow start: one slot probes, and each success widens the limit.
        endpoint.ejected = false;
        endpoint.failures = options_.eject_after - 1;
        endpoint.limit = 1;
        out_.note(event_number::endpoint_restored, endpoint.spec.name);
    }
}

std::uint32_t endpoint_pool::free_slots() const
{
    std::uint32_t total = 0;
    for (const auto& [id, endpoint] : endpoints_)
        total += free_of(endpoint);
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
        if (!endpoint.listed || leaving(endpoint) || endpoint.ejected)
            continue;
        total += static_cast<std::uint32_t>(endpoint.limit);
    }
    return total;
}

bool endpoint_pool::contains(endpoint_id id) const
{
    return endpoints_.contains(id);
}

std::uint32_t endpoint_pool::overload() const
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
