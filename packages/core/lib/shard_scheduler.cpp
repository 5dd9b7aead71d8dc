// Grants, leases and admission control of one shard. Moves of requests to other
// shards of the service are in shard_moves.cpp.
#include "sycamorelock/core/shard_scheduler.hpp"

#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>
#include <cassert>

namespace sycamorelock::core
{

namespace
{

/// Length of the windows over which the service rate is measured.
constexpr duration rate_window = std::chrono::seconds(2);
constexpr duration min_retry_after = std::chrono::seconds(1);
constexpr duration max_retry_after = std::chrono::seconds(60);

} // namespace

shard_scheduler::shard_scheduler(shard_id id, scheduler_options options,
                                 std::uint64_t seed, time_point now,
                                 outbox& out)
    : id_(id), options_(options), random_(static_cast<std::uint32_t>(seed)),
      out_(out), queue_(options.queue),
      exchange_(id, options.exchange, random_(), now, queue_, out),
      pool_(options.endpoints, out),
      granting_from_(now + options.takeover_delay), window_start_(now)
{
}

void shard_scheduler::configure(
    const service_spec& service, const shard_spec& shard,
    const std::map<account_id, account_spec>& accounts,
    const std::vector<endpoint_id>& leaving, std::uint32_t slot_share_divisor)
{
    max_queue_ = service.max_queue;
    max_queue_per_account_ = service.max_queue_per_account;
    pool_.configure(shard.endpoints, service.target_token_delay,
                    slot_share_divisor);
    for (const endpoint_spec& endpoint : shard.endpoints)
    {
        const bool is_leaving = std::find(leaving.begin(), leaving.end(),
                                          endpoint.id) != leaving.end();
        pool_.set_leaving(endpoint.id, is_leaving);
    }
    for (const auto& [id, account] : accounts)
        queue_.set_weight(id, account.weight);
}

duration shard_scheduler::predicted_wait(account_id account) const
{
    if (rate_ <= 0 || pool_.free_slots() > queue_.size())
        return duration(0);
    const double weight = queue_.weight(account);
    const double added_weight = queue_.size_of(account) == 0 ? weight : 0;
    const double share = weight / (queue_.backlogged_weight() + added_weight);
    const auto queued_cost =
        static_cast<double>(queue_.waiting_cost(account).value());
    const double seconds = queued_cost / (rate_ * share);
    static constexpr double max_seconds = 86400;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::min(seconds, max_seconds)));
}

void shard_scheduler::send_reject(instance_id to, const enqueue& message,
                                  refusal_reason reason, duration wait)
{
    // Jitter keeps rejected callers from retrying all at once.
    boost::random::uniform_real_distribution<double> jitter(1.0, 1.5);
    const duration base = std::clamp(wait, min_retry_after, max_retry_after);
    const double delay = static_cast<double>(base.count()) * jitter(random_);
    const duration jittered(static_cast<duration::rep>(delay));
    reject answer;
    answer.request = message.request;
    answer.attempt = message.attempt;
    answer.reason = reason;
    answer.retry_after =
        std::chrono::duration_cast<std::chrono::milliseconds>(jittered);
    out_.send(to, answer);
}

bool shard_scheduler::reject_if_unservable(time_point now, instance_id from,
                                           const enqueue& message)
{
    const duration wait = predicted_wait(message.account);
    if (!pool_.has_usable_slots() && peers_.empty())
    {
        // Without usable slots there is no service rate to predict a wait from.
        send_reject(from, message, refusal_reason::no_endpoint,
                    options_.endpoints.eject_for);
        return true;
    }
    if (queue_.size() >= max_queue_)
    {
        send_reject(from, message, refusal_reason::queue_full, wait);
        return true;
    }
    if (queue_.size_of(message.account) >= max_queue_per_account_)
    {
        send_reject(from, message, refusal_reason::account_queue_full, wait);
        return true;
    }
    const bool settled = now >= granting_from_;
    if (settled && wait > duration(message.time_left))
    {
        send_reject(from, message, refusal_reason::deadline_too_close, wait);
        return true;
    }
    return false;
}

