// An instance that routes directly, from start to end.
#pragma once

#include "sycamorelock/settings/direct_settings.hpp"

namespace sycamorelock
{

/// Runs until SIGTERM and the end of what was open by then.
/// \returns the exit code of the process.
int run_direct_daemon(const settings::direct_settings& settings);

} // namespace sycamorelock
