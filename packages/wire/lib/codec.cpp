// Envelope, authentication tag and replay filter.
#include "sycamorelock/wire/codec.hpp"

#include "convert.hpp"
#include "tag.hpp"

namespace sycamorelock::wire
{

namespace
{

constexpr int max_bodies = 4096;

/// Tag of a datagram for one receiver, so that nobody else accepts it.
message_tag tag_of(std::string_view content, core::instance_id receiver,
                   std::string_view key)
{
    std::string bytes(content);
    bytes += std::to_string(receiver.value());
    return make_tag(bytes, key);
}

/// The receiver that a datagram is for: this instance, or anyone when it was
/// sent to a seed.
core::instance_id receiver_of(std::string_view content, std::string_view given,
                              core::instance_id self, std::string_view key)
{
    for (const core::instance_id receiver : {self, core::instance_id{}})
    {
        if (tag_matches(tag_of(content, receiver, key), given))
            return receiver;
    }
    throw decode_error("authentication tag does not match");
}

} // namespace

std::string encode(const envelope& content, std::string_view key)
{
    pb::Envelope message;
    message.set_sender(content.sender.value());
    message.set_incarnation(content.incarnation);
    message.set_sequence(content.sequence);
    const parties ends{content.sender, content.incarnation, content.receiver};
    for (const core::peer_message& body : content.messages)
        to_body(body, ends, *message.add_bodies());
    std::string bytes = message.SerializeAsString();
    const auto tag = tag_of(bytes, content.receiver, key);
    bytes.append(reinterpret_cast<const char*>(tag.data()), tag.size());
    return bytes;
}

envelope decode(std::string_view bytes, core::instance_id self,
                std::string_view key)
{
    if (bytes.size() < tag_size || bytes.size() > max_datagram)
        throw decode_error("length out of range");
    const std::string_view content = bytes.substr(0, bytes.size() - tag_size);
    const std::string_view given = bytes.substr(content.size());
    const core::instance_id receiver = receiver_of(content, given, self, key);
    pb::Envelope message;
    if (!message.ParseFromArray(content.data(),
                                static_cast<int>(content.size())))
        throw decode_error("malformed envelope");
    if (message.bodies_size() > max_bodies)
        throw decode_error("too many messages in one envelope");
    envelope result;
    result.sender = core::instance_id(message.sender());
    result.incarnation = message.incarnation();
    result.receiver = receiver;
    result.sequence = message.sequence();
    const parties ends{result.sender, result.incarnation, self};
    for (const pb::Body& body : message.bodies())
    {
        // A newer release may send kinds that this one does not know.
        if (body.content_case() == pb::Body::CONTENT_NOT_SET)
            continue;
        result.messages.push_back(from_body(body, ends));
    }
    return result;
}

bool replay_filter::accept(const envelope& content)
{
    if (seen_.size() >= max_senders && !seen_.contains(content.sender))
        return false;
    last_seen& last = seen_[content.sender];
    if (last.incarnation != content.incarnation)
    {
        // An incarnation that was replaced does not come back.
        const auto retired = retired_.find(content.sender);
        if (retired != retired_.end() && retired->second == content.incarnation)
            return false;
        if (last.incarnation != 0)
            retired_[content.sender] = last.incarnation;
        last = {content.incarnation, 0};
    }
    if (content.sequence <= last.sequence)
        return false;
    last.sequence = content.sequence;
    return true;
}

} // namespace sycamorelock::wire
