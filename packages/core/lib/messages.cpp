// Names of the message types between instances.
#include "sycamorelock/core/messages.hpp"

#include <cassert>

namespace sycamorelock::core
{

std::string_view message_type_name(std::size_t index)
{
    // In the order of the alternatives of `peer_message`.
    static constexpr std::array<std::string_view, message_type_count> names{
        "gossip",
        "enqueue",
        "withdraw",
        "grant",
        "confirm",
        "reject",
        "renew",
        "adopt",
        "release",
        "advert",
        "service_report",
        "snapshot_request",
        "snapshot",
        "claim",
        "claim_result",
        "claim_release",
        "config_request",
        "config_document",
        "membership_document",
        "crash_report"};
    assert(index < names.size() && "message type without a name");
    return names[index];
}

} // namespace sycamorelock::core
