// One pair of functions for each kind of message.
#include "convert.hpp"

#include "sycamorelock/wire/codec.hpp"

#include <zlib.h>

#include <cmath>
#include <limits>

namespace sycamorelock::wire
{

namespace
{

constexpr std::int64_t max_cost = std::int64_t{1} << 40;
constexpr std::int64_t max_milliseconds = std::int64_t{1} << 42;
constexpr std::uint32_t max_document = 1024 * 1024;

std::int64_t bounded(std::int64_t value, std::int64_t limit, const char* what)
{
    if (value < -limit || value > limit)
        throw decode_error(std::string(what) + " out of range");
    return value;
}

core::cost read_cost(std::uint64_t value)
{
    if (value > static_cast<std::uint64_t>(max_cost))
        throw decode_error("cost out of range");
    return core::cost(static_cast<std::int64_t>(value));
}

std::uint64_t write_cost(core::cost value)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, value.value()));
}

std::chrono::milliseconds read_ms(std::int64_t value)
{
    return std::chrono::milliseconds(bounded(value, max_milliseconds, "time"));
}

core::virtual_time read_virtual(double value)
{
    static constexpr double limit = 1e15;
    if (!std::isfinite(value) || std::abs(value) > limit)
        throw decode_error("virtual time out of range");
    return core::virtual_time(value);
}

template <class Enum> Enum read_enum(std::uint32_t value, std::uint32_t count)
{
    if (value >= count)
        throw decode_error("unknown value of an enumeration");
    return static_cast<Enum>(value);
}

core::request_id read(const pb::RequestId& from)
{
    return {core::instance_id(from.entry()), from.incarnation(), from.number()};
}

void write(const core::request_id& from, pb::RequestId& to)
{
    to.set_entry(from.entry.value());
    to.set_incarnation(from.incarnation);
    to.set_number(from.number);
}

core::shard_id read(const pb::ShardId& from)
{
    return {core::service_id(from.service()), core::domain_id(from.domain()),
            from.index()};
}

void write(const core::shard_id& from, pb::ShardId& to)
{
    to.set_service(from.service.value());
    to.set_domain(from.domain.value());
    to.set_index(from.index);
}

core::config_version read(const pb::ConfigVersion& from)
{
    return {from.number(), from.digest()};
}

void write(const core::config_version& from, pb::ConfigVersion& to)
{
    to.set_number(from.number);
    to.set_digest(from.digest);
}

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

/// Request, attempt and shard, which most messages start with.
template <class From, class To> void write_head(const From& from, To& to)
{
    write(from.request, *to.mutable_request());
    to.set_attempt(from.attempt);
    write(from.shard, *to.mutable_shard());
}

template <class From, class To> void read_head(const From& from, To& to)
{
    to.request = read(from.request());
    to.attempt = from.attempt();
    to.shard = read(from.shard());
}

std::string compress_text(const std::string& text)
{
    uLongf size = compressBound(static_cast<uLong>(text.size()));
    std::string packed(size, '\0');
    compress(reinterpret_cast<Bytef*>(packed.data()), &size,
             reinterpret_cast<const Bytef*>(text.data()),
             static_cast<uLong>(text.size()));
    packed.resize(size);
    return packed;
}

std::string expand_text(const std::string& packed, std::uint32_t size)
{
    if (size > max_document)
        throw decode_error("document too large");
    std::string text(size, '\0');
    uLongf length = size;
    const int status =
        uncompress(reinterpret_cast<Bytef*>(text.data()), &length,
                   reinterpret_cast<const Bytef*>(packed.data()),
                   static_cast<uLong>(packed.size()));
    if (status != Z_OK || length != size)
        throw decode_error("document cannot be expanded");
    return text;
}

void write(const core::gossip& from, pb::Body& body)
{
    pb::Gossip& to = *body.mutable_gossip();
    for (const core::heartbeat& beat : from.heartbeats)
    {
        pb::Heartbeat& item = *to.add_heartbeats();
        item.set_instance(beat.instance.value());
        item.set_incarnation(beat.incarnation);
        item.set_counter(beat.counter);
        item.set_leaving(beat.leaving);
    }
    write(from.config, *to.mutable_config());
    to.set_membership_version(from.membership_version);
}

