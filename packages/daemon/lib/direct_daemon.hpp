// An instance that routes directly, from start to end.
#pragma once

#include "sycamorelock/settings/direct_settings.hpp"

#include <string>

namespace sycamorelock
{

/// Runs until SIGTERM and the end of what was open by then. Reads the settings
/// file again on SIGHUP and when its text has changed.
/// \param text what `settings` was read from.
/// \returns the exit code of the process.
int run_direct_daemon(const settings::direct_settings& settings,
                      const std::string& path, const std::string& text);

} // namespace sycamorelock
