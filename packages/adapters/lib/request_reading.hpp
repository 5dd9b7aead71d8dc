// Reads a request from a caller.
#pragma once

#include "http.hpp"

#include <boost/asio/write.hpp>

#include <string_view>

namespace sycamorelock::adapters
{

/// What a caller is told that waits for leave to send the body.
inline constexpr std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";

/// Whether the caller of a request whose header is read waits for that.
template <class Parser> bool waits_for_leave(const Parser& request)
{
    return beast::iequals(request.get()[http::field::expect], "100-continue");
}

/// Reads header and body; a caller that waits for leave to send the body gets
/// it. Limits are the parser's.
template <class Stream, class Parser>
asio::awaitable<error_code>
read_request(Stream& from, beast::flat_buffer& buffer, Parser& request)
{
    auto [header_error, header_bytes] =
        co_await http::async_read_header(from, buffer, request, as_result);
    if (header_error)
        co_return header_error;
    if (waits_for_leave(request))
    {
        auto [unsent, sent] =
            co_await asio::async_write(from, asio::buffer(go_on), as_result);
        if (unsent)
            co_return unsent;
    }
    auto [body_error, body_bytes] =
        co_await http::async_read(from, buffer, request, as_result);
    co_return body_error;
}

} // namespace sycamorelock::adapters
