// Asks the router which release may go on with a stream.
#include "stream_binding.hpp"

#include "sycamorelock/adapters/clocks.hpp"

#include <boost/asio/steady_timer.hpp>

namespace sycamorelock::adapters::direct
{

namespace
{

using core::direct::stream_resolution;

/// A caller may take a stream up sooner than the news of it arrives. Reports
/// reach all instances of a large fleet within this time.
constexpr milliseconds news_patience{300};
constexpr milliseconds recheck_period{20};

} // namespace

asio::awaitable<bool> stream_binding::bind(open_request& request)
{
    if (!request.profile.route_config->resumable)
        co_return true;
    const std::string& begun_by = request.meta.resumes.empty()
                                      ? request.meta.attempt_id
                                      : request.meta.resumes;
    if (!begun_by.empty())
        request.stream =
            core::direct::stream_key_of(request.profile.account, begun_by);
    if (!request.resumes_stream())
        co_return true;
    const stream_resolution found = co_await resolve(request);
    log_.resumed(request, found);
    if (!found.release)
        co_return false;
    request.profile.release = found.release;
    request.set_service(found.service);
    co_return true;
}

asio::awaitable<stream_resolution>
stream_binding::resolve(const open_request& request)
{
    const core::direct::route& route_config = *request.profile.route_config;
    // The caller's own attempt is new: no news of it can be on its way.
    const bool is_named = !request.meta.resumes.empty();
    const auto key = is_named ? request.stream : std::nullopt;
    const core::time_point latest = std::min(
        request.profile.arrived + news_patience, request.profile.deadline);
    asio::steady_timer timer(context_.io);
    for (;;)
    {
        stream_resolution found =
            context_.router.resolve(now(), key, route_config);
        if (found.release || !is_named || now() >= latest)
            co_return found;
        timer.expires_after(recheck_period);
        co_await timer.async_wait(as_result);
    }
}

void stream_binding::sending(const open_request& request,
                             const core::direct::placement_decision& at)
{
    if (!request.stream)
        return;
    if (request.profile.release)
        context_.router.note_resumed(now(), *request.stream, at);
    else
        // Attempts that were not sent count too, so that each has a number of
        // its own.
        context_.router.note_stream(
            now(), *request.stream, at,
            static_cast<unsigned>(request.tried.size()));
}

void stream_binding::tried(open_request& request,
                           const core::direct::placement_decision& at)
{
    if (!request.profile.release && request.events.count() > 0)
        request.profile.release = at.release;
}

void stream_binding::complete(const open_request& request)
{
    if (request.stream)
        context_.router.end_stream(now(), *request.stream);
}

} // namespace sycamorelock::adapters::direct
