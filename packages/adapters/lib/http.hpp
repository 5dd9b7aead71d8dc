// Beast and Asio names shared by the sources that speak HTTP.
#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <string>

namespace sycamorelock::adapters
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

/// Completion token: operations return their error code instead of throwing.
inline constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// Sets the length of an answer. One to a HEAD request keeps it and has no body
/// (RFC 9110, section 9.3.2).
inline void finish_answer(http::response<http::string_body>& answer,
                          bool is_head)
{
    answer.prepare_payload();
    if (is_head)
        answer.body().clear();
}

/// Splits "IP:port". \throws boost::system::system_error if it is neither.
inline tcp::endpoint parse_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    const auto port =
        static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)));
    return {asio::ip::make_address(text.substr(0, colon)), port};
}

/// Opens, binds to the instance's own address and connects.
inline asio::awaitable<error_code> connect_from(beast::tcp_stream& stream,
                                                const std::string& own_address,
                                                tcp::endpoint to)
{
    error_code error;
    const auto own = asio::ip::make_address(own_address, error);
    if (error)
        co_return error;
    stream.socket().open(to.protocol(), error);
    if (error)
        co_return error;
    stream.socket().bind({own, 0}, error);
    if (error)
        co_return error;
    auto [connected] = co_await stream.async_connect(to, as_result);
    if (!connected)
        stream.socket().set_option(tcp::no_delay(true), error);
    co_return connected;
}

} // namespace sycamorelock::adapters
