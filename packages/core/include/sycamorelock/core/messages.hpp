// Messages between instances, as plain data. The wire package encodes them.
#pragma once

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

/// Position in the sequence of configurations. The digest orders two documents
/// that were published under one version, so that all instances settle on one.
struct config_version
{
    std::uint64_t number = 0;
    std::uint64_t digest = 0;

    auto operator<=>(const config_version&) const = default;
};

/// What an instance knows of another's liveness.
struct heartbeat
{
    instance_id instance;
    std::uint32_t incarnation = 0;
    std::uint32_t counter = 0;
    bool leaving = false;
};

/// Gossip of heartbeat counters and of the versions in force at the sender.
struct gossip
{
    std::vector<heartbeat> heartbeats;
    config_version config;
    std::uint64_t membership_version = 0;
};

/// Asks for a slot. Repeated while the request waits; repeats are idempotent.
struct enqueue
{
    request_id request;
    std::uint32_t attempt = 0;
    shard_id shard;
    account_id account;
    std::uint8_t urgency = 3;
    cost estimate;
    std::chrono::milliseconds time_left{0};
    std::uint32_t prefix = 0;
    /// Endpoint of the attempt before, if any; another one is preferred.
    endpoint_id tried;
    /// Clock of the entry, echoed in the grant.
    std::chrono::milliseconds entry_clock{0};
    /// Set when a scheduler moved the request to another shard.
    bool moved = false;
    /// Set when the request waited at, or was passed on by, a previous owner of
    /// the shard.
    bool requeued = false;
};

/// Withdraws a waiting request or hands back an unused grant.
struct withdraw
{
    request_id request;
    std::uint32_t attempt = 0;
    shard_id shard;
};

/// Gives a slot to a request. `echo` is the newest entry clock that the
/// scheduler had seen; an entry that was suspended recognises an old one.
struct grant
{
    request_id request;
    std::uint32_t attempt = 0;
    shard_id shard;
    endpoint_id endpoint;
    std::chrono::milliseconds echo{0};
};

/// Asks the scheduler whether a grant with an old echo still stands.
struct confirm
{
    request_id request;
    std::uint32_t attempt = 0;
    shard_id shard;
    std::chrono::milliseconds entry_clock{0};
};

/// Final answer of a scheduler: the request will not get a slot.
struct reject
{
    request_id request;
    std::uint32_t attempt = 0;
    refusal_reason reason = refusal_reason::queue_full;
    std::chrono::milliseconds retry_after{0};
};

/// Renews the lease of running requests and reports the cost so far.
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

/// Tells a new owner of a shard about a request that already runs.
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
    unused,
    endpoint_failed,
    caller_left,
};

/// Frees a slot and reports the true cost.
struct release
{
    request_id request;
    std::uint32_t attempt = 0;
    shard_id shard;
    cost total;
    attempt_outcome outcome = attempt_outcome::completed;
    /// Mean delay between tokens as the entry saw it; zero if unknown.
    duration token_delay{0};
};

/// What the scheduler of one shard tells the others of its service.
struct advert
{
    shard_id shard;
    /// Requests that it could take without delay or keeps too few of.
    std::uint32_t wanted = 0;
    std::uint32_t backlog = 0;
    virtual_time next;
};

/// Service given by one scheduler, per client account, as running totals.
/// Totals make a lost message harmless: the next one carries it too.
struct service_report
{
    struct item
    {
        account_id account;
        std::int64_t total = 0;
        /// Whether requests of the account wait at the sender.
        bool waiting = false;
        /// Set when the account was lifted since the previous report: its
        /// virtual time less the service that it includes. Without that part
        /// a receiver does not count service twice that it hears of later.
        std::optional<virtual_time> lifted_to;
    };
    shard_id shard;
    /// Start of the totals; changes when the scheduler loses them.
    std::uint32_t epoch = 0;
    std::vector<item> items;
};

/// Asks another scheduler of the service for its virtual times.
struct snapshot_request
{
    shard_id shard;
};

/// Virtual times of every account known to a scheduler, and the running totals
/// that they include, so that the receiver counts no service twice or never.
struct snapshot
{
    struct item
    {
        account_id account;
        virtual_time at;
    };
    struct account_total
    {
        account_id account;
        std::int64_t total = 0;
    };
    /// Totals of one scheduler of the service in one of its epochs.
    struct included_totals
    {
        shard_id shard;
        std::uint32_t epoch = 0;
        std::vector<account_total> items;
    };
    shard_id shard;
    virtual_time system;
    std::vector<item> items;
    std::vector<included_totals> included;
};

/// UUIDv7 as sent by the caller, with the account it belongs to.
struct idempotency_key
{
    account_id account;
    std::array<std::uint8_t, 16> bytes{};

    auto operator<=>(const idempotency_key&) const = default;
};

/// Asks the key owner for the right to run a request that may run once only.
struct claim
{
    request_id request;
    idempotency_key key;
    std::uint64_t membership_version = 0;
};

/// What a key owner says to a claim.
enum class claim_verdict : std::uint8_t
{
    granted,
    duplicate,
    outside_memory,
    not_owner,
    no_majority,
    table_full,
};

struct claim_result
{
    request_id request;
    claim_verdict verdict = claim_verdict::granted;
    std::chrono::milliseconds retry_after{0};
};

/// Tells the key owner that the claimed request was never sent.
struct claim_release
{
    request_id request;
    idempotency_key key;
};

/// Asks for whatever the receiver has that is newer.
struct config_request
{
    config_version have;
    std::uint64_t membership_version = 0;
};

/// The operators' tree as the platform published it.
struct config_document
{
    std::uint64_t version = 0;
    std::string text;
};

/// The platform's list of members, copied between instances.
struct membership_document
{
    std::string text;
};

using peer_message =
    std::variant<gossip, enqueue, withdraw, grant, confirm, reject, renew,
                 adopt, release, advert, service_report, snapshot_request,
                 snapshot, claim, claim_result, claim_release, config_request,
                 config_document, membership_document>;

constexpr std::size_t message_type_count = std::variant_size_v<peer_message>;

/// Name of a kind of message, by its index in `peer_message`, as in metrics.
std::string_view message_type_name(std::size_t index);

} // namespace sycamorelock::core
