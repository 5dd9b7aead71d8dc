// Conversions between the messages of the core and their protobuf forms.
#pragma once

#include "generated/sycamorelock.pb.h"
#include "sycamorelock/core/messages.hpp"

namespace sycamorelock::wire
{

/// Writes a message of the core into a protobuf body.
void to_body(const core::peer_message& content, pb::Body& body);

/// Reads a protobuf body.
/// \throws decode_error if a value is out of range or the kind is unknown.
core::peer_message from_body(const pb::Body& body);

} // namespace sycamorelock::wire
