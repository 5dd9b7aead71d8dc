// Life cycle of accepted requests at their entry: submit, claim, wait, run,
// end. Claims of idempotency keys are in entry_claims.cpp, timers and owner
// changes in entry_timers.cpp.
#include "sycamorelock/core/entry.hpp"

#include <algorithm>
#include <cassert>

namespace sycamorelock::core
{

namespace
{

std::chrono::milliseconds in_milliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value);
}

} // namespace

entry::entry(entry_options options, instance_id self,
             shard_directory& directory, const placement& owners, outbox& out)
    : options_(options), self_(self), directory_(directory), placement_(owners),
      out_(out), crashes_(self)
{
}

void entry::configure(const topology& config)
{
    topology_ = &config;
    // The shards may have changed, so the next tick checks the owner of every
    // request.
    seen_generation_ = 0;
}

request_record& entry::record_of(const open_request& request)
{
    request_record initial;
    initial.id = request.spec.id;
    initial.account = request.spec.account;
    initial.service = request.spec.service;
    initial.urgency = request.spec.urgency;
    initial.estimate = request.estimate;
    initial.accepted = request.accepted;
    return records_.find_or_add(initial);
}

void entry::refuse_new(time_point now, const submission& submitted,
                       refusal_reason reason,
                       std::chrono::milliseconds retry_after)
{
    open_request request;
    request.spec = submitted;
    request.accepted = now;
    ++open_by_account_[submitted.account];
    const auto found = open_.emplace(submitted.id, std::move(request)).first;
    refuse_open(now, found, reason, executed::no, retry_after);
}

std::chrono::milliseconds
entry::quarantine_delay(time_point now, const submission& request) const
{
    return in_milliseconds(crashes_.time_to_probe(now, *request.content));
}

void entry::submit(time_point now, const submission& submitted)
{
    ++counters_.accepted;
    if (stopping_)
        return refuse_new(now, submitted, refusal_reason::shutting_down);
    if (topology_ == nullptr)
        return refuse_new(now, submitted, refusal_reason::not_ready);
    const auto service = topology_->services.find(submitted.service);
    const auto account = topology_->accounts.find(submitted.account);
    if (service == topology_->services.end())
        return refuse_new(now, submitted, refusal_reason::unknown_service);
    if (account == topology_->accounts.end())
        return refuse_new(now, submitted, refusal_reason::unauthenticated);
    const std::size_t open = open_by_account_[submitted.account];
    if (open_.size() >= options_.max_requests ||
        open >= account->second.max_in_flight)
        return refuse_new(now, submitted, refusal_reason::too_many_requests);
    const auto admitted = submitted.content
                              ? crashes_.admit(now, *submitted.content)
                              : crash_tracker::admission::admitted;
    if (admitted == crash_tracker::admission::refused)
        return refuse_new(now, submitted, refusal_reason::quarantined,
                          quarantine_delay(now, submitted));

    budget_.earn();
    open_request request;
    request.is_probe = admitted == crash_tracker::admission::probe;
    request.spec = submitted;
    request.accepted = now;
    request.estimate =
        estimator_.estimate(submitted.account, submitted.service,
                            submitted.hint, service->second.first_estimate);
    request.deadline =
        now + submitted.deadline.value_or(service->second.default_deadline);
    ++open_by_account_[submitted.account];
    open_request& stored =
        open_.emplace(submitted.id, std::move(request)).first->second;
    record_of(stored);
    if (submitted.key && !submitted.idempotent)
    {
        stored.state = phase::claiming;
        stored.claim_sent = now;
        send_claim(now, stored);
        return;
    }
    start_waiting(now, stored);
}

void entry::start_waiting(time_point now, open_request& request)
{
    request.state = phase::waiting;
    ++request.attempt;
    request.enqueue_interval = options_.min_enqueue_interval;
    request.so_far = cost(0);
    send_enqueue(now, request);
}

void entry::send_enqueue(time_point now, open_request& request)
{
    request.next_send = now + request.enqueue_interval;
    request.enqueue_interval =
        std::min(request.enqueue_interval * 2, options_.max_enqueue_interval);
    const shard_spec* home_shard =
        directory_.home_shard(request.spec.service, request.spec.id.number);
    if (home_shard == nullptr)
        return;
    const auto owner = directory_.owner(home_shard->id);
    if (!owner)
        return;
    request.shard = home_shard->id;
    request.scheduler = *owner;
    request.scheduler_incarnation = placement_.incarnation_of(*owner);
    enqueue message;
    message.request = request.spec.id;
    message.attempt = request.attempt;
    message.shard = home_shard->id;
    message.account = request.spec.account;
    message.urgency = request.spec.urgency;
    message.estimate = request.estimate;
    message.time_left = in_milliseconds(request.deadline - now);
    message.prefix = request.spec.prefix;
    message.tried = request.endpoint;
    message.requeued = request.requeued;
    message.entry_clock = in_milliseconds(now.time_since_epoch());
    out_.send(*owner, message);
}

