// Adverts of free slots and backlog between the schedulers of a service, and
// the requests that move because of them: no slot idles while requests are
// queued at another shard, and a lagging account is served at the shard where
// it lags most.
#include "sycamorelock/core/shard_scheduler.hpp"

#include <algorithm>

namespace sycamorelock::core
{

namespace
{

/// Age at which an advert becomes stale and is ignored.
constexpr duration advert_lifetime = std::chrono::seconds(3);
/// Time without an advert from the known owner after which an advert from
/// another instance is accepted as coming from the new owner.
constexpr duration owner_timeout = std::chrono::milliseconds(1500);

} // namespace

bool shard_scheduler::peer_view::has_backlog(time_point now) const
{
    return has_advert && now - advert_time < advert_lifetime && backlog > 0;
}

void shard_scheduler::set_peers(time_point now,
                                std::map<shard_id, instance_id> peers)
{
    std::erase_if(peers_,
                  [&](const auto& p) { return !peers.contains(p.first); });
    for (const auto& [shard, owner] : peers)
    {
        peer_view& view = peers_[shard];
        if (view.placed_owner == owner)
            continue;
        view.placed_owner = owner;
        if (view.owner != owner)
            replace_owner(now, view, owner);
    }
    update_exchange_owners(now);
}

void shard_scheduler::replace_owner(time_point now, peer_view& view,
                                    instance_id owner)
{
    // State of the old owner does not apply to the new one. The immediate
    // advert informs the new owner of the backlog and free slots here.
    const instance_id placed_owner = view.placed_owner;
    view = {};
    view.owner = owner;
    view.placed_owner = placed_owner;
    next_advert_ = now;
}

void shard_scheduler::update_exchange_owners(time_point now)
{
    std::map<shard_id, instance_id> owners;
    for (const auto& [shard, peer] : peers_)
        owners.emplace(shard, peer.owner);
    exchange_.set_owners(now, std::move(owners));
}

void shard_scheduler::raise_to_peers(time_point now)
{
    if (!options_.exchange.enabled)
        return;
    // A returning account starts level with the accounts that are backlogged at
    // any shard.
    const virtual_time* lowest = nullptr;
    for (const auto& [shard, peer] : peers_)
    {
        if (!peer.has_backlog(now))
            continue;
        if (lowest == nullptr || peer.next_virtual_time < *lowest)
            lowest = &peer.next_virtual_time;
    }
    if (lowest == nullptr || !queue_.empty())
        return;
    queue_.raise_system_time(*lowest);
}

bool shard_scheduler::holds_slot(account_id account) const
{
    return std::any_of(leases_.begin(), leases_.end(),
                       [account](const auto& l)
                       { return l.second.account == account; });
}

void shard_scheduler::push_request(time_point now,
                                   const waiting_request& request)
{
    const account_id account = request.account;
    // During a resync, service granted by peers is not counted yet, so the
    // virtual times of peers and of an account that holds a slot here are not
    // comparable: the account only appears to lag.
    const bool comparable = !exchange_.resyncing() || !holds_slot(account);
    if (queue_.size_of(account) == 0 && comparable)
        raise_to_peers(now);
    // An account without requests here is not idle while it has requests queued
    // at another shard: raising it would cancel its lag. Requests moved from
    // here are queued at a peer before the reports of the peer show them.
    const bool backlogged_elsewhere =
        options_.exchange.enabled &&
        (request.moved || request.requeued || moved_cost_.contains(account) ||
         exchange_.waits_at_peer(now, account));
    const virtual_time before = queue_.virtual_time_of(account);
    queue_.push(request, backlogged_elsewhere
                             ? fair_queue::prior_state::backlogged_elsewhere
                             : fair_queue::prior_state::idle);
    const virtual_time after = queue_.virtual_time_of(account);
    if (after > before)
        exchange_.mark_lifted(account);
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
        // The failure domain of a dead owner suspects it earlier than other
        // domains do, so an advert of the next owner can precede the change of
        // the placement here. It is accepted once the old owner has timed out.
        if (peer.has_advert && now - peer.advert_time <= owner_timeout)
            return;
        replace_owner(now, peer, from);
        update_exchange_owners(now);
    }
    peer.demand = message.wanted;
    peer.backlog = message.backlog;
    peer.next_virtual_time = message.next;
    peer.remaining_moves = options_.max_moves_per_advert;
    peer.advert_time = now;
    peer.has_advert = true;
    move_work(now);
    // Advertise free capacity to a backlogged peer at once.
    if (peer.backlog > 0 && request_demand() > 0 && advertised_demand_ == 0)
        advertise(now, true);
}

