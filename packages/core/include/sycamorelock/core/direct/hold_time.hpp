// Estimates how long requests occupy a slot of an endpoint, from completed
// requests, and how long the next request waits for a slot. The configuration
// has no such value.
#pragma once

#include <algorithm>
#include <cstddef>

namespace sycamorelock::core::direct
{

/// Mean time for which requests of one service occupy a slot, over the requests
/// that this instance sent.
class hold_time
{
  public:
    /// Number of requests over which the mean is taken. The mean follows a new
    /// release of the service within seconds, and one long answer changes it by
    /// a twentieth of its deviation.
    static constexpr std::size_t averaged_requests = 20;

    /// \param initial_ms mean until the first request has completed.
    explicit hold_time(double initial_ms = 0) : mean_ms_(initial_ms) {}

    /// Records a request that succeeded `held_ms` after it was sent.
    void observe(double held_ms);

    [[nodiscard]] double mean_ms() const { return mean_ms_; }

    /// Returns the wait for a slot of an endpoint with `requests` unfinished
    /// requests, assuming that slots become free evenly over the mean; 0 if a
    /// slot is free.
    [[nodiscard]] double wait_ms(double requests, double slots) const
    {
        return std::max(0.0, requests + 1 - slots) / slots * mean_ms_;
    }

  private:
    double mean_ms_;
    std::size_t observed_ = 0;
};

} // namespace sycamorelock::core::direct
