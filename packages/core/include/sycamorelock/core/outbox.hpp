// Collects the results of decisions: messages to instances, actions of the
// local data plane, and events for logs and counters.
#pragma once

#include "sycamorelock/core/messages.hpp"

#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace sycamorelock::core
{

/// Sends a request to an endpoint. The data plane must not send a byte after
/// `valid_until`.
struct dispatch
{
    request_id request;
    std::uint32_t attempt = 0;
    endpoint_id endpoint;
    time_point valid_until;
};

/// Answers the caller with a refusal.
struct refuse
{
    request_id request;
    refusal_reason reason = refusal_reason::queue_full;
    executed ran = executed::no;
    std::chrono::milliseconds retry_after{0};
};

/// Checks a configuration that another instance sent. The data plane calls
/// `install_config` if it is valid and does nothing otherwise.
struct check_config
{
    std::uint64_t version = 0;
    std::string text;
};

/// Checks a member list that another instance sent.
struct check_membership
{
    std::string text;
};

using action = std::variant<dispatch, refuse, check_config, check_membership>;

/// Numbers of the events that decisions emit. docs/EVENTS.md describes them.
enum class event_number : std::uint16_t
{
    instance_suspected = 2001,
    instance_returned = 2002,
    membership_installed = 2003,
    suspended_and_resumed = 2004,
    shard_acquired = 2101,
    shard_lost = 2102,
    lease_expired = 2103,
    endpoint_ejected = 2104,
    endpoint_restored = 2105,
    endpoint_leaving = 2106,
    grant_stale = 2201,
    attempt_retried = 2202,
    request_refused = 2203,
    request_completed = 2204,
    crash_evidence = 2205,
    key_duplicate = 2301,
    key_owner_reset = 2302,
    invariant_slots_exceeded = 2901,
    invariant_system_time_back = 2902,
    invariant_double_grant = 2903,
    invariant_version_down = 2904,
    invariant_double_end = 2905,
};

/// One occurrence of a numbered event.
struct event
{
    event_number number = event_number::request_refused;
    std::string detail;
};

/// Buffers the results of decisions. The node drains it after each input.
class outbox
{
  public:
    void send(instance_id to, peer_message content)
    {
        messages_[to].push_back(std::move(content));
    }
    void perform_action(action command)
    {
        actions_.push_back(std::move(command));
    }
    void record_event(event_number number, std::string detail = {})
    {
        events_.push_back({number, std::move(detail)});
    }
    void count_retry(retry_reason reason)
    {
        ++retries_.at(static_cast<std::size_t>(reason));
    }

    [[nodiscard]] auto take_messages() { return std::exchange(messages_, {}); }
    [[nodiscard]] auto take_actions() { return std::exchange(actions_, {}); }
    [[nodiscard]] auto take_events() { return std::exchange(events_, {}); }
    [[nodiscard]] const auto& retries() const { return retries_; }

  private:
    std::map<instance_id, std::vector<peer_message>> messages_;
    std::vector<action> actions_;
    std::vector<event> events_;
    std::array<std::uint64_t, retry_reason_count> retries_{};
};

} // namespace sycamorelock::core
