// Claims of idempotency keys: a request that must not run more than once is
// sent only after its key owner has granted the key.
#include "sycamorelock/core/entry.hpp"

namespace sycamorelock::core
{

void entry::send_claim(time_point now, open_request& request)
{
    request.next_send = now + options_.claim_interval;
    const auto owner = placement_.key_owner(*request.spec.key);
    if (!owner)
        return;
    claim message;
    message.request = request.spec.id;
    message.key = *request.spec.key;
    message.membership_version = placement_.list().version;
    out_.send(*owner, message);
}

void entry::on_message(time_point now, instance_id from,
                       const claim_result& message)
{
    const auto found = open_.find(message.request);
    const bool is_waiting =
        found != open_.end() && found->second.state == phase::claiming;
    if (!is_waiting)
        return;
    open_request& request = found->second;
    switch (message.verdict)
    {
    case claim_verdict::granted:
        request.claimed = true;
        start_waiting(now, request);
        return;
    case claim_verdict::duplicate:
        out_.record_event(event_number::key_duplicate,
                          to_string(message.request));
        refuse_open(now, found, refusal_reason::duplicate_key,
                    executed::unknown, default_retry_after);
        return;
    case claim_verdict::outside_memory:
        refuse_open(now, found, refusal_reason::key_outside_memory,
                    executed::unknown, default_retry_after);
        return;
    case claim_verdict::table_full:
        refuse_open(now, found, refusal_reason::too_many_requests,
                    executed::unknown, default_retry_after);
        return;
    case claim_verdict::not_owner:
    case claim_verdict::no_majority:
        // The membership lists may converge soon; the timer repeats the claim.
        (void)from;
        return;
    }
}

} // namespace sycamorelock::core
