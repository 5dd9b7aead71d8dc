// Refusals with the time after which their callers are told to return.
#pragma once

#include "sycamorelock/core/direct/account_shares.hpp"
#include "sycamorelock/core/direct/refusal.hpp"

#include <random>

namespace sycamorelock::core::direct
{

/// Builds refusals whose retry delays differ between callers, so that they
/// return at different times. Each refusal takes one random number. Throws
/// nothing of its own.
class refusal_builder
{
  public:
    /// Shortest retry delay before it is randomised, in ms.
    static constexpr double min_delay_ms = 100;

    /// \param random must outlive this object.
    explicit refusal_builder(std::mt19937_64& random) : random_(random) {}

    /// Refuses with a retry delay from 0.5 to 1.5 times `pause_ms`.
    /// \param pause_ms mean retry delay, in ms; at least `min_delay_ms`
    /// applies.
    /// \param wait_ms predicted wait, in ms.
    [[nodiscard]] refusal_decision refuse(refusal reason, double pause_ms,
                                          double wait_ms);
    /// Refuses with a retry delay of at least `time`.
    [[nodiscard]] refusal_decision refuse_until(refusal reason, duration time);
    /// Refuses a request whose predicted wait, in ms, is longer than allowed.
    [[nodiscard]] refusal_decision
    refuse_for_load(refusal reason, double wait_ms, double allowed_ms);
    /// Refuses a request of an account that has consumed more than
    /// `uniform_admission::far_beyond_share_ratio` of its fair part.
    [[nodiscard]] refusal_decision
    refuse_excess_demand(const account_standing& standing);
    /// Returns a random time, in ms, from `ms` to 1.25 times `ms`.
    [[nodiscard]] double add_jitter(double ms);

  private:
    std::mt19937_64& random_;
};

} // namespace sycamorelock::core::direct
