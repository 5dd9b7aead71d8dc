// Estimate of the prompt prefixes in each engine's KV cache. It rests on
// placements alone: what engines report of their caches is late and incomplete,
// and each query has a cost.
#pragma once

#include "sycamorelock/core/strong_types.hpp"

#include <list>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace sycamorelock::core::direct
{

/// Part of a prompt. An engine reuses a cached part only if all parts before it
/// in the prompt are cached too.
struct prompt_part
{
    std::uint64_t key = 0;
    double tokens = 0;
};

/// Extends the key of the parts before by `part_id`, with 64-bit FNV-1a.
/// \param before 0 for the first part.
std::uint64_t extend_key(std::uint64_t before, std::string_view part_id);

/// Key of a part by its own id alone, as engines list their cached parts.
inline std::uint64_t key_of_part(std::string_view part_id)
{
    return extend_key(0, part_id);
}

/// Model of the engines' KV caches, with least-recently-used eviction.
class prefix_cache
{
  public:
    /// Bound on the parts of all engines, about 14 MB. The capacity in tokens
    /// does not bound parts that hold few tokens or none. Beyond it, the least
    /// recently used parts of the engine with the most parts are evicted.
    static constexpr std::size_t max_kept_parts = 128 * 1024;

    /// Records that a prompt of these parts was sent to an engine. Has no
    /// effect if the prompt exceeds `capacity`, since an engine rejects it.
    /// \param capacity part of the engine's KV cache, in tokens, that is left
    /// for prompts of requests that have ended.
    /// \param ready_at predicted end of the prefill, which counts as the time
    /// of use.
    void touch(endpoint_id engine, std::span<const prompt_part> parts,
               double capacity, time_point ready_at = {});
    /// Time for which the engine's cache keeps a part that is not used again,
    /// as the latest eviction shows; `limit` if that is shorter or none is
    /// known.
    [[nodiscard]] duration residence(endpoint_id engine, duration limit) const;

    /// Length, in tokens, of the prompt's prefix that the engine will have
    /// cached once the requests already sent to it have had their prefill.
    [[nodiscard]] double cached(endpoint_id engine,
                                std::span<const prompt_part> parts) const;
    /// Length, in tokens, of the prompt's prefix whose prefill has ended by
    /// `now`, so that other engines can fetch it.
    [[nodiscard]] double ready(time_point now, endpoint_id engine,
                               std::span<const prompt_part> parts) const;

    /// Parts that the engine has cached by `now` and that more than one request
    /// contained, at most `max_parts` of them, most recently used first.
    [[nodiscard]] std::vector<prompt_part>
    shared(time_point now, endpoint_id engine, std::size_t max_parts) const;
    /// Adds another instance's estimate of an engine's cache. The parts rank in
    /// their order behind all known parts, as less recently used. Stops at the
    /// first part that would exceed `capacity`.
    void adopt(endpoint_id engine, std::span<const prompt_part> parts,
               double capacity);

    /// Drops all parts of an engine that was removed or restarted.
    void forget(endpoint_id engine);

    /// Parts of all engines.
    [[nodiscard]] std::size_t size() const { return parts_; }

  private:
    struct entry
    {
        std::uint64_t key = 0;
        double tokens = 0;
        time_point ready_at;
        /// Whether more than one request contained it.
        bool shared = false;
        time_point used_at;
    };
    struct engine_cache
    {
        /// Most recently used first.
        std::list<entry> order;
        std::unordered_map<std::uint64_t, std::list<entry>::iterator> index;
        double tokens = 0;
        /// Age of the latest evicted part.
        std::optional<duration> evicted_after;

        void insert(std::list<entry>::iterator before, const entry& added);
        void drop_oldest();
    };
    /// Updates the count of parts after a change of one engine's cache, which
    /// had `before` parts, and evicts parts beyond `max_kept_parts`.
    void evict_excess(const engine_cache& changed, std::size_t before);

    std::map<endpoint_id, engine_cache> engines_;
    std::size_t parts_ = 0;
};

} // namespace sycamorelock::core::direct