core::gossip read(const pb::Gossip& from)
{
    core::gossip to;
    for (const pb::Heartbeat& item : from.heartbeats())
        to.heartbeats.push_back({core::instance_id(item.instance()),
                                 item.incarnation(), item.counter(),
                                 item.leaving()});
    to.config = read(from.config());
    to.membership_version = from.membership_version();
    return to;
}

void write(const core::enqueue& from, pb::Body& body)
{
    pb::Enqueue& to = *body.mutable_enqueue();
    write_head(from, to);
    to.set_account(from.account.value());
    to.set_urgency(from.urgency);
    to.set_estimate(write_cost(from.estimate));
    to.set_time_left_ms(from.time_left.count());
    to.set_prefix(from.prefix);
    to.set_entry_clock_ms(from.entry_clock.count());
    to.set_moved(from.moved);
    to.set_requeued(from.requeued);
}

core::enqueue read(const pb::Enqueue& from)
{
    static constexpr std::uint32_t urgency_levels = 8;
    core::enqueue to;
    read_head(from, to);
    to.account = core::account_id(from.account());
    to.urgency = read_enum<std::uint8_t>(from.urgency(), urgency_levels);
    to.estimate = read_cost(from.estimate());
    to.time_left = read_ms(from.time_left_ms());
    to.prefix = from.prefix();
    to.entry_clock = read_ms(from.entry_clock_ms());
    to.moved = from.moved();
    to.requeued = from.requeued();
    return to;
}

void write(const core::withdraw& from, pb::Body& body)
{
    write_head(from, *body.mutable_withdraw());
}

core::withdraw read(const pb::Withdraw& from)
{
    core::withdraw to;
    read_head(from, to);
    return to;
}

void write(const core::grant& from, pb::Body& body)
{
    pb::Grant& to = *body.mutable_grant();
    write_head(from, to);
    to.set_endpoint(from.endpoint.value());
    to.set_echo_ms(from.echo.count());
}

core::grant read(const pb::Grant& from)
{
    core::grant to;
    read_head(from, to);
    to.endpoint = core::endpoint_id(from.endpoint());
    to.echo = read_ms(from.echo_ms());
    return to;
}

void write(const core::confirm& from, pb::Body& body)
{
    pb::Confirm& to = *body.mutable_confirm();
    write_head(from, to);
    to.set_entry_clock_ms(from.entry_clock.count());
}

core::confirm read(const pb::Confirm& from)
{
    core::confirm to;
    read_head(from, to);
    to.entry_clock = read_ms(from.entry_clock_ms());
    return to;
}

void write(const core::reject& from, pb::Body& body)
{
    pb::Reject& to = *body.mutable_reject();
    write(from.request, *to.mutable_request());
    to.set_attempt(from.attempt);
    to.set_reason(static_cast<std::uint32_t>(from.reason));
    to.set_retry_after_ms(static_cast<std::uint32_t>(from.retry_after.count()));
}

core::reject read(const pb::Reject& from)
{
    core::reject to;
    to.request = read(from.request());
    to.attempt = from.attempt();
    to.reason = read_enum<core::refusal_reason>(from.reason(),
                                                core::refusal_reason_count);
    to.retry_after = read_ms(from.retry_after_ms());
    return to;
}

void write(const core::renew& from, pb::Body& body)
{
    pb::Renew& to = *body.mutable_renew();
    write(from.shard, *to.mutable_shard());
    to.set_entry_clock_ms(from.entry_clock.count());
    for (const core::renew::item& item : from.items)
    {
        pb::Renew::Item& out = *to.add_items();
        write(item.request, *out.mutable_request());
        out.set_attempt(item.attempt);
        out.set_so_far(write_cost(item.so_far));
    }
}

core::renew read(const pb::Renew& from)
{
    core::renew to;
    to.shard = read(from.shard());
    to.entry_clock = read_ms(from.entry_clock_ms());
    for (const pb::Renew::Item& item : from.items())
        to.items.push_back(
            {read(item.request()), item.attempt(), read_cost(item.so_far())});
    return to;
}

void write(const core::adopt& from, pb::Body& body)
{
    pb::Adopt& to = *body.mutable_adopt();
    write_head(from, to);
    to.set_account(from.account.value());
    to.set_endpoint(from.endpoint.value());
    to.set_so_far(write_cost(from.so_far));
    to.set_estimate(write_cost(from.estimate));
}

