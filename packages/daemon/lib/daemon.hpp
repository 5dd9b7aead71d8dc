// Assembles the adapters of one instance and runs it until it is stopped.
#pragma once

#include "sycamorelock/settings/documents.hpp"

namespace sycamorelock
{

/// Runs an instance until SIGTERM or an operator's drain has finished what is
/// open. Returns the exit code of the process.
/// \throws std::exception if a port cannot be listened on.
int run_daemon(const settings::process_settings& settings);

} // namespace sycamorelock
