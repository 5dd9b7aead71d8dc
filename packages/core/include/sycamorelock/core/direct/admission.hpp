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
    /// Rest of the response-time objective of the request's own route, in ms.
    double objective_ms = 0;
    /// Shortest objective among the routes to the service, in ms.
    double tightest_objective_ms = 0;
    /// Time until the caller gives up, in ms.
    double time_left_ms = 0;
    /// Predicted time from the end of the wait to the first token, in ms.
    double service_ms = 0;
    /// Factor by which observed times to the first token exceed predicted ones.
    double error_factor = 1;
    /// Whether the caller was refused, told when to return, and has.
    bool is_return = false;
    /// Wait, in ms, that promised returns will add to others.
    double promised_ms = 0;
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

    /// Allowed wait of an account relative to that of one within its share;
    /// negative if its requests are refused whatever the wait.
    [[nodiscard]] double relative_wait(const account_standing& standing) const;

  private:
    [[nodiscard]] double
    max_wait_fraction(const account_standing& standing) const;

    mechanism_set mechanisms_;
};
static_assert(admission_policy<uniform_admission>);

/// Limits each request by its own objective, size, urgency and account.
///
/// A request is admitted if its first token is predicted within its objective.
/// When not all requests fit, the order is: callers that return as they were
/// told, whose time to the objective runs from their first attempt and who are
/// served even if they are late; then accounts within their share, then
/// accounts beyond it, which use what is left, at last only endpoints without a
/// wait; among accounts that are not compared with a share, the most urgent
/// requests before others; then requests with a short prefill before those with
/// a long one. No wait exceeds a limit that is the same for all routes to the
/// service, so that requests with a long objective leave room for those with a
/// short one. A request that an almost idle endpoint cannot serve within its
/// objective is still admitted, since it displaces no other.
class objective_admission
{
  public:
    explicit objective_admission(const mechanism_set& mechanisms)
        : shares_(mechanisms)
    {
    }
    [[nodiscard]] double max_wait_ms(const admission_query& query) const;

  private:
    uniform_admission shares_;
};
static_assert(admission_policy<objective_admission>);

} // namespace sycamorelock::core::direct
