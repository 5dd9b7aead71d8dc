// A check ends with the connection or at its time limit.
#include "termination_check.hpp"

#include "../answer_limits.hpp"

#include "sycamorelock/adapters/clocks.hpp"

#include <boost/asio/steady_timer.hpp>

namespace sycamorelock::adapters::direct
{

namespace
{

/// Endpoints that have terminated refuse connections within a round trip.
constexpr milliseconds check_timeout{250};
/// How long a connection that a check has established may stay idle.
constexpr milliseconds unused_idle_time{2000};

} // namespace

struct termination_check::pending_check
{
    explicit pending_check(asio::io_context& io)
        : channel(std::make_unique<endpoint_channel>(io, max_unparsed)),
          timeout(io)
    {
    }

    std::unique_ptr<endpoint_channel> channel;
    asio::steady_timer timeout;
    core::endpoint_id endpoint;
};

void termination_check::start(const core::direct::endpoint_record& endpoint)
{
    const core::endpoint_id id = endpoint.id();
    if (!running_.insert(id).second)
        return;
    auto check = std::make_shared<pending_check>(context_.io);
    check->endpoint = id;
    ++context_.metrics.termination_checks;
    check->timeout.expires_after(check_timeout);
    check->timeout.async_wait(
        [pending = std::weak_ptr(check)](error_code cancelled)
        {
            const auto open = pending.lock();
            if (cancelled || !open || !open->channel)
                return;
            error_code ignored;
            open->channel->socket.close(ignored);
        });
    check->channel->socket.async_connect(parse_address(endpoint.address),
                                         [this, check](error_code error)
                                         { finish(check, error); });
}

void termination_check::finish(const std::shared_ptr<pending_check>& check,
                               error_code error)
{
    check->timeout.cancel();
    running_.erase(check->endpoint);
    if (error == asio::error::connection_refused)
        context_.router.note_terminated(now(), check->endpoint);
    if (error)
        return;
    error_code ignored;
    check->channel->socket.set_option(tcp::no_delay(true), ignored);
    check->channel->idle_until = now() + unused_idle_time;
    context_.channels.give(check->endpoint, std::move(check->channel));
}

} // namespace sycamorelock::adapters::direct
