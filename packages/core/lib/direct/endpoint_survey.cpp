// Names of exclusions in logs.
#include "sycamorelock/core/direct/endpoint_survey.hpp"

namespace sycamorelock::core::direct
{

std::string_view to_string(exclusion reason)
{
    switch (reason)
    {
    case exclusion::other_release:
        return "other_release";
    case exclusion::leaving:
        return "leaving";
    case exclusion::drained:
        return "drained";
    case exclusion::backing_off:
        return "resting";
    case exclusion::ejected:
        return "ejected";
    case exclusion::warming_up:
        return "warming_up";
    case exclusion::tried:
        return "tried";
    case exclusion::not_home:
        return "not_home";
    }
    return "unknown";
}

} // namespace sycamorelock::core::direct
