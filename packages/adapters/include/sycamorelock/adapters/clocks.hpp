// The clocks of the process.
#pragma once

#include "sycamorelock/core/control_state.hpp"

namespace sycamorelock::adapters
{

/// CLOCK_BOOTTIME: monotonic, and it counts while the machine is suspended.
core::time_point now();

/// Both clocks, for inputs of the core.
core::moment current_moment();

/// Processor time of the calling thread, in seconds.
double thread_cpu_seconds();
/// Processor time of the whole process, in seconds.
double process_cpu_seconds();
/// Resident memory of the process, in bytes.
std::size_t resident_bytes();

} // namespace sycamorelock::adapters
