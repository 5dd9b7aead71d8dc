// Software versions of endpoints and the streams that began at them, as
// digests that instances tell each other.
#pragma once

#include "sycamorelock/core/strong_types.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace sycamorelock::core::direct
{

/// A 64-bit digest of a name. Its value is the same in every process.
template <class Tag> class digest_id
{
  public:
    constexpr digest_id() = default;
    constexpr explicit digest_id(std::uint64_t value) : value_(value) {}

    [[nodiscard]] constexpr std::uint64_t value() const { return value_; }
    constexpr auto operator<=>(const digest_id&) const = default;

  private:
    std::uint64_t value_ = 0;
};

/// One software version of the endpoints of one service.
using release_id = digest_id<struct release_tag>;
/// A stream, named by the caller's attempt that began it and bound to the
/// account of that caller.
using stream_key = digest_id<struct stream_tag>;

release_id release_of(service_id service, std::string_view version);

/// \param account none for anonymous callers.
stream_key stream_key_of(std::optional<account_id> account,
                         std::string_view attempt);

/// Bytes of a version's text that are kept.
inline constexpr std::size_t most_version_bytes = 64;

/// The text itself, or a beginning and a digest of one that is longer.
std::string bounded_version(std::string_view version);

} // namespace sycamorelock::core::direct

template <class Tag>
struct std::hash<sycamorelock::core::direct::digest_id<Tag>>
{
    std::size_t
    operator()(sycamorelock::core::direct::digest_id<Tag> id) const noexcept
    {
        return static_cast<std::size_t>(id.value());
    }
};
