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
/// The same for a report that an account waits.
constexpr duration waiting_lifetime = std::chrono::seconds(4);
/// Size of one item of a service report on the wire, measured by --slopes.
constexpr std::size_t report_item_bytes = 16;
constexpr std::size_t report_header_bytes = 80;
constexpr std::size_t max_snapshot_items = 2048;

} // namespace

void shard_scheduler::set_peers(std::map<shard_id, instance_id> peers)
{
    std::erase_if(peers_,
                  [&](const auto& p) { return !peers.contains(p.first); });
    for (const auto& [shard, owner] : peers)
    {
        peer_view& view = peers_[shard];
        if (view.owner == owner)
            continue;
        // A new owner says anew what it has; its totals start again too.
        view = {};
        view.owner = owner;
        seen_.erase(shard);
    }
    if (snapshot_asked_ || peers_.empty() || !options_.exchange)
        return;
    snapshot_asked_ = true;
    out_.send(peers_.begin()->second.owner,
              snapshot_request{peers_.begin()->first});
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
    for (const auto& [shard, seen] : seen_)
    {
        const auto found = seen.waiting.find(account);
        if (found != seen.waiting.end() && now < found->second)
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
    const bool busy =
        options_.exchange && (request.moved || waits_elsewhere(now, account));
    const virtual_time before = queue_.at(account);
    queue_.push(request, busy ? fair_queue::return_from::waiting_elsewhere
                              : fair_queue::return_from::idling);
    const virtual_time after = queue_.at(account);
    if (after > before)
        lifted_[account] = after;
}

void shard_scheduler::on_message(time_point now, instance_id from,
                                 const advert& message)
{
    const auto found = peers_.find(message.shard);
    if (found == peers_.end() || found->second.owner != from)
        return;
    peer_view& peer = found->second;
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

void shard_scheduler::forget_moved(time_point now)
{
    for (auto it = moved_.begin(); it != moved_.end();)
    {
        if (now < it->second.until)
        {
            ++it;
            continue;
        }
        cost& pending = moved_cost_[it->second.account];
        pending = pending - it->second.estimate;
        if (pending.value() <= 0)
            moved_cost_.erase(it->second.account);
        it = moved_.erase(it);
    }
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
    for (const auto& [shard, peer] : peers_)
        out_.send(peer.owner, message);
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
    std::sort(movers.begin(), movers.end());
    if (movers.size() > options_.max_report_items)
        movers.resize(options_.max_report_items);
    std::vector<account_id> accounts;
    accounts.reserve(movers.size());
    for (const auto& [amount, account] : movers)
        accounts.push_back(account);
    return accounts;
}

void shard_scheduler::report_service(time_point now)
{
    if (!options_.exchange || now < next_report_ || peers_.empty())
        return;
    service_report message;
    message.shard = id_;
    message.epoch = epoch_;
    for (const account_id account : accounts_to_report())
    {
        service_report::item item;
        item.account = account;
        item.total = totals_[account];
        item.delta = unreported_[account];
        item.waiting = queue_.size_of(account) > 0;
        const auto lifted = lifted_.find(account);
        if (lifted != lifted_.end())
            item.floor = queue_.at(account);
        if (item.waiting)
            reported_waiting_.insert(account);
        else
            reported_waiting_.erase(account);
        lifted_.erase(account);
        unreported_.erase(account);
        message.items.push_back(item);
    }
    if (message.items.empty())
        return;
    for (const auto& [shard, peer] : peers_)
        out_.send(peer.owner, message);
    const std::size_t bytes =
        (report_header_bytes + report_item_bytes * message.items.size()) *
        peers_.size();
    const auto by_budget = std::chrono::microseconds(
        bytes * 1000000 / options_.exchange_bytes_per_second);
    next_report_ =
        now + std::max<duration>(options_.exchange_period, by_budget);
}

void shard_scheduler::on_message(time_point now, instance_id from,
                                 const service_report& message)
{
    const auto found = peers_.find(message.shard);
    const bool from_owner =
        found != peers_.end() && found->second.owner == from;
    if (!options_.exchange || !from_owner)
        return;
    totals_seen& seen = seen_[message.shard];
    if (seen.epoch != message.epoch)
        seen = {message.epoch, {}, {}};
    for (const service_report::item& item : message.items)
    {
        const auto before = seen.totals.find(item.account);
        const std::int64_t news = before == seen.totals.end()
                                      ? item.delta
                                      : item.total - before->second;
        seen.totals[item.account] = item.total;
        queue_.import(item.account, cost(news));
        if (item.floor.value() > 0)
            queue_.adopt(item.account, item.floor);
        if (item.waiting)
            seen.waiting[item.account] = now + waiting_lifetime;
        else
            seen.waiting.erase(item.account);
    }
    move_work(now);
}

void shard_scheduler::on_message(time_point, instance_id from,
                                 const snapshot_request&)
{
    snapshot answer;
    answer.shard = id_;
    answer.system = queue_.system_time();
    for (const auto& [account, at] : queue_.virtual_times())
    {
        if (answer.items.size() >= max_snapshot_items)
            break;
        answer.items.push_back({account, at});
    }
    out_.send(from, answer);
}

void shard_scheduler::on_message(time_point, instance_id,
                                 const snapshot& message)
{
    queue_.raise_system_time(message.system);
    for (const snapshot::item& item : message.items)
        queue_.adopt(item.account, item.at);
}

} // namespace sycamorelock::core
