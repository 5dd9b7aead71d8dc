// Digests and text forms of identifiers.
#include "sycamorelock/core/strong_types.hpp"

#include <boost/crc.hpp>

#include <array>
#include <charconv>
#include <cstdio>

namespace sycamorelock::core
{

std::uint32_t digest_of_name(std::string_view name)
{
    boost::crc_32_type crc;
    crc.process_bytes(name.data(), name.size());
    return crc.checksum();
}

std::string to_string(const request_id& id)
{
    std::array<char, 40> text{};
    const int length = std::snprintf(
        text.data(), text.size(), "%08x-%08x-%llx", id.entry.value(),
        id.incarnation, static_cast<unsigned long long>(id.number));
    return {text.data(), static_cast<std::size_t>(length)};
}

namespace
{

template <class Int> bool parse_hex(std::string_view text, Int& value)
{
    const auto result =
        std::from_chars(text.data(), text.data() + text.size(), value, 16);
    return result.ec == std::errc{} && result.ptr == text.data() + text.size();
}

} // namespace

bool parse_request_id(std::string_view text, request_id& id)
{
    const auto first = text.find('-');
    if (first == std::string_view::npos)
        return false;
    const auto second = text.find('-', first + 1);
    if (second == std::string_view::npos)
        return false;
    std::uint32_t entry = 0;
    if (!parse_hex(text.substr(0, first), entry))
        return false;
    if (!parse_hex(text.substr(first + 1, second - first - 1), id.incarnation))
        return false;
    if (!parse_hex(text.substr(second + 1), id.number))
        return false;
    id.entry = instance_id(entry);
    return true;
}

} // namespace sycamorelock::core
