// Optional parts of the routing decision. Operators can switch them off one by
// one, to measure the effect of each or to rule it out as the cause of a fault.
#pragma once

#include <array>
#include <bitset>
#include <cstdint>
#include <optional>
#include <string_view>

namespace sycamorelock::core::direct
{

/// Optional parts of the routing decision. Each comment describes the behaviour
/// while the mechanism is on.
enum class mechanism : std::uint8_t
{
    /// An engine may fetch a prompt's KV cache from another engine that stores
    /// it, instead of repeating the prefill.
    prompt_fetch,
    /// Prefill times and slot hold times of engines are estimated from observed
    /// requests. When off, defaults apply, with the prefill rate taken from the
    /// configured throughput.
    learned_figures,
    /// A long prompt is reported to the other instances at once instead of with
    /// the next periodic report.
    urgent_reports,
    /// Client accounts that exceed their fair share are refused at shorter
    /// waits than others.
    fair_shares,
    /// Client accounts that exceed their fair share by far are refused before
    /// endpoints are compared.
    far_beyond,
    /// In a large fleet, a request of an underserved client account is compared
    /// with all engines if the homes of its prompt are full.
    underserved_accounts,
    /// In a large fleet, each shared prompt prefix is limited to a few engines.
    prompt_homes,
    /// A placement's cost counts prefill time at more than the delay that it
    /// adds to the request, since a prefill also occupies the engine.
    reread_price,
    /// Each endpoint's slowdown factor is part of its predicted times.
    engine_speed,
    /// Recent failures add to the cost of an endpoint.
    failure_price,
    /// A starting instance receives a copy of the estimated contents of the
    /// engines' KV caches from another instance.
    cache_copies,
    /// In a large fleet, placement of a request without a described prompt
    /// accounts for the requests that other instances are expected to have sent
    /// since their last reports.
    unseen_requests,
    /// In a large fleet in overload, predicted waits at engines include the
    /// work that other instances are expected to have sent since their last
    /// reports, beyond what the engines complete in that time.
    unseen_work,
    /// A prompt whose prefill is in progress counts only with its predicted
    /// remaining time.
    reading_progress,
    /// Where operators state a price, traffic to another failure domain adds to
    /// the cost of a placement.
    domain_price,
    /// Where operators state a price, a shared prompt prefix may also be
    /// prefilled by engines of the own failure domain, if that is expected to
    /// save more traffic than it costs.
    domain_homes,
    /// Where the first tokens of single requests can be predicted, the longest
    /// wait of a request depends on its own objective, size and urgency.
    objective_admission,
    /// Where the first tokens of single requests can be predicted, refused
    /// callers are told to return when there is room, and go first when they
    /// do.
    promised_returns,
    /// Predicted times use the slowdown that endpoints report of themselves.
    reported_slowdown,
    /// Slowdowns that endpoints report are passed on to the other instances.
    slowdown_news,
};

/// Name of a mechanism in settings.
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
    mechanism_name{mechanism::underserved_accounts, "underserved_accounts"},
    mechanism_name{mechanism::prompt_homes, "prompt_homes"},
    mechanism_name{mechanism::reread_price, "reread_price"},
    mechanism_name{mechanism::engine_speed, "engine_speed"},
    mechanism_name{mechanism::failure_price, "failure_price"},
    mechanism_name{mechanism::cache_copies, "cache_copies"},
    mechanism_name{mechanism::unseen_requests, "unseen_requests"},
    mechanism_name{mechanism::unseen_work, "unseen_work"},
    mechanism_name{mechanism::reading_progress, "reading_progress"},
    mechanism_name{mechanism::domain_price, "domain_price"},
    mechanism_name{mechanism::domain_homes, "domain_homes"},
    mechanism_name{mechanism::objective_admission, "objective_admission"},
    mechanism_name{mechanism::promised_returns, "promised_returns"},
    mechanism_name{mechanism::reported_slowdown, "reported_slowdown"},
    mechanism_name{mechanism::slowdown_news, "slowdown_news"},
};

/// Returns the mechanism with this name, or nullopt if there is none.
constexpr std::optional<mechanism> mechanism_of(std::string_view name)
{
    for (const mechanism_name& each : mechanism_names)
    {
        if (each.name == name)
            return each.which;
    }
    return std::nullopt;
}

/// The set of mechanisms that are on. All are, unless switched off.
class mechanism_set
{
  public:
    void switch_off(mechanism which) { off_.set(index_of(which)); }
    [[nodiscard]] bool is_enabled(mechanism which) const
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
