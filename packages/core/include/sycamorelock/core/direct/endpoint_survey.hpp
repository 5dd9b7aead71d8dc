// Which endpoints a decision compared, and why it passed over the others.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace sycamorelock::core::direct
{

/// Why an endpoint is not compared for a request. If several reasons apply, the
/// first one counts.
enum class exclusion : std::uint8_t
{
    other_release,
    leaving,
    drained,
    backing_off,
    /// Requests to the endpoint have failed recently.
    ejected,
    /// The endpoint is warming up and has received this instance's quota.
    warming_up,
    /// An earlier attempt of the request was sent there.
    tried,
    /// The endpoint is usable, but does not keep the prompt's shared prefix.
    not_home,
};
inline constexpr std::array all_exclusions{
    exclusion::other_release, exclusion::leaving,  exclusion::drained,
    exclusion::backing_off,   exclusion::ejected,  exclusion::warming_up,
    exclusion::tried,         exclusion::not_home,
};
/// Name in logs.
std::string_view to_string(exclusion reason);

/// Counts of a service's endpoints, for the explanation of a refusal.
struct endpoint_survey
{
    unsigned listed = 0;
    unsigned compared = 0;
    /// Shortest prefill queue, in ms, of the usable endpoints, whether they
    /// were compared or not; 0 if there are none.
    double shortest_queue_ms = 0;

    [[nodiscard]] unsigned excluded(exclusion reason) const
    {
        return excluded_.at(static_cast<std::size_t>(reason));
    }
    void exclude(exclusion reason, unsigned count = 1)
    {
        excluded_.at(static_cast<std::size_t>(reason)) += count;
    }

  private:
    std::array<unsigned, all_exclusions.size()> excluded_{};
};

} // namespace sycamorelock::core::direct
