// Configuration that operators publish for direct routing: routes, services,
// client accounts, and limits on the requests of callers.
#pragma once

#include "sycamorelock/core/strong_types.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sycamorelock::core::direct
{

using std::chrono::milliseconds;

/// Whether and how requests of a route may be repeated.
enum class route_kind : std::uint8_t
{
    /// Idempotent: may run more than once.
    idempotent,
    /// Runs at most once for each attempt of the caller.
    once,
    /// Answered by a stream of events; runs at most once unless the stream can
    /// be resumed.
    stream,
};

/// A service that receives requests of a route, with its relative weight among
/// the route's services.
struct route_target
{
    service_id service;
    double weight = 1;
};

/// Requests to one host under one path prefix, and how they are handled.
struct route
{
    std::string name;
    std::string host;
    /// Path prefix; begins and ends with a slash.
    std::string prefix;
    route_kind kind = route_kind::once;
    /// Longest time until the final answer.
    milliseconds timeout{0};
    /// Response-time objective: to the first event of a stream, else to the
    /// whole answer.
    milliseconds objective{0};
    /// Objective for the longest pause between two events of an answer.
    milliseconds pause_objective{0};
    /// 0 is the most urgent.
    unsigned urgency = 1;
    std::vector<route_target> targets;
    unsigned max_attempts = 1;
    /// Requests need no API key.
    bool anonymous = false;
    bool resumable = false;

    /// Returns whether a request may be sent to a second endpoint after the
    /// first one may have started to run it.
    [[nodiscard]] bool repeatable() const
    {
        return kind == route_kind::idempotent || resumable;
    }
};

struct service
{
    service_id id;
    std::string name;
    /// Connections that one endpoint accepts from all instances together.
    unsigned max_connections = 0;
    /// Capacity of an engine's KV cache in tokens; zero for a plain service.
    double kv_capacity_tokens = 0;
    /// KV cache bytes per token, and bandwidth of an engine's link to other
    /// engines; zero where engines cannot fetch KV cache contents from each
    /// other.
    double token_bytes = 0;
    double link_bytes_per_ms = 0;

    /// Warm-up time of an endpoint, and requests per second that it can serve
    /// meanwhile. A time of zero means that endpoints of this service need no
    /// warm-up.
    milliseconds warmup{0};
    double warmup_requests_per_second = 0;

    [[nodiscard]] bool is_engine() const { return kv_capacity_tokens > 0; }
    [[nodiscard]] bool can_fetch() const
    {
        return token_bytes > 0 && link_bytes_per_ms > 0;
    }
    /// Returns the time in ms for which the KV cache contents of some tokens
    /// occupy an otherwise idle link. Requires `can_fetch()`.
    [[nodiscard]] double transfer_ms(double tokens) const
    {
        return tokens * token_bytes / link_bytes_per_ms;
    }
    /// Returns whether a long prefix moves between engines in a time that no
    /// caller notices, a hundredth of an objective of a second. Any engine with
    /// room can then serve a prompt in time, wherever its prefix is cached.
    [[nodiscard]] bool moves_prefixes_quickly() const
    {
        static constexpr double long_prefix_tokens = 10'000;
        static constexpr double unnoticed_ms = 10;
        return can_fetch() && transfer_ms(long_prefix_tokens) <= unnoticed_ms;
    }
};

struct account
{
    account_id id;
    std::string name;
    /// Overrides the urgency of the route.
    std::optional<unsigned> urgency;
};

/// Limits on the size of requests and on the time that callers take to send
/// them, and the capacity that client accounts share.
struct caller_limits
{
    std::uint32_t max_header_bytes = 16 * 1024;
    std::uint64_t max_body_bytes = 4 * 1024 * 1024;
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15000};
    /// Throughput of all engines together: prompt tokens count once, generated
    /// tokens twice. Zero if operators configure none.
    double tokens_per_second = 0;
};

/// One version of the operators' configuration. Immutable once built.
class catalogue
{
  public:
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<service_id, service> services;
    std::map<account_id, account> accounts;
    /// Client accounts by API key.
    std::unordered_map<std::string, account_id> keys;
    caller_limits limits;

    /// Builds the lookup tables, with the routes of a host ordered by
    /// descending length of the prefix. Must be called once after `routes` is
    /// filled in.
    void index();

    /// Returns the route of the host with the longest prefix of the path, or
    /// nullptr if there is none.
    [[nodiscard]] const route* find_route(std::string_view host,
                                          std::string_view path) const;

    /// Returns the shortest response-time objective among the routes to a
    /// service, or zero if no route leads to it.
    [[nodiscard]] milliseconds tightest_objective(service_id service) const;

  private:
    std::unordered_map<std::string, std::vector<std::size_t>> by_host_;
    std::map<service_id, milliseconds> tightest_;
};

} // namespace sycamorelock::core::direct
