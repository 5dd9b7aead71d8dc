// Pause after an accept that failed, as descriptors or memory are short: tried
// again at once, it fails again and takes the processor from what would free
// some.
#pragma once

#include "http.hpp"

#include <boost/asio/steady_timer.hpp>

namespace sycamorelock::adapters
{

inline constexpr std::chrono::milliseconds accept_pause{20};

inline asio::awaitable<void> wait_after_failed_accept()
{
    asio::steady_timer timer(co_await asio::this_coro::executor, accept_pause);
    co_await timer.async_wait(as_result);
}

} // namespace sycamorelock::adapters
