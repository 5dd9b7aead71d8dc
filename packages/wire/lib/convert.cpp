// Chooses the conversion for the kind of a message.
#include "convert.hpp"

#include "sycamorelock/wire/codec.hpp"

namespace sycamorelock::wire
{

void to_body(const core::peer_message& content, const parties& ends,
             pb::Body& body)
{
    std::visit([&](const auto& kind) { write(kind, ends, body); }, content);
}

core::peer_message from_body(const pb::Body& body, const parties& ends)
{
    switch (body.content_case())
    {
    case pb::Body::kGossip:
        return read(body.gossip(), ends);
    case pb::Body::kEnqueue:
        return read(body.enqueue(), ends);
    case pb::Body::kWithdraw:
        return read(body.withdraw(), ends);
    case pb::Body::kGrant:
        return read(body.grant(), ends);
    case pb::Body::kConfirm:
        return read(body.confirm(), ends);
    case pb::Body::kReject:
        return read(body.reject(), ends);
    case pb::Body::kRenew:
        return read(body.renew(), ends);
    case pb::Body::kAdopt:
        return read(body.adopt(), ends);
    case pb::Body::kRelease:
        return read(body.release(), ends);
    case pb::Body::kAdvert:
        return read(body.advert(), ends);
    case pb::Body::kServiceReport:
        return read(body.service_report(), ends);
    case pb::Body::kSnapshotRequest:
        return read(body.snapshot_request(), ends);
    case pb::Body::kSnapshot:
        return read(body.snapshot(), ends);
    case pb::Body::kClaim:
        return read(body.claim(), ends);
    case pb::Body::kClaimResult:
        return read(body.claim_result(), ends);
    case pb::Body::kClaimRelease:
        return read(body.claim_release(), ends);
    case pb::Body::kConfigRequest:
        return read(body.config_request(), ends);
    case pb::Body::kConfigDocument:
        return read(body.config_document(), ends);
    case pb::Body::kMembershipDocument:
        return read(body.membership_document(), ends);
    case pb::Body::kCrashReport:
        return read(body.crash_report(), ends);
    case pb::Body::CONTENT_NOT_SET:
        break;
    }
    throw decode_error("unknown kind of message");
}

} // namespace sycamorelock::wire
