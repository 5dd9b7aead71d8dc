// Creates idempotency keys for tests.
#pragma once

#include "sycamorelock/core/messages.hpp"

namespace sycamorelock::core::testing
{

/// Returns a UUIDv7 with the given creation time. `number` distinguishes keys
/// with the same creation time.
inline idempotency_key make_key_at(account_id account, wall_time at,
                                   std::uint64_t number = 0)
{
    idempotency_key key;
    key.account = account;
    const auto put =
        [&](std::size_t first, std::size_t last, std::uint64_t value)
    {
        for (std::size_t i = first; i <= last; ++i)
            key.bytes.at(i) =
                static_cast<std::uint8_t>(value >> (8 * (last - i)));
    };
    put(0, 5, static_cast<std::uint64_t>(at.count()));
    put(9, 15, number);
    key.bytes[6] = 0x70;
    key.bytes[8] = 0x80;
    return key;
}

} // namespace sycamorelock::core::testing
