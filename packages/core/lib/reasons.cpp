// Text forms of refusal and retry reasons.
#include "sycamorelock/core/reasons.hpp"

#include <cassert>

namespace sycamorelock::core
{

std::string_view to_string(refusal_reason reason)
{
    static constexpr std::array<std::string_view, refusal_reason_count> texts{
        "queue_full",         "account_queue_full",    "deadline_too_close",
        "deadline_passed",    "no_endpoint",           "retries_exhausted",
        "retry_budget_spent", "endpoint_failed",       "duplicate_key",
        "key_outside_memory", "key_owner_unreachable", "too_many_requests",
        "not_ready",          "shutting_down",         "caller_left",
        "unauthenticated",    "unknown_service",       "bad_request",
        "body_too_large",     "quarantined",           "no_memory"};
    const auto index = static_cast<std::size_t>(reason);
    assert(index < texts.size() && "refusal reason without a text");
    return texts[index];
}

std::string_view to_string(retry_reason reason)
{
    static constexpr std::array<std::string_view, retry_reason_count> texts{
        "connect_failed", "nothing_sent", "idempotent_failed", "grant_stale",
        "owner_changed"};
    const auto index = static_cast<std::size_t>(reason);
    assert(index < texts.size() && "retry reason without a text");
    return texts[index];
}

std::string_view to_string(executed value)
{
    return value == executed::no ? "no" : "unknown";
}

} // namespace sycamorelock::core
