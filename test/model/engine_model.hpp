// A model engine for tests and experiments: continuous batching with chunked
// prompts, a cache of prompt parts with least recently used eviction, and no
// priorities. Time is given from outside, in ms.
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

/// Figures of one engine. The defaults are those of the deployments of today.
struct engine_figures
{
    double step_ms = 5.2;
    double step_ms_per_running = 0.037;
    double tokens_per_ms = 50;
    double ms_per_million_pairs = 0.37;
    double chunk_tokens = 2048;
    double memory_tokens = 600000;
    unsigned slots = 64;
    /// All times are multiplied by this.
    double slowness = 1;
};

struct engine_request
{
    std::uint64_t id = 0;
    std::vector<sycamorelock::core::direct::prompt_part> parts;
    double prompt_tokens = 0;
    double output_tokens = 0;
};

class engine_model
{
  public:
    /// Called with the request and the time of its first token, or its end.
    using listener = std::function<void(std::uint64_t id, double at_ms)>;

    engine_model(engine_figures figures, listener on_first, listener on_end);

    void submit(const engine_request& request);
    void cancel(std::uint64_t id);
    /// Tokens at the beginning of a prompt that it keeps now.
    [[nodiscard]] double
    kept(const std::vector<sycamorelock::core::direct::prompt_part>& parts)
        const;
    /// Takes the beginning of a prompt that came from another engine.
    void
    receive(const std::vector<sycamorelock::core::direct::prompt_part>& parts,
            double tokens);
    /// Runs the steps that end by then.
    void run_until(double at_ms);
    void set_slowness(double slowness) { figures_.slowness = slowness; }

    /// Requests that run or wait.
    [[nodiscard]] std::size_t open() const
    {
        return batch_.size() + waiting_.size();
    }
    [[nodiscard]] double tokens_read() const { return tokens_read_; }
    [[nodiscard]] double shared_read_again() const { return read_again_; }

  private:
    struct running
    {
        engine_request request;
        double cached = 0;
        double unread = 0;
        double made = 0;
        bool begun = false;
    };

    void admit();
    double read_chunk();
    void step();
    double use_cache(const engine_request& request);
    void keep(const sycamorelock::core::direct::prompt_part& part);
    void drop_oldest();

    engine_figures figures_;
    listener on_first_;
    listener on_end_;
    double now_ms_ = 0;
    std::deque<engine_request> waiting_;
    std::list<running> batch_;
    std::list<sycamorelock::core::direct::prompt_part> order_;
    std::unordered_map<
        std::uint64_t,
        std::list<sycamorelock::core::direct::prompt_part>::iterator>
        index_;
    std::unordered_map<std::uint64_t, bool> ever_read_;
    double kept_ = 0;
    double tokens_read_ = 0;
    double read_again_ = 0;
};

} // namespace model
