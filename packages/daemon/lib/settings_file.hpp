// The file that the settings of a process are read from.
#pragma once

#include <string>

namespace sycamorelock
{

/// \throws std::runtime_error if the file cannot be read.
std::string read_file(const std::string& path);

} // namespace sycamorelock
