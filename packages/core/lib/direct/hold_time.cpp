// The mean is arithmetic over the first requests and exponentially weighted
// afterwards.
#include "sycamorelock/core/direct/hold_time.hpp"

namespace sycamorelock::core::direct
{

void hold_time::observe(double held_ms)
{
    observed_ = std::min(observed_ + 1, averaged_requests);
    mean_ms_ +=
        (std::max(0.0, held_ms) - mean_ms_) / static_cast<double>(observed_);
}

} // namespace sycamorelock::core::direct
