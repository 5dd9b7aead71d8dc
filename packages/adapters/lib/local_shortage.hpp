// Errors that say nothing of the other side.
#pragma once

#include "http.hpp"

namespace sycamorelock::adapters
{

/// Whether a connection could not be opened because this process or its machine
/// has no descriptor, port or memory left for it.
inline bool is_local_shortage(error_code error)
{
    using enum boost::system::errc::errc_t;
    return error == too_many_files_open ||
           error == too_many_files_open_in_system || error == no_buffer_space ||
           error == not_enough_memory || error == address_not_available ||
           // An address without a free port cannot be bound.
           error == address_in_use;
}

} // namespace sycamorelock::adapters
