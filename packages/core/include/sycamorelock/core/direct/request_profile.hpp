// What the routing decision knows of a request.
#pragma once

#include "sycamorelock/core/direct/account_shares.hpp"
#include "sycamorelock/core/direct/catalogue.hpp"
#include "sycamorelock/core/direct/prefix_cache.hpp"
#include "sycamorelock/core/direct/release.hpp"

#include <optional>
#include <vector>

namespace sycamorelock::core::direct
{

/// Properties of a request that the routing decision depends on.
struct request_profile
{
    const route* route_config = nullptr;
    std::optional<account_id> account;
    /// Parts of the prompt, in order; empty for requests to plain services.
    std::vector<prompt_part> parts;
    double prompt_tokens = 0;
    double output_tokens = 0;
    /// Size of the request's body.
    double body_bytes = 0;
    time_point arrived;
    /// Time at which the caller gives up.
    time_point deadline;
    /// Consumption of the client account relative to its share when the
    /// request arrived.
    account_standing standing;
    /// Release that must continue the stream of a resumed request; empty for a
    /// new request, which any release may serve.
    std::optional<release_id> release;
    /// Urgency of the client account, or else of the route; 0 is the most
    /// urgent. Set by `router::admit`.
    unsigned urgency = 1;
    /// Time since the caller's first attempt, as far as its time budget tells;
    /// set by `router::admit`.
    duration since_first_attempt{0};
    /// Whether the caller was promised room at its return; set by
    /// `router::admit`.
    bool is_return = false;

    /// Tokens charged against the client account's share. A generated token
    /// costs an engine about twice as much as a prompt token, so it counts
    /// twice.
    [[nodiscard]] double share_tokens() const
    {
        return prompt_tokens + 2 * output_tokens;
    }
};

} // namespace sycamorelock::core::direct
