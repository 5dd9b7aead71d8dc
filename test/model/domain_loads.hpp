// Fleets whose failure domains have engines and demand of their own.
#pragma once

#include "fleet_simulation.hpp"

namespace model
{

/// Four failure domains with six engines each. No domain's KV caches hold all
/// shared prefixes, and engines can fetch them from each other.
inline simulation_config four_domains_config()
{
    simulation_config plan;
    plan.routers = 32;
    plan.engines = 24;
    plan.domains = 4;
    plan.remote_ms_per_kb = 4;
    plan.reports_slowdown = true;
    plan.tokens_per_second = 1.5e6;
    plan.report_delay_ms = 200;
    plan.request_types = {
        {"listing", 60, 13300, 3720, 30, 315, 1000, 12000, true, 17000, 3300},
        {"digest", 40, 6300, 2890, 13, 90, 800, 8000, true, 9200, 1430},
        {"quip", 90, 350, 1110, 43, 158, 600, 15000, true, 1500, 4730},
    };
    for (int i = 0; i < 8; ++i)
        plan.accounts.push_back({"account-" + std::to_string(i), 1});
    plan.engine_params.slots = 128;
    plan.engine_params.step_ms = 6.45;
    plan.engine_params.step_ms_per_running = 0.0967;
    plan.engine_params.tokens_per_ms = 56.1;
    plan.engine_params.ms_per_million_pairs = 0.309;
    plan.engine_params.kv_capacity_tokens = 635715;
    plan.token_bytes = 35136;
    plan.link_bytes_per_ms = 68.75e6;
    return plan;
}

/// Sum of the counts of all failure domains.
inline domain_counts all_domains(const fleet_simulation& world,
                                 std::size_t domains = 4)
{
    domain_counts sum;
    for (std::size_t i = 0; i < domains; ++i)
    {
        const domain_counts& each = world.counts_of_domain(i);
        sum.requests.offered_requests += each.requests.offered_requests;
        sum.requests.on_time += each.requests.on_time;
        sum.requests.late += each.requests.late;
        sum.requests.refused += each.requests.refused;
        sum.sent_away += each.sent_away;
        sum.bytes_away += each.bytes_away;
    }
    return sum;
}

} // namespace model
