// The operators' tree and the platform's member list, as the decisions use
// them. Built by the settings package after all checks have passed.
#pragma once

#include "sycamorelock/core/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sycamorelock::core
{

/// What a service is, which decides how its cost is counted.
enum class service_kind : std::uint8_t
{
    model,
    plain,
};

struct endpoint_spec
{
    endpoint_id id;
    std::string name;
    std::string address;
    domain_id domain;
    std::uint32_t slots = 1;
    /// Whether it refuses orders with an old fencing number.
    bool fenced = false;
};

struct service_spec
{
    service_id id;
    std::string name;
    service_kind kind = service_kind::model;
    cost first_estimate{200};
    std::chrono::milliseconds default_deadline{60000};
    std::size_t max_queue = 2000;
    std::size_t max_queue_per_account = 500;
    duration target_token_delay{std::chrono::milliseconds(25)};
    std::vector<endpoint_spec> endpoints;
};

struct account_spec
{
    account_id id;
    std::string name;
    double weight = 1;
    std::size_t max_in_flight = 1000;
    /// Hex SHA-256 of each API key.
    std::vector<std::string> key_digests;
};

struct topology
{
    config_version version;
    std::map<account_id, account_spec> accounts;
    std::map<service_id, service_spec> services;
};

struct member
{
    instance_id id;
    std::string name;
    std::string address;
    domain_id domain;
    bool leaving = false;
};

struct membership
{
    std::uint64_t version = 0;
    std::map<instance_id, member> members;
    /// Endpoints that the platform reports as leaving.
    std::vector<endpoint_id> leaving_endpoints;
};

/// Endpoints of a shard, in the order of their names.
struct shard_spec
{
    shard_id id;
    std::vector<endpoint_spec> endpoints;
};

/// Largest number of endpoints under one scheduler.
inline constexpr std::size_t max_shard_endpoints = 10;

/// Splits a service into shards: one failure domain each, at most
/// `max_shard_endpoints` endpoints.
std::vector<shard_spec> shards_of(const service_spec& service);

/// Picks the instance with the highest digest for a subject (rendezvous hash),
/// so that a change of one instance moves only its own subjects.
std::optional<instance_id>
rendezvous(const std::vector<instance_id>& candidates,
           const std::string& subject);

/// Subject of a shard for the rendezvous hash.
std::string rendezvous_subject(const shard_id& shard);

} // namespace sycamorelock::core
