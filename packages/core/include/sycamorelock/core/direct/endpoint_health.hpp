// Recent health of an endpoint: its slowdown factor, its failure rate, and
// whether it is ejected. Past observations decay, so that an endpoint that has
// recovered is used again.
#pragma once

#include "sycamorelock/core/strong_types.hpp"

namespace sycamorelock::core::direct
{

/// Exponentially decaying averages of the outcomes that one instance observed
/// at one endpoint.
class endpoint_health
{
  public:
    /// Records the observed and the predicted time to the first token.
    void record_first_token(time_point now, double actual_ms,
                            double predicted_ms);
    /// Records a request that succeeded.
    void succeeded(time_point now);
    /// Records a failure of a request that the endpoint may have executed.
    void failed(time_point now);
    /// Records that the endpoint could not be reached or sent nothing within
    /// its timeout, and ejects it: for 500 ms at first, and for twice as long
    /// after each further such failure in a row, up to 4 s.
    void unreachable(time_point now);

    /// Slowdown factor: observed over predicted time, 1 if nothing is known.
    [[nodiscard]] double slowdown(time_point now) const;
    /// Fraction of recent requests that failed, from 0 to 1.
    [[nodiscard]] double failure_rate(time_point now) const;
    /// Whether the endpoint is ejected: it was unreachable a short time ago.
    [[nodiscard]] bool is_ejected(time_point now) const
    {
        return now < ejected_until_;
    }

  private:
    /// \param failure 1 for a failed request, 0 for one that succeeded.
    void record_outcome(time_point now, double failure);

    double log_slowdown_ = 0;
    time_point slowdown_at_;
    double failure_rate_ = 0;
    time_point failure_rate_at_;
    unsigned consecutive_unreachable_ = 0;
    time_point ejected_until_;
};

} // namespace sycamorelock::core::direct
