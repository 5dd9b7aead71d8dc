// One round of the soak: a fleet of real processes, callers, the drawn actions,
// and what was broken, from what callers and endpoints saw.
#pragma once

#include "soak_callers.hpp"
#include "soak_script.hpp"

namespace soak
{

struct round_plan
{
    std::uint64_t seed = 1;
    std::size_t instances = 4;
    std::size_t callers = 24;
    milliseconds length{8000};
    /// Endpoints ask for rest, and one says in its answers that it leaves.
    bool notices = false;
    /// Folder that keeps the logs of a round that broke a promise.
    std::string keep_logs;
};

struct round_result
{
    std::vector<std::string> broken;
    std::vector<std::string> actions;
    std::size_t requests = 0;
    std::size_t served = 0;
    std::size_t refused = 0;
};

round_result play(const round_plan& plan);

} // namespace soak
