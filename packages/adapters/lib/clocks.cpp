// Reads the system's clocks and accounting.
#include "sycamorelock/adapters/clocks.hpp"

#include <unistd.h>

#include <ctime>
#include <fstream>

namespace sycamorelock::adapters
{

namespace
{

double seconds_of(clockid_t clock)
{
    timespec at{};
    clock_gettime(clock, &at);
    static constexpr double nanosecond = 1e-9;
    return static_cast<double>(at.tv_sec) +
           static_cast<double>(at.tv_nsec) * nanosecond;
}

} // namespace

core::time_point now()
{
    timespec at{};
    clock_gettime(CLOCK_BOOTTIME, &at);
    const auto whole = std::chrono::seconds(at.tv_sec);
    const auto part = std::chrono::nanoseconds(at.tv_nsec);
    return core::time_point(
        std::chrono::duration_cast<core::duration>(whole + part));
}

core::moment current_moment()
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return {now(), std::chrono::duration_cast<core::wall_time>(wall)};
}

double thread_cpu_seconds()
{
    return seconds_of(CLOCK_THREAD_CPUTIME_ID);
}

double process_cpu_seconds()
{
    return seconds_of(CLOCK_PROCESS_CPUTIME_ID);
}

std::size_t resident_bytes()
{
    std::ifstream statm("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    statm >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

} // namespace sycamorelock::adapters
