// Limits of the end of an instance that hold for every listener.
#pragma once

#include "sycamorelock/core/strong_types.hpp"

namespace sycamorelock::adapters
{

/// Time from its connection within which a caller may send its first request to
/// an instance that is about to end. A caller that connects to ask sends at
/// once; a busy machine may take some tenths of a second.
inline constexpr core::duration first_request_patience =
    std::chrono::seconds(1);

} // namespace sycamorelock::adapters