core::adopt read(const pb::Adopt& from)
{
    core::adopt to;
    read_head(from, to);
    to.account = core::account_id(from.account());
    to.endpoint = core::endpoint_id(from.endpoint());
    to.so_far = read_cost(from.so_far());
    to.estimate = read_cost(from.estimate());
    return to;
}

void write(const core::release& from, pb::Body& body)
{
    pb::Release& to = *body.mutable_release();
    write_head(from, to);
    to.set_total(write_cost(from.total));
    to.set_outcome(static_cast<std::uint32_t>(from.outcome));
    to.set_token_delay_us(static_cast<std::uint64_t>(from.token_delay.count()));
}

core::release read(const pb::Release& from)
{
    static constexpr std::uint32_t outcomes = 4;
    static constexpr std::uint64_t max_delay_us = 1ULL << 40;
    core::release to;
    read_head(from, to);
    to.total = read_cost(from.total());
    to.outcome = read_enum<core::attempt_outcome>(from.outcome(), outcomes);
    if (from.token_delay_us() > max_delay_us)
        throw decode_error("token delay out of range");
    to.token_delay =
        core::duration(static_cast<core::duration::rep>(from.token_delay_us()));
    return to;
}

void write(const core::advert& from, pb::Body& body)
{
    pb::Advert& to = *body.mutable_advert();
    write(from.shard, *to.mutable_shard());
    to.set_wanted(from.wanted);
    to.set_backlog(from.backlog);
    to.set_next(from.next.value());
}

core::advert read(const pb::Advert& from)
{
    return {read(from.shard()), from.wanted(), from.backlog(),
            read_virtual(from.next())};
}

/// Largest running total that is taken from a message.
constexpr std::int64_t max_total = std::int64_t{1} << 60;

void write(const core::service_report& from, pb::Body& body)
{
    pb::ServiceReport& to = *body.mutable_service_report();
    write(from.shard, *to.mutable_shard());
    to.set_epoch(from.epoch);
    for (const core::service_report::item& item : from.items)
    {
        pb::ServiceReport::Item& out = *to.add_items();
        out.set_account(item.account.value());
        out.set_total(item.total);
        out.set_waiting(item.waiting);
        if (item.lifted_to)
            out.set_lifted_to(item.lifted_to->value());
    }
}

core::service_report read(const pb::ServiceReport& from)
{
    core::service_report to;
    to.shard = read(from.shard());
    to.epoch = from.epoch();
    for (const pb::ServiceReport::Item& item : from.items())
    {
        core::service_report::item in;
        in.account = core::account_id(item.account());
        in.total = bounded(item.total(), max_total, "total");
        in.waiting = item.waiting();
        if (item.has_lifted_to())
            in.lifted_to = read_virtual(item.lifted_to());
        to.items.push_back(in);
    }
    return to;
}

void write(const core::snapshot_request& from, pb::Body& body)
{
    write(from.shard, *body.mutable_snapshot_request()->mutable_shard());
}

core::snapshot_request read(const pb::SnapshotRequest& from)
{
    return {read(from.shard())};
}

void write(const core::snapshot::included_totals& from,
           pb::Snapshot::IncludedTotals& to)
{
    write(from.shard, *to.mutable_shard());
    to.set_epoch(from.epoch);
    for (const core::snapshot::account_total& item : from.items)
    {
        pb::Snapshot::AccountTotal& out = *to.add_items();
        out.set_account(item.account.value());
        out.set_total(item.total);
    }
}

core::snapshot::included_totals read(const pb::Snapshot::IncludedTotals& from)
{
    core::snapshot::included_totals to;
    to.shard = read(from.shard());
    to.epoch = from.epoch();
    for (const pb::Snapshot::AccountTotal& item : from.items())
        to.items.push_back({core::account_id(item.account()),
                            bounded(item.total(), max_total, "total")});
    return to;
}

void write(const core::snapshot& from, pb::Body& body)
{
    pb::Snapshot& to = *body.mutable_snapshot();
    write(from.shard, *to.mutable_shard());
    to.set_system(from.system.value());
    for (const core::snapshot::item& item : from.items)
    {
        pb::Snapshot::Item& out = *to.add_items();
        out.set_account(item.account.value());
        out.set_at(item.at.value());
    }
    for (const core::snapshot::included_totals& each : from.included)
        write(each, *to.add_included());
}

