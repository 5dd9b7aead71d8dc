// Snapshots of virtual times with the totals that they include: how a scheduler
// joins, and how schedulers agree again after owners have changed.
#include "sycamorelock/core/service_exchange.hpp"

#include <algorithm>

namespace sycamorelock::core
{

namespace
{

/// Wait for a snapshot before another peer is asked.
constexpr duration snapshot_patience = std::chrono::milliseconds(250);
/// Time after which the totals of a replaced scheduler become part of a sum.
constexpr duration totals_lifetime = std::chrono::minutes(10);
constexpr std::size_t max_retired = 4096;
/// Epoch under which a snapshot carries that sum; schedulers draw others.
constexpr std::uint32_t retired_epoch = 0;

} // namespace

void service_exchange::retire_totals(time_point now)
{
    // The last epoch of a shard is kept: its owner may be cut off for long.
    std::map<shard_id, time_point> last;
    for (const auto& [key, seen] : seen_)
    {
        time_point& newest = last[key.first];
        newest = std::max(newest, seen.heard);
    }
    for (auto it = seen_.begin(); it != seen_.end();)
    {
        const auto& [key, seen] = *it;
        const bool old = now - seen.heard > totals_lifetime;
        if (!old || seen.heard >= last[key.first] ||
            retired_.size() >= max_retired)
        {
            ++it;
            continue;
        }
        for (const auto& [account, total] : seen.totals)
            retired_sum_[account] += total;
        retired_.insert(key);
        it = seen_.erase(it);
    }
}

void service_exchange::ask_for_snapshot(time_point now)
{
    const bool wanted = joining_ || snapshots_due_ > 0;
    if (!wanted || now < next_snapshot_request_)
        return;
    if (joining_ && now >= joined_at_latest_)
    {
        // Nobody has answered, as after a restart of the whole fleet.
        finish_joining(now);
        return;
    }
    if (owners_.empty())
        return;
    if (!joining_)
        --snapshots_due_;
    next_snapshot_request_ =
        now + (joining_ ? snapshot_patience : options_.resync_period);
    ++snapshots_awaited_;
    const auto turn = snapshot_requests_++ % owners_.size();
    const auto peer = std::next(owners_.begin(), static_cast<long>(turn));
    out_.send(peer->second, snapshot_request{peer->first});
}

void service_exchange::on_snapshot_request(time_point now, instance_id from)
{
    // One that joins knows nothing itself; the sender asks the next one.
    if (joining_)
        return;
    retire_totals(now);
    snapshot answer;
    answer.shard = id_;
    answer.system = queue_.system_time();
    for (const auto& [account, at] : queue_.virtual_times())
    {
        if (answer.items.size() == options_.max_snapshot_items)
            break;
        answer.items.push_back({account, at});
    }
    const auto include =
        [&](const totals_key& key, const account_totals& totals)
    {
        // No items stand for a scheduler that is part of the sum.
        if (totals.empty())
            return;
        snapshot::included_totals each{key.first, key.second, {}};
        each.items.reserve(totals.size());
        for (const auto& [account, total] : totals)
            each.items.push_back({account, total});
        answer.included.push_back(std::move(each));
    };
    include({id_, epoch_}, totals_);
    for (const auto& [key, seen] : seen_)
        include(key, seen.totals);
    for (const totals_key& key : retired_)
        answer.included.push_back({key.first, key.second, {}});
    include({id_, retired_epoch}, retired_sum_);
    out_.send(from, answer);
}

void service_exchange::on_snapshot(time_point now, const snapshot& message)
{
    if (snapshots_awaited_ == 0)
        return;
    --snapshots_awaited_;
    has_snapshot_ = true;
    if (joining_)
        take_retired(message);
    const account_totals included = count_included(now, message);
    for (const snapshot::item& item : message.items)
    {
        const auto found = included.find(item.account);
        const std::int64_t theirs = found == included.end() ? 0 : found->second;
        const virtual_time base = item.at - to_virtual(item.account, theirs);
        queue_.adopt(item.account, base + counted_service(item.account));
    }
    if (!joining_)
        return;
    queue_.raise_system_time(message.system);
    finish_joining(now);
}

void service_exchange::take_retired(const snapshot& message)
{
    for (const snapshot::included_totals& each : message.included)
    {
        if (each.epoch != retired_epoch)
        {
            if (each.items.empty() && retired_.size() < max_retired)
                retired_.emplace(each.shard, each.epoch);
            continue;
        }
        for (const snapshot::account_total& item : each.items)
        {
            retired_sum_[item.account] += item.total;
            add_service(item.account, item.total);
        }
    }
}

service_exchange::account_totals
service_exchange::count_included(time_point now, const snapshot& message)
{
    account_totals included;
    for (const snapshot::included_totals& each : message.included)
    {
        for (const snapshot::account_total& item : each.items)
            included[item.account] += item.total;
        const totals_key key{each.shard, each.epoch};
        const bool own = key == totals_key{id_, epoch_};
        const bool known_as_sum =
            each.epoch == retired_epoch || retired_.contains(key);
        if (own || known_as_sum || each.items.empty())
            continue;
        totals_seen& seen = seen_of(now, key);
        for (const snapshot::account_total& item : each.items)
        {
            std::int64_t& seen_total = seen.totals[item.account];
            const std::int64_t news = item.total - seen_total;
            // A correction of an estimate may lower a total; the later report
            // of its scheduler settles which one is newer.
            if (news <= 0)
                continue;
            seen_total = item.total;
            seen.told_early[item.account] = item.total;
            add_service(item.account, news);
        }
    }
    return included;
}

void service_exchange::finish_joining(time_point now)
{
    joining_ = false;
    next_snapshot_request_ = now + options_.resync_period;
    const auto reports = std::move(early_reports_);
    early_reports_.clear();
    for (const auto& [from, early] : reports)
        on_report(now, from, early);
}

} // namespace sycamorelock::core