void entry::on_message(time_point now, instance_id from, const grant& message)
{
    const auto found = open_.find(message.request);
    if (found == open_.end() || found->second.attempt != message.attempt)
    {
        // The request has ended or a later attempt superseded this one, so the
        // slot is returned at once.
        out_.send(from,
                  withdraw{message.request, message.attempt, message.shard});
        return;
    }
    open_request& request = found->second;
    if (request.state != phase::waiting)
    {
        const bool same =
            request.shard == message.shard && request.scheduler == from;
        if (!same)
            out_.send(from, withdraw{message.request, message.attempt,
                                     message.shard});
        return;
    }
    const auto clock = in_milliseconds(now.time_since_epoch());
    const bool stale = clock - message.echo >= in_milliseconds(options_.lease);
    if (stale)
    {
        // This process may have been suspended after the slot was granted, and
        // the lease may have expired meanwhile.
        out_.record_event(event_number::grant_stale,
                          to_string(message.request));
        out_.count_retry(retry_reason::grant_stale);
        confirm query;
        query.request = message.request;
        query.attempt = message.attempt;
        query.shard = message.shard;
        query.entry_clock = clock;
        out_.send(from, query);
        return;
    }
    // Endpoints may have crashed under equal requests while this one waited.
    if (is_quarantined(request))
    {
        out_.send(from,
                  withdraw{message.request, message.attempt, message.shard});
        refuse_open(now, found, refusal_reason::quarantined, executed::no,
                    quarantine_delay(now, request.spec));
        return;
    }
    const bool claim_expired =
        request.claimed && now - request.claim_sent > options_.claim_max_age;
    if (claim_expired)
    {
        out_.send(from,
                  withdraw{message.request, message.attempt, message.shard});
        refuse_open(now, found, refusal_reason::deadline_passed, executed::no,
                    default_retry_after);
        return;
    }
    request.scheduler = from;
    request.scheduler_incarnation = placement_.incarnation_of(from);
    start_attempt(now, request, message);
}

void entry::start_attempt(time_point now, open_request& request,
                          const grant& message)
{
    request.state = phase::running;
    request.shard = message.shard;
    request.endpoint = message.endpoint;
    request_record& record = record_of(request);
    record.shard = message.shard;
    record.endpoint = message.endpoint;
    record.attempts = request.attempt;
    if (record.first_grant == time_point{})
        record.first_grant = now;
    dispatch command;
    command.request = request.spec.id;
    command.attempt = request.attempt;
    command.endpoint = message.endpoint;
    const duration since_echo = now.time_since_epoch() - duration(message.echo);
    command.valid_until = now + options_.lease - since_echo;
    out_.perform_action(command);
}

void entry::on_message(time_point now, instance_id, const reject& message)
{
    const auto found = open_.find(message.request);
    if (found == open_.end())
        return;
    const open_request& request = found->second;
    const bool is_waiting =
        request.state == phase::waiting && request.attempt == message.attempt;
    if (!is_waiting)
        return;
    refuse_open(now, found, message.reason, executed::no, message.retry_after);
}

void entry::report_progress(const request_id& id, std::uint32_t attempt,
                            cost so_far)
{
    const auto found = open_.find(id);
    if (found == open_.end() || found->second.attempt != attempt)
        return;
    found->second.so_far = std::max(found->second.so_far, so_far);
}

void entry::finish(time_point now, const attempt_result& result)
{
    const auto found = open_.find(result.request);
    if (found == open_.end())
    {
        out_.record_event(event_number::invariant_double_end,
                          to_string(result.request));
        return;
    }
    open_request& request = found->second;
    const bool current =
        request.state == phase::running && request.attempt == result.attempt;
    if (!current)
        return;
    record_of(request).total = result.total;
    note_crash_evidence(now, request, result);
    switch (result.end)
    {
    case attempt_end::completed:
        send_release(request, result.total,
                     result.server_error ? attempt_outcome::endpoint_failed
                                         : attempt_outcome::completed,
                     result.token_delay);
        estimator_.learn(request.spec.account, request.spec.service,
                         request.spec.hint, result.total);
        ++counters_.completed;
        out_.record_event(event_number::request_completed,
                          to_string(result.request));
        close(now, found);
        return;
    case attempt_end::nothing_sent:
        // A release would count as a result of the endpoint; the failure was
        // local.
        send_withdraw(request);
        retry_or_refuse(now, found, retry_reason::nothing_sent, executed::no);
        return;
    case attempt_end::not_connected:
        send_release(request, cost(0), attempt_outcome::endpoint_failed,
                     duration(0));
        retry_or_refuse(now, found, retry_reason::connect_failed, executed::no);
        return;
    case attempt_end::failed_before_answer:
        send_release(request, result.total, attempt_outcome::endpoint_failed,
                     duration(0));
        retry_or_refuse(now, found, retry_reason::idempotent_failed,
                        executed::unknown);
        return;
    case attempt_end::turned_away:
        send_release(request, result.total,
                     result.server_error ? attempt_outcome::endpoint_failed
                                         : attempt_outcome::completed,
                     duration(0));
        retry_or_refuse(now, found, retry_reason::idempotent_failed,
                        executed::unknown);
        return;
    case attempt_end::failed_in_answer:
        send_release(request, result.total, attempt_outcome::endpoint_failed,
                     duration(0));
        ++counters_.cut;
        close(now, found);
        return;
    case attempt_end::caller_left:
        send_release(request, result.total, attempt_outcome::caller_left,
                     duration(0));
        ++counters_.caller_left;
        close(now, found);
        return;
    }
}