virtual_time shard_scheduler::with_moved_cost(account_id account,
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
        if (!peer.has_advert || now - peer.advert_time > advert_lifetime)
            continue;
        while (peer.demand > 0 && queue_.size() > low_watermark())
        {
            const waiting_request* next = queue_.first_movable(
                [](account_id, virtual_time) { return true; });
            if (next == nullptr)
                return;
            --peer.demand;
            move_to(now, shard, peer, *next);
        }
        // Requests of an account that lags behind the peer's next virtual time
        // move there. The cost of requests already moved is included; otherwise
        // all requests of the account would move at once.
        const virtual_time peer_time = peer.next_virtual_time;
        const auto lagging = [&, peer_time](account_id account, virtual_time at)
        {
            return with_moved_cost(account, at) + options_.move_margin <
                   peer_time;
        };
        while (options_.exchange.enabled && peer.backlog > 0 &&
               peer.remaining_moves > 0)
        {
            const waiting_request* next = queue_.first_movable(lagging);
            if (next == nullptr)
                break;
            --peer.remaining_moves;
            move_to(now, shard, peer, *next);
        }
    }
}

enqueue shard_scheduler::make_move_message(time_point now,
                                           const shard_id& shard,
                                           const waiting_request& request)
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
    message.tried = request.tried;
    message.entry_clock = entry_clocks_[request.id.entry];
    message.moved = true;
    return message;
}

void shard_scheduler::hand_over(time_point now,
                                std::map<shard_id, instance_id> owners)
{
    const auto next = owners.find(id_);
    if (next != owners.end())
    {
        for (const waiting_request& request : queue_.moved_here())
            out_.send(next->second, make_move_message(now, id_, request));
    }
    exchange_.hand_over(std::move(owners));
}

void shard_scheduler::move_to(time_point now, const shard_id& shard,
                              peer_view& peer, const waiting_request& request)
{
    enqueue message = make_move_message(now, shard, request);
    forget_moved(request.id);
    moved_[request.id] = {now + options_.moved_retention, request.account,
                          request.estimate};
    moved_cost_[request.account] += request.estimate;
    queue_.remove(request.id);
    out_.send(peer.owner, message);
}

std::uint32_t shard_scheduler::low_watermark() const
{
    return pool_.usable_slots() / 4;
}

std::uint32_t shard_scheduler::request_demand() const
{
    // A reserve of queued requests is kept, because a request that is moved
    // here only once a slot is free arrives a round trip too late.
    const auto backlog = static_cast<std::uint32_t>(queue_.size());
    const std::uint32_t reserve = low_watermark();
    // The reserve is refilled only from half of it downwards, and then
    // completely, to batch the moves.
    const bool below_half = backlog <= reserve / 2;
    return pool_.free_slots() + (below_half ? reserve - backlog : 0);
}

bool shard_scheduler::peers_have_backlog(time_point now) const
{
    for (const auto& [shard, peer] : peers_)
    {
        if (peer.has_backlog(now))
            return true;
    }
    return false;
}

void shard_scheduler::advertise(time_point now, bool due)
{
    const std::uint32_t demand = request_demand();
    const bool backlog = !queue_.empty();
    const bool changed = (demand > 0) != (advertised_demand_ > 0) ||
                         backlog != advertised_backlog_;
    const bool peers_backlogged = peers_have_backlog(now);
    // A change, and any demand while peers are backlogged, is advertised at
    // once. Otherwise one advert per period is sent while there is backlog to
    // balance.
    const bool urgent = changed || (demand > 0 && peers_backlogged);
    const bool periodic = due && (backlog || peers_backlogged);
    if (due)
        next_advert_ = now + options_.advert_period;
    if ((!urgent && !periodic) || now < earliest_advert_)
        return;
    earliest_advert_ = now + options_.advert_min_gap;
    advertised_demand_ = demand;
    advertised_backlog_ = backlog;
    advert message;
    message.shard = id_;
    message.wanted = demand;
    message.backlog = static_cast<std::uint32_t>(queue_.size());
    message.next = queue_.next_virtual_time();
    for (const instance_id owner : exchange_.receivers())
        out_.send(owner, message);
}

} // namespace sycamorelock::core
