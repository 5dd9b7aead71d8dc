// What each engine is believed to keep of the prompts it has read. An estimate
// from placements only: engines tell late, with gaps, and each question costs.
#pragma once

#include "sycamorelock/core/strong_types.hpp"

#include <list>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

namespace sycamorelock::core::direct
{

/// Part of a prompt. `key` covers this part and all parts before it, because
/// an engine reuses a part only after the same beginning.
struct prompt_part
{
    std::uint64_t key = 0;
    double tokens = 0;
};

/// Mixes the id of a part into the key of the parts before it.
std::uint64_t extend_key(std::uint64_t before, std::string_view part_id);

class prefix_cache
{
  public:
    /// Notes that an engine reads these parts now. `capacity` is the part of
    /// its memory, in tokens, that is left for what does not run.
    void touch(endpoint_id engine, std::span<const prompt_part> parts,
               double capacity);

    /// Tokens at the beginning of a prompt that the engine need not read.
    [[nodiscard]] double cached(endpoint_id engine,
                                std::span<const prompt_part> parts) const;

    void forget(endpoint_id engine) { engines_.erase(engine); }

  private:
    struct entry
    {
        std::uint64_t key = 0;
        double tokens = 0;
    };
    struct engine_cache
    {
        /// Most recently used first.
        std::list<entry> order;
        std::unordered_map<std::uint64_t, std::list<entry>::iterator> index;
        double tokens = 0;
    };
    std::map<endpoint_id, engine_cache> engines_;
};

} // namespace sycamorelock::core::direct
