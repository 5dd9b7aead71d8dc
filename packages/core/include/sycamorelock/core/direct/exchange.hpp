// Messages that instances exchange, as plain data. The wire package encodes
// them.
#pragma once

#include "sycamorelock/core/crash_tracker.hpp"
#include "sycamorelock/core/direct/account_shares.hpp"
#include "sycamorelock/core/direct/drained_domains.hpp"
#include "sycamorelock/core/direct/endpoint_registry.hpp"
#include "sycamorelock/core/direct/engine_estimator.hpp"
#include "sycamorelock/core/direct/load_ledger.hpp"
#include "sycamorelock/core/direct/prefix_cache.hpp"
#include "sycamorelock/core/direct/slowdown_tracker.hpp"
#include "sycamorelock/core/direct/stream_releases.hpp"

#include <optional>
#include <string>
#include <vector>

namespace sycamorelock::core::direct
{

using std::chrono::milliseconds;

/// Reports that an engine processes or has cached these prompt parts.
/// Receivers learn from it which prefixes the engine's KV cache holds and how
/// many requests use the prompt.
struct cache_note
{
    endpoint_id engine;
    std::vector<prompt_part> parts;
    /// Predicted time until the engine has finished the prefill of the parts.
    milliseconds due{0};
};

/// Performance figures of the engines of a service, as estimated by an
/// instance.
struct service_figures
{
    service_id service;
    prefill_cost_model figures;
};

/// State of another instance as the sender of a report knows it.
struct peer_status
{
    /// IP:port at which the instance receives reports.
    std::string address;
    std::uint64_t incarnation = 0;
    /// Number of the instance's newest report that the sender knows of.
    std::uint64_t report_number = 0;
    /// Failure domain, as a digest.
    domain_id domain;
};

/// Instances whose work and demands a report contains.
enum class report_part : std::uint8_t
{
    /// The sender only.
    own = 0,
    /// The sender only; the receiver is its aggregator and adds them to the sum
    /// of the failure domain.
    member = 1,
    /// All instances of the sender's failure domain.
    domain = 2,
    /// All instances except the receiver.
    rest = 3,
    /// None: the report contains the states of instances only.
    none = 4,
    /// None: the report contains copies of state that the receiver lacks.
    copy = 5,
};

/// An endpoint that is warming up, according to one revision of its entry in
/// the store.
struct warming_notice
{
    endpoint_id endpoint;
    std::uint64_t revision = 0;
    /// Remaining warm-up time when the report was sent.
    milliseconds left{0};
};

/// The operators' configuration as published by the platform.
struct config_copy
{
    std::uint64_t version = 0;
    std::string text;
};

/// The data that an instance has read from the platform's store, and its age.
/// An aggregator sends it to its members, which then need not read the store
/// themselves. Every report contains it, so that receivers can send a copy to
/// an instance whose data is older.
struct store_view
{
    /// The store's revision up to which the sender has read.
    std::uint64_t revision = 0;
    /// Time since the store last responded, or since an instance with a
    /// response from the store last confirmed this state.
    milliseconds age{0};
    /// Time for which the store has responded without an outage to at least one
    /// of the instances from which the sender has received reports.
    milliseconds uptime{0};
    /// Digest of all endpoint entries.
    std::uint64_t digest = 0;
    /// All endpoint entries; set only in a copy for an instance whose data is
    /// older.
    std::optional<std::vector<endpoint_record>> endpoints;
    /// The operators' drains of failure domains, always the complete list.
    std::vector<domain_drain> drains;
};

/// Periodic report of one instance. `work` and `demands` are complete states;
/// `notes`, `streams` and `crashes` contain only what was added since the
/// previous report.
struct exchange_report
{
    std::string sender;
    domain_id domain;
    report_part part = report_part::own;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;
    bool leaving = false;
    std::vector<peer_status> peers;
    std::uint64_t config_version = 0;
    std::optional<config_copy> config;
    std::vector<endpoint_work> work;
    std::vector<cache_note> notes;
    std::vector<account_demand> demands;
    std::vector<service_figures> figures;
    std::vector<warming_notice> warming;
    store_view store;
    /// The sender has started and does not know the contents of the engines'
    /// KV caches, so it requests a copy.
    bool wants_caches = false;
    /// Streams sent since the previous report whose release other instances
    /// cannot determine without this report.
    std::vector<stream_note> streams;
    /// The sender does not know which streams other instances have sent, so it
    /// requests a copy.
    bool wants_streams = false;
    /// The sender's endpoint listing was outdated and may have missed a
    /// release, so it requests the release history.
    bool wants_releases = false;
    /// The sender's release history; set only in a copy, together with
    /// `streams`.
    std::optional<release_history> releases;
    /// Evidence of requests that crash endpoints.
    std::vector<crash_note> crashes;
    /// Slowdowns that endpoints reported to the sender, or to the instances
    /// whose notes it relays.
    std::vector<slowdown_note> slowdowns;
};

} // namespace sycamorelock::core::direct
