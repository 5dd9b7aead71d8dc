// Selection of the engines that may prefill a shared prompt prefix in a large
// fleet: its home engines. All instances select the same few by rendezvous
// hashing, and more of them as the load of requests with the prefix grows.
#pragma once

#include "sycamorelock/core/direct/prefix_cache.hpp"
#include "sycamorelock/core/direct/rate_meter.hpp"

#include <algorithm>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sycamorelock::core::direct
{

/// Key of the prefix that a prompt shares with others: all parts but the last,
/// or the only part; 0 if there are no parts.
std::uint64_t shared_key(std::span<const prompt_part> parts);

/// Number of tokens of all parts but the last; 0 if there is only one part,
/// although `shared_key` returns the key of that.
double shared_tokens(std::span<const prompt_part> parts);

/// Rendezvous hash of an engine for a key, in [0, 1). The engines with the
/// highest ranks are the homes of the key.
double rank_of(std::uint64_t key, endpoint_id engine);

/// Number of home engines of each shared prefix, from the load of the requests
/// that contain it.
///
/// Reports in a large fleet are some 0.2 s old. If all instances chose among
/// all engines, the engines with the shortest reported wait would receive all
/// requests until the next reports: of 38,600 requests that 72 instances sent
/// to 90 engines in a minute, engines with full queues declined 2,830. With
/// three engines to choose from they declined 1,520 of 35,200, and the prefill
/// of shared tokens fell from 41 to 28 million.
class prompt_homes
{
  public:
    /// Number of engines for a prefix with little load. With one engine, there
    /// would be no alternative to its queue; more engines would store more
    /// copies of each prefix than the KV caches can hold.
    static constexpr std::size_t min_homes = 3;
    /// Upper bound of the load per home engine, in engine seconds per second:
    /// one engine is added to `min_homes` for each such amount of load that the
    /// requests with a prefix cause in total.
    static constexpr double max_load_per_home = 0.25;

    /// Records a request of this or another instance with a shared prefix.
    /// \param prefill_time_ms prefill time of the part that is not shared, in
    /// ms.
    void note(time_point now, std::uint64_t key, double prefill_time_ms);

    /// Number of home engines of a prefix.
    [[nodiscard]] std::size_t count(time_point now, std::uint64_t key) const;

    /// Removes prefixes with negligible load. Does nothing if called again
    /// within 5 s.
    void sweep(time_point now);

  private:
    /// Load by prefix, in engine seconds per second.
    std::unordered_map<std::uint64_t, rate_meter> load_;
    time_point swept_at_;
};

/// Reduces `engines` to the `count` engines with the highest ranks for a key,
/// highest first. Leaves `engines` as it is if it has no more than `count`.
/// \param id_of function that returns the id of an engine.
template <class Engine, class Id>
void keep_highest_ranked(std::uint64_t key, std::vector<Engine>& engines,
                         std::size_t count, Id id_of)
{
    if (engines.size() <= count)
        return;
    using ranked = std::pair<double, Engine>;
    std::vector<ranked> order;
    order.reserve(engines.size());
    for (const Engine& engine : engines)
        order.push_back({rank_of(key, id_of(engine)), engine});
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(order.begin(), end, order.end(),
                      [](const ranked& a, const ranked& b)
                      { return a.first > b.first; });
    engines.clear();
    for (auto kept = order.begin(); kept != end; ++kept)
        engines.push_back(kept->second);
}

} // namespace sycamorelock::core::direct
