// Estimates the cost of a client account's requests to a service.
#pragma once

#include "sycamorelock/core/strong_types.hpp"

#include <map>
#include <optional>

namespace sycamorelock::core
{

class cost_estimator
{
  public:
    explicit cost_estimator(std::size_t max_entries = 20000);

    /// Estimates the cost of a request before it runs. Without earlier requests
    /// returns the hint or, without a hint, `default_estimate`. Afterwards the
    /// hint is only used scaled by the mean ratio of actual cost to hint,
    /// because hints are rough.
    [[nodiscard]] cost estimate(account_id account, service_id service,
                                std::optional<cost> hint,
                                cost default_estimate) const;
    /// Updates the means with the actual cost of a request.
    void learn(account_id account, service_id service, std::optional<cost> hint,
               cost actual);

  private:
    struct entry
    {
        /// Moving average of the actual cost.
        double mean = 0;
        /// Moving average of the actual cost divided by the hint.
        double hint_ratio = 1;
        bool hint_seen = false;
    };
    std::size_t max_entries_;
    std::map<std::pair<account_id, service_id>, entry> entries_;
};

} // namespace sycamorelock::core
