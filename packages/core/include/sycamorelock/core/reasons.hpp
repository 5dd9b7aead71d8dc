// Reasons for refusals and retries. Each has a counter and a text form.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace sycamorelock::core
{

/// Why a request is refused. The values are part of the wire format: append
/// only.
enum class refusal_reason : std::uint8_t
{
    queue_full,
    account_queue_full,
    deadline_too_close,
    deadline_passed,
    no_endpoint,
    retries_exhausted,
    retry_budget_spent,
    endpoint_failed,
    duplicate_key,
    /// The key is malformed, or its creation time lies outside the period for
    /// which its owner knows every claim.
    key_outside_memory,
    key_owner_unreachable,
    too_many_requests,
    not_ready,
    shutting_down,
    caller_left,
    unauthenticated,
    unknown_service,
    bad_request,
    body_too_large,
    /// Several endpoints have crashed under the request.
    quarantined,
    /// Callers hold as much memory of the instance as they may.
    no_memory,
};
inline constexpr std::size_t refusal_reason_count = 21;

/// Why an attempt is repeated.
enum class retry_reason : std::uint8_t
{
    connect_failed,
    nothing_sent,
    idempotent_failed,
    grant_stale,
    owner_changed,
};
inline constexpr std::size_t retry_reason_count = 5;

/// Whether a refused request was executed. `no` means that it certainly was
/// not.
enum class executed : std::uint8_t
{
    no,
    unknown,
};

std::string_view to_string(refusal_reason reason);
std::string_view to_string(retry_reason reason);
std::string_view to_string(executed value);

} // namespace sycamorelock::core
