// Event loops that survive exceptions of their handlers.
#pragma once

#include <boost/asio/io_context.hpp>

#include <concepts>
#include <exception>

namespace sycamorelock::adapters
{

/// Runs an event loop until it is stopped or out of work. An exception thrown
/// by a handler, such as one of a parser in a composed operation, destroys that
/// operation and no other.
///
/// \param on_error called with the exception, on this thread.
template <std::invocable<const std::exception&> OnError>
void run_guarded(boost::asio::io_context& io, const OnError& on_error)
{
    for (;;)
    {
        try
        {
            io.run();
            return;
        }
        catch (const std::exception& error)
        {
            on_error(error);
        }
    }
}

} // namespace sycamorelock::adapters
