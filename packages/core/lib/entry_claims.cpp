// Claims of idempotency keys: a request that may run once only is sent after
// its key owner has granted the key.
#include "sycamorelock/core/entry.hpp"

namespace sycamorelock::core
{

void entry::send_claim(time_point now, open_request& request)
{
    request.next_send = now + options_.claim_repeat;
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
    const bool waits =
        found != open_.end() && found->second.state == phase::claiming;
    if (!waits)
        return;
    open_request& request = found->second;
    switch (message.verdict)
    {
    case claim_verdict::granted:
        request.claimed = true;
        start_waiting(now, request);
        return;
    case claim_verdict::duplicate:
        out_.note(event_number::key_duplicate, to_string(message.request));
        refuse_open(now, found, refusal_reason::duplicate_key,
                    executed::unknown, soon);
        return;
    case claim_verdict::outside_memory:
        refuse_open(now, found, refusal_reason::key_outside_memory,
                    executed::unknown, soon);
        return;
    case claim_verdict::table_full:
        refuse_open(now, found, refusal_reason::too_many_requests,
                    executed::unknown, soon);
        return;
    case claim_verdict::not_owner:
    case claim_verdict::no_majority:
        // The lists may agree in a moment: the timer repeats the claim.
        (void)from;
        return;
    }
}

} // namespace sycamorelock::core
