// The digests are truncated SHA-256: callers choose the attempt ids, and must
// not be able to construct one whose key equals that of a stream of another
// client account.
#include "sycamorelock/core/direct/release.hpp"

#include <openssl/sha.h>

#include <array>
#include <cstdio>

namespace sycamorelock::core::direct
{

namespace
{

std::uint64_t digest_of(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> hash{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
           hash.data());
    static constexpr unsigned bits_per_byte = 8;
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof value; ++i)
        value = value << bits_per_byte | hash.at(i);
    return value;
}

/// Whether a byte is not the first of its UTF-8 character.
bool continues_character(char byte)
{
    return (static_cast<unsigned char>(byte) & 0xC0U) == 0x80U;
}

} // namespace

release_id release_of(service_id service, std::string_view version)
{
    std::string text = "release/" + std::to_string(service.value()) + '/';
    return release_id(digest_of(text.append(version)));
}

stream_key stream_key_of(std::optional<account_id> account,
                         std::string_view attempt)
{
    std::string text =
        "stream/" + (account ? std::to_string(account->value()) : "") + '/';
    return stream_key(digest_of(text.append(attempt)));
}

std::string bounded_version(std::string_view version)
{
    if (version.size() <= max_version_bytes)
        return std::string(version);
    std::array<char, 2 * sizeof(std::uint64_t) + 2> digest{};
    std::snprintf(digest.data(), digest.size(), "#%016llx",
                  static_cast<unsigned long long>(digest_of(version)));
    std::size_t prefix_bytes = max_version_bytes + 1 - digest.size();
    // Reports hold it as text, so no UTF-8 character may be cut.
    while (prefix_bytes > 0 && continues_character(version[prefix_bytes]))
        --prefix_bytes;
    return std::string(version.substr(0, prefix_bytes)) + digest.data();
}

} // namespace sycamorelock::core::direct
