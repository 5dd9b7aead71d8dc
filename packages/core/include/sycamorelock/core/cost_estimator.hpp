// Learns what a client account's requests to a service cost.
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

    /// Estimate before a request runs. The hint counts only until true costs
    /// have been seen, because hints are rough.
    [[nodiscard]] cost estimate(account_id account, service_id service,
                                std::optional<cost> hint, cost first) const;
    void learn(account_id account, service_id service, std::optional<cost> hint,
               cost actual);

  private:
    struct entry
    {
        double mean = 0;
        /// Mean of true cost divided by hint.
        double hint_ratio = 1;
        bool hint_seen = false;
    };
    std::size_t max_entries_;
    std::map<std::pair<account_id, service_id>, entry> entries_;
};

} // namespace sycamorelock::core