void shard_scheduler::on_message(time_point now, instance_id,
                                 const enqueue& message)
{
    auto& clock = entry_clocks_[message.request.entry];
    clock = std::max(clock, message.entry_clock);
    const auto held = leases_.find(message.request);
    if (held != leases_.end())
    {
        // The grant crossed this message or was lost: resend it.
        if (held->second.attempt == message.attempt)
        {
            send_grant(message.request, held->second);
            return;
        }
        if (held->second.attempt > message.attempt)
            return;
        end_lease(now, held, attempt_outcome::unused, duration(0));
    }
    const auto moved = moved_.find(message.request);
    if (moved != moved_.end() && now < moved->second.until)
        return;
    if (queue_.contains(message.request))
        return;
    const instance_id entry = message.request.entry;
    if (!message.moved && reject_if_unservable(now, entry, message))
        return;

    waiting_request request;
    request.id = message.request;
    request.attempt = message.attempt;
    request.account = message.account;
    request.urgency = message.urgency;
    request.estimate = message.estimate;
    request.deadline = now + message.time_left;
    request.enqueued = now;
    request.prefix = message.prefix;
    request.tried = message.tried;
    request.moved = message.moved;
    request.requeued = message.requeued;
    push_request(now, request);
    serve(now);
}

void shard_scheduler::on_message(time_point now, instance_id,
                                 const withdraw& message)
{
    queue_.remove(message.request);
    const auto held = leases_.find(message.request);
    if (held == leases_.end() || held->second.attempt > message.attempt)
        return;
    end_lease(now, held, attempt_outcome::unused, duration(0));
    serve(now);
}

void shard_scheduler::on_message(time_point, instance_id from,
                                 const confirm& message)
{
    auto& clock = entry_clocks_[from];
    clock = std::max(clock, message.entry_clock);
    const auto held = leases_.find(message.request);
    if (held == leases_.end() || held->second.attempt != message.attempt)
        return;
    send_grant(message.request, held->second);
}

void shard_scheduler::on_message(time_point now, instance_id from,
                                 const renew& message)
{
    auto& clock = entry_clocks_[from];
    clock = std::max(clock, message.entry_clock);
    for (const renew::item& item : message.items)
    {
        const auto held = leases_.find(item.request);
        if (held == leases_.end() || held->second.attempt != item.attempt)
            continue;
        held->second.expires = now + options_.lease_duration;
        if (item.so_far <= held->second.charged)
            continue;
        charge_account(held->second.account,
                       item.so_far - held->second.charged);
        held->second.charged = item.so_far;
    }
}

void shard_scheduler::on_message(time_point now, instance_id from,
                                 const adopt& message)
{
    queue_.remove(message.request);
    if (leases_.contains(message.request) || !pool_.contains(message.endpoint))
        return;
    // The previous owner has charged the cost so far; this one charges only
    // what exceeds it.
    lease held;
    held.attempt = message.attempt;
    held.entry = from;
    held.account = message.account;
    held.endpoint = message.endpoint;
    held.charged = std::max(message.so_far, message.estimate);
    held.expires = now + options_.lease_duration;
    leases_.emplace(message.request, held);
    pool_.acquire_slot(message.endpoint, 0);
}

void shard_scheduler::on_message(time_point now, instance_id,
                                 const release& message)
{
    const auto held = leases_.find(message.request);
    if (held == leases_.end() || held->second.attempt != message.attempt)
        return;
    charge_account(held->second.account, message.total - held->second.charged);
    served_in_window_ += static_cast<double>(message.total.value());
    end_lease(now, held, message.outcome, message.token_delay);
    serve(now);
}

void shard_scheduler::charge_account(account_id account, cost amount)
{
    if (amount.value() == 0)
        return;
    const virtual_time before = queue_.system_time();
    queue_.charge(account, amount);
    if (queue_.system_time() < before)
        out_.record_event(event_number::invariant_system_time_back);
    exchange_.add_local_service(account, amount);
}

void shard_scheduler::end_lease(time_point now,
                                std::map<request_id, lease>::iterator held,
                                attempt_outcome outcome, duration token_delay)
{
    if (outcome == attempt_outcome::unused)
    {
        const cost refund = cost(0) - held->second.charged;
        charge_account(held->second.account, refund);
    }
    pool_.release_slot(now, held->second.endpoint, outcome, token_delay);
    leases_.erase(held);
}

