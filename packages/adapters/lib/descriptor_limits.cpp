#include "sycamorelock/adapters/descriptor_limits.hpp"

#include <sys/resource.h>

namespace sycamorelock::adapters
{

std::size_t descriptor_limit()
{
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    return static_cast<std::size_t>(limit.rlim_cur);
}

} // namespace sycamorelock::adapters
