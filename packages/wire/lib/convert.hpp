// Conversions between the messages of the core and their protobuf forms.
#pragma once

#include "fields.hpp"

namespace sycamorelock::wire
{

/// Writes a message of the core into a protobuf body.
void to_body(const core::peer_message& content, const parties& ends,
             pb::Body& body);

/// Reads a protobuf body.
/// \throws decode_error if a value is out of range or the kind is unknown.
core::peer_message from_body(const pb::Body& body, const parties& ends);

// One pair for each kind; reading throws as `from_body` does.
void write(const core::gossip& from, const parties& ends, pb::Body& body);
core::gossip read(const pb::Gossip& from, const parties& ends);
void write(const core::enqueue& from, const parties& ends, pb::Body& body);
core::enqueue read(const pb::Enqueue& from, const parties& ends);
void write(const core::withdraw& from, const parties& ends, pb::Body& body);
core::withdraw read(const pb::Withdraw& from, const parties& ends);
void write(const core::grant& from, const parties& ends, pb::Body& body);
core::grant read(const pb::Grant& from, const parties& ends);
void write(const core::confirm& from, const parties& ends, pb::Body& body);
core::confirm read(const pb::Confirm& from, const parties& ends);
void write(const core::reject& from, const parties& ends, pb::Body& body);
core::reject read(const pb::Reject& from, const parties& ends);
void write(const core::renew& from, const parties& ends, pb::Body& body);
core::renew read(const pb::Renew& from, const parties& ends);
void write(const core::adopt& from, const parties& ends, pb::Body& body);
core::adopt read(const pb::Adopt& from, const parties& ends);
void write(const core::release& from, const parties& ends, pb::Body& body);
core::release read(const pb::Release& from, const parties& ends);
void write(const core::advert& from, const parties& ends, pb::Body& body);
core::advert read(const pb::Advert& from, const parties& ends);
void write(const core::service_report& from, const parties& ends,
           pb::Body& body);
core::service_report read(const pb::ServiceReport& from, const parties& ends);
void write(const core::snapshot_request& from, const parties& ends,
           pb::Body& body);
core::snapshot_request read(const pb::SnapshotRequest& from,
                            const parties& ends);
void write(const core::snapshot& from, const parties& ends, pb::Body& body);
core::snapshot read(const pb::Snapshot& from, const parties& ends);
void write(const core::claim& from, const parties& ends, pb::Body& body);
core::claim read(const pb::Claim& from, const parties& ends);
void write(const core::claim_result& from, const parties& ends, pb::Body& body);
core::claim_result read(const pb::ClaimResult& from, const parties& ends);
void write(const core::claim_release& from, const parties& ends,
           pb::Body& body);
core::claim_release read(const pb::ClaimRelease& from, const parties& ends);
void write(const core::config_request& from, const parties& ends,
           pb::Body& body);
core::config_request read(const pb::ConfigRequest& from, const parties& ends);
void write(const core::config_document& from, const parties& ends,
           pb::Body& body);
core::config_document read(const pb::ConfigDocument& from, const parties& ends);
void write(const core::membership_document& from, const parties& ends,
           pb::Body& body);
core::membership_document read(const pb::MembershipDocument& from,
                               const parties& ends);
void write(const core::crash_report& from, const parties& ends, pb::Body& body);
core::crash_report read(const pb::CrashReport& from, const parties& ends);

} // namespace sycamorelock::wire
