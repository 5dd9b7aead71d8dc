// Checked conversions of single fields.
#include "fields.hpp"

#include "sycamorelock/wire/codec.hpp"

#include <cmath>

namespace sycamorelock::wire
{

namespace
{

constexpr std::int64_t max_cost = std::int64_t{1} << 40;
constexpr std::int64_t max_milliseconds = std::int64_t{1} << 42;

} // namespace

std::int64_t bounded(std::int64_t value, std::int64_t limit, const char* what)
{
    if (value < -limit || value > limit)
        throw decode_error(std::string(what) + " out of range");
    return value;
}

core::cost read_cost(std::uint64_t value)
{
    if (value > static_cast<std::uint64_t>(max_cost))
        throw decode_error("cost out of range");
    return core::cost(static_cast<std::int64_t>(value));
}

std::uint64_t write_cost(core::cost value)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, value.value()));
}

std::chrono::milliseconds read_ms(std::int64_t value)
{
    return std::chrono::milliseconds(bounded(value, max_milliseconds, "time"));
}

core::virtual_time read_virtual(double value)
{
    static constexpr double limit = 1e15;
    if (!std::isfinite(value) || std::abs(value) > limit)
        throw decode_error("virtual time out of range");
    return core::virtual_time(value);
}

std::uint32_t checked_enum(std::uint32_t value, std::uint32_t count)
{
    if (value >= count)
        throw decode_error("unknown value of an enumeration");
    return value;
}

core::request_id read(const pb::RequestId& from, const parties& ends)
{
    core::request_id id{core::instance_id(from.entry()), from.incarnation(),
                        from.number()};
    if (from.entry() != 0)
        return id;
    const bool by_sender = from.incarnation() == 0;
    id.entry = by_sender ? ends.sender : ends.receiver;
    if (by_sender)
        id.incarnation = ends.incarnation;
    return id;
}

void write(const core::request_id& from, const parties& ends, pb::RequestId& to)
{
    to.set_number(from.number);
    const bool by_sender =
        from.entry == ends.sender && from.incarnation == ends.incarnation;
    if (by_sender)
        return;
    to.set_incarnation(from.incarnation);
    if (from.entry != ends.receiver)
        to.set_entry(from.entry.value());
}

core::shard_id read(const pb::ShardId& from)
{
    return {core::service_id(from.service()), core::domain_id(from.domain()),
            from.index()};
}

void write(const core::shard_id& from, pb::ShardId& to)
{
    to.set_service(from.service.value());
    to.set_domain(from.domain.value());
    to.set_index(from.index);
}

} // namespace sycamorelock::wire
