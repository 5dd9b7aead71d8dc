// Fixture for tests of single routing decisions: one router and the engines of
// one service.
#pragma once

#include "sycamorelock/core/direct/router.hpp"

#include <string>
#include <vector>

namespace sycamorelock::core::direct
{

constexpr time_point start{std::chrono::seconds(1000)};
inline const service_id drafts = service_id::of("drafts");

/// Entry of an engine of the service `drafts`, at an address derived from its
/// name.
inline endpoint_record engine_record(const std::string& boot)
{
    endpoint_record record;
    record.boot = boot;
    record.address = boot + ":1";
    record.service = drafts;
    record.slots = 64;
    return record;
}

struct two_engines
{
    std::shared_ptr<catalogue> config = std::make_shared<catalogue>();
    router tested_router;

    /// \param tokens_per_second throughput of the service that the
    /// configuration states.
    /// \param token_bytes size of the KV cache of a token; engines cannot
    /// fetch if it is 0.
    /// \param mechanisms mechanisms that the router uses.
    two_engines(double tokens_per_second, double token_bytes,
                const mechanism_set& mechanisms = {})
        : tested_router(options_with(mechanisms))
    {
        config->version = 1;
        service engine_service;
        engine_service.id = drafts;
        engine_service.kv_capacity_tokens = 600000;
        engine_service.token_bytes = token_bytes;
        engine_service.link_bytes_per_ms = 50e6;
        config->services[drafts] = engine_service;
        route stream_route;
        stream_route.kind = route_kind::stream;
        stream_route.objective = milliseconds(800);
        stream_route.targets = {{drafts, 1}};
        config->routes = {stream_route};
        config->limits.tokens_per_second = tokens_per_second;
        config->index();
        tested_router.install(start, config);
        list({"one", "two"});
    }

    static router_options options_with(const mechanism_set& mechanisms)
    {
        router_options options;
        options.mechanisms = mechanisms;
        return options;
    }

    /// Replaces the endpoint listing by these engines.
    void list(const std::vector<std::string>& names,
              std::uint64_t started_ms = 0)
    {
        std::map<std::string, endpoint_record> all;
        for (const std::string& name : names)
        {
            endpoint_record record = engine_record(name);
            record.started_ms = started_ms;
            all[name] = record;
        }
        tested_router.set_endpoints(start, all);
    }

    [[nodiscard]] request_profile make_profile(std::vector<prompt_part> parts,
                                               time_point now = start) const
    {
        request_profile request;
        request.route_config = &config->routes.front();
        for (const prompt_part& part : parts)
            request.prompt_tokens += part.tokens;
        request.parts = std::move(parts);
        request.output_tokens = 50;
        request.arrived = now;
        request.deadline = now + std::chrono::seconds(10);
        return request;
    }
};

} // namespace sycamorelock::core::direct
