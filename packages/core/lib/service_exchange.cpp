// Reports of service totals and raised virtual times between the schedulers of
// a service. Snapshots are implemented in service_snapshots.cpp.
#include "sycamorelock/core/service_exchange.hpp"

#include <algorithm>
#include <cstdlib>
#include <iterator>

namespace sycamorelock::core
{

namespace
{

/// Age at which a report of waiting requests expires.
constexpr duration waiting_lifetime = std::chrono::seconds(4);
/// Approximate sizes on the wire of one item of a service report and of the
/// rest of the report.
constexpr std::size_t report_item_bytes = 9;
constexpr std::size_t report_header_bytes = 50;
/// Reports between full ones omit an account whose unreported service is less
/// than the largest unreported service divided by this number.
constexpr std::int64_t small_change_divisor = 16;
constexpr duration full_report_period = std::chrono::seconds(1);
/// Limit of repeated totals in one full report, in addition to changed ones.
constexpr std::size_t max_repeated_items = 16;
/// Limit of reports that are kept until the snapshot has arrived.
constexpr std::size_t max_deferred_reports = 64;
/// Snapshots requested after a change of owners, from different peers.
constexpr unsigned snapshots_after_change = 2;

} // namespace

service_exchange::service_exchange(shard_id id, exchange_options options,
                                   std::uint32_t epoch, time_point now,
                                   fair_queue& queue, outbox& out)
    : id_(id), options_(options), epoch_(epoch | 1U), queue_(queue), out_(out),
      joining_(options.enabled), join_deadline_(now + options.join_timeout)
{
}

void service_exchange::set_owners(time_point now,
                                  std::map<shard_id, instance_id> owners)
{
    bool changed = false;
    for (const auto& [shard, owner] : owners)
    {
        const auto known = owners_.find(shard);
        if (known != owners_.end() && known->second == owner)
            continue;
        waiting_at_.erase(shard);
        changed = true;
    }
    owners_ = std::move(owners);
    if (!changed)
        return;
    // A new owner may have missed earlier reports of this scheduler, and
    // reports sent during a change of owners may reach the wrong instance. Two
    // snapshots from different peers afterwards supply the missed totals.
    for (const auto& [account, service] : counted_)
        pending_repeats_.insert(account);
    snapshots_due_ = snapshots_after_change;
    next_snapshot_request_ = joining_ ? now : now + options_.resync_period;
}

std::set<instance_id> service_exchange::receivers() const
{
    std::set<instance_id> result;
    for (const auto& [shard, owner] : owners_)
        result.insert(owner);
    return result;
}

void service_exchange::add_local_service(account_id account, cost amount)
{
    totals_[account] += amount.value();
    counted_[account] += amount.value();
    unreported_[account] += amount.value();
}

bool service_exchange::waits_at_peer(time_point now, account_id account) const
{
    for (const auto& [shard, waiting] : waiting_at_)
    {
        const auto found = waiting.find(account);
        if (found != waiting.end() && now < found->second)
            return true;
    }
    return false;
}

virtual_time service_exchange::to_virtual_time(account_id account,
                                               std::int64_t amount) const
{
    return virtual_time(static_cast<double>(amount) / queue_.weight(account));
}

virtual_time service_exchange::counted_virtual_time(account_id account) const
{
    const auto found = counted_.find(account);
    return to_virtual_time(account,
                           found == counted_.end() ? 0 : found->second);
}

void service_exchange::add_peer_service(account_id account, std::int64_t amount)
{
    counted_[account] += amount;
    queue_.charge_remote(account, cost(amount));
}

service_exchange::peer_totals&
service_exchange::find_or_add_totals(time_point now, const totals_key& key)
{
    const auto found = peer_totals_.find(key);
    if (found != peer_totals_.end())
    {
        found->second.last_received = now;
        return found->second;
    }
    retire_totals(now);
    peer_totals& added = peer_totals_[key];
    added.last_received = now;
    return added;
}

void service_exchange::apply_total(peer_totals& known,
                                   const service_report::item& item)
{
    const auto from_snapshot = known.snapshot_totals.find(item.account);
    const bool outdated = from_snapshot != known.snapshot_totals.end() &&
                          item.total < from_snapshot->second;
    if (!outdated)
    {
        std::int64_t& known_total = known.totals[item.account];
        add_peer_service(item.account, item.total - known_total);
        known_total = item.total;
        known.snapshot_totals.erase(item.account);
    }
    if (!item.lifted_to)
        return;
    queue_.adopt(item.account,
                 *item.lifted_to + counted_virtual_time(item.account));
}

void service_exchange::on_report(time_point now, instance_id from,
                                 const service_report& message)
{
    const totals_key key{message.shard, message.epoch};
    const bool own = key == totals_key{id_, epoch_};
    if (!options_.enabled || own || retired_.contains(key))
        return;
    if (joining_)
    {
        // Applied after the snapshot, which determines the part of these
        // totals that is already included.
        if (deferred_reports_.size() < max_deferred_reports)
            deferred_reports_.emplace_back(from, message);
        return;
    }
    // While two instances own a shard, both provide service, and the totals of
    // both count.
    peer_totals& known = find_or_add_totals(now, key);
    for (const service_report::item& item : message.items)
        apply_total(known, item);
    limit_lag();
    const auto owner = owners_.find(message.shard);
    if (owner != owners_.end() && owner->second == from)
        update_waiting(now, message);
}

void service_exchange::limit_lag()
{
    // Without a snapshot the raised virtual times are unknown, and the totals
    // of schedulers that started earlier look like debt.
    if (!has_snapshot_)
        return;
    const auto lifted = queue_.limit_lag();
    lifted_.insert(lifted.begin(), lifted.end());
}

void service_exchange::update_waiting(time_point now,
                                      const service_report& message)
{
    auto& waiting = waiting_at_[message.shard];
    for (const service_report::item& item : message.items)
    {
        if (item.waiting)
            waiting[item.account] = now + waiting_lifetime;
        else
            waiting.erase(item.account);
    }
}

std::set<account_id> service_exchange::accounts_with_changes(bool full)
{
    const auto backlogged = queue_.backlogged();
    const std::set<account_id> waiting(backlogged.begin(), backlogged.end());
    std::set<account_id> changed = lifted_;
    // Accounts that started or stopped waiting since they were last reported.
    std::set_symmetric_difference(
        waiting.begin(), waiting.end(), reported_waiting_.begin(),
        reported_waiting_.end(), std::inserter(changed, changed.end()));
    if (!full)
        return changed;
    changed.insert(waiting.begin(), waiting.end());
    std::size_t repeated = 0;
    for (const account_id account : pending_repeats_)
    {
        if (repeated == max_repeated_items)
            break;
        repeated += changed.insert(account).second ? 1 : 0;
    }
    return changed;
}

std::vector<account_id> service_exchange::accounts_to_report(bool full)
{
    std::erase_if(unreported_, [](const auto& u) { return u.second == 0; });
    std::set<account_id> changed = accounts_with_changes(full);
    std::int64_t largest = 0;
    for (const auto& [account, amount] : unreported_)
        largest = std::max<std::int64_t>(largest, std::abs(amount));
    // Accounts with the largest changes come first, because they affect the
    // shares most. Small changes are left to the next full report, which keeps
    // the other reports short.
    std::vector<std::pair<std::int64_t, account_id>> changes;
    for (const auto& [account, amount] : unreported_)
    {
        const bool small = std::abs(amount) * small_change_divisor < largest;
        if (small && !full && !changed.contains(account))
            continue;
        changes.emplace_back(-std::abs(amount), account);
        changed.erase(account);
    }
    for (const account_id account : changed)
        changes.emplace_back(0, account);
    std::sort(changes.begin(), changes.end());
    if (changes.size() > options_.max_report_items)
        changes.resize(options_.max_report_items);
    std::vector<account_id> accounts;
    accounts.reserve(changes.size());
    for (const auto& [amount, account] : changes)
        accounts.push_back(account);
    return accounts;
}

service_report::item service_exchange::report_item(account_id account)
{
    service_report::item item;
    item.account = account;
    item.total = totals_[account];
    item.waiting = queue_.size_of(account) > 0;
    if (lifted_.contains(account) || pending_repeats_.contains(account))
        item.lifted_to =
            queue_.virtual_time_of(account) - counted_virtual_time(account);
    if (item.waiting)
        reported_waiting_.insert(account);
    else
        reported_waiting_.erase(account);
    lifted_.erase(account);
    unreported_.erase(account);
    pending_repeats_.erase(account);
    return item;
}

void service_exchange::send_report(time_point now)
{
    if (joining_ || now < next_report_ || owners_.empty())
        return;
    const bool full = now >= next_full_report_;
    if (full)
        next_full_report_ = now + full_report_period;
    service_report message{id_, epoch_, {}};
    for (const account_id account : accounts_to_report(full))
        message.items.push_back(report_item(account));
    if (message.items.empty())
        return;
    const std::size_t sent = send_to_peers(message);
    const std::size_t bytes =
        (report_header_bytes + report_item_bytes * message.items.size()) * sent;
    const auto by_budget =
        std::chrono::microseconds(bytes * 1000000 / options_.bytes_per_second);
    next_report_ = now + std::max<duration>(options_.period, by_budget);
}

std::size_t service_exchange::send_to_peers(const service_report& message)
{
    const std::set<instance_id> owners = receivers();
    for (const instance_id owner : owners)
        out_.send(owner, message);
    return owners.size();
}

void service_exchange::hand_over(std::map<shard_id, instance_id> owners)
{
    if (!options_.enabled || totals_.empty())
        return;
    owners_ = std::move(owners);
    service_report message{id_, epoch_, {}};
    for (const auto& [account, total] : totals_)
    {
        if (message.items.size() == options_.max_snapshot_items)
            break;
        pending_repeats_.insert(account);
        message.items.push_back(report_item(account));
    }
    send_to_peers(message);
}

void service_exchange::tick(time_point now)
{
    if (!options_.enabled)
        return;
    request_snapshot(now);
    send_report(now);
}

} // namespace sycamorelock::core
