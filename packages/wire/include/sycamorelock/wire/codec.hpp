// Encodes messages between instances, and authenticates each datagram with a
// key shared by the fleet, so that a stranger can neither grant nor report.
#pragma once

#include "sycamorelock/core/messages.hpp"

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace sycamorelock::wire
{

/// Why received bytes are dropped. Counted by the adapter.
class decode_error : public std::runtime_error
{
  public:
    using std::runtime_error::runtime_error;
};

/// What one datagram carries.
struct envelope
{
    core::instance_id sender;
    std::uint32_t incarnation = 0;
    /// Zero for a datagram to a seed, whose instance is not known yet.
    core::instance_id receiver;
    std::uint64_t sequence = 0;
    std::vector<core::peer_message> messages;
};

/// Largest datagram accepted, in bytes: a configuration of a megabyte and room
/// for the rest.
inline constexpr std::size_t max_datagram = 2 * 1024 * 1024;

/// Encodes an envelope and appends its authentication tag.
std::string encode(const envelope& content, std::string_view key);

/// Checks the tag, which also says whether the datagram is for this instance,
/// and decodes.
/// \throws decode_error if the tag, the structure or a value is wrong.
envelope decode(std::string_view bytes, core::instance_id self,
                std::string_view key);

/// Drops datagrams that are repeated or older than one already handled, per
/// sender and incarnation. Bounded by the number of instances.
class replay_filter
{
  public:
    /// Returns false for a datagram that must not be handled.
    bool accept(const envelope& content);

  private:
    struct last_seen
    {
        std::uint32_t incarnation = 0;
        std::uint64_t sequence = 0;
    };
    static constexpr std::size_t max_senders = 4096;
    std::map<core::instance_id, last_seen> seen_;
    std::map<core::instance_id, std::uint32_t> retired_;
};

} // namespace sycamorelock::wire
