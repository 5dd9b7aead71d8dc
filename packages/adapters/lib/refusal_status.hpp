// Statuses that both kinds of routing take for a promise.
#pragma once

#include "http.hpp"

namespace sycamorelock::adapters
{

/// Whether a status promises a caller that its request has not run and never
/// will.
inline bool promises_no_run(unsigned status)
{
    switch (static_cast<http::status>(status))
    {
    case http::status::request_timeout:
    case http::status::misdirected_request:
    case http::status::too_many_requests:
    case http::status::service_unavailable:
        return true;
    default:
        return false;
    }
}

} // namespace sycamorelock::adapters
