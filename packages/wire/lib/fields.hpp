// Checked conversions of single fields, shared by all kinds of messages.
#pragma once

#include "generated/sycamorelock.pb.h"
#include "sycamorelock/core/messages.hpp"

namespace sycamorelock::wire
{

/// The two ends of a datagram. What they imply is left out of its messages.
struct parties
{
    core::instance_id sender;
    std::uint32_t incarnation = 0;
    core::instance_id receiver;
};

/// Checks that a number is within a limit on both sides of zero.
/// \throws decode_error if it is not.
std::int64_t bounded(std::int64_t value, std::int64_t limit, const char* what);

core::cost read_cost(std::uint64_t value);
std::uint64_t write_cost(core::cost value);
std::chrono::milliseconds read_ms(std::int64_t value);
core::virtual_time read_virtual(double value);

/// Checks that a value is below the number of values of an enumeration.
std::uint32_t checked_enum(std::uint32_t value, std::uint32_t count);

template <class Enum> Enum read_enum(std::uint32_t value, std::uint32_t count)
{
    return static_cast<Enum>(checked_enum(value, count));
}

/// An id without entry and incarnation was given by the sender, one without
/// entry alone by the receiver.
core::request_id read(const pb::RequestId& from, const parties& ends);
void write(const core::request_id& from, const parties& ends,
           pb::RequestId& to);

core::shard_id read(const pb::ShardId& from);
void write(const core::shard_id& from, pb::ShardId& to);

/// Request, attempt and shard, which most messages start with.
template <class From, class To>
void write_head(const From& from, const parties& ends, To& to)
{
    write(from.request, ends, *to.mutable_request());
    to.set_attempt(from.attempt);
    write(from.shard, *to.mutable_shard());
}

template <class From, class To>
void read_head(const From& from, const parties& ends, To& to)
{
    to.request = read(from.request(), ends);
    to.attempt = from.attempt();
    to.shard = read(from.shard());
}

} // namespace sycamorelock::wire
