// Model of an engine for tests and experiments: continuous batching, chunked
// prefill, a KV cache of prompt parts with LRU eviction, and no priorities. The
// caller advances its time, in ms.
#pragma once

#include "sycamorelock/core/direct/prefix_cache.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <unordered_map>
#include <vector>

namespace model
{

/// Parameters of one engine. The defaults are those of current deployments.
struct engine_parameters
{
    /// Duration of a step: a constant, and a part for each request in the
    /// batch.
    double step_ms = 5.2;
    double step_ms_per_running = 0.037;
    /// Speed of the prefill without attention.
    double tokens_per_ms = 50;
    /// Attention time of the prefill for each million pairs of a token and one
    /// that precedes it in the prompt.
    double ms_per_million_pairs = 0.37;
    /// Most prompt tokens that one step prefills.
    double chunk_tokens = 2048;
    /// Capacity of the KV cache.
    double kv_capacity_tokens = 600000;
    /// Largest number of requests in the batch.
    unsigned slots = 64;
    /// Factor on the duration of all steps.
    double slowdown = 1;
};

/// A request as the engine receives it.
struct engine_request
{
    std::uint64_t id = 0;
    /// Parts of the prompt in order. All but the last may be shared with other
    /// requests.
    std::vector<sycamorelock::core::direct::prompt_part> parts;
    double prompt_tokens = 0;
    double output_tokens = 0;
};

/// An engine that processes requests in simulated time.
class engine_model
{
  public:
    /// Called with the request's ID and the time of its first token or of its
    /// completion.
    using listener = std::function<void(std::uint64_t id, double at_ms)>;

    engine_model(engine_parameters parameters, listener on_first_token,
                 listener on_completed);

    void submit(const engine_request& request);
    /// Removes a request, whether it waits or runs. No listener is called.
    void cancel(std::uint64_t id);
    /// Length of the prompt's cached prefix.
    [[nodiscard]] double cached_prefix_tokens(
        const std::vector<sycamorelock::core::direct::prompt_part>& parts)
        const;
    /// Adds a prompt's prefix that was fetched from another engine to the KV
    /// cache, up to the first part that exceeds `tokens`.
    void add_fetched_prefix(
        const std::vector<sycamorelock::core::direct::prompt_part>& parts,
        double tokens);
    /// Runs steps until the time is reached. The last step may end after it.
    void run_until(double at_ms);
    void set_slowdown(double slowdown) { parameters_.slowdown = slowdown; }

    /// Number of requests that run or wait.
    [[nodiscard]] std::size_t open_requests() const
    {
        return batch_.size() + waiting_.size();
    }
    /// Prompt tokens to prefill of all requests that have entered the batch.
    [[nodiscard]] double prefilled_tokens() const { return prefilled_tokens_; }
    /// Tokens of shared prompt parts that were cached before, have been evicted
    /// and had to be prefilled again.
    [[nodiscard]] double repeated_prefill_tokens() const
    {
        return repeated_prefill_tokens_;
    }

  private:
    struct running_request
    {
        engine_request request;
        double cached_tokens = 0;
        /// Prompt tokens that remain to be prefilled.
        double prefill_left = 0;
        double generated_tokens = 0;
        bool first_token_sent = false;
    };

    /// Moves waiting requests into free slots of the batch.
    void admit();
    /// Prefills up to `chunk_tokens` in the order of the batch. Returns the
    /// time that this takes, in ms.
    double prefill_chunk();
    void step();
    /// Returns the length of the prompt's cached prefix and adds the whole
    /// prompt to the KV cache, where it counts as cached before its prefill.
    double look_up_and_insert(const engine_request& request);
    void insert(const sycamorelock::core::direct::prompt_part& part);
    void evict_least_recent();

    engine_parameters parameters_;
    listener on_first_token_;
    listener on_completed_;
    double now_ms_ = 0;
    std::deque<engine_request> waiting_;
    std::list<running_request> batch_;
    /// KV cache, most recently used part first.
    std::list<sycamorelock::core::direct::prompt_part> lru_;
    std::unordered_map<
        std::uint64_t,
        std::list<sycamorelock::core::direct::prompt_part>::iterator>
        index_;
    /// Keys of all parts that have ever been in the KV cache.
    std::unordered_map<std::uint64_t, bool> ever_cached_;
    double cached_tokens_ = 0;
    double prefilled_tokens_ = 0;
    double repeated_prefill_tokens_ = 0;
};

} // namespace model
