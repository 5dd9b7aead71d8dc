// Adverts of free slots and backlog between the schedulers of a service, and
// the work that moves because of them: no slot idles while work waits
// elsewhere, and accounts are served where they are furthest behind.
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

} // namespace

bool shard_scheduler::peer_view::has_backlog(time_point now) const
{
    return known && now - at < advert_lifetime && backlog > 0;
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
    follow_owners(now);
}

void shard_scheduler::replace_owner(time_point now, peer_view& view,
                                    instance_id owner)
{
    // A new owner says anew what it has, and learns at once where there is
    // work and room.
    const instance_id placed_owner = view.placed_owner;
    view = {};
    view.owner = owner;
    view.placed_owner = placed_owner;
    next_advert_ = now;
}

void shard_scheduler::follow_owners(time_point now)
{
    std::map<shard_id, instance_id> owners;
    for (const auto& [shard, peer] : peers_)
        owners.emplace(shard, peer.owner);
    exchange_.set_owners(now, std::move(owners));
}

void shard_scheduler::follow_peers(time_point now)
{
    if (!options_.exchange.enabled)
        return;
    // An account that comes back starts level with those that wait anywhere.
    const virtual_time* least = nullptr;
    for (const auto& [shard, peer] : peers_)
    {
        if (!peer.has_backlog(now))
            continue;
        if (least == nullptr || peer.next < *least)
            least = &peer.next;
    }
    if (least == nullptr || !queue_.empty())
        return;
    queue_.raise_system_time(*least);
}

bool shard_scheduler::is_served(account_id account) const
{
    return std::any_of(leases_.begin(), leases_.end(),
                       [account](const auto& l)
                       { return l.second.account == account; });
}

void shard_scheduler::enqueue_fairly(time_point now,
                                     const waiting_request& request)
{
    const account_id account = request.account;
    // While what peers served is not counted yet, an account that is served
    // here only looks as if it were behind theirs.
    const bool comparable = !exchange_.resyncing() || !is_served(account);
    if (queue_.size_of(account) == 0 && comparable)
        follow_peers(now);
    // Being out of work here is not idling while requests wait elsewhere: a
    // lift would forgive what the fleet owes the account.
    // What was moved from here waits at a peer before its reports say so.
    const bool busy =
        options_.exchange.enabled &&
        (request.moved || request.requeued || moved_cost_.contains(account) ||
         exchange_.waits_elsewhere(now, account));
    const virtual_time before = queue_.at(account);
    queue_.push(request, busy ? fair_queue::prior_state::backlogged_elsewhere
                              : fair_queue::prior_state::idle);
    const virtual_time after = queue_.at(account);
    if (after > before)
        exchange_.note_lift(account);
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
        replace_owner(now, peer, from);
        follow_owners(now);
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
        while (options_.exchange.enabled && peer.backlog > 0 &&
               peer.moves_left > 0)
        {
            const waiting_request* next = queue_.first_movable(behind);
            if (next == nullptr)
                break;
            --peer.moves_left;
            move_to(now, shard, peer, *next);
        }
    }
}

enqueue shard_scheduler::as_moved(time_point now, const shard_id& shard,
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
            out_.send(next->second, as_moved(now, id_, request));
    }
    exchange_.hand_over(std::move(owners));
}

void shard_scheduler::move_to(time_point now, const shard_id& shard,
                              peer_view& peer, const waiting_request& request)
{
    enqueue message = as_moved(now, shard, request);
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
    const std::uint32_t want = wanted();
    const bool backlog = !queue_.empty();
    const bool changed = (want > 0) != (advertised_wanted_ > 0) ||
                         backlog != advertised_backlog_;
    const bool others_wait = peers_have_backlog(now);
    // As long as others have work to give, each want is told at once. The rest
    // is told once a period while there is something to balance.
    const bool urgent = changed || (want > 0 && others_wait);
    const bool regular = due && (backlog || others_wait);
    if (due)
        next_advert_ = now + options_.advert_period;
    if ((!urgent && !regular) || now < advert_allowed_)
        return;
    advert_allowed_ = now + options_.advert_min_gap;
    advertised_wanted_ = want;
    advertised_backlog_ = backlog;
    advert message;
    message.shard = id_;
    message.wanted = want;
    message.backlog = static_cast<std::uint32_t>(queue_.size());
    message.next = queue_.next_virtual_time();
    for (const instance_id owner : exchange_.receivers())
        out_.send(owner, message);
}

} // namespace sycamorelock::core
