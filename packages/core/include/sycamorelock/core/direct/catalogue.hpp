// What operators publish for direct routing: routes, services, client accounts
// and limits on what callers may send.
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

/// What may be repeated.
enum class route_kind : std::uint8_t
{
    /// Idempotent: may run more than once.
    idempotent,
    /// Runs at most once for each attempt of the caller.
    once,
    /// Answered by a stream of events; runs once unless it can be resumed.
    stream,
};

/// A service that a route leads to, with its share of the route's requests.
struct route_target
{
    service_id service;
    double weight = 1;
};

struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    route_kind kind = route_kind::once;
    /// Longest time until the final answer.
    milliseconds timeout{0};
    /// Response-time objective: to the first event of a stream, else to the
    /// whole answer.
    milliseconds objective{0};
    /// Longest pause between events of an answer that is on time.
    milliseconds pause_objective{0};
    /// 0 is the most urgent.
    unsigned urgency = 1;
    std::vector<route_target> targets;
    unsigned max_attempts = 1;
    /// Requests need no API key.
    bool anonymous = false;
    bool resumable = false;

    /// Whether a request may be sent to a second endpoint after the first one
    /// may have begun to run it.
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
    /// Tokens that an engine's memory holds; zero for a plain service.
    double memory_tokens = 0;
    /// Bytes of memory for each token, and what an engine's link to the others
    /// carries; zero where engines cannot fetch prompts from each other.
    double token_bytes = 0;
    double link_bytes_per_ms = 0;

    /// Time for which an endpoint warms up, and requests a second that it bears
    /// meanwhile; a time of zero: endpoints of this service need none.
    milliseconds warmup{0};
    double warmup_per_second = 0;

    [[nodiscard]] bool is_engine() const { return memory_tokens > 0; }
    [[nodiscard]] bool can_fetch() const
    {
        return token_bytes > 0 && link_bytes_per_ms > 0;
    }
    /// Time that an idle link takes for the memory of some tokens, in ms.
    [[nodiscard]] double transfer_ms(double tokens) const
    {
        return tokens * token_bytes / link_bytes_per_ms;
    }
};

struct account
{
    account_id id;
    std::string name;
    /// Goes before the urgency of the route.
    std::optional<unsigned> urgency;
};

/// Bounds on what callers send and on how long they take.
struct caller_limits
{
    std::uint32_t max_header_bytes = 16 * 1024;
    std::uint64_t max_body_bytes = 4 * 1024 * 1024;
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15000};
    /// Tokens that all engines produce a second: prompt tokens count once,
    /// generated ones twice. Zero if the operators name no figure.
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
    std::unordered_map<std::string, account_id> keys;
    caller_limits limits;

    /// Orders the routes so that the first match is the longest prefix. To be
    /// called once after the routes are filled in.
    void index();

    /// The route with the longest prefix of the path, or none.
    [[nodiscard]] const route* find_route(std::string_view host,
                                          std::string_view path) const;

    /// The shortest objective among the routes that lead to a service.
    [[nodiscard]] milliseconds tightest_objective(service_id service) const;

  private:
    std::unordered_map<std::string, std::vector<std::size_t>> by_host_;
    std::map<service_id, milliseconds> tightest_;
};

} // namespace sycamorelock::core::direct
