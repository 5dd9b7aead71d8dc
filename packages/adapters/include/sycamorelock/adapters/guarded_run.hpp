// Event loops that outlive an exception of one of their handlers.
#pragma once

#include <boost/asio/io_context.hpp>

#include <concepts>
#include <exception>

namespace sycamorelock::adapters
{

/// Runs an event loop until it is stopped or has nothing to do. An exception
/// that leaves a handler, such as one of a parser in an operation, ends what
/// the handler worked on and nothing else. \param on_error called with the
/// exception, on this thread.
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
