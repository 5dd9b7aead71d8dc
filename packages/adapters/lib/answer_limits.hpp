// Bounds on what is read of an answer, so that one without an end takes neither
// memory nor a caller's time until the limit of its route. They are far above
// what sound endpoints send.
#pragma once

#include <cstddef>
#include <cstdint>

namespace sycamorelock::adapters
{

/// Bytes of a header.
inline constexpr std::uint32_t max_answer_header = 64 * 1024;
/// Bytes held until the parser can use them: a header, the line before a chunk,
/// trailers. The parser bounds only headers, and throws at a field that is
/// longer than this.
inline constexpr std::size_t max_unparsed = max_answer_header;
/// Headers that may come before that of the answer: informational ones and
/// answers to earlier requests on the connection.
inline constexpr unsigned max_leading_headers = 16;
/// Bytes of one event, which is held until it is whole. Events carry a few
/// tokens each.
inline constexpr std::size_t max_event = 2UL * 1024 * 1024;
/// Bytes of a body, framing included. It is passed on as it comes, so this
/// bounds what a caller is sent in vain.
inline constexpr std::uint64_t max_answer_body = 64UL * 1024 * 1024;

} // namespace sycamorelock::adapters
