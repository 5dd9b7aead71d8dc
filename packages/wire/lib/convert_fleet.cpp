// Messages about the fleet: liveness, member list and configuration.
#include "convert.hpp"

#include "sycamorelock/wire/codec.hpp"

#include <zlib.h>

namespace sycamorelock::wire
{

namespace
{

constexpr std::uint32_t max_document = 1024 * 1024;

core::config_version read(const pb::ConfigVersion& from)
{
    return {from.number(), from.digest()};
}

void write(const core::config_version& from, pb::ConfigVersion& to)
{
    to.set_number(from.number);
    to.set_digest(from.digest);
}

std::string compress_text(const std::string& text)
{
    uLongf size = compressBound(static_cast<uLong>(text.size()));
    std::string packed(size, '\0');
    compress(reinterpret_cast<Bytef*>(packed.data()), &size,
             reinterpret_cast<const Bytef*>(text.data()),
             static_cast<uLong>(text.size()));
    packed.resize(size);
    return packed;
}

std::string expand_text(const std::string& packed, std::uint32_t size)
{
    if (size > max_document)
        throw decode_error("document too large");
    std::string text(size, '\0');
    uLongf length = size;
    const int status =
        uncompress(reinterpret_cast<Bytef*>(text.data()), &length,
                   reinterpret_cast<const Bytef*>(packed.data()),
                   static_cast<uLong>(packed.size()));
    if (status != Z_OK || length != size)
        throw decode_error("document cannot be expanded");
    return text;
}

} // namespace

void write(const core::gossip& from, const parties&, pb::Body& body)
{
    pb::Gossip& to = *body.mutable_gossip();
    for (const core::heartbeat& beat : from.heartbeats)
    {
        if (beat.leaving)
            to.add_leaving(static_cast<std::uint32_t>(to.instances_size()));
        to.add_instances(beat.instance.value());
        to.add_incarnations(beat.incarnation);
        to.add_counters(beat.counter);
    }
    write(from.config, *to.mutable_config());
    to.set_membership_version(from.membership_version);
}

core::gossip read(const pb::Gossip& from, const parties&)
{
    core::gossip to;
    const int count = from.instances_size();
    if (from.incarnations_size() != count || from.counters_size() != count)
        throw decode_error("columns of a gossip message differ in length");
    for (int i = 0; i < count; ++i)
        to.heartbeats.push_back({core::instance_id(from.instances(i)),
                                 from.incarnations(i), from.counters(i),
                                 false});
    for (const std::uint32_t index : from.leaving())
    {
        if (index >= to.heartbeats.size())
            throw decode_error("leaving instance without a heartbeat");
        to.heartbeats[index].leaving = true;
    }
    to.config = read(from.config());
    to.membership_version = from.membership_version();
    return to;
}

void write(const core::config_request& from, const parties&, pb::Body& body)
{
    pb::ConfigRequest& to = *body.mutable_config_request();
    write(from.have, *to.mutable_have());
    to.set_membership_version(from.membership_version);
}

core::config_request read(const pb::ConfigRequest& from, const parties&)
{
    return {read(from.have()), from.membership_version()};
}

void write(const core::config_document& from, const parties&, pb::Body& body)
{
    pb::ConfigDocument& to = *body.mutable_config_document();
    to.set_version(from.version);
    to.set_text(compress_text(from.text));
    to.set_text_size(static_cast<std::uint32_t>(from.text.size()));
}

core::config_document read(const pb::ConfigDocument& from, const parties&)
{
    return {from.version(), expand_text(from.text(), from.text_size())};
}

void write(const core::membership_document& from, const parties&,
           pb::Body& body)
{
    pb::MembershipDocument& to = *body.mutable_membership_document();
    to.set_text(compress_text(from.text));
    to.set_text_size(static_cast<std::uint32_t>(from.text.size()));
}

core::membership_document read(const pb::MembershipDocument& from,
                               const parties&)
{
    return {expand_text(from.text(), from.text_size())};
}

} // namespace sycamorelock::wire
