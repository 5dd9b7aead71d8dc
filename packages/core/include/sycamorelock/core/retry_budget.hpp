// Token bucket that keeps retries a fraction of the requests, so that retries
// cannot multiply a failure.
#pragma once

#include <algorithm>

namespace sycamorelock::core
{

class retry_budget
{
  public:
    /// `ratio` retries are earned by each request; `burst` can be saved.
    explicit retry_budget(double ratio = 0.2, double burst = 20)
        : ratio_(ratio), burst_(burst), tokens_(burst)
    {
    }

    void earn() { tokens_ = std::min(burst_, tokens_ + ratio_); }

    /// Takes one retry from the budget; returns false when it is spent.
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
