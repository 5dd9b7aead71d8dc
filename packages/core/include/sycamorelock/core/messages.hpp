// Messages between instances as plain data. The wire package encodes them.
#pragma once

#include "sycamorelock/core/crash_tracker.hpp"
#include "sycamorelock/core/reasons.hpp"
#include "sycamorelock/core/strong_types.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sycamorelock::core
{

/// Version of a configuration. The digest orders two documents that were
/// published under the same number, so that all instances converge on one.
struct config_version
{
    std::uint64_t number = 0;
    std::uint64_t digest = 0;

    auto operator<=>(const config_version&) const = default;
};

/// Latest heartbeat counter that an instance knows of another instance.
struct heartbeat
{
    instance_id instance;
    std::uint32_t incarnation = 0;
    std::uint32_t counter = 0;
    /// The instance is shutting down.
    bool leaving = false;
};

/// Gossips heartbeat counters and the versions that are in force at the sender.
struct gossip
{
    std::vector<heartbeat> heartbeats;
    config_version config;
    std::uint64_t membership_version = 0;
};

/// Queues a request for a slot. The entry repeats the message while the request
/// waits; repeats are idempotent.
struct enqueue
{
    request_id request;
    std::uint32_t attempt = 0;
    shard_id shard;
    account_id account;
    std::uint8_t urgency = 3;
    cost estimate;
    /// Time until the deadline.
    std::chrono::milliseconds time_left{0};
    /// Hash of the prompt's prefix.
    std::uint32_t prefix = 0;
    /// Endpoint of the previous attempt, if any; another endpoint is preferred.
    endpoint_id tried;
    /// Time on the entry's clock, which the grant echoes.
    std::chrono::milliseconds entry_clock{0};
    /// Set when a scheduler moved the request to another shard.
    bool moved = false;
    /// Set when a previous owner of the shard queued or forwarded the request.
    bool requeued = false;
};

/// Removes a waiting request from the queue or returns an unused grant.
struct withdraw
{
    request_id request;
    std::uint32_t attempt = 0;
    shard_id shard;
};

/// Grants a slot to a request. `echo` is the latest time on the entry's clock
/// that the scheduler has received. An entry that was suspended detects a stale
/// grant by an old echo.
struct grant
{
    request_id request;
    std::uint32_t attempt = 0;
    shard_id shard;
    endpoint_id endpoint;
    std::chrono::milliseconds echo{0};
};

/// Requests that the scheduler repeat a grant with an old echo if the grant is
/// still valid.
struct confirm
{
    request_id request;
    std::uint32_t attempt = 0;
    shard_id shard;
    std::chrono::milliseconds entry_clock{0};
};

/// Final refusal of a slot by the scheduler.
struct reject
{
    request_id request;
    std::uint32_t attempt = 0;
    refusal_reason reason = refusal_reason::queue_full;
    std::chrono::milliseconds retry_after{0};
};

/// Renews the leases of running requests and reports their cost so far.
struct renew
{
    struct item
    {
        request_id request;
        std::uint32_t attempt = 0;
        cost so_far;
    };
    shard_id shard;
    std::chrono::milliseconds entry_clock{0};
    std::vector<item> items;
};

/// Transfers a running request to the new owner of its shard.
struct adopt
{
    request_id request;
    std::uint32_t attempt = 0;
    shard_id shard;
    account_id account;
    endpoint_id endpoint;
    cost so_far;
    cost estimate;
};

/// How an attempt ended, for slot accounting and outlier detection.
enum class attempt_outcome : std::uint8_t
{
    completed,
    /// The grant was returned without an attempt.
    unused,
    endpoint_failed,
    caller_left,
};

/// Frees a slot and reports the final cost.
struct release
{
    request_id request;
    std::uint32_t attempt = 0;
    shard_id shard;
    cost total;
    attempt_outcome outcome = attempt_outcome::completed;
    /// Mean time between two tokens as observed at the entry; zero if unknown.
    duration token_delay{0};
};

/// Load report of the scheduler of one shard to the other schedulers of its
/// service, on which they move waiting requests between shards.
struct advert
{
    shard_id shard;
    /// Number of requests that the sender accepts from other shards: its free
    /// slots, and what its queue lacks to its target length.
    std::uint32_t wanted = 0;
    /// Number of waiting requests.
    std::uint32_t backlog = 0;
    /// Virtual time of the request that the sender serves next.
    virtual_time next;
};

/// Service given by one scheduler to each client account, as running totals, so
/// that the next message also covers a lost one.
struct service_report
{
    struct item
    {
        account_id account;
        std::int64_t total = 0;
        /// Whether requests of the account wait at the sender.
        bool waiting = false;
        /// Set if the account's virtual time was raised since the previous
        /// report: the raised virtual time minus the service that it includes.
        /// That service is left out because the receiver adds it from the
        /// totals, and would otherwise count it twice.
        std::optional<virtual_time> lifted_to;
    };
    shard_id shard;
    /// Identifies one sequence of totals. A scheduler that lost its totals
    /// starts a new epoch.
    std::uint32_t epoch = 0;
    std::vector<item> items;
};

/// Requests the virtual times of another scheduler of the same service.
struct snapshot_request
{
    shard_id shard;
};

/// Virtual times of all accounts known to a scheduler, and the running totals
/// that they include, so that the receiver counts all service exactly once.
struct snapshot
{
    struct item
    {
        account_id account;
        /// Virtual time of the account.
        virtual_time at;
    };
    struct account_total
    {
        account_id account;
        std::int64_t total = 0;
    };
    /// Totals of one scheduler of the service in one epoch.
    struct included_totals
    {
        shard_id shard;
        std::uint32_t epoch = 0;
        std::vector<account_total> items;
    };
    shard_id shard;
    /// System virtual time of the sender's fair queue.
    virtual_time system;
    std::vector<item> items;
    std::vector<included_totals> included;
};

/// UUIDv7 (RFC 9562) as sent by the caller, with its client account.
struct idempotency_key
{
    account_id account;
    std::array<std::uint8_t, 16> bytes{};

    auto operator<=>(const idempotency_key&) const = default;
};

/// Claims a key at its owner for a request that must not run more than once.
struct claim
{
    request_id request;
    idempotency_key key;
    std::uint64_t membership_version = 0;
};

/// Answer of a key owner to a claim.
enum class claim_verdict : std::uint8_t
{
    granted,
    /// Another request has claimed the key.
    duplicate,
    /// The key is malformed, or the owner cannot know whether it was claimed.
    outside_memory,
    /// The receiver does not own the key, or the membership versions of sender
    /// and receiver differ.
    not_owner,
    /// The receiver sees no majority of the listed instances as live.
    no_majority,
    table_full,
};

struct claim_result
{
    request_id request;
    claim_verdict verdict = claim_verdict::granted;
    std::chrono::milliseconds retry_after{0};
};

/// Releases the key of a request that was never sent to an endpoint.
struct claim_release
{
    request_id request;
    idempotency_key key;
};

/// Requests the receiver's configuration and member list if they are newer than
/// the sender's.
struct config_request
{
    /// Version of the sender's configuration.
    config_version have;
    std::uint64_t membership_version = 0;
};

/// The operators' configuration as the platform published it.
struct config_document
{
    std::uint64_t version = 0;
    std::string text;
};

/// The platform's member list, which instances copy to each other.
struct membership_document
{
    std::string text;
};

/// Evidence of requests that crash endpoints.
struct crash_report
{
    std::vector<crash_note> notes;
};

using peer_message =
    std::variant<gossip, enqueue, withdraw, grant, confirm, reject, renew,
                 adopt, release, advert, service_report, snapshot_request,
                 snapshot, claim, claim_result, claim_release, config_request,
                 config_document, membership_document, crash_report>;

constexpr std::size_t message_type_count = std::variant_size_v<peer_message>;

/// Returns the name of a message type, as in metrics, by its index in
/// `peer_message`.
std::string_view message_type_name(std::size_t index);

} // namespace sycamorelock::core
