// Names of refusals in logs and metrics.
#include "sycamorelock/core/direct/refusal.hpp"

namespace sycamorelock::core::direct
{

std::string_view to_string(refusal reason)
{
    switch (reason)
    {
    case refusal::no_endpoint:
        return "no_endpoint";
    case refusal::drained:
        return "drained";
    case refusal::backing_off:
        return "resting";
    case refusal::warming_up:
        return "warming_up";
    case refusal::overloaded:
        return "overloaded";
    case refusal::beyond_share:
        return "beyond_share";
    case refusal::too_late:
        return "too_late";
    case refusal::release_unknown:
        return "release_unknown";
    case refusal::release_gone:
        return "release_gone";
    case refusal::instance_shutting_down:
        return "instance_ends";
    case refusal::quarantined:
        return "quarantined";
    }
    return "unknown";
}

} // namespace sycamorelock::core::direct
