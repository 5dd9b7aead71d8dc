// Admission: the longest predicted wait at which a request is still sent.
#pragma once

#include "sycamorelock/core/direct/account_shares.hpp"
#include "sycamorelock/core/direct/mechanism.hpp"
#include "sycamorelock/core/strong_types.hpp"

#include <concepts>

namespace sycamorelock::core::direct
{

/// What the admission of a request depends on.
struct admission_query
{
    /// Response-time objective of the request's own route, in ms.
    double objective_ms = 0;
    /// Shortest objective among the routes to the service, in ms.
    double tightest_objective_ms = 0;
    /// Time until the caller gives up, in ms.
    double time_left_ms = 0;
    account_standing standing;
    /// 0 is the most urgent.
    unsigned urgency = 1;
};

/// A policy returns the longest predicted wait, in ms, at which the request is
/// admitted. A negative limit refuses the request whatever the wait, before
/// endpoints are evaluated.
template <class Policy>
concept admission_policy = requires(const Policy& policy,
                                    const admission_query& query)
{
    {
        policy.max_wait_ms(query)
        } -> std::same_as<double>;
};

/// One limit for all requests of a service, which depends only on the standing
/// of the client account.
class uniform_admission
{
  public:
    /// An account that has consumed this multiple of its fair part is refused
    /// even if no request waits, as long as other accounts demand more than
    /// they receive: the throughput it leaves goes to them. Without this limit,
    /// an account whose prompts were cached on idle engines received three
    /// times as much as one whose engines were busy.
    static constexpr double far_beyond_share_ratio = 1.5;

    explicit uniform_admission(const mechanism_set& mechanisms)
        : mechanisms_(mechanisms)
    {
    }
    [[nodiscard]] double max_wait_ms(const admission_query& query) const;

  private:
    [[nodiscard]] double
    max_wait_fraction(const account_standing& standing) const;

    mechanism_set mechanisms_;
};
static_assert(admission_policy<uniform_admission>);

} // namespace sycamorelock::core::direct
