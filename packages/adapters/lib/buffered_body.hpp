// Bodies in many small chunks.
#pragma once

#include "http.hpp"

namespace sycamorelock::adapters
{

/// Parses what has been read already, until the piece that the parser writes
/// to is full. A read of its own for each chunk would cost more than the chunk.
/// Returns the number of bytes parsed, framing included.
template <class Parser>
std::size_t parse_buffered_body(beast::flat_buffer& buffer, Parser& answer,
                                error_code& error)
{
    std::size_t parsed = 0;
    while (!error && buffer.size() > 0 && !answer.is_done() &&
           answer.get().body().size > 0)
    {
        const std::size_t bytes = answer.put(buffer.data(), error);
        buffer.consume(bytes);
        parsed += bytes;
    }
    if (error == http::error::need_more)
        error = {};
    return parsed;
}

} // namespace sycamorelock::adapters
