// The digests are truncated SHA-256: callers choose the content, and must not
// be able to construct a request that has the key of another one.
#include "sycamorelock/core/crash_key.hpp"

#include <openssl/sha.h>

#include <array>
#include <cstdio>

namespace sycamorelock::core
{

namespace
{

using sha256_digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

sha256_digest digest_of(std::string_view bytes)
{
    sha256_digest digest{};
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
           digest.data());
    return digest;
}

/// Appends a field and its length, so that two fields cannot be split
/// differently.
void append_field(std::string& text, std::string_view field)
{
    text.append(std::to_string(field.size())).append(1, ':').append(field);
}

} // namespace

crash_key crash_key_of(const request_content& content)
{
    std::string text = "request/";
    append_field(text, content.host);
    append_field(text, content.method);
    append_field(text, content.target);
    const sha256_digest body = digest_of(content.body);
    text.append(reinterpret_cast<const char*>(body.data()), body.size());
    for (const std::uint64_t part : content.parts)
        append_field(text, std::to_string(part));
    static constexpr unsigned bits_per_byte = 8;
    const sha256_digest whole = digest_of(text);
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof value; ++i)
        value = value << bits_per_byte | whole.at(i);
    return crash_key(value);
}

crash_key crash_key_of_part(std::uint64_t part)
{
    // Keeps parts apart from requests. The part's key is a digest already.
    static constexpr std::uint64_t part_mark = 0x9e3779b97f4a7c15;
    return crash_key(part ^ part_mark);
}

std::string to_string(crash_key key)
{
    std::array<char, 2 * sizeof(std::uint64_t) + 1> text{};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(key.value()));
    return text.data();
}

} // namespace sycamorelock::core
