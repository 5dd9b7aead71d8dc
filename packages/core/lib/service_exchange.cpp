// Totals, lifts and reports between the schedulers of a service. Snapshots are
// in service_snapshots.cpp.
#include "sycamorelock/core/service_exchange.hpp"

#include <algorithm>
#include <cstdlib>
#include <iterator>

namespace sycamorelock::core
{

namespace
{

/// Age after which a report says no longer that an account waits.
constexpr duration waiting_lifetime = std::chrono::seconds(4);
/// Size of a service report on the wire, measured by --slopes.
constexpr std::size_t report_item_bytes = 9;
constexpr std::size_t report_header_bytes = 50;
/// Between full reports an account is left out that got less than this part of
/// what the foremost one got.
constexpr std::int64_t small_mover_part = 16;
constexpr duration full_report_period = std::chrono::seconds(1);
/// Totals told again in one report, on top of those that changed.
constexpr std::size_t max_repeated_items = 16;
/// Reports kept until the snapshot has come.
constexpr std::size_t max_early_reports = 64;
constexpr unsigned snapshots_after_change = 2;

} // namespace

service_exchange::service_exchange(shard_id id, exchange_options options,
                                   std::uint32_t epoch, time_point now,
                                   fair_queue& queue, outbox& out)
    : id_(id), options_(options), epoch_(epoch | 1U), queue_(queue), out_(out),
      joining_(options.enabled), joined_at_latest_(now + options.join_limit)
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
    // A new owner may have missed what was reported here, and while owners
    // change reports go astray: two snapshots from different peers afterwards
    // bring what was missed.
    for (const auto& [account, service] : counted_)
        repeat_.insert(account);
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

void service_exchange::add_own(account_id account, cost amount)
{
    totals_[account] += amount.value();
    counted_[account] += amount.value();
    unreported_[account] += amount.value();
}

bool service_exchange::waits_elsewhere(time_point now, account_id account) const
{
    for (const auto& [shard, waiting] : waiting_at_)
    {
        const auto found = waiting.find(account);
        if (found != waiting.end() && now < found->second)
            return true;
    }
    return false;
}

virtual_time service_exchange::to_virtual(account_id account,
                                          std::int64_t amount) const
{
    return virtual_time(static_cast<double>(amount) / queue_.weight(account));
}

virtual_time service_exchange::counted_service(account_id account) const
{
    const auto found = counted_.find(account);
    return to_virtual(account, found == counted_.end() ? 0 : found->second);
}

void service_exchange::add_service(account_id account, std::int64_t amount)
{
    counted_[account] += amount;
    queue_.import(account, cost(amount));
}

service_exchange::totals_seen& service_exchange::seen_of(time_point now,
                                                         const totals_key& key)
{
    const auto found = seen_.find(key);
    if (found != seen_.end())
    {
        found->second.heard = now;
        return found->second;
    }
    retire_totals(now);
    totals_seen& made = seen_[key];
    made.heard = now;
    return made;
}

void service_exchange::count(totals_seen& seen,
                             const service_report::item& item)
{
    const auto early = seen.told_early.find(item.account);
    const bool late =
        early != seen.told_early.end() && item.total < early->second;
    if (!late)
    {
        std::int64_t& seen_total = seen.totals[item.account];
        add_service(item.account, item.total - seen_total);
        seen_total = item.total;
        seen.told_early.erase(item.account);
    }
    if (!item.lifted_to)
        return;
    queue_.adopt(item.account, *item.lifted_to + counted_service(item.account));
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
        // Counted after the snapshot, which tells what of it is known already.
        if (early_reports_.size() < max_early_reports)
            early_reports_.emplace_back(from, message);
        return;
    }
    // While two instances own a shard, both give service, and both count.
    totals_seen& seen = seen_of(now, key);
    for (const service_report::item& item : message.items)
        count(seen, item);
    limit_debt();
    const auto owner = owners_.find(message.shard);
    if (owner != owners_.end() && owner->second == from)
        note_waiting(now, message);
}

void service_exchange::limit_debt()
{
    // Before a snapshot has told what was lifted, the totals of schedulers that
    // were there first look like debt.
    if (!has_snapshot_)
        return;
    const auto lifted = queue_.limit_debt();
    lifted_.insert(lifted.begin(), lifted.end());
}

void service_exchange::note_waiting(time_point now,
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

std::set<account_id> service_exchange::accounts_with_news(bool full)
{
    const auto backlogged = queue_.backlogged();
    const std::set<account_id> waiting(backlogged.begin(), backlogged.end());
    std::set<account_id> news = lifted_;
    // Both who began to wait and who ceased to.
    std::set_symmetric_difference(
        waiting.begin(), waiting.end(), reported_waiting_.begin(),
        reported_waiting_.end(), std::inserter(news, news.end()));
    if (!full)
        return news;
    news.insert(waiting.begin(), waiting.end());
    std::size_t repeated = 0;
    for (const account_id account : repeat_)
    {
        if (repeated == max_repeated_items)
            break;
        repeated += news.insert(account).second ? 1 : 0;
    }
    return news;
}

std::vector<account_id> service_exchange::accounts_to_report(bool full)
{
    std::erase_if(unreported_, [](const auto& u) { return u.second == 0; });
    std::set<account_id> news = accounts_with_news(full);
    std::int64_t largest = 0;
    for (const auto& [account, amount] : unreported_)
        largest = std::max<std::int64_t>(largest, std::abs(amount));
    // The largest movers first: they shift shares the most. Small ones can wait
    // for the next full report, which makes the others shorter and denser.
    std::vector<std::pair<std::int64_t, account_id>> movers;
    for (const auto& [account, amount] : unreported_)
    {
        const bool small = std::abs(amount) * small_mover_part < largest;
        if (small && !full && !news.contains(account))
            continue;
        movers.emplace_back(-std::abs(amount), account);
        news.erase(account);
    }
    for (const account_id account : news)
        movers.emplace_back(0, account);
    std::sort(movers.begin(), movers.end());
    if (movers.size() > options_.max_report_items)
        movers.resize(options_.max_report_items);
    std::vector<account_id> accounts;
    accounts.reserve(movers.size());
    for (const auto& [amount, account] : movers)
        accounts.push_back(account);
    return accounts;
}

service_report::item service_exchange::report_item(account_id account)
{
    service_report::item item;
    item.account = account;
    item.total = totals_[account];
    item.waiting = queue_.size_of(account) > 0;
    if (lifted_.contains(account) || repeat_.contains(account))
        item.lifted_to = queue_.at(account) - counted_service(account);
    if (item.waiting)
        reported_waiting_.insert(account);
    else
        reported_waiting_.erase(account);
    lifted_.erase(account);
    unreported_.erase(account);
    repeat_.erase(account);
    return item;
}

void service_exchange::report(time_point now)
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
    const std::size_t sent = send_to_owners(message);
    const std::size_t bytes =
        (report_header_bytes + report_item_bytes * message.items.size()) * sent;
    const auto by_budget =
        std::chrono::microseconds(bytes * 1000000 / options_.bytes_per_second);
    next_report_ = now + std::max<duration>(options_.period, by_budget);
}

std::size_t service_exchange::send_to_owners(const service_report& message)
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
        repeat_.insert(account);
        message.items.push_back(report_item(account));
    }
    send_to_owners(message);
}

void service_exchange::tick(time_point now)
{
    if (!options_.enabled)
        return;
    ask_for_snapshot(now);
    report(now);
}

} // namespace sycamorelock::core
