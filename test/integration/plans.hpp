// Fleets and helpers that several tests share.
#pragma once

#include "load.hpp"

#include <csignal>
#include <sstream>

namespace standin
{

/// Two or three failure domains with two instances each, a model service and a
/// plain service.
inline fleet_plan usual_plan(std::size_t domains = 3)
{
    fleet_plan plan;
    plan.domains = {"a", "b", "c"};
    plan.domains.resize(domains);
    plan.accounts = {{"north"}, {"south"}, {"flood"}, {"small"}};
    plan.extra = "log_level: info\n";
    service_plan planner;
    planner.name = "planner";
    planner.endpoints_per_domain = 2;
    planner.slots = 4;
    planner.engine.step = std::chrono::milliseconds(4);
    service_plan desk;
    desk.name = "desk";
    desk.kind = "plain";
    desk.slots = 8;
    plan.services = {planner, desk};
    return plan;
}

/// Sum of the counters of broken invariants (events 1901 and 29xx) over the
/// instances that run.
inline double broken_invariants(fleet& running)
{
    double total = 0;
    for (const instance& which : running.instances())
    {
        if (which.pid <= 0)
            continue;
        const std::string text = running.operator_get(which, "/metrics");
        std::istringstream lines(text);
        std::string line;
        while (std::getline(lines, line))
        {
            const bool counter =
                line.starts_with("sycamorelock_events_total") &&
                line.find("invariant_") != std::string::npos;
            if (counter)
                total += std::stod(line.substr(line.rfind(' ') + 1));
        }
    }
    return total;
}

} // namespace standin
