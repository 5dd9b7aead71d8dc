// Distributions and counters of the data plane, recorded by any thread.
#pragma once

#include "sycamorelock/adapters/answer_error.hpp"
#include "sycamorelock/adapters/caller_metrics.hpp"
#include "sycamorelock/adapters/listener_metrics.hpp"
#include "sycamorelock/core/messages.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace sycamorelock::adapters
{

/// A distribution of durations with fixed logarithmic buckets.
class latency_histogram
{
  public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(const latency_histogram&) = delete;
    latency_histogram& operator=(const latency_histogram&) = delete;

    void record(double seconds);
    /// Appends Prometheus text; the name goes without the common prefix.
    void print(std::string& out, const std::string& name,
               const char* help) const;
    /// Appends the samples only, with further labels such as `service="x"`.
    void print_samples(std::string& out, const std::string& name,
                       const std::string& labels) const;

  private:
    struct state;
    std::unique_ptr<state> state_;
};

/// What the data plane measures.
struct traffic_metrics
{
    latency_histogram queue_wait;
    latency_histogram first_byte;
    latency_histogram relay_delay;
    std::atomic<std::uint64_t> connections{0};
    std::atomic<std::uint64_t> bad_requests{0};
    std::atomic<std::uint64_t> tokens{0};
    std::atomic<std::uint64_t> endpoint_connects{0};
    /// Answers given up as a part of them had no end.
    std::atomic<std::uint64_t> endpoint_endless{0};
    /// Answers that were not passed on, or cut, by `answer_error`.
    std::array<std::atomic<std::uint64_t>, answer_error_count>
        answers_refused{};
    /// Answers given up as a part of their stream was no event.
    std::atomic<std::uint64_t> malformed_events{0};
    std::atomic<std::uint64_t> platform_bytes{0};
    std::atomic<std::uint64_t> platform_calls{0};
    caller_metrics requests;
    listener_metrics callers{"caller"};
    listener_metrics operators{"operator"};
};

/// Counters of the links to other instances.
struct peer_metrics
{
    std::atomic<std::uint64_t> sent_bytes{0};
    std::atomic<std::uint64_t> received_bytes{0};
    std::atomic<std::uint64_t> sent_messages{0};
    std::atomic<std::uint64_t> received_messages{0};
    /// Messages sent, by their index in `core::peer_message`.
    std::array<std::atomic<std::uint64_t>, core::message_type_count>
        sent_by_type{};
    std::atomic<std::uint64_t> dropped_full{0};
    std::atomic<std::uint64_t> dropped_invalid{0};
    std::atomic<std::uint64_t> unreadable_connections{0};
};

} // namespace sycamorelock::adapters
