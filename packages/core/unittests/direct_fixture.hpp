// One router before engines of one service, for tests of single decisions.
#pragma once

#include "sycamorelock/core/direct/router.hpp"

#include <string>
#include <vector>

namespace sycamorelock::core::direct
{

constexpr time_point start{std::chrono::seconds(1000)};
inline const service_id drafts = service_id::of("drafts");

/// An engine of that service at an address of its own.
inline endpoint_record engine_record(const std::string& boot)
{
    endpoint_record made;
    made.boot = boot;
    made.address = boot + ":1";
    made.service = drafts;
    made.slots = 64;
    return made;
}

struct two_engines
{
    std::shared_ptr<catalogue> config = std::make_shared<catalogue>();
    router decides;

    /// \param token_bytes memory of a token; with 0 engines cannot fetch.
    /// \param used mechanisms of the decisions.
    two_engines(double tokens_per_second, double token_bytes,
                const mechanism_set& used = {})
        : decides(options_with(used))
    {
        config->version = 1;
        service engines;
        engines.id = drafts;
        engines.memory_tokens = 600000;
        engines.token_bytes = token_bytes;
        engines.link_bytes_per_ms = 50e6;
        config->services[drafts] = engines;
        route way;
        way.kind = route_kind::stream;
        way.objective = milliseconds(800);
        way.targets = {{drafts, 1}};
        config->routes = {way};
        config->limits.tokens_per_second = tokens_per_second;
        config->index();
        decides.install(start, config);
        list({"one", "two"});
    }

    static router_options options_with(const mechanism_set& used)
    {
        router_options options;
        options.mechanisms = used;
        return options;
    }

    /// Lists these engines and no others.
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
        decides.set_endpoints(start, all);
    }

    [[nodiscard]] request_profile ask_for(std::vector<prompt_part> parts,
                                          time_point now = start) const
    {
        request_profile asked;
        asked.way = &config->routes.front();
        for (const prompt_part& part : parts)
            asked.prompt_tokens += part.tokens;
        asked.parts = std::move(parts);
        asked.output_tokens = 50;
        asked.arrived = now;
        asked.deadline = now + std::chrono::seconds(10);
        return asked;
    }
};

} // namespace sycamorelock::core::direct
