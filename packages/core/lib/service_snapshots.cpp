// Snapshots of virtual times together with the totals that they include. They
// initialise a scheduler that joins and make schedulers converge again after a
// change of owners.
#include "sycamorelock/core/service_exchange.hpp"

#include <algorithm>

namespace sycamorelock::core
{

namespace
{

/// Time that a joining scheduler waits for a snapshot before it sends the
/// request to another peer.
constexpr duration snapshot_timeout = std::chrono::milliseconds(250);
/// Time without a report after which the totals of a replaced scheduler are
/// merged into one sum.
constexpr duration totals_lifetime = std::chrono::minutes(10);
/// Limit of replaced schedulers that are remembered as part of the sum.
constexpr std::size_t max_retired = 4096;
/// Epoch that marks the sum in a snapshot. Epochs of schedulers are odd and
/// never equal it.
constexpr std::uint32_t retired_epoch = 0;

} // namespace

void service_exchange::retire_totals(time_point now)
{
    // The latest epoch of a shard is kept, because its owner may be unreachable
    // for a long time.
    std::map<shard_id, time_point> latest;
    for (const auto& [key, known] : peer_totals_)
    {
        time_point& newest = latest[key.first];
        newest = std::max(newest, known.last_received);
    }
    for (auto it = peer_totals_.begin(); it != peer_totals_.end();)
    {
        const auto& [key, known] = *it;
        const bool is_old = now - known.last_received > totals_lifetime;
        if (!is_old || known.last_received >= latest[key.first] ||
            retired_.size() >= max_retired)
        {
            ++it;
            continue;
        }
        for (const auto& [account, total] : known.totals)
            retired_sum_[account] += total;
        retired_.insert(key);
        it = peer_totals_.erase(it);
    }
}

void service_exchange::request_snapshot(time_point now)
{
    const bool needed = joining_ || snapshots_due_ > 0;
    if (!needed || now < next_snapshot_request_)
        return;
    if (joining_ && now >= join_deadline_)
    {
        // No peer has responded, for example after a restart of the whole
        // fleet.
        finish_joining(now);
        return;
    }
    if (owners_.empty())
        return;
    if (!joining_)
        --snapshots_due_;
    next_snapshot_request_ =
        now + (joining_ ? snapshot_timeout : options_.resync_period);
    ++snapshots_awaited_;
    const auto peer_index = snapshot_requests_++ % owners_.size();
    const auto peer = std::next(owners_.begin(), static_cast<long>(peer_index));
    out_.send(peer->second, snapshot_request{peer->first});
}

void service_exchange::on_snapshot_request(time_point now, instance_id from)
{
    // A joining scheduler has no complete totals itself. The sender's request
    // times out, and it sends the next one to another peer.
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
    const auto append_totals =
        [&](const totals_key& key, const account_totals& totals)
    {
        // An entry without items marks a scheduler that is part of the sum.
        if (totals.empty())
            return;
        snapshot::included_totals each{key.first, key.second, {}};
        each.items.reserve(totals.size());
        for (const auto& [account, total] : totals)
            each.items.push_back({account, total});
        answer.included.push_back(std::move(each));
    };
    append_totals({id_, epoch_}, totals_);
    for (const auto& [key, known] : peer_totals_)
        append_totals(key, known.totals);
    for (const totals_key& key : retired_)
        answer.included.push_back({key.first, key.second, {}});
    append_totals({id_, retired_epoch}, retired_sum_);
    out_.send(from, answer);
}

void service_exchange::on_snapshot(time_point now, const snapshot& message)
{
    if (snapshots_awaited_ == 0)
        return;
    --snapshots_awaited_;
    has_snapshot_ = true;
    if (joining_)
        merge_retired(message);
    // The totals counted here may be newer than those that the sender's virtual
    // times include, and replace them.
    const account_totals included = apply_included(now, message);
    for (const snapshot::item& item : message.items)
    {
        const auto found = included.find(item.account);
        const std::int64_t included_total =
            found == included.end() ? 0 : found->second;
        const virtual_time time_without_totals =
            item.at - to_virtual_time(item.account, included_total);
        queue_.adopt(item.account,
                     time_without_totals + counted_virtual_time(item.account));
    }
    if (!joining_)
        return;
    queue_.raise_system_time(message.system);
    finish_joining(now);
}

void service_exchange::merge_retired(const snapshot& message)
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
            add_peer_service(item.account, item.total);
        }
    }
}

service_exchange::account_totals
service_exchange::apply_included(time_point now, const snapshot& message)
{
    account_totals included;
    for (const snapshot::included_totals& each : message.included)
    {
        for (const snapshot::account_total& item : each.items)
            included[item.account] += item.total;
        const totals_key key{each.shard, each.epoch};
        const bool is_own = key == totals_key{id_, epoch_};
        const bool is_part_of_sum =
            each.epoch == retired_epoch || retired_.contains(key);
        if (is_own || is_part_of_sum || each.items.empty())
            continue;
        peer_totals& known = find_or_add_totals(now, key);
        for (const snapshot::account_total& item : each.items)
        {
            std::int64_t& known_total = known.totals[item.account];
            const std::int64_t increase = item.total - known_total;
            // A lower total is either older or a downward correction of an
            // estimate. The next report of its scheduler decides which.
            if (increase <= 0)
                continue;
            known_total = item.total;
            known.snapshot_totals[item.account] = item.total;
            add_peer_service(item.account, increase);
        }
    }
    return included;
}

void service_exchange::finish_joining(time_point now)
{
    joining_ = false;
    next_snapshot_request_ = now + options_.resync_period;
    const auto reports = std::move(deferred_reports_);
    deferred_reports_.clear();
    for (const auto& [from, message] : reports)
        on_report(now, from, message);
}

} // namespace sycamorelock::core