core::snapshot read(const pb::Snapshot& from)
{
    core::snapshot to;
    to.shard = read(from.shard());
    to.system = read_virtual(from.system());
    for (const pb::Snapshot::Item& item : from.items())
        to.items.push_back(
            {core::account_id(item.account()), read_virtual(item.at())});
    for (const pb::Snapshot::IncludedTotals& each : from.included())
        to.included.push_back(read(each));
    return to;
}

void write(const core::claim& from, pb::Body& body)
{
    pb::Claim& to = *body.mutable_claim();
    write(from.request, *to.mutable_request());
    write(from.key, *to.mutable_key());
    to.set_membership_version(from.membership_version);
}

core::claim read(const pb::Claim& from)
{
    return {read(from.request()), read(from.key()), from.membership_version()};
}

void write(const core::claim_result& from, pb::Body& body)
{
    pb::ClaimResult& to = *body.mutable_claim_result();
    write(from.request, *to.mutable_request());
    to.set_verdict(static_cast<std::uint32_t>(from.verdict));
    to.set_retry_after_ms(static_cast<std::uint32_t>(from.retry_after.count()));
}

core::claim_result read(const pb::ClaimResult& from)
{
    static constexpr std::uint32_t verdicts = 6;
    return {read(from.request()),
            read_enum<core::claim_verdict>(from.verdict(), verdicts),
            read_ms(from.retry_after_ms())};
}

void write(const core::claim_release& from, pb::Body& body)
{
    pb::ClaimRelease& to = *body.mutable_claim_release();
    write(from.request, *to.mutable_request());
    write(from.key, *to.mutable_key());
}

core::claim_release read(const pb::ClaimRelease& from)
{
    return {read(from.request()), read(from.key())};
}

void write(const core::config_request& from, pb::Body& body)
{
    pb::ConfigRequest& to = *body.mutable_config_request();
    write(from.have, *to.mutable_have());
    to.set_membership_version(from.membership_version);
}

core::config_request read(const pb::ConfigRequest& from)
{
    return {read(from.have()), from.membership_version()};
}

void write(const core::config_document& from, pb::Body& body)
{
    pb::ConfigDocument& to = *body.mutable_config_document();
    to.set_version(from.version);
    to.set_text(compress_text(from.text));
    to.set_text_size(static_cast<std::uint32_t>(from.text.size()));
}

core::config_document read(const pb::ConfigDocument& from)
{
    return {from.version(), expand_text(from.text(), from.text_size())};
}

void write(const core::membership_document& from, pb::Body& body)
{
    pb::MembershipDocument& to = *body.mutable_membership_document();
    to.set_text(compress_text(from.text));
    to.set_text_size(static_cast<std::uint32_t>(from.text.size()));
}

core::membership_document read(const pb::MembershipDocument& from)
{
    return {expand_text(from.text(), from.text_size())};
}

} // namespace

void to_body(const core::peer_message& content, pb::Body& body)
{
    std::visit([&](const auto& kind) { write(kind, body); }, content);
}

core::peer_message from_body(const pb::Body& body)
{
    switch (body.content_case())
    {
    case pb::Body::kGossip:
        return read(body.gossip());
    case pb::Body::kEnqueue:
        return read(body.enqueue());
    case pb::Body::kWithdraw:
        return read(body.withdraw());
    case pb::Body::kGrant:
        return read(body.grant());
    case pb::Body::kConfirm:
        return read(body.confirm());
    case pb::Body::kReject:
        return read(body.reject());
    case pb::Body::kRenew:
        return read(body.renew());
    case pb::Body::kAdopt:
        return read(body.adopt());
    case pb::Body::kRelease:
        return read(body.release());
    case pb::Body::kAdvert:
        return read(body.advert());
    case pb::Body::kServiceReport:
        return read(body.service_report());
    case pb::Body::kSnapshotRequest:
        return read(body.snapshot_request());
    case pb::Body::kSnapshot:
        return read(body.snapshot());
    case pb::Body::kClaim:
        return read(body.claim());
    case pb::Body::kClaimResult:
        return read(body.claim_result());
    case pb::Body::kClaimRelease:
        return read(body.claim_release());
    case pb::Body::kConfigRequest:
        return read(body.config_request());
    case pb::Body::kConfigDocument:
        return read(body.config_document());
    case pb::Body::kMembershipDocument:
        return read(body.membership_document());
    case pb::Body::CONTENT_NOT_SET:
        break;
    }
    throw decode_error("unknown kind of message");
}

} // namespace sycamorelock::wire
