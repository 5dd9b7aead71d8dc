#include "shared_io.hpp"

#include <boost/asio/executor_work_guard.hpp>

#include <thread>

namespace sycamorelock::adapters
{

boost::asio::io_context& shared_io()
{
    // Never destroyed: the thread uses it while static objects are.
    static auto& io = []() -> boost::asio::io_context&
    {
        auto* const made = new boost::asio::io_context(1);
        std::thread(
            [made]
            {
                const auto work = boost::asio::make_work_guard(*made);
                made->run();
            })
            .detach();
        return *made;
    }();
    return io;
}

} // namespace sycamorelock::adapters
