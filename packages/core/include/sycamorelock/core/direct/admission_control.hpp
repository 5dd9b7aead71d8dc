// Decides whether a request is admitted: the longest wait that it may have, and
// the reason of the refusal if the predicted wait is longer.
#pragma once

#include "sycamorelock/core/direct/admission.hpp"
#include "sycamorelock/core/direct/catalogue.hpp"
#include "sycamorelock/core/direct/mechanism.hpp"
#include "sycamorelock/core/direct/refusal.hpp"
#include "sycamorelock/core/direct/request_profile.hpp"
#include "sycamorelock/core/direct/return_promises.hpp"

#include <optional>

namespace sycamorelock::core::direct
{

/// Applies the admission policies to the requests of one instance. Changes no
/// state and throws nothing of its own.
class admission_control
{
  public:
    /// What the admission of requests to a service depends on.
    struct service_conditions
    {
        const service& service_info;
        /// Whether requests of the service are admitted by their own
        /// objectives.
        bool by_objective = false;
        /// Mean processing time, in ms, of a request to a plain service.
        double plain_work_ms = 0;
        /// Factor by which observed times to the first token exceed predicted
        /// ones.
        double error_factor = 1;
        /// Whether the account is underserved, so that its consumption is not
        /// compared with its share.
        bool is_underserved = false;
    };
    /// Predicted wait at the endpoint that was chosen.
    struct predicted_wait
    {
        double ms = 0;
        /// The wait comes from a default estimate, not from observations.
        bool is_unreliable = false;
    };

    /// All arguments must outlive this object.
    admission_control(const catalogue& config, const return_promises& promises,
                      const mechanism_set& mechanisms);

    /// Longest allowed wait, in ms; a request with a longer one is refused.
    /// Negative if the request is refused whatever the wait.
    /// \param service_ms predicted time from the end of the wait to the first
    /// token.
    [[nodiscard]] double max_wait_ms(time_point now,
                                     const request_profile& request,
                                     const service_conditions& conditions,
                                     double service_ms) const;
    /// Returns why a request with this wait is refused; empty if it is
    /// admitted. An unreliable wait that ends before the deadline is no reason.
    /// \param allowed_ms longest allowed wait.
    [[nodiscard]] static std::optional<refusal>
    verdict(time_point now, const request_profile& request,
            const predicted_wait& wait, double allowed_ms);

  private:
    const catalogue& config_;
    const return_promises& promises_;
    const mechanism_set& mechanisms_;
};

} // namespace sycamorelock::core::direct
