// Why a caller's request could not be read.
#pragma once

#include <boost/system/error_code.hpp>

#include <array>
#include <cstdint>
#include <string_view>

namespace sycamorelock::adapters
{

enum class request_error : std::uint8_t
{
    none,
    /// It violates the syntax of HTTP/1.1.
    malformed,
    header_too_large,
    body_too_large,
    /// The line before a chunk does not end.
    chunk_line_too_long,
    trailers_too_large,
    /// The final transfer coding is not `chunked`, so the length of the body is
    /// unknown.
    unframed_body,
    /// RFC 9110 forbids content in TRACE requests.
    trace_with_content,
    /// It did not arrive in time.
    slow_request,
    /// The bound on memory for callers is reached.
    no_memory,
    /// It was evicted for another connection.
    evicted,
    /// The caller closed the connection before the end of the request.
    closed,
};
inline constexpr std::size_t request_error_count = 12;

/// Name in metrics, logs and answers.
std::string_view to_string(request_error reason);

/// Status of the answer; 0 for `none` and `closed`, which get no answer.
unsigned status_of(request_error reason);

/// For what the parser has no error of its own.
boost::system::error_code make_error_code(request_error reason);

/// Classifies the result of a read. \param timed_out whether its time limit
/// ended it.
request_error request_error_of(const boost::system::error_code& error,
                               bool timed_out);

} // namespace sycamorelock::adapters

template <>
struct boost::system::is_error_code_enum<sycamorelock::adapters::request_error>
    : std::true_type
{
};
