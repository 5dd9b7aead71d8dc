// What instances tell each other, as plain data. The wire package encodes it.
#pragma once

#include "sycamorelock/core/direct/account_shares.hpp"
#include "sycamorelock/core/direct/drained_domains.hpp"
#include "sycamorelock/core/direct/endpoint_registry.hpp"
#include "sycamorelock/core/direct/engine_estimator.hpp"
#include "sycamorelock/core/direct/load_ledger.hpp"
#include "sycamorelock/core/direct/prefix_cache.hpp"
#include "sycamorelock/core/direct/stream_releases.hpp"

#include <optional>
#include <string>
#include <vector>

namespace sycamorelock::core::direct
{

using std::chrono::milliseconds;

/// An engine reads these parts; told so that all know what it keeps, and how
/// many ask about the prompt.
struct cache_note
{
    endpoint_id engine;
    std::vector<prompt_part> parts;
    /// Predicted time until the engine has read them.
    milliseconds due{0};
};

/// What an instance has learned of the engines of a service.
struct service_figures
{
    service_id service;
    engine_figures figures;
};

/// Another instance as the sender knows it.
struct peer_sight
{
    /// IP:port of its exchange.
    std::string address;
    std::uint64_t incarnation = 0;
    /// Number of its newest report that the sender knows of.
    std::uint64_t heard = 0;
    /// Failure domain, as a digest.
    domain_id domain;
};

/// Whose work and demands a report holds.
enum class report_part : std::uint8_t
{
    /// The sender's own.
    own = 0,
    /// The sender's own, for it to be summed up by the receiver.
    member = 1,
    /// Those of the sender's whole failure domain.
    domain = 2,
    /// Those of all instances but the receiver.
    rest = 3,
    /// None: the report only tells of instances.
    none = 4,
    /// None: the report brings an instance what it could not read.
    copy = 5,
};

/// An endpoint that warms up, as its entry of a generation of the store said.
struct warming_notice
{
    endpoint_id endpoint;
    std::uint64_t revision = 0;
    /// From the sending of the report.
    milliseconds left{0};
};

/// The operators' configuration as the platform published it.
struct config_copy
{
    std::uint64_t version = 0;
    std::string text;
};

/// What an instance knows from the platform's store. An aggregator tells its
/// members, which need not read the store then; all tell it in every report, so
/// that whoever is behind is helped.
struct store_view
{
    /// The store's revision up to which the sender has read.
    std::uint64_t revision = 0;
    /// Time since the store's last answer, or since what is known here was
    /// last confirmed by an instance that had one.
    milliseconds age{0};
    /// Time for which it has answered without an outage, to any instance that
    /// the sender has heard of.
    milliseconds up{0};
    /// Digest of the endpoints.
    std::uint64_t digest = 0;
    /// All endpoints, for an instance that is behind.
    std::optional<std::vector<endpoint_record>> endpoints;
    /// What operators wrote about draining failure domains, always all of it.
    std::vector<domain_drain> drains;
};

/// Periodic report of one instance. Ledger and demands are complete states;
/// the cache notes are those since the previous report.
struct exchange_report
{
    std::string sender;
    domain_id domain;
    report_part part = report_part::own;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;
    bool leaving = false;
    std::vector<peer_sight> peers;
    std::uint64_t config_version = 0;
    std::optional<config_copy> config;
    std::vector<endpoint_work> work;
    std::vector<cache_note> notes;
    std::vector<account_demand> demands;
    std::vector<service_figures> figures;
    std::vector<warming_notice> warming;
    store_view store;
    /// The sender has started and does not know what engines keep.
    bool wants_caches = false;
    /// Streams sent since the previous report whose release others cannot tell
    /// without.
    std::vector<stream_note> streams;
    /// The sender does not know which streams others have sent.
    bool wants_streams = false;
    /// Its news of endpoints has stayed away, and it may have missed a release.
    bool wants_releases = false;
    /// In a copy, with `streams`: what the sender knows of releases.
    std::optional<release_history> releases;
};

} // namespace sycamorelock::core::direct
