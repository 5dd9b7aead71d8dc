// What the scheduler of a shard exchanges with those of the same service: free
// slots and backlog (so that no slot idles while work waits elsewhere) and
// service per account (so that shares hold across the fleet).
#include "sycamorelock/core/shard_scheduler.hpp"

#include <algorithm>

namespace sycamorelock::core
{

namespace
{

/// Age after which an advert says nothing any more.
constexpr duration advert_lifetime = std::chrono::seconds(3);
/// Silence of an owner after which another instance's advert is believed.
constexpr duration owner_silence = std::chrono::milliseconds(1500);
/// The same for a report that an account waits.
constexpr duration waiting_lifetime = std::chrono::seconds(4);
/// Size of one item of a service report on the wire, measured by --slopes.
constexpr std::size_t report_item_bytes = 13;
constexpr std::size_t report_header_bytes = 50;
constexpr std::size_t max_snapshot_items = 2048;
/// Totals told again in one report, on top of those that changed.
constexpr std::size_t max_repeated_items = 16;
/// Reports kept until the snapshot has come.
constexpr std::size_t max_early_reports = 64;
/// Time in which peers that started together tell their first totals.
constexpr duration first_totals_window = std::chrono::seconds(2);
/// Wait for a snapshot before another peer is asked.
constexpr duration snapshot_patience = std::chrono::milliseconds(250);
/// Wait after a change of owners, until all have learnt of it, and between the
/// snapshots that follow.
constexpr duration resync_period = std::chrono::seconds(3);
/// Time after which the totals of a replaced scheduler are forgotten.
constexpr duration totals_lifetime = std::chrono::minutes(10);

} // namespace

void shard_scheduler::set_peers(time_point now,
                                std::map<shard_id, instance_id> peers)
{
    bool changed = false;
    std::erase_if(peers_,
                  [&](const auto& p) { return !peers.contains(p.first); });
    for (const auto& [shard, owner] : peers)
    {
        peer_view& view = peers_[shard];
        if (view.placed_owner == owner)
            continue;
        view.placed_owner = owner;
        if (view.owner == owner)
            continue;
        replace_owner(shard, view, owner);
        changed = true;
    }
    if (changed)
        catch_up(now);
}

void shard_scheduler::replace_owner(const shard_id& shard, peer_view& view,
                                    instance_id owner)
{
    // A new owner says anew what it has, and may have missed what was reported
    // here.
    const instance_id placed_owner = view.placed_owner;
    view = {};
    view.owner = owner;
    view.placed_owner = placed_owner;
    waiting_at_.erase(shard);
    for (const auto& [account, service] : counted_)
        repeat_.insert(account);
}

void shard_scheduler::catch_up(time_point now)
{
    // While owners change, reports go astray. Two snapshots from different
    // peers afterwards bring what was missed.
    snapshots_due_ = 2;
    next_snapshot_request_ = joining_ ? now : now + resync_period;
    // The new owner learns at once where there is work and room.
    next_advert_ = now;
}

std::set<instance_id> shard_scheduler::peer_owners() const
{
    std::set<instance_id> owners;
    for (const auto& [shard, peer] : peers_)
        owners.insert(peer.owner);
    return owners;
}

void shard_scheduler::ask_for_snapshot(time_point now)
{
    const bool wanted = joining_ || snapshots_due_ > 0;
    if (!options_.exchange || !wanted || now < next_snapshot_request_)
        return;
    if (joining_ && now >= joined_at_latest_)
    {
        // Nobody has answered, as after a restart of the whole fleet.
        totals_known_from_ = now + first_totals_window;
        finish_joining(now);
        return;
    }
    if (peers_.empty())
        return;
    if (!joining_)
        --snapshots_due_;
    next_snapshot_request_ =
        now + (joining_ ? snapshot_patience : resync_period);
    snapshot_awaited_ = true;
    const auto turn = snapshot_requests_++ % peers_.size();
    const auto peer = std::next(peers_.begin(), static_cast<long>(turn));
    out_.send(peer->second.owner, snapshot_request{peer->first});
}

shard_scheduler::totals_seen& shard_scheduler::seen_of(time_point now,
                                                       const totals_key& key)
{
    const auto found = seen_.find(key);
    if (found != seen_.end())
    {
        found->second.heard = now;
        return found->second;
    }
    forget_totals(now);
    totals_seen& made = seen_[key];
    made.heard = now;
    return made;
}

void shard_scheduler::forget_totals(time_point now)
{
    // The last epoch of a shard is kept: its owner may be cut off for long.
    std::map<shard_id, time_point> last;
    for (const auto& [key, seen] : seen_)
    {
        time_point& newest = last[key.first];
        newest = std::max(newest, seen.heard);
    }
    std::erase_if(seen_,
                  [&](const auto& entry)
                  {
                      const time_point heard = entry.second.heard;
                      const bool old = now - heard > totals_lifetime;
                      return old && heard < last[entry.first.first];
                  });
}

void shard_scheduler::follow_peers(time_point now)
{
    if (!options_.exchange)
        return;
    // An account that comes back starts level with those that wait anywhere.
    const virtual_time* least = nullptr;
    for (const auto& [shard, peer] : peers_)
    {
        const bool fresh = peer.known && now - peer.at < advert_lifetime;
        if (!fresh || peer.backlog == 0)
            continue;
        if (least == nullptr || peer.next < *least)
            least = &peer.next;
    }
    if (least == nullptr || !queue_.empty())
        return;
    queue_.raise_system_time(*least);
}

bool shard_scheduler::waits_elsewhere(time_point now, account_id account) const
{
    for (const auto& [shard, waiting] : waiting_at_)
    {
        const auto found = waiting.find(account);
        if (found != waiting.end() && now < found->second)
            return true;
    }
    return false;
}

void shard_scheduler::enqueue_fairly(time_point now,
                                     const waiting_request& request)
{
    const account_id account = request.account;
    if (queue_.size_of(account) == 0)
        follow_peers(now);
    // Being out of work here is not idling while requests wait elsewhere: a
    // lift would forgive what the fleet owes the account.
    const bool busy = options_.exchange && (request.moved || request.requeued ||
                                            waits_elsewhere(now, account));
    const virtual_time before = queue_.at(account);
    queue_.push(request, busy ? fair_queue::return_from::waiting_elsewhere
                              : fair_queue::return_from::idling);
    const virtual_time after = queue_.at(account);
    if (after > before)
        lifted_.insert(account);
}

void shard_scheduler::on_message(time_point now, instance_id from,
                                 const advert& message)
{
    const auto found = peers_.find(message.shard);
    if (found == peers_.end())
        return;
    peer_view& peer = found->second;
    if (peer.owner != from)
    {
        // Its own failure domain suspects a dead owner earlier than others do,
        // so the word of the next one is taken once the old one is silent.
        if (peer.known && now - peer.at <= owner_silence)
            return;
        replace_owner(message.shard, peer, from);
        catch_up(now);
    }
    peer.wanted = message.wanted;
    peer.backlog = message.backlog;
    peer.next = message.next;
    peer.moves_left = options_.move_burst;
    peer.at = now;
    peer.known = true;
    move_work(now);
    // Tell at once a peer with backlog that there is room here.
    if (peer.backlog > 0 && wanted() > 0 && advertised_wanted_ == 0)
        advertise(now, true);
}

virtual_time shard_scheduler::with_moved(account_id account,
                                         virtual_time at) const
{
    const auto found = moved_cost_.find(account);
    if (found == moved_cost_.end())
        return at;
    const auto pending = static_cast<double>(found->second.value());
    return at + virtual_time(pending / queue_.weight(account));
}

void shard_scheduler::forget_moved(const request_id& id)
{
    const auto found = moved_.find(id);
    if (found == moved_.end())
        return;
    cost& pending = moved_cost_[found->second.account];
    pending = pending - found->second.estimate;
    if (pending.value() <= 0)
        moved_cost_.erase(found->second.account);
    moved_.erase(found);
}

void shard_scheduler::expire_moved(time_point now)
{
    std::vector<request_id> expired;
    for (const auto& [id, moved] : moved_)
    {
        if (now >= moved.until)
            expired.push_back(id);
    }
    for (const request_id& id : expired)
        forget_moved(id);
}

void shard_scheduler::move_work(time_point now)
{
    for (auto& [shard, peer] : peers_)
    {
        if (!peer.known || now - peer.at > advert_lifetime)
            continue;
        while (peer.wanted > 0 && queue_.size() > low_water())
        {
            const waiting_request* next = queue_.first_movable(
                [](account_id, virtual_time) { return true; });
            if (next == nullptr)
                return;
            --peer.wanted;
            move_to(now, shard, peer, *next);
        }
        // An account that is behind what the peer serves next moves there. What
        // was moved already counts, or all its requests would go at once.
        const virtual_time ahead = peer.next;
        const auto behind = [&, ahead](account_id account, virtual_time at)
        { return with_moved(account, at) + options_.move_margin < ahead; };
        while (options_.exchange && peer.backlog > 0 && peer.moves_left > 0)
        {
            const waiting_request* next = queue_.first_movable(behind);
            if (next == nullptr)
                break;
            --peer.moves_left;
            move_to(now, shard, peer, *next);
        }
    }
}

void shard_scheduler::move_to(time_point now, const shard_id& shard,
                              peer_view& peer, const waiting_request& request)
{
    enqueue message;
    message.request = request.id;
    message.attempt = request.attempt;
    message.shard = shard;
    message.account = request.account;
    message.urgency = request.urgency;
    message.estimate = request.estimate;
    message.time_left = std::chrono::duration_cast<std::chrono::milliseconds>(
        request.deadline - now);
    message.prefix = request.prefix;
    message.entry_clock = entry_clocks_[request.id.entry];
    message.moved = true;
    forget_moved(request.id);
    moved_[request.id] = {now + options_.moved_for, request.account,
                          request.estimate};
    moved_cost_[request.account] += request.estimate;
    queue_.remove(request.id);
    out_.send(peer.owner, message);
}

std::uint32_t shard_scheduler::low_water() const
{
    return pool_.usable_slots() / 4;
}

std::uint32_t shard_scheduler::wanted() const
{
    // Some requests are kept in stock, because one that is asked for when a
    // slot is free already arrives a round trip too late.
    const auto backlog = static_cast<std::uint32_t>(queue_.size());
    const std::uint32_t stock = low_water();
    // Asking only at half of it fills the stock in one go.
    const bool low = backlog <= stock / 2;
    return pool_.free_slots() + (low ? stock - backlog : 0);
}

void shard_scheduler::advertise(time_point now, bool due)
{
    const std::uint32_t want = wanted();
    const bool backlog = !queue_.empty();
    const bool changed = (want > 0) != (advertised_wanted_ > 0) ||
                         backlog != advertised_backlog_;
    bool concerns = backlog || changed;
    bool peer_has_backlog = false;
    for (const auto& [shard, peer] : peers_)
    {
        const bool fresh = peer.known && now - peer.at < advert_lifetime;
        peer_has_backlog = peer_has_backlog || (fresh && peer.backlog > 0);
    }
    // As long as others have work to give, each want is told at once.
    const bool asks = want > 0 && peer_has_backlog;
    concerns = concerns || peer_has_backlog;
    if (due)
        next_advert_ = now + options_.advert_period;
    if (!concerns || (!due && !changed && !asks) || now < advert_allowed_)
        return;
    advert_allowed_ = now + options_.advert_min_gap;
    advertised_wanted_ = want;
    advertised_backlog_ = backlog;
    advert message;
    message.shard = id_;
    message.wanted = want;
    message.backlog = static_cast<std::uint32_t>(queue_.size());
    message.next = queue_.next();
    for (const instance_id owner : peer_owners())
        out_.send(owner, message);
}

std::vector<account_id> shard_scheduler::accounts_to_report()
{
    std::erase_if(unreported_, [](const auto& u) { return u.second == 0; });
    // The largest movers first: they shift shares the most.
    std::vector<std::pair<std::int64_t, account_id>> movers;
    for (const auto& [account, amount] : unreported_)
        movers.emplace_back(-std::abs(amount), account);
    const auto backlogged = queue_.backlogged();
    const std::set<account_id> waiting(backlogged.begin(), backlogged.end());
    for (const account_id account : waiting)
    {
        if (!unreported_.contains(account))
            movers.emplace_back(0, account);
    }
    for (const account_id account : reported_waiting_)
    {
        if (!waiting.contains(account) && !unreported_.contains(account))
            movers.emplace_back(0, account);
    }
    std::size_t repeated = 0;
    for (const account_id account : repeat_)
    {
        if (repeated == max_repeated_items)
            break;
        if (unreported_.contains(account) || waiting.contains(account))
            continue;
        if (reported_waiting_.contains(account))
            continue;
        ++repeated;
        movers.emplace_back(0, account);
    }
    std::sort(movers.begin(), movers.end());
    if (movers.size() > options_.max_report_items)
        movers.resize(options_.max_report_items);
    std::vector<account_id> accounts;
    accounts.reserve(movers.size());
    for (const auto& [amount, account] : movers)
        accounts.push_back(account);
    return accounts;
}

virtual_time shard_scheduler::counted_service(account_id account) const
{
    const auto found = counted_.find(account);
    if (found == counted_.end())
        return virtual_time(0);
    return to_virtual(account, cost(found->second));
}

service_report::item shard_scheduler::report_item(account_id account)
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

void shard_scheduler::report_service(time_point now)
{
    const bool ready = options_.exchange && !joining_;
    if (!ready || now < next_report_ || peers_.empty())
        return;
    service_report message{id_, epoch_, {}};
    for (const account_id account : accounts_to_report())
        message.items.push_back(report_item(account));
    if (message.items.empty())
        return;
    const std::set<instance_id> owners = peer_owners();
    for (const instance_id owner : owners)
        out_.send(owner, message);
    const std::size_t bytes =
        (report_header_bytes + report_item_bytes * message.items.size()) *
        owners.size();
    const auto by_budget = std::chrono::microseconds(
        bytes * 1000000 / options_.exchange_bytes_per_second);
    next_report_ =
        now + std::max<duration>(options_.exchange_period, by_budget);
}

void shard_scheduler::hand_over(const std::set<instance_id>& receivers)
{
    if (!options_.exchange || totals_.empty())
        return;
    // The next owner's snapshot may be older than this, and nobody will report
    // it again.
    service_report message{id_, epoch_, {}};
    for (const auto& [account, total] : totals_)
    {
        if (message.items.size() >= max_snapshot_items)
            break;
        repeat_.insert(account);
        message.items.push_back(report_item(account));
    }
    for (const instance_id receiver : receivers)
        out_.send(receiver, message);
}

void shard_scheduler::on_message(time_point now, instance_id from,
                                 const service_report& message)
{
    const bool own = message.shard == id_ && message.epoch == epoch_;
    if (!options_.exchange || own)
        return;
    if (joining_)
    {
        // Counted after the snapshot, which tells what of it is known already.
        if (early_reports_.size() < max_early_reports)
            early_reports_.emplace_back(from, message);
        return;
    }
    // While two instances own a shard, both give service, and both count.
    totals_seen& seen = seen_of(now, {message.shard, message.epoch});
    for (const service_report::item& item : message.items)
        count(now, seen, item);
    const auto lifted = queue_.limit_debt();
    lifted_.insert(lifted.begin(), lifted.end());
    const auto peer = peers_.find(message.shard);
    if (peer != peers_.end() && peer->second.owner == from)
        note_waiting(now, message);
    move_work(now);
}

void shard_scheduler::count(time_point now, totals_seen& seen,
                            const service_report::item& item)
{
    const auto [known, fresh] = seen.totals.try_emplace(item.account, 0);
    // Of a scheduler that was there first and sent no snapshot it is not known
    // what part of its total is included already.
    const bool skip = fresh && now < totals_known_from_;
    const std::int64_t news = skip ? 0 : item.total - known->second;
    known->second = item.total;
    add_service(item.account, news);
    if (!item.lifted_to || skip)
        return;
    queue_.adopt(item.account, *item.lifted_to + counted_service(item.account));
}

void shard_scheduler::finish_joining(time_point now)
{
    joining_ = false;
    const auto reports = std::move(early_reports_);
    early_reports_.clear();
    for (const auto& [from, report] : reports)
        on_message(now, from, report);
}

void shard_scheduler::note_waiting(time_point now,
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

void shard_scheduler::on_message(time_point now, instance_id from,
                                 const snapshot_request&)
{
    // Another that joins knows nothing; the sender asks the next one.
    if (joining_)
        return;
    forget_totals(now);
    snapshot answer;
    answer.shard = id_;
    answer.system = queue_.system_time();
    for (const auto& [account, at] : queue_.virtual_times())
    {
        if (answer.items.size() >= max_snapshot_items)
            break;
        answer.items.push_back({account, at});
    }
    const auto include = [&](const totals_key& key, const auto& totals)
    {
        snapshot::included_totals each{key.first, key.second, {}};
        each.items.reserve(totals.size());
        for (const auto& [account, total] : totals)
            each.items.push_back({account, total});
        answer.included.push_back(std::move(each));
    };
    include({id_, epoch_}, totals_);
    for (const auto& [key, seen] : seen_)
        include(key, seen.totals);
    out_.send(from, answer);
}

void shard_scheduler::on_message(time_point now, instance_id,
                                 const snapshot& message)
{
    if (!snapshot_awaited_)
        return;
    snapshot_awaited_ = false;
    const auto included = count_included(now, message);
    for (const snapshot::item& item : message.items)
    {
        const auto found = included.find(item.account);
        const std::int64_t theirs = found == included.end() ? 0 : found->second;
        const virtual_time service = to_virtual(item.account, cost(theirs));
        queue_.adopt(item.account,
                     item.at - service + counted_service(item.account));
    }
    if (!joining_)
        return;
    queue_.raise_system_time(message.system);
    finish_joining(now);
}

std::map<account_id, std::int64_t>
shard_scheduler::count_included(time_point now, const snapshot& message)
{
    std::map<account_id, std::int64_t> included;
    for (const snapshot::included_totals& each : message.included)
    {
        const bool own = each.shard == id_ && each.epoch == epoch_;
        totals_seen* seen =
            own ? nullptr : &seen_of(now, {each.shard, each.epoch});
        for (const snapshot::account_total& item : each.items)
        {
            included[item.account] += item.total;
            if (seen == nullptr)
                continue;
            std::int64_t& seen_total = seen->totals[item.account];
            const std::int64_t news = item.total - seen_total;
            // A correction of an estimate may lower a total; the later report
            // of its scheduler settles which one is newer.
            if (news <= 0)
                continue;
            seen_total = item.total;
            add_service(item.account, news);
        }
    }
    return included;
}

void shard_scheduler::add_service(account_id account, std::int64_t amount)
{
    counted_[account] += amount;
    queue_.import(account, cost(amount));
}

virtual_time shard_scheduler::to_virtual(account_id account, cost amount) const
{
    return virtual_time(static_cast<double>(amount.value()) /
                        queue_.weight(account));
}

} // namespace sycamorelock::core
