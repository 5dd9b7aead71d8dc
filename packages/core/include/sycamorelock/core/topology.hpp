// Configuration of services and client accounts, and the platform's list of
// instances, in the form that placement and scheduling use. The settings
// package builds both after all checks of the documents have passed.
#pragma once

#include "sycamorelock/core/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sycamorelock::core
{

/// Type of a service. It determines the unit of cost: generated tokens for a
/// model, milliseconds of slot time for a plain service.
enum class service_kind : std::uint8_t
{
    model,
    plain,
};

/// Configuration of one endpoint of a service.
struct endpoint_spec
{
    endpoint_id id;
    std::string name;
    std::string address;
    domain_id domain;
    /// Number of requests that may run on the endpoint at the same time.
    std::uint32_t slots = 1;
    /// Whether the endpoint rejects requests with an outdated fencing number.
    bool fenced = false;
};

/// Configuration of one service.
struct service_spec
{
    service_id id;
    std::string name;
    service_kind kind = service_kind::model;
    /// Estimated cost of a request without a cost hint, until the cost of an
    /// earlier request of the same account is known.
    cost first_estimate{200};
    std::chrono::milliseconds default_deadline{60000};
    /// Largest number of requests that wait at one scheduler, in total and per
    /// client account.
    std::size_t max_queue = 2000;
    std::size_t max_queue_per_account = 500;
    /// Intended mean time between two generated tokens.
    duration target_token_delay{std::chrono::milliseconds(25)};
    std::vector<endpoint_spec> endpoints;
};

/// Configuration of one client account.
struct account_spec
{
    account_id id;
    std::string name;
    /// Share of the account relative to the other accounts.
    double weight = 1;
    /// Largest number of open requests of the account at one instance.
    std::size_t max_in_flight = 1000;
    /// Hex SHA-256 of each API key.
    std::vector<std::string> key_digests;
};

/// Configuration of the whole fleet: services, their endpoints, and client
/// accounts.
struct topology
{
    config_version version;
    std::map<account_id, account_spec> accounts;
    std::map<service_id, service_spec> services;
};

/// One instance in the platform's list.
struct member
{
    instance_id id;
    std::string name;
    std::string address;
    domain_id domain;
    /// Whether the platform is about to remove the instance, which then takes
    /// no new work.
    bool leaving = false;
};

/// The platform's list of instances.
struct membership
{
    std::uint64_t version = 0;
    std::map<instance_id, member> members;
    /// Endpoints that the platform is about to remove.
    std::vector<endpoint_id> leaving_endpoints;
};

/// A shard: the part of a service that one scheduler serves. Its endpoints are
/// sorted by name.
struct shard_spec
{
    shard_id id;
    std::vector<endpoint_spec> endpoints;
};

/// Largest number of endpoints under one scheduler.
inline constexpr std::size_t max_shard_endpoints = 10;

/// Splits a service into shards. The endpoints of a shard belong to one failure
/// domain, and there are at most `max_shard_endpoints` of them.
std::vector<shard_spec> shards_of(const service_spec& service);

/// Selects an instance for a subject by rendezvous hashing: the candidate with
/// the highest digest. Adding or removing an instance reassigns only the
/// subjects of that instance. Returns nullopt if there are no candidates.
std::optional<instance_id>
rendezvous(const std::vector<instance_id>& candidates,
           const std::string& subject);

/// Returns the string that identifies a shard in `rendezvous`.
std::string rendezvous_subject(const shard_id& shard);

} // namespace sycamorelock::core
