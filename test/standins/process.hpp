// Starts and ends sycamorelockd processes.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <functional>
#include <string>

namespace standin
{

/// Starts the daemon with a settings file; what it writes is appended to the
/// log file. \throws std::runtime_error
pid_t start_daemon(const std::string& settings_file,
                   const std::string& log_file);

/// Waits for the end of a process; false if it takes too long.
bool wait_for_exit(pid_t process, std::chrono::seconds limit, int* status);

/// Most memory that a process has held, in KB; 0 if it is gone.
long peak_memory_kb(pid_t process);
/// Descriptors that a process has open.
std::size_t descriptors_of(pid_t process);

/// Text of a file; empty if there is none.
std::string text_of(const std::string& file);

/// Repeats a check until it holds; false after the limit.
bool eventually(const std::function<bool()>& holds,
                std::chrono::milliseconds limit);

/// A loopback address that no other test process uses. `index` 0 begins a new
/// set of addresses.
std::string unique_ip(std::size_t index);

} // namespace standin
