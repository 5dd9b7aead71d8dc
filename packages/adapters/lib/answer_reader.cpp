// A reset that follows the end of an answer.
#include "answer_reader.hpp"

#include "sycamorelock/adapters/clocks.hpp"

namespace sycamorelock::adapters
{

namespace
{

/// A reset that answers what is on its way arrives within a round trip, which
/// takes a few ms within a region.
constexpr std::chrono::milliseconds longest_reset_delay{50};
constexpr std::chrono::milliseconds look_period{2};

} // namespace

asio::awaitable<error_code> await_completion(tcp::socket& socket,
                                             core::exchange_end& exchange)
{
    using core::answer_completion;
    const core::time_point overdue = now() + longest_reset_delay;
    asio::steady_timer timer(socket.get_executor());
    exchange.on_end(state_after_end(socket));
    while (exchange.completion() == answer_completion::undecided)
    {
        timer.expires_after(look_period);
        co_await timer.async_wait(as_result);
        exchange.on_end(state_after_end(socket));
        if (now() >= overdue)
            exchange.on_reset_overdue();
    }
    co_return exchange.completion() == answer_completion::complete
        ? error_code()
        : make_error_code(answer_error::reset);
}

} // namespace sycamorelock::adapters
