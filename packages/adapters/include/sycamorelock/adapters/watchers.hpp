// Coroutines on the control thread that read the platform's documents and the
// load of the endpoints.
#pragma once

#include "sycamorelock/adapters/control_plane.hpp"

namespace sycamorelock::adapters
{

/// Watches configuration and member list by long polling while this instance
/// is a reader of its failure domain.
void start_platform_watch(control_plane& control);

/// Asks the endpoints of the shards scheduled here for their load.
void start_load_polling(control_plane& control);

} // namespace sycamorelock::adapters
