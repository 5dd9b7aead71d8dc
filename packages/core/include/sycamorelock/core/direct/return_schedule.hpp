// Times at which refused callers may return.
#pragma once

#include "sycamorelock/core/strong_types.hpp"

#include <array>
#include <cstddef>
#include <optional>

namespace sycamorelock::core::direct
{

/// Callers wait for at most this part of the time that they have left.
constexpr int budget_divisor = 3;

/// A sum of amounts that decays exponentially, so that promises that no caller
/// redeems are forgotten.
class decaying_sum
{
  public:
    /// Longer than most pauses, since the sum must outlast them.
    static constexpr duration time_constant = std::chrono::seconds(6);

    void add(time_point now, double amount);
    [[nodiscard]] double at(time_point now) const;
    /// Part of an amount that is left at this age.
    [[nodiscard]] static double left(duration age);

  private:
    double sum_ = 0;
    time_point at_;
};

/// What a place for a return is sought for.
struct return_query
{
    /// Time after which there is room for the request.
    duration earliest{0};
    /// Longest pause that the caller will wait.
    duration in_budget{0};
    double tokens = 0;
    /// Tokens per second for which returns may be promised.
    double tokens_per_second = 0;
};

/// Work that is promised room at this instance's part of the engines, in short
/// slots of time. It is bounded, and lost with the process.
class return_schedule
{
  public:
    /// Reserves the earliest place that is left. Empty if there is none within
    /// the caller's budget.
    std::optional<duration> reserve(time_point now, const return_query& query);
    /// Tokens that are promised room from now until the end of the time.
    [[nodiscard]] double promised(time_point now, duration within) const;

  private:
    static constexpr duration slot_length = std::chrono::milliseconds(100);
    static constexpr std::size_t slot_count = 64;
    /// Number of adjacent slots whose room one request may use. A slot of its
    /// own is shorter than the service of a request.
    static constexpr std::int64_t window = 5;
    struct slot
    {
        std::int64_t number = -1;
        double tokens = 0;
    };

    [[nodiscard]] static std::int64_t number_at(time_point at);
    [[nodiscard]] double tokens_in(std::int64_t number) const;

    std::array<slot, slot_count> slots_{};
};

} // namespace sycamorelock::core::direct