void entry::note_crash_evidence(time_point now, const open_request& request,
                                const attempt_result& result)
{
    if (!request.spec.content)
        return;
    const crash_key key = *request.spec.content;
    if (result.end == attempt_end::completed && !result.server_error)
        crashes_.note_success(now, key);
    if (!result.endpoint_terminated)
        return;
    const endpoint_id start =
        endpoint_id::of(std::to_string(request.endpoint.value()) + '/' +
                        std::to_string(self_.value()) + '/' +
                        std::to_string(result.request.incarnation) + '/' +
                        std::to_string(++counted_crashes_));
    crashes_.suspect(now, start, key);
    crashes_.note_terminated(now, start);
}

void entry::retry_or_refuse(time_point now, open_map::iterator found,
                            retry_reason reason, executed ran)
{
    open_request& request = found->second;
    request.maybe_ran = request.maybe_ran || ran != executed::no;
    const bool safe_to_retry = ran == executed::no || request.spec.idempotent;
    if (!safe_to_retry)
        return refuse_open(now, found, refusal_reason::endpoint_failed, ran,
                           default_retry_after);
    // An endpoint may have executed a probe, so that it counts as failed.
    if (request.is_probe || is_quarantined(request))
        return refuse_open(now, found,
                           request.maybe_ran ? refusal_reason::endpoint_failed
                                             : refusal_reason::quarantined,
                           ran, quarantine_delay(now, request.spec));
    if (request.attempt >= options_.max_attempts)
        return refuse_open(now, found, refusal_reason::retries_exhausted, ran,
                           default_retry_after);
    if (now >= request.deadline)
        return refuse_open(now, found, refusal_reason::deadline_passed, ran,
                           default_retry_after);
    if (!budget_.spend())
        return refuse_open(now, found, refusal_reason::retry_budget_spent, ran,
                           default_retry_after);
    out_.count_retry(reason);
    out_.record_event(event_number::attempt_retried,
                      to_string(request.spec.id));
    start_waiting(now, request);
}

void entry::refuse_open(time_point now, open_map::iterator found,
                        refusal_reason reason, executed ran,
                        std::chrono::milliseconds retry_after)
{
    open_request& request = found->second;
    request_record& record = record_of(request);
    record.refused = true;
    record.reason = reason;
    // If the key owner has not granted the key to this request, an earlier
    // request with the same key may have been executed, so the caller must not
    // be told "no".
    const bool needs_claim = request.spec.key && !request.spec.idempotent;
    if (request.maybe_ran || (needs_claim && !request.claimed))
        ran = executed::unknown;
    record.ran = ran;
    if (needs_claim && ran == executed::no)
    {
        const auto owner = placement_.key_owner(*request.spec.key);
        if (owner)
            out_.send(*owner,
                      claim_release{request.spec.id, *request.spec.key});
    }
    ++counters_.refused.at(static_cast<std::size_t>(reason));
    out_.record_event(event_number::request_refused,
                      to_string(request.spec.id) +
                          " reason=" + std::string(to_string(reason)) +
                          " executed=" + std::string(to_string(ran)));
    refuse answer;
    answer.request = request.spec.id;
    answer.reason = reason;
    answer.ran = ran;
    answer.retry_after = retry_after;
    out_.perform_action(answer);
    close(now, found);
}

void entry::close(time_point now, open_map::iterator found)
{
    request_record& record = record_of(found->second);
    record.ended = now;
    record.open = false;
    const auto count = open_by_account_.find(found->second.spec.account);
    assert(count != open_by_account_.end() && "each open request is counted");
    if (--count->second == 0)
        open_by_account_.erase(count);
    open_.erase(found);
}

void entry::send_release(const open_request& request, cost total,
                         attempt_outcome outcome, duration token_delay)
{
    release message;
    message.request = request.spec.id;
    message.attempt = request.attempt;
    message.shard = request.shard;
    message.total = total;
    message.outcome = outcome;
    message.token_delay = token_delay;
    out_.send(request.scheduler, message);
}

void entry::send_withdraw(const open_request& request)
{
    out_.send(request.scheduler,
              withdraw{request.spec.id, request.attempt, request.shard});
}

void entry::caller_left(time_point now, const request_id& id)
{
    const auto found = open_.find(id);
    if (found == open_.end())
        return;
    // A running attempt ends through `finish`, which receives its state.
    if (found->second.state == phase::running)
        return;
    if (found->second.state == phase::waiting)
        send_withdraw(found->second);
    ++counters_.caller_left;
    refuse_open(now, found, refusal_reason::caller_left, executed::no,
                default_retry_after);
}

} // namespace sycamorelock::core
