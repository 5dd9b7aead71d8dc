// Identifiers of software versions of endpoints and of resumable streams, as
// digests that instances exchange.
#pragma once

#include "sycamorelock/core/strong_types.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace sycamorelock::core::direct
{

/// Identifies one software version of the endpoints of one service.
using release_id = digest_id<struct release_tag>;
/// Identifies a stream by the caller's attempt that started it and the client
/// account of that caller.
using stream_key = digest_id<struct stream_tag>;

release_id release_of(service_id service, std::string_view version);

/// \param account the caller's client account; empty for anonymous callers.
/// \param attempt the attempt id that the caller chose.
stream_key stream_key_of(std::optional<account_id> account,
                         std::string_view attempt);

/// Maximum length in bytes of a stored version text.
inline constexpr std::size_t max_version_bytes = 64;

/// Returns the text unchanged if it fits `max_version_bytes`, otherwise its
/// beginning followed by a digest of the whole text.
std::string bounded_version(std::string_view version);

} // namespace sycamorelock::core::direct
