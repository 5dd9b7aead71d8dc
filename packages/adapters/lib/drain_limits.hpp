// When connections of callers without a request are ended.
#pragma once

#include "sycamorelock/core/strong_types.hpp"

namespace sycamorelock::adapters
{

/// Time from its connection within which a caller may send its first request to
/// an instance that is about to end. A caller that connects to ask sends at
/// once; a busy machine may take some tenths of a second.
inline constexpr core::duration first_request_patience =
    std::chrono::seconds(1);

/// A connection without a request for this long may be ended to make room.
inline constexpr core::duration resting = std::chrono::milliseconds(300);

} // namespace sycamorelock::adapters
