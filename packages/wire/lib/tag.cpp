// HMAC by OpenSSL.
#include "tag.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>

namespace sycamorelock::wire
{

message_tag make_tag(std::string_view content, std::string_view key)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(content.data()), content.size(),
         digest.data(), &length);
    message_tag tag{};
    std::copy_n(digest.begin(), tag_size, tag.begin());
    return tag;
}

bool tag_matches(const message_tag& expected, std::string_view given)
{
    return given.size() == tag_size &&
           CRYPTO_memcmp(expected.data(), given.data(), tag_size) == 0;
}

} // namespace sycamorelock::wire
