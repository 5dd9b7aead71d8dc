// The header is checked before the body is read.
#include "sycamorelock/adapters/document_reader.hpp"

#include "answer_reader.hpp"

namespace sycamorelock::adapters
{

asio::awaitable<error_code> read_document(beast::tcp_stream& stream,
                                          beast::flat_buffer& buffer,
                                          document_parser& parser)
{
    if (const error_code error =
            co_await read_answer_header(stream, buffer, parser))
        co_return error;
    auto [failed, bytes] =
        co_await http::async_read(stream, buffer, parser, as_result);
    if (failed || !parser.need_eof())
        co_return failed;
    core::exchange_end exchange;
    exchange.on_write(true);
    co_return co_await await_completion(stream.socket(), exchange);
}

} // namespace sycamorelock::adapters
