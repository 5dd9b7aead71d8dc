// Reads answers, wherever one is read: what HTTP/1.1 forbids is refused, and
// one that ends with its connection is complete only if that ended in order.
#pragma once

#include "http.hpp"
#include "socket_state.hpp"

#include "sycamorelock/adapters/answer_error.hpp"
#include "sycamorelock/core/exchange_end.hpp"

#include <boost/beast/core/read_size.hpp>

#include <algorithm>
#include <string_view>

namespace sycamorelock::adapters
{

/// Whether a header has a line that begins with white space. The parser joins
/// such a line to the one before.
/// \param bytes begin with a line of the header, and may end anywhere in it or
/// behind it.
/// \param from the search begins here.
inline bool has_folded_line(std::string_view bytes, std::size_t from)
{
    static constexpr std::string_view line_end = "\r\n";
    if (bytes.starts_with(line_end))
        return false;
    std::size_t at = bytes.find(line_end, from);
    while (at != std::string_view::npos && at + line_end.size() < bytes.size())
    {
        const char next = bytes[at + line_end.size()];
        if (next == ' ' || next == '\t')
            return true;
        if (next == '\r')
            return false;
        at = bytes.find(line_end, at + line_end.size());
    }
    return false;
}

/// Checks what the parser accepts of a complete header.
template <class Parser> error_code check_answer_header(const Parser& parser)
{
    const auto& header = parser.get();
    if (http::to_status_class(header.result_int()) ==
        http::status_class::unknown)
        return answer_error::unknown_status;
    // The parser takes a body in an unknown coding for one without a length.
    const std::size_t codings = header.count(http::field::transfer_encoding);
    const bool is_known =
        codings == 0 ||
        (codings == 1 && header.version() == 11 &&
         beast::iequals(header[http::field::transfer_encoding], "chunked"));
    return is_known ? error_code() : answer_error::unknown_coding;
}

/// Feeds the parser with the bytes of a header that have been read.
/// \param scanned bytes at the front that have been looked at before.
/// \returns `need_more` if the header is not complete.
template <class Parser>
error_code parse_answer_header(beast::flat_buffer& buffer, Parser& parser,
                               std::size_t scanned)
{
    // A line end may have arrived without the byte behind it.
    static constexpr std::size_t overlap = 2;
    const std::string_view bytes(static_cast<const char*>(buffer.data().data()),
                                 buffer.size());
    if (has_folded_line(bytes, scanned - std::min(scanned, overlap)))
        return answer_error::folded_line;
    error_code error;
    buffer.consume(parser.put(buffer.data(), error));
    if (error)
        return error;
    return parser.is_header_done() ? check_answer_header(parser)
                                   : error_code(http::error::need_more);
}

/// Reads the header of an answer, as `http::async_read_header` does. The read
/// can be cancelled and begun again.
template <class Stream, class Parser>
asio::awaitable<error_code>
read_answer_header(Stream& stream, beast::flat_buffer& buffer, Parser& parser)
{
    static constexpr std::size_t most_at_once = 16UL * 1024;
    std::size_t scanned = 0;
    for (;;)
    {
        error_code error = http::error::need_more;
        if (buffer.size() > 0)
            error = parse_answer_header(buffer, parser, scanned);
        if (error != http::error::need_more)
            co_return error;
        scanned = buffer.size();
        const std::size_t room = beast::read_size(buffer, most_at_once);
        if (room == 0)
            co_return http::error::buffer_overflow;
        auto [failed, bytes] =
            co_await stream.async_read_some(buffer.prepare(room), as_result);
        buffer.commit(bytes);
        if (failed == asio::error::eof)
            co_return parser.got_some() ? http::error::partial_message
                                        : http::error::end_of_stream;
        if (failed)
            co_return failed;
    }
}

/// Looks at a connection whose peer has ended its sending side.
inline core::connection_state state_after_end(tcp::socket& socket)
{
    return {.has_peer = has_peer(socket),
            .is_delivered = unacknowledged_bytes(socket) == 0};
}

/// Waits until it is certain whether the end of a connection, which a read has
/// just met, completes the answer.
asio::awaitable<error_code> await_completion(tcp::socket& socket,
                                             core::exchange_end& exchange);

} // namespace sycamorelock::adapters
