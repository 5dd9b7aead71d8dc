// An event loop for links of programs that run none of their own.
#pragma once

#include <boost/asio/io_context.hpp>

namespace sycamorelock::adapters
{

/// Runs on a thread of its own until the process ends.
[[nodiscard]] boost::asio::io_context& shared_io();

} // namespace sycamorelock::adapters
