// Periodic work of an entry: repeated messages, lease renewal, deadlines and
// changes of shard owners.
#include "sycamorelock/core/entry.hpp"

#include <algorithm>

namespace sycamorelock::core
{

namespace
{

/// Extra time after the deadline in which the scheduler's refusal may arrive.
/// After it the entry refuses the request itself.
constexpr duration deadline_grace = std::chrono::milliseconds(250);

} // namespace

void entry::tick(time_point now)
{
    const bool placement_changed = seen_generation_ != placement_.generation();
    seen_generation_ = placement_.generation();
    for (auto it = open_.begin(); it != open_.end();)
    {
        const auto current = it++;
        if (current->second.state == phase::claiming)
        {
            tick_claiming(now, current);
            continue;
        }
        if (placement_changed)
            handle_owner_change(now, current->second);
        if (current->second.state == phase::waiting)
            tick_waiting(now, current);
    }
    if (now < next_renew_)
        return;
    next_renew_ = now + options_.renew_period;
    renew_leases(now);
}

bool entry::tick_claiming(time_point now, open_map::iterator found)
{
    open_request& request = found->second;
    if (now - request.claim_sent >= options_.claim_timeout)
    {
        const auto owner = placement_.key_owner(*request.spec.key);
        // The claim may have been granted although no answer arrived. The
        // request will not be sent any more, so the key is released.
        if (owner)
            out_.send(*owner,
                      claim_release{request.spec.id, *request.spec.key});
        refuse_open(now, found, refusal_reason::key_owner_unreachable,
                    executed::unknown, default_retry_after);
        return true;
    }
    if (now >= request.next_send)
        send_claim(now, request);
    return false;
}

bool entry::tick_waiting(time_point now, open_map::iterator found)
{
    open_request& request = found->second;
    if (now >= request.deadline + deadline_grace)
    {
        send_withdraw(request);
        refuse_open(now, found, refusal_reason::deadline_passed, executed::no,
                    default_retry_after);
        return true;
    }
    if (now >= request.next_send)
        send_enqueue(now, request);
    return false;
}

void entry::handle_owner_change(time_point now, open_request& request)
{
    const bool is_waiting = request.state == phase::waiting;
    const shard_spec* home_shard =
        is_waiting ? directory_.home_shard(request.spec.service,
                                           request.spec.id.number)
                   : nullptr;
    const shard_id shard =
        home_shard != nullptr ? home_shard->id : request.shard;
    const auto owner = directory_.owner(shard);
    if (!owner)
        return;
    const bool same =
        *owner == request.scheduler && shard == request.shard &&
        placement_.incarnation_of(*owner) == request.scheduler_incarnation;
    if (same)
        return;
    if (!is_waiting)
    {
        send_adopt(request, *owner);
        return;
    }
    out_.count_retry(retry_reason::owner_changed);
    request.enqueue_interval = options_.min_enqueue_interval;
    request.requeued = true;
    send_enqueue(now, request);
}

void entry::send_adopt(open_request& request, instance_id owner)
{
    request.scheduler = owner;
    request.scheduler_incarnation = placement_.incarnation_of(owner);
    adopt message;
    message.request = request.spec.id;
    message.attempt = request.attempt;
    message.shard = request.shard;
    message.account = request.spec.account;
    message.endpoint = request.endpoint;
    message.so_far = request.so_far;
    message.estimate = request.estimate;
    out_.send(owner, message);
}

void entry::renew_leases(time_point now)
{
    std::map<std::pair<instance_id, shard_id>, renew> by_scheduler;
    const auto clock = std::chrono::duration_cast<std::chrono::milliseconds>(
        now.time_since_epoch());
    for (const auto& [id, request] : open_)
    {
        if (request.state != phase::running)
            continue;
        renew& message = by_scheduler[{request.scheduler, request.shard}];
        message.shard = request.shard;
        message.entry_clock = clock;
        message.items.push_back({id, request.attempt, request.so_far});
    }
    for (auto& [target, message] : by_scheduler)
        out_.send(target.first, std::move(message));
}

} // namespace sycamorelock::core
