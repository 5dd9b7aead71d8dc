// One HTTP exchange with a time limit.
#include "operator_client.hpp"

#include "sycamorelock/adapters/document_reader.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <exception>
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
constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

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

/// Connects, writes the request and reads the answer.
asio::awaitable<error_code> exchange(beast::tcp_stream& stream,
                                     tcp::endpoint to,
                                     http::request<http::empty_body>& request,
                                     adapters::document_parser& answer)
{
    auto [unconnected] = co_await stream.async_connect(to, as_result);
    if (unconnected)
        co_return unconnected;
    auto [unsent, sent] =
        co_await http::async_write(stream, request, as_result);
    if (unsent)
        co_return unsent;
    beast::flat_buffer buffer;
    co_return co_await adapters::read_document(stream, buffer, answer);
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
    adapters::document_parser answer;
    error_code result = asio::error::timed_out;
    // The synchronous calls of a tcp_stream have no time limit.
    asio::co_spawn(context, exchange(stream, parse(address), request, answer),
                   [&result](const std::exception_ptr& thrown, error_code ended)
                   {
                       if (thrown)
                           std::rethrow_exception(thrown);
                       result = ended;
                   });
    context.run();
    if (result)
        throw std::runtime_error(address + ": " + result.message());
    return {answer.get().result_int(), answer.get().body()};
}

} // namespace sycamorelock
