// HMAC by OpenSSL.
#include "tag.hpp"

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <algorithm>
#include <memory>
#include <stdexcept>
#include <string>

namespace sycamorelock::wire
{

namespace
{

/// A keyed HMAC-SHA256 that is used again for each message. Setting one up
/// takes longer than the digest of a message of a few hundred bytes.
class keyed_digest
{
  public:
    keyed_digest()
    {
        EVP_MAC* const algorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
        context_.reset(EVP_MAC_CTX_new(algorithm));
        EVP_MAC_free(algorithm);
        if (!context_)
            throw std::runtime_error("no HMAC in the cryptographic library");
    }

    message_tag make(std::string_view content, std::string_view key)
    {
        start(key);
        std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
        std::size_t length = 0;
        check(
            EVP_MAC_update(context_.get(), bytes_of(content), content.size()));
        check(EVP_MAC_final(context_.get(), digest.data(), &length,
                            digest.size()));
        message_tag tag{};
        std::copy_n(digest.begin(), tag_size, tag.begin());
        return tag;
    }

  private:
    struct context_end
    {
        void operator()(EVP_MAC_CTX* context) const
        {
            EVP_MAC_CTX_free(context);
        }
    };

    static const unsigned char* bytes_of(std::string_view text)
    {
        return reinterpret_cast<const unsigned char*>(text.data());
    }

    /// A tag that was not made must not pass for one.
    static void check(int status)
    {
        if (status != 1)
            throw std::runtime_error("cannot make an HMAC-SHA256");
    }

    void start(std::string_view key)
    {
        if (keyed_ && key_ == key)
        {
            check(EVP_MAC_init(context_.get(), nullptr, 0, nullptr));
            return;
        }
        std::string digest = "SHA256";
        const std::array<OSSL_PARAM, 2> parameters{
            OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST,
                                             digest.data(), 0),
            OSSL_PARAM_construct_end()};
        check(EVP_MAC_init(context_.get(), bytes_of(key), key.size(),
                           parameters.data()));
        key_ = key;
        keyed_ = true;
    }

    std::unique_ptr<EVP_MAC_CTX, context_end> context_;
    std::string key_;
    bool keyed_ = false;
};

} // namespace

message_tag make_tag(std::string_view content, std::string_view key)
{
    thread_local keyed_digest digest;
    return digest.make(content, key);
}

bool tag_matches(const message_tag& expected, std::string_view given)
{
    return given.size() == tag_size &&
           CRYPTO_memcmp(expected.data(), given.data(), tag_size) == 0;
}

} // namespace sycamorelock::wire
