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
    /// Not HTTP/1.1, or it breaks its rules.
    malformed,
    header_too_large,
    body_too_large,
    /// The line before a chunk does not end.
    chunk_line_too_long,
    trailers_too_large,
    /// A transfer coding other than `chunked` is the last one, so the end of
    /// the body is not known.
    unframed_body,
    /// TRACE with content, which HTTP forbids.
    trace_with_content,
    /// It did not arrive in time.
    slow_request,
    /// Callers hold as much memory as they may.
    no_memory,
    /// The request's memory was needed for another one.
    evicted,
    /// The caller has closed its connection.
    closed,
};
inline constexpr std::size_t request_error_count = 12;

/// Name in metrics, logs and answers.
std::string_view to_string(request_error reason);

/// Status of the answer; 0 for `none` and `closed`, which have none.
unsigned status_of(request_error reason);

/// What a reader of requests returns where the parser's own errors do not tell
/// enough.
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
