// Open work that the fleet has sent to each endpoint: exact for this instance's
// own requests, and as last reported for those of the other instances.
#pragma once

#include "sycamorelock/core/strong_types.hpp"

#include <algorithm>
#include <map>
#include <vector>

namespace sycamorelock::core::direct
{

/// Open work at one endpoint.
struct endpoint_work
{
    endpoint_id endpoint;
    /// Remaining prefill time, in ms, of prompts without a first token. Does
    /// not include the endpoint's slowdown factor.
    double unread_ms = 0;
    /// Requests to engines that have no first token yet, or open requests to a
    /// plain service.
    unsigned waiting = 0;
    /// Streams whose first token has arrived.
    unsigned running = 0;
    /// KV cache size of all of these requests, in tokens.
    double tokens = 0;

    endpoint_work& operator+=(const endpoint_work& other)
    {
        unread_ms += other.unread_ms;
        waiting += other.waiting;
        running += other.running;
        tokens += other.tokens;
        return *this;
    }
    /// Subtracts work that was added before; no member falls below 0.
    endpoint_work& operator-=(const endpoint_work& other)
    {
        unread_ms = std::max(0.0, unread_ms - other.unread_ms);
        waiting -= std::min(waiting, other.waiting);
        running -= std::min(running, other.running);
        tokens = std::max(0.0, tokens - other.tokens);
        return *this;
    }
    [[nodiscard]] bool idle() const { return waiting == 0 && running == 0; }
};

/// Sums the open work of this instance and of the other instances by endpoint.
class load_ledger
{
  public:
    /// Reports are dropped at this age, within which most of the reported
    /// prompts get their first token. At a report period of 100 ms this
    /// tolerates ten lost reports.
    static constexpr duration report_lifetime = std::chrono::milliseconds(1000);

    /// Work that one open request adds to its endpoint.
    struct request_load
    {
        endpoint_id endpoint;
        /// Predicted prefill time, in ms, without the slowdown factor.
        double unread_ms = 0;
        /// KV cache size of the prompt and the expected output, in tokens.
        double tokens = 0;
        /// Whether the first token has arrived.
        bool has_first_token = false;
        /// Predicted start of the prefill. With the default, the whole prompt
        /// counts as remaining until the first token.
        time_point prefill_starts_at = time_point::max();
        /// The endpoint's slowdown factor: observed over predicted time.
        double slowdown = 1;
        /// Assigned by open().
        std::uint64_t number = 0;
    };

    /// Adds a request that was sent to its endpoint.
    void open(request_load& request);
    /// Records the first token of a request; later calls have no effect.
    void begin(request_load& request);
    /// Removes a request that has ended.
    void close(const request_load& request);
    /// Sets the time as of which the progress of prefills is computed, and
    /// recomputes the sums of reported work if a report has arrived. To be
    /// called before a series of queries.
    void advance(time_point now);

    /// Replaces the reported work of another instance by `work`, which is its
    /// complete state. The sums do not include it until they are recomputed.
    void report(time_point now, instance_id from,
                const std::vector<endpoint_work>& work);
    /// Drops the report of an instance that has left or is unreachable.
    void forget_instance(instance_id gone) { reports_.erase(gone); }

    /// Drops expired reports and recomputes the sums of the others. To be
    /// called at least every report period.
    void refresh(time_point now);

    /// Work of the whole fleet at an endpoint.
    [[nodiscard]] endpoint_work total(endpoint_id endpoint) const;

    /// Number of requests that the other instances have open at an endpoint, as
    /// last reported.
    [[nodiscard]] unsigned open_elsewhere(endpoint_id endpoint) const;

    /// Number of requests that the other instances have open at all endpoints,
    /// as last reported.
    [[nodiscard]] unsigned open_elsewhere() const;

    /// Open work of this instance by endpoint, for its report.
    [[nodiscard]] std::vector<endpoint_work> own() const;

  private:
    struct instance_report
    {
        time_point at;
        std::vector<endpoint_work> work;
    };
    /// A prompt without a first token.
    struct pending_prompt
    {
        std::uint64_t number = 0;
        /// Predicted prefill time without the slowdown factor.
        double ms = 0;
        time_point prefill_starts_at;
        double slowdown = 1;

        /// Prefill time that remains, without the slowdown factor.
        [[nodiscard]] double remaining_ms(time_point now) const;
    };
    struct own_work
    {
        /// Excludes `unread_ms`, which is computed from `pending`.
        endpoint_work sum;
        std::vector<pending_prompt> pending;
    };

    /// This instance's work at an endpoint as of the last advance().
    [[nodiscard]] endpoint_work current_work(const own_work& work) const;
    static void erase_prompt(own_work& work, const request_load& request);

    time_point progress_at_;
    /// Whether a report has arrived since `others_` was computed.
    bool has_new_report_ = false;
    std::uint64_t last_number_ = 0;
    std::map<endpoint_id, own_work> own_;
    std::map<endpoint_id, endpoint_work> others_;
    std::map<instance_id, instance_report> reports_;
};

} // namespace sycamorelock::core::direct
