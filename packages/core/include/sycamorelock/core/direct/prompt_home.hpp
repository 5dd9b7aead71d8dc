// Which engine should keep the beginning of a prompt: the same answer at every
// instance, without a message.
#pragma once

#include "sycamorelock/core/direct/prefix_cache.hpp"

#include <span>

namespace sycamorelock::core::direct
{

/// Key of what a prompt shares with others: all but its last part, or the only
/// part; 0 if there are no parts.
std::uint64_t shared_key(std::span<const prompt_part> parts);

/// Tokens of all parts but the last.
double shared_tokens(std::span<const prompt_part> parts);

/// Rank of an engine for a key, from 0 to 1. The highest one is the home.
double rank_of(std::uint64_t key, endpoint_id engine);

} // namespace sycamorelock::core::direct
