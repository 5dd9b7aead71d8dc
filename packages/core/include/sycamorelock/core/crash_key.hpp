// Identifies requests by their content, so that endpoints which crash under the
// same request can be counted over all attempts of its caller.
#pragma once

#include "sycamorelock/core/strong_types.hpp"

#include <span>
#include <string>
#include <string_view>

namespace sycamorelock::core
{

/// Identifies something that may crash the endpoints that execute it.
using crash_key = digest_id<struct crash_tag>;

/// What an endpoint executes. A caller that retries sends the same again, under
/// another attempt id, with another deadline and possibly to another instance.
struct request_content
{
    std::string_view host;
    std::string_view method;
    /// Path and query.
    std::string_view target;
    std::string_view body;
    /// Keys of the prompt's parts, in order.
    std::span<const std::uint64_t> parts = {};
};

/// Returns the key of a request. It is the same in every process.
crash_key crash_key_of(const request_content& content);

/// Returns the key of a part of prompts, which many requests may share.
/// \param part key of the part, independent of the parts before it.
crash_key crash_key_of_part(std::uint64_t part);

/// Returns the form in which log lines show a key: 16 hexadecimal digits.
std::string to_string(crash_key key);

} // namespace sycamorelock::core
