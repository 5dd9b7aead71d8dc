// Fleets and helpers that several tests share.
#pragma once

#include "load.hpp"

#include <criterion/criterion.h>

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
    plan.services = {{.name = "planner",
                      .endpoints_per_domain = 2,
                      .slots = 4,
                      .engine = {.step = std::chrono::milliseconds(4)}},
                     {.name = "desk", .kind = "plain", .slots = 8}};
    return plan;
}

/// Short times, so that a test does not wait for production's bounds.
inline fleet_plan once_plan(std::size_t domains = 3)
{
    fleet_plan plan = usual_plan(domains);
    plan.extra += "membership_lag_ms: 500\nclock_skew_ms: 200\n";
    return plan;
}

/// Streamed requests of one account through one instance.
inline std::vector<call> streams(fleet& running, std::size_t through,
                                 std::size_t count, long tokens)
{
    std::vector<call> calls;
    for (std::size_t i = 0; i < count; ++i)
    {
        calls.push_back(running.make_call(through, "north", "planner"));
        calls.back().tokens = tokens;
    }
    return calls;
}

/// The mark under which endpoints count the runs of a key.
inline std::string mark_of(const std::string& key)
{
    return "k" + key.substr(24);
}

inline call keyed(fleet& running, std::size_t through, const std::string& key)
{
    call made = running.make_call(through, "north", "desk");
    made.mark = mark_of(key);
    made.fields["Idempotency-Key"] = key;
    return made;
}

/// Two accounts with the same backlog through the same instances.
inline std::vector<sender> even_senders(const std::vector<std::size_t>& through)
{
    return {{"north", 1, 20, through}, {"south", 1, 20, through}};
}

/// Every request ended, and none was run twice or untruly refused.
inline void check_ends(load& work)
{
    const tally& counted = work.stop();
    cr_assert_eq(counted.lost, 0, "%ld lost", counted.lost);
    cr_assert_eq(work.run_twice(), 0);
    cr_assert_eq(work.untrue_refusals(), 0);
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
