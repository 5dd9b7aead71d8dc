// Why an answer of an endpoint, the store or another server is refused.
#pragma once

#include <boost/system/error_code.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace sycamorelock::adapters
{

enum class answer_error : std::uint8_t
{
    none,
    /// It violates the syntax of HTTP/1.1.
    malformed,
    /// The status is not one of 100 to 599.
    unknown_status,
    /// A line of the header continues the one before (obs-fold, RFC 9112,
    /// section 5.2).
    folded_line,
    /// A transfer coding other than a single `chunked`: the body that follows
    /// is not the one that was meant.
    unknown_coding,
    /// It has no length where one is needed.
    unframed_body,
    /// A success without the field that proves who made it.
    unsigned_success,
    /// The connection was reset before the end of an answer without a length.
    reset,
};
inline constexpr std::size_t answer_error_count = 8;

/// Name in metrics and logs.
std::string_view to_string(answer_error reason);

/// For what the parser has no error of its own.
boost::system::error_code make_error_code(answer_error reason);

/// Classifies the result of a read. `none` if the connection or a limit ended
/// it: that says nothing about the answer.
answer_error answer_error_of(const boost::system::error_code& error);

} // namespace sycamorelock::adapters

template <>
struct boost::system::is_error_code_enum<sycamorelock::adapters::answer_error>
    : std::true_type
{
};
