// Token bucket that limits retries to a fraction of the requests, so that
// retries cannot amplify the load during a failure.
#pragma once

#include <algorithm>

namespace sycamorelock::core
{

/// Budget of retries that grows with the number of requests.
class retry_budget
{
  public:
    /// \param ratio retries that each request adds to the budget.
    /// \param burst largest budget, which is also the initial one.
    explicit retry_budget(double ratio = 0.2, double burst = 20)
        : ratio_(ratio), burst_(burst), tokens_(burst)
    {
    }

    /// Adds the share of one request to the budget.
    void earn() { tokens_ = std::min(burst_, tokens_ + ratio_); }

    /// Takes one retry from the budget; returns false if less than one
    /// is left.
    bool spend()
    {
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }

  private:
    double ratio_;
    double burst_;
    double tokens_;
};

} // namespace sycamorelock::core
