// One HTTP exchange with a time limit.
#include "operator_client.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <stdexcept>

namespace sycamorelock
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr std::chrono::seconds time_limit{10};

tcp::endpoint parse(const std::string& address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        throw std::runtime_error("the address must be IP:port");
    error_code error;
    const auto ip = asio::ip::make_address(address.substr(0, colon), error);
    if (error)
        throw std::runtime_error("the address must be IP:port");
    const int port = std::atoi(address.c_str() + colon + 1);
    return {ip, static_cast<std::uint16_t>(port)};
}

} // namespace

operator_answer ask_operator_port(const std::string& address,
                                  const std::string& method,
                                  const std::string& target)
{
    asio::io_context context;
    beast::tcp_stream stream(context);
    stream.expires_after(time_limit);
    http::request<http::empty_body> request(http::string_to_verb(method),
                                            target, 11);
    request.set(http::field::host, address);
    request.set(http::field::connection, "close");
    request.prepare_payload();
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    error_code result = asio::error::timed_out;
    // The synchronous calls of a tcp_stream have no time limit.
    stream.async_connect(parse(address),
                         [&](error_code connected)
                         {
                             result = connected;
                             if (connected)
                                 return;
                             http::async_write(
                                 stream, request,
                                 [&](error_code sent, std::size_t)
                                 {
                                     result = sent;
                                     if (sent)
                                         return;
                                     http::async_read(
                                         stream, buffer, response,
                                         [&](error_code read, std::size_t)
                                         { result = read; });
                                 });
                         });
    context.run();
    if (result)
        throw std::runtime_error(address + ": " + result.message());
    return {response.result_int(), response.body()};
}

} // namespace sycamorelock
