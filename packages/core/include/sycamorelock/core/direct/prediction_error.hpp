// How far predicted times to the first token are off.
#pragma once

namespace sycamorelock::core::direct
{

/// Tracks a high quantile of observed over predicted time, so that an admitted
/// request is late only as often as the quantile allows.
class prediction_error
{
  public:
    /// Quantile that is tracked.
    static constexpr double quantile = 0.9;
    /// Bound of the factor. Predictions that are further off are not a reason
    /// to leave more than half of an objective unused.
    static constexpr double max_factor = 2;

    void observe(double observed_ms, double predicted_ms);
    /// Factor from 1 to `max_factor`.
    [[nodiscard]] double factor() const;

  private:
    double log_factor_ = 0;
};

} // namespace sycamorelock::core::direct
