// Slots of a shard's endpoints: adaptive limits, outlier ejection, slow start.
#pragma once

#include "sycamorelock/core/outbox.hpp"
#include "sycamorelock/core/topology.hpp"

#include <array>
#include <map>
#include <optional>

namespace sycamorelock::core
{

/// What an endpoint says of itself. It lags behind the truth.
struct load_report
{
    std::uint32_t running = 0;
    bool leaving = false;
};

struct endpoint_pool_options
{
    /// Consecutive failures after which an endpoint is ejected.
    std::uint32_t eject_after = 3;
    duration eject_for = std::chrono::seconds(5);
    /// Token delay, as a multiple of the target, above which a limit shrinks.
    double slow_factor = 1.3;
    double shrink = 0.9;
    duration adapt_period = std::chrono::seconds(1);
};

class endpoint_pool
{
  public:
    endpoint_pool(endpoint_pool_options options, outbox& out);

    void configure(const std::vector<endpoint_spec>& specs,
                   duration target_token_delay, std::uint32_t divide_slots);
    /// Whether the platform's list says that an endpoint is leaving.
    void set_leaving(endpoint_id id, bool leaving);

    /// The endpoint for the next request, or nothing when none has a free
    /// slot. One that served the same prompt prefix is preferred, and one that
    /// the request has not been granted before.
    [[nodiscard]] std::optional<endpoint_id> pick(std::uint32_t prefix,
                                                  endpoint_id tried = {}) const;
    void take(endpoint_id id, std::uint32_t prefix);
    void give_back(time_point now, endpoint_id id, attempt_outcome outcome,
                   duration token_delay);
    void on_load(endpoint_id id, const load_report& report);
    void tick(time_point now);

    [[nodiscard]] std::uint32_t free_slots() const;
    [[nodiscard]] std::uint32_t used_slots() const;
    /// Sum of the limits of endpoints that accept work.
    [[nodiscard]] std::uint32_t usable_slots() const;
    [[nodiscard]] bool contains(endpoint_id id) const;
    [[nodiscard]] bool any_usable() const { return usable_slots() > 0; }
    /// Slots in use above the configured numbers, over all endpoints.
    [[nodiscard]] std::uint32_t overload() const;

  private:
    struct state
    {
        endpoint_spec spec;
        std::uint32_t slots = 1;
        double limit = 1;
        std::uint32_t used = 0;
        /// Either source is enough: each may lag behind the other.
        bool leaving_by_list = false;
        bool leaving_by_report = false;
        bool listed = true;
        std::uint32_t failures = 0;
        time_point ejected_until;
        bool ejected = false;
        double token_delay_us = 0;
        time_point next_adapt;
        /// Newest samples of load that is not ours. The least of them counts,
        /// because a lagging report shows our own past load as well.
        std::array<std::uint32_t, 3> foreign{};
        std::size_t foreign_cursor = 0;
    };

    void note_leaving(const state& endpoint, bool before);
    [[nodiscard]] static bool leaving(const state& endpoint);
    [[nodiscard]] static std::uint32_t free_of(const state& endpoint);
    void count_failure(time_point now, state& endpoint);
    void adapt(time_point now, state& endpoint, duration token_delay);

    endpoint_pool_options options_;
    outbox& out_;
    duration target_token_delay_{0};
    std::map<endpoint_id, state> endpoints_;
    std::map<std::uint32_t, endpoint_id> prefixes_;
};

} // namespace sycamorelock::core