void shard_scheduler::serve(time_point now)
{
    if (now < granting_from_)
        return;
    while (const waiting_request* next = queue_.front())
    {
        const auto endpoint = pool_.pick(next->prefix, next->tried);
        if (!endpoint)
            break;
        grant_next(now, *endpoint);
    }
    move_work(now);
    advertise(now, false);
}

void shard_scheduler::grant_next(time_point now, endpoint_id endpoint)
{
    const waiting_request next = *queue_.remove(queue_.front()->id);
    if (leases_.contains(next.id))
    {
        out_.record_event(event_number::invariant_double_grant,
                          to_string(next.id));
        return;
    }
    pool_.acquire_slot(endpoint, next.prefix);
    lease held;
    held.attempt = next.attempt;
    held.entry = next.id.entry;
    held.account = next.account;
    held.endpoint = endpoint;
    held.charged = next.estimate;
    held.expires = now + options_.lease_duration;
    charge_account(next.account, next.estimate);
    leases_.emplace(next.id, held);
    send_grant(next.id, held);
}

void shard_scheduler::send_grant(const request_id& id, const lease& held)
{
    grant message;
    message.request = id;
    message.attempt = held.attempt;
    message.shard = id_;
    message.endpoint = held.endpoint;
    message.echo = entry_clocks_[held.entry];
    out_.send(held.entry, message);
}

void shard_scheduler::expire_leases(time_point now)
{
    for (auto it = leases_.begin(); it != leases_.end();)
    {
        const auto held = it++;
        if (held->second.expires > now)
            continue;
        out_.record_event(event_number::lease_expired, to_string(held->first));
        end_lease(now, held, attempt_outcome::caller_left, duration(0));
    }
}

void shard_scheduler::on_message(time_point now, instance_id from,
                                 const service_report& message)
{
    exchange_.on_report(now, from, message);
    move_work(now);
}

void shard_scheduler::on_message(time_point now, instance_id from,
                                 const snapshot_request&)
{
    exchange_.on_snapshot_request(now, from);
}

void shard_scheduler::on_message(time_point now, instance_id,
                                 const snapshot& message)
{
    exchange_.on_snapshot(now, message);
}

void shard_scheduler::on_load(time_point now, endpoint_id endpoint,
                              const load_report& report)
{
    pool_.on_load(endpoint, report);
    serve(now);
}

void shard_scheduler::update_rate(time_point now)
{
    idle_slots_in_window_ =
        idle_slots_in_window_ || pool_.free_slots() > queue_.size();
    if (now - window_start_ < rate_window)
        return;
    const double seconds =
        std::chrono::duration<double>(now - window_start_).count();
    const double sample = served_in_window_ / seconds;
    static constexpr double smoothing = 0.3;
    // The sample of a window with idle slots is only a lower bound. If it were
    // averaged in, the rate would fall by a third every two idle seconds, and
    // after a pause of six seconds the first requests would be rejected because
    // of a predicted wait that is too long.
    if (rate_ == 0 || idle_slots_in_window_)
        rate_ = std::max(rate_, sample);
    else
        rate_ += smoothing * (sample - rate_);
    served_in_window_ = 0;
    idle_slots_in_window_ = false;
    window_start_ = now;
}

void shard_scheduler::tick(time_point now)
{
    expire_leases(now);
    pool_.tick(now);
    for (const waiting_request& late : queue_.expire(now))
    {
        enqueue message;
        message.request = late.id;
        message.attempt = late.attempt;
        send_reject(late.id.entry, message, refusal_reason::deadline_passed,
                    predicted_wait(late.account));
    }
    expire_moved(now);
    update_rate(now);
    // Requests adopted after two owners coexisted may exceed the slot limits,
    // because reports of entries, not slots, bound the number of leases. Only
    // an overload larger than all usable slots violates the invariant.
    if (pool_.excess_slots() > pool_.usable_slots() && pool_.has_usable_slots())
        out_.record_event(event_number::invariant_slots_exceeded);
    serve(now);
    if (now >= next_advert_)
        advertise(now, true);
    exchange_.tick(now);
}

void shard_scheduler::drop_queued_requests()
{
    queue_.clear_requests();
}

} // namespace sycamorelock::core
