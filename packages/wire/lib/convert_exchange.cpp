// Messages between the schedulers of a service.
#include "convert.hpp"

#include "sycamorelock/wire/codec.hpp"

namespace sycamorelock::wire
{

namespace
{

/// Largest running total that is taken from a message.
constexpr std::int64_t max_total = std::int64_t{1} << 60;

void write_totals(const core::snapshot::included_totals& from,
                  pb::Snapshot::IncludedTotals& to)
{
    write(from.shard, *to.mutable_shard());
    to.set_epoch(from.epoch);
    for (const core::snapshot::account_total& item : from.items)
    {
        pb::Snapshot::AccountTotal& out = *to.add_items();
        out.set_account(item.account.value());
        out.set_total(item.total);
    }
}

core::snapshot::included_totals
read_totals(const pb::Snapshot::IncludedTotals& from)
{
    core::snapshot::included_totals to;
    to.shard = read(from.shard());
    to.epoch = from.epoch();
    for (const pb::Snapshot::AccountTotal& item : from.items())
        to.items.push_back({core::account_id(item.account()),
                            bounded(item.total(), max_total, "total")});
    return to;
}

} // namespace

void write(const core::advert& from, const parties&, pb::Body& body)
{
    pb::Advert& to = *body.mutable_advert();
    write(from.shard, *to.mutable_shard());
    to.set_wanted(from.wanted);
    to.set_backlog(from.backlog);
    to.set_next(from.next.value());
}

core::advert read(const pb::Advert& from, const parties&)
{
    return {read(from.shard()), from.wanted(), from.backlog(),
            read_virtual(from.next())};
}

void write(const core::service_report& from, const parties&, pb::Body& body)
{
    pb::ServiceReport& to = *body.mutable_service_report();
    write(from.shard, *to.mutable_shard());
    to.set_epoch(from.epoch);
    for (const core::service_report::item& item : from.items)
    {
        const auto index = static_cast<std::uint32_t>(to.accounts_size());
        to.add_accounts(item.account.value());
        to.add_totals(item.total);
        to.add_waiting(item.waiting);
        if (!item.lifted_to)
            continue;
        to.add_lifted(index);
        to.add_lifted_to(item.lifted_to->value());
    }
}

core::service_report read(const pb::ServiceReport& from, const parties&)
{
    core::service_report to;
    to.shard = read(from.shard());
    to.epoch = from.epoch();
    const int count = from.accounts_size();
    if (from.totals_size() != count || from.waiting_size() != count ||
        from.lifted_size() != from.lifted_to_size())
        throw decode_error("columns of a service report differ in length");
    for (int i = 0; i < count; ++i)
    {
        core::service_report::item item;
        item.account = core::account_id(from.accounts(i));
        item.total = bounded(from.totals(i), max_total, "total");
        item.waiting = from.waiting(i);
        to.items.push_back(item);
    }
    for (int i = 0; i < from.lifted_size(); ++i)
    {
        if (from.lifted(i) >= to.items.size())
            throw decode_error("lift of an account that is not reported");
        to.items[from.lifted(i)].lifted_to = read_virtual(from.lifted_to(i));
    }
    return to;
}

void write(const core::snapshot_request& from, const parties&, pb::Body& body)
{
    write(from.shard, *body.mutable_snapshot_request()->mutable_shard());
}

core::snapshot_request read(const pb::SnapshotRequest& from, const parties&)
{
    return {read(from.shard())};
}

void write(const core::snapshot& from, const parties&, pb::Body& body)
{
    pb::Snapshot& to = *body.mutable_snapshot();
    write(from.shard, *to.mutable_shard());
    to.set_system(from.system.value());
    for (const core::snapshot::item& item : from.items)
    {
        pb::Snapshot::Item& out = *to.add_items();
        out.set_account(item.account.value());
        out.set_at(item.at.value());
    }
    for (const core::snapshot::included_totals& each : from.included)
        write_totals(each, *to.add_included());
}

core::snapshot read(const pb::Snapshot& from, const parties&)
{
    core::snapshot to;
    to.shard = read(from.shard());
    to.system = read_virtual(from.system());
    for (const pb::Snapshot::Item& item : from.items())
        to.items.push_back(
            {core::account_id(item.account()), read_virtual(item.at())});
    for (const pb::Snapshot::IncludedTotals& each : from.included())
        to.included.push_back(read_totals(each));
    return to;
}

} // namespace sycamorelock::wire
