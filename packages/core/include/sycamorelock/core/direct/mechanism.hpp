// Parts of the decisions that operators can switch off one by one, to measure
// what each is worth or to rule one out as a cause.
#pragma once

#include <array>
#include <bitset>
#include <cstdint>
#include <optional>
#include <string_view>

namespace sycamorelock::core::direct
{

enum class mechanism : std::uint8_t
{
    /// Prompts are fetched from the engine that keeps them.
    prompt_fetch,
    /// Figures of engines are learned; without it the operators' throughput
    /// stands for all.
    learned_figures,
    /// Others are told at once of a long prompt.
    urgent_reports,
    /// Accounts beyond what they are owed are refused earlier.
    fair_shares,
    /// Accounts far beyond their part are refused before engines are weighed.
    far_beyond,
    /// In a large fleet a prompt has a few engines.
    prompt_homes,
    /// Reading again what another engine keeps counts more than its delay.
    reread_price,
    /// Engines' own speeds are learned.
    engine_speed,
    /// Endpoints that failed lately are avoided.
    failure_price,
    /// An instance that starts is told what engines keep.
    cache_copies,
    /// In a large fleet, requests without a described prompt allow for those
    /// that others have sent since the last news.
    unseen_requests,
    /// Prompts that engines are reading count for what is left of them.
    reading_progress,
};

struct mechanism_name
{
    mechanism which;
    std::string_view name;
};

inline constexpr std::array mechanism_names{
    mechanism_name{mechanism::prompt_fetch, "prompt_fetch"},
    mechanism_name{mechanism::learned_figures, "learned_figures"},
    mechanism_name{mechanism::urgent_reports, "urgent_reports"},
    mechanism_name{mechanism::fair_shares, "fair_shares"},
    mechanism_name{mechanism::far_beyond, "far_beyond"},
    mechanism_name{mechanism::prompt_homes, "prompt_homes"},
    mechanism_name{mechanism::reread_price, "reread_price"},
    mechanism_name{mechanism::engine_speed, "engine_speed"},
    mechanism_name{mechanism::failure_price, "failure_price"},
    mechanism_name{mechanism::cache_copies, "cache_copies"},
    mechanism_name{mechanism::unseen_requests, "unseen_requests"},
    mechanism_name{mechanism::reading_progress, "reading_progress"},
};

/// The mechanism of a name; nothing if there is none.
constexpr std::optional<mechanism> mechanism_of(std::string_view name)
{
    for (const mechanism_name& each : mechanism_names)
    {
        if (each.name == name)
            return each.which;
    }
    return std::nullopt;
}

/// Which mechanisms are in use. All are, unless switched off.
class mechanism_set
{
  public:
    void switch_off(mechanism which) { off_.set(index_of(which)); }
    [[nodiscard]] bool has(mechanism which) const
    {
        return !off_.test(index_of(which));
    }

  private:
    static std::size_t index_of(mechanism which)
    {
        return static_cast<std::size_t>(which);
    }

    std::bitset<mechanism_names.size()> off_;
};

} // namespace sycamorelock::core::direct
