// Binds a resumable stream to the release that began it, at this instance or
// at another one.
#pragma once

#include "open_request.hpp"
#include "request_log.hpp"

namespace sycamorelock::adapters::direct
{

class stream_binding
{
  public:
    explicit stream_binding(traffic_context& context)
        : context_(context), log_(context)
    {
    }

    /// Finds out where a stream that the caller takes up may go on, if need be
    /// by waiting a moment for news of it. Returns false if nobody knows.
    asio::awaitable<bool> bind(open_request& request);
    /// The request is about to be sent.
    void sending(const open_request& request,
                 const core::direct::placement_decision& at);
    /// An attempt has ended; its events, if there were any, were passed on.
    void tried(open_request& request,
               const core::direct::placement_decision& at);
    /// The caller has got all of it.
    void complete(const open_request& request);

  private:
    [[nodiscard]] asio::awaitable<core::direct::stream_resolution>
    resolve(const open_request& request);

    traffic_context& context_;
    request_log log_;
};

} // namespace sycamorelock::adapters::direct
