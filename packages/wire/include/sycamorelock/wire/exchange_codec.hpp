// Encodes the periodic reports of instances that route directly.
#pragma once

#include "sycamorelock/core/direct/exchange.hpp"
#include "sycamorelock/wire/codec.hpp"

namespace sycamorelock::wire
{

/// Encodes a report and appends its authentication tag.
std::string encode_report(const core::direct::exchange_report& report,
                          std::string_view key);

/// Checks the tag and decodes.
/// \throws decode_error if the tag, the structure or a value is wrong.
core::direct::exchange_report decode_report(std::string_view bytes,
                                            std::string_view key);

} // namespace sycamorelock::wire
