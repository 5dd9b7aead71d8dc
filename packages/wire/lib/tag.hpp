// Authentication tags of messages between instances.
#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace sycamorelock::wire
{

/// Truncated HMAC-SHA256; 12 bytes keep forgery infeasible and messages short.
inline constexpr std::size_t tag_size = 12;
using message_tag = std::array<unsigned char, tag_size>;

message_tag make_tag(std::string_view content, std::string_view key);

/// Compares in constant time. `given` holds `tag_size` bytes.
bool tag_matches(const message_tag& expected, std::string_view given);

} // namespace sycamorelock::wire
