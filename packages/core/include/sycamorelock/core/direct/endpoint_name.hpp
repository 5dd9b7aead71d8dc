// Names that endpoints have in the state store.
#pragma once

#include <algorithm>
#include <string_view>

namespace sycamorelock::core::direct
{

/// Returns whether a text can name an endpoint. The name is sent in the header
/// of each request, so it has neither spaces nor control characters.
inline bool is_endpoint_name(std::string_view text)
{
    return !text.empty() &&
           std::all_of(text.begin(), text.end(),
                       [](char each) { return each > ' ' && each < '\x7f'; });
}

} // namespace sycamorelock::core::direct
