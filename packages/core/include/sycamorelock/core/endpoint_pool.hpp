// Slot accounting for the endpoints of one shard, with adaptive limits, outlier
// ejection and slow start.
#pragma once

#include "sycamorelock/core/outbox.hpp"
#include "sycamorelock/core/topology.hpp"

#include <array>
#include <map>
#include <optional>

namespace sycamorelock::core
{

/// Load that an endpoint reports about itself. It lags behind the actual load.
struct load_report
{
    /// Requests in progress, from all senders.
    std::uint32_t running = 0;
    bool leaving = false;
};

struct endpoint_pool_options
{
    /// Consecutive failures after which an endpoint is ejected.
    std::uint32_t eject_after_failures = 3;
    duration eject_for = std::chrono::seconds(5);
    /// Mean delay per token, as a multiple of the target, above which an
    /// endpoint's limit shrinks.
    double max_slowdown_factor = 1.3;
    /// Factor by which a limit shrinks.
    double shrink_factor = 0.9;
    /// Minimum interval between two reductions of a limit.
    duration adapt_period = std::chrono::seconds(1);
};

class endpoint_pool
{
  public:
    endpoint_pool(endpoint_pool_options options, outbox& out);

    /// Replaces the configured endpoints. Each endpoint's slots are divided by
    /// `slot_share_divisor` and rounded up. A removed endpoint is erased by the
    /// first call that finds none of its slots in use.
    void configure(const std::vector<endpoint_spec>& specs,
                   duration target_token_delay,
                   std::uint32_t slot_share_divisor);
    /// Sets whether the platform's list marks an endpoint as leaving.
    void set_leaving(endpoint_id id, bool leaves);

    /// Selects the endpoint for the next request. Returns nothing if no
    /// endpoint has a free slot. Prefers the endpoint that served the same
    /// prompt prefix (0: none), and any other endpoint over `tried`, which the
    /// request was granted before.
    [[nodiscard]] std::optional<endpoint_id> pick(std::uint32_t prefix,
                                                  endpoint_id tried = {}) const;
    /// Occupies a slot of the endpoint and records the prompt prefix, if any.
    void acquire_slot(endpoint_id id, std::uint32_t prefix);
    /// Releases a slot. Failures count towards ejection, and a completed
    /// request adapts the endpoint's limit to its mean delay per token.
    void release_slot(time_point now, endpoint_id id, attempt_outcome outcome,
                      duration token_delay);
    void on_load(endpoint_id id, const load_report& report);
    /// Restores endpoints whose ejection has expired.
    void tick(time_point now);

    [[nodiscard]] std::uint32_t free_slots() const;
    [[nodiscard]] std::uint32_t used_slots() const;
    /// Sum of the limits of the endpoints that accept requests.
    [[nodiscard]] std::uint32_t usable_slots() const;
    [[nodiscard]] bool contains(endpoint_id id) const;
    [[nodiscard]] bool has_usable_slots() const { return usable_slots() > 0; }
    /// Number of slots in use above the configured numbers, over all endpoints.
    [[nodiscard]] std::uint32_t excess_slots() const;

  private:
    struct state
    {
        endpoint_spec spec;
        std::uint32_t slots = 1;
        double limit = 1;
        std::uint32_t used = 0;
        /// The endpoint is leaving if either source says so, because each may
        /// lag behind the other.
        bool marked_leaving = false;
        bool reported_leaving = false;
        /// False after removal from the configuration while slots are in use.
        bool configured = true;
        /// Consecutive failures.
        std::uint32_t failures = 0;
        time_point ejected_until;
        bool ejected = false;
        /// Moving average of the delay per token.
        double token_delay_us = 0;
        time_point next_adapt;
        /// Latest samples of load from other senders. The lowest of them
        /// counts, because a lagging report includes past load of this pool.
        std::array<std::uint32_t, 3> foreign_load{};
        std::size_t next_foreign_load = 0;
    };

    void emit_leaving_event(const state& endpoint, bool was_leaving);
    [[nodiscard]] static bool leaving(const state& endpoint);
    [[nodiscard]] static std::uint32_t free_slots_of(const state& endpoint);
    void record_failure(time_point now, state& endpoint);
    void adapt_limit(time_point now, state& endpoint, duration token_delay);

    endpoint_pool_options options_;
    outbox& out_;
    duration target_token_delay_{0};
    std::map<endpoint_id, state> endpoints_;
    std::map<std::uint32_t, endpoint_id> prefix_endpoints_;
};

} // namespace sycamorelock::core
