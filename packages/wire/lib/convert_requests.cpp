// Messages about single requests: slots, leases and idempotency keys.
#include "convert.hpp"

#include "sycamorelock/wire/codec.hpp"

namespace sycamorelock::wire
{

namespace
{

core::idempotency_key read(const pb::IdempotencyKey& from)
{
    core::idempotency_key key;
    if (from.key().size() != key.bytes.size())
        throw decode_error("idempotency key of a wrong length");
    key.account = core::account_id(from.account());
    std::copy(from.key().begin(), from.key().end(), key.bytes.begin());
    return key;
}

void write(const core::idempotency_key& from, pb::IdempotencyKey& to)
{
    to.set_account(from.account.value());
    to.set_key(std::string(from.bytes.begin(), from.bytes.end()));
}

} // namespace

void write(const core::enqueue& from, const parties& ends, pb::Body& body)
{
    pb::Enqueue& to = *body.mutable_enqueue();
    write_head(from, ends, to);
    to.set_account(from.account.value());
    to.set_urgency(from.urgency);
    to.set_estimate(write_cost(from.estimate));
    to.set_time_left_ms(from.time_left.count());
    to.set_prefix(from.prefix);
    to.set_tried(from.tried.value());
    to.set_entry_clock_ms(from.entry_clock.count());
    to.set_moved(from.moved);
    to.set_requeued(from.requeued);
}

core::enqueue read(const pb::Enqueue& from, const parties& ends)
{
    static constexpr std::uint32_t urgency_levels = 8;
    core::enqueue to;
    read_head(from, ends, to);
    to.account = core::account_id(from.account());
    to.urgency = read_enum<std::uint8_t>(from.urgency(), urgency_levels);
    to.estimate = read_cost(from.estimate());
    to.time_left = read_ms(from.time_left_ms());
    to.prefix = from.prefix();
    to.tried = core::endpoint_id(from.tried());
    to.entry_clock = read_ms(from.entry_clock_ms());
    to.moved = from.moved();
    to.requeued = from.requeued();
    return to;
}

void write(const core::withdraw& from, const parties& ends, pb::Body& body)
{
    write_head(from, ends, *body.mutable_withdraw());
}

core::withdraw read(const pb::Withdraw& from, const parties& ends)
{
    core::withdraw to;
    read_head(from, ends, to);
    return to;
}

void write(const core::grant& from, const parties& ends, pb::Body& body)
{
    pb::Grant& to = *body.mutable_grant();
    write_head(from, ends, to);
    to.set_endpoint(from.endpoint.value());
    to.set_echo_ms(from.echo.count());
}

core::grant read(const pb::Grant& from, const parties& ends)
{
    core::grant to;
    read_head(from, ends, to);
    to.endpoint = core::endpoint_id(from.endpoint());
    to.echo = read_ms(from.echo_ms());
    return to;
}

void write(const core::confirm& from, const parties& ends, pb::Body& body)
{
    pb::Confirm& to = *body.mutable_confirm();
    write_head(from, ends, to);
    to.set_entry_clock_ms(from.entry_clock.count());
}

core::confirm read(const pb::Confirm& from, const parties& ends)
{
    core::confirm to;
    read_head(from, ends, to);
    to.entry_clock = read_ms(from.entry_clock_ms());
    return to;
}

void write(const core::reject& from, const parties& ends, pb::Body& body)
{
    pb::Reject& to = *body.mutable_reject();
    write(from.request, ends, *to.mutable_request());
    to.set_attempt(from.attempt);
    to.set_reason(static_cast<std::uint32_t>(from.reason));
    to.set_retry_after_ms(static_cast<std::uint32_t>(from.retry_after.count()));
}

core::reject read(const pb::Reject& from, const parties& ends)
{
    core::reject to;
    to.request = read(from.request(), ends);
    to.attempt = from.attempt();
    to.reason = read_enum<core::refusal_reason>(from.reason(),
                                                core::refusal_reason_count);
    to.retry_after = read_ms(from.retry_after_ms());
    return to;
}

void write(const core::renew& from, const parties&, pb::Body& body)
{
    pb::Renew& to = *body.mutable_renew();
    write(from.shard, *to.mutable_shard());
    to.set_entry_clock_ms(from.entry_clock.count());
    // Only an entry renews, and only its own requests.
    for (const core::renew::item& item : from.items)
    {
        to.add_numbers(item.request.number);
        to.add_attempts(item.attempt);
        to.add_so_far(write_cost(item.so_far));
    }
}

core::renew read(const pb::Renew& from, const parties& ends)
{
    core::renew to;
    to.shard = read(from.shard());
    to.entry_clock = read_ms(from.entry_clock_ms());
    const int count = from.numbers_size();
    if (from.attempts_size() != count || from.so_far_size() != count)
        throw decode_error("columns of a renewal differ in length");
    for (int i = 0; i < count; ++i)
        to.items.push_back({{ends.sender, ends.incarnation, from.numbers(i)},
                            from.attempts(i),
                            read_cost(from.so_far(i))});
    return to;
}

void write(const core::adopt& from, const parties& ends, pb::Body& body)
{
    pb::Adopt& to = *body.mutable_adopt();
    write_head(from, ends, to);
    to.set_account(from.account.value());
    to.set_endpoint(from.endpoint.value());
    to.set_so_far(write_cost(from.so_far));
    to.set_estimate(write_cost(from.estimate));
}

core::adopt read(const pb::Adopt& from, const parties& ends)
{
    core::adopt to;
    read_head(from, ends, to);
    to.account = core::account_id(from.account());
    to.endpoint = core::endpoint_id(from.endpoint());
    to.so_far = read_cost(from.so_far());
    to.estimate = read_cost(from.estimate());
    return to;
}

void write(const core::release& from, const parties& ends, pb::Body& body)
{
    pb::Release& to = *body.mutable_release();
    write_head(from, ends, to);
    to.set_total(write_cost(from.total));
    to.set_outcome(static_cast<std::uint32_t>(from.outcome));
    to.set_token_delay_us(static_cast<std::uint64_t>(from.token_delay.count()));
}

core::release read(const pb::Release& from, const parties& ends)
{
    static constexpr std::uint32_t outcomes = 4;
    static constexpr std::uint64_t max_delay_us = 1ULL << 40;
    core::release to;
    read_head(from, ends, to);
    to.total = read_cost(from.total());
    to.outcome = read_enum<core::attempt_outcome>(from.outcome(), outcomes);
    if (from.token_delay_us() > max_delay_us)
        throw decode_error("token delay out of range");
    to.token_delay =
        core::duration(static_cast<core::duration::rep>(from.token_delay_us()));
    return to;
}

void write(const core::claim& from, const parties& ends, pb::Body& body)
{
    pb::Claim& to = *body.mutable_claim();
    write(from.request, ends, *to.mutable_request());
    write(from.key, *to.mutable_key());
    to.set_membership_version(from.membership_version);
}

core::claim read(const pb::Claim& from, const parties& ends)
{
    return {read(from.request(), ends), read(from.key()),
            from.membership_version()};
}

void write(const core::claim_result& from, const parties& ends, pb::Body& body)
{
    pb::ClaimResult& to = *body.mutable_claim_result();
    write(from.request, ends, *to.mutable_request());
    to.set_verdict(static_cast<std::uint32_t>(from.verdict));
    to.set_retry_after_ms(static_cast<std::uint32_t>(from.retry_after.count()));
}

core::claim_result read(const pb::ClaimResult& from, const parties& ends)
{
    static constexpr std::uint32_t verdicts = 6;
    return {read(from.request(), ends),
            read_enum<core::claim_verdict>(from.verdict(), verdicts),
            read_ms(from.retry_after_ms())};
}

void write(const core::claim_release& from, const parties& ends, pb::Body& body)
{
    pb::ClaimRelease& to = *body.mutable_claim_release();
    write(from.request, ends, *to.mutable_request());
    write(from.key, *to.mutable_key());
}

core::claim_release read(const pb::ClaimRelease& from, const parties& ends)
{
    return {read(from.request(), ends), read(from.key())};
}

void write(const core::crash_report& from, const parties&, pb::Body& body)
{
    pb::CrashReport& to = *body.mutable_crash_report();
    for (const core::crash_note& note : from.notes)
    {
        pb::CrashEvidence& item = *to.add_notes();
        item.set_key(note.key.value());
        item.set_endpoint(note.endpoint.value());
        item.set_age_ms(static_cast<std::uint32_t>(note.age.count()));
        item.set_evidence(static_cast<std::uint32_t>(note.evidence));
    }
}

core::crash_report read(const pb::CrashReport& from, const parties&)
{
    static constexpr std::uint32_t kinds = 3;
    core::crash_report to;
    for (const pb::CrashEvidence& item : from.notes())
        to.notes.push_back(
            {read_enum<core::crash_evidence>(item.evidence(), kinds),
             core::crash_key(item.key()), core::endpoint_id(item.endpoint()),
             read_ms(item.age_ms())});
    return to;
}

} // namespace sycamorelock::wire
