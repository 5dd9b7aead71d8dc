// Reads documents: answers of the store, the platform, endpoints' load pages
// and operator ports, which are used only as a whole.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>

namespace sycamorelock::adapters
{

using document_parser =
    boost::beast::http::response_parser<boost::beast::http::string_body>;

/// Reads one answer to a request that has been written. Fails if it is not
/// complete, or if HTTP/1.1 forbids it.
boost::asio::awaitable<boost::system::error_code>
read_document(boost::beast::tcp_stream& stream,
              boost::beast::flat_buffer& buffer, document_parser& parser);

} // namespace sycamorelock::adapters
