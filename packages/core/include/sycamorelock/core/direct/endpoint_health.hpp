// How an endpoint has done lately: its speed against the prediction, failures,
// and whether it is set aside. Old experience fades, so that an endpoint that
// recovers is tried again.
#pragma once

#include "sycamorelock/core/strong_types.hpp"

namespace sycamorelock::core::direct
{

class endpoint_health
{
  public:
    /// A first token came: `actual` against `predicted` time.
    void first_token(time_point now, double actual_ms, double predicted_ms);
    void succeeded(time_point now);
    /// It failed a request that it may have run.
    void failed(time_point now);
    /// It could not be reached, or was silent for too long.
    void unreachable(time_point now);

    /// Observed time over predicted time, 1 if nothing is known.
    [[nodiscard]] double slowness(time_point now) const;
    /// Share of failures among recent requests.
    [[nodiscard]] double failure_rate(time_point now) const;
    [[nodiscard]] bool set_aside(time_point now) const
    {
        return now < aside_until_;
    }

  private:
    void note(time_point now, double failure);

    double log_slowness_ = 0;
    time_point slowness_at_;
    double failures_ = 0;
    time_point failures_at_;
    unsigned unreachable_in_a_row_ = 0;
    time_point aside_until_;
};

} // namespace sycamorelock::core::direct
