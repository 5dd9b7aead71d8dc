// Reports as protobuf messages.
#include "sycamorelock/wire/exchange_codec.hpp"

#include "generated/exchange.pb.h"
#include "sycamorelock/core/direct/endpoint_name.hpp"
#include "tag.hpp"

#include <boost/asio/ip/address_v4.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <map>
#include <tuple>

namespace sycamorelock::wire
{

namespace
{

namespace direct = core::direct;

/// Bounds on what one report may make a receiver keep.
constexpr int max_items = 100'000;

/// A sum or rate that may be used: finite and not negative.
double checked(float value)
{
    if (!std::isfinite(value) || value < 0)
        throw decode_error("a quantity is out of range");
    return value;
}

/// A time as it travels. A longer one than fits says the same.
std::uint32_t ms_of(core::duration time)
{
    using std::chrono::milliseconds;
    constexpr std::int64_t most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        std::chrono::duration_cast<milliseconds>(time).count(), 0, most));
}

void encode_notes(const direct::exchange_report& report,
                  pb::ExchangeReport& out)
{
    for (const direct::cache_note& note : report.notes)
    {
        pb::CacheNote& item = *out.add_notes();
        item.set_engine(note.engine.value());
        item.set_due_ms(ms_of(note.due));
        for (const direct::prompt_part& part : note.parts)
        {
            item.add_keys(part.key);
            item.add_tokens(static_cast<float>(part.tokens));
        }
    }
}

direct::cache_note decode_note(const pb::CacheNote& item)
{
    if (item.keys_size() != item.tokens_size())
        throw decode_error("a cache note has columns of different length");
    direct::cache_note note;
    note.engine = core::endpoint_id(item.engine());
    note.due = std::chrono::milliseconds(item.due_ms());
    for (int i = 0; i < item.keys_size(); ++i)
        note.parts.push_back({item.keys(i), checked(item.tokens(i))});
    return note;
}

direct::endpoint_work decode_work(const pb::EndpointWork& item)
{
    direct::endpoint_work work;
    work.endpoint = core::endpoint_id(item.endpoint());
    work.unread_ms = checked(item.unread_ms());
    work.waiting = item.waiting();
    work.running = item.running();
    work.tokens = checked(item.tokens());
    return work;
}

/// Rates are small numbers of ms, so they travel in us.
constexpr double us_per_ms = 1000;

void encode_figures(const direct::exchange_report& report,
                    pb::ExchangeReport& out)
{
    for (const direct::service_figures& each : report.figures)
    {
        pb::ServiceFigures& item = *out.add_figures();
        item.set_service(each.service.value());
        item.set_first_ms(static_cast<float>(each.figures.first_ms));
        item.set_us_per_token(
            static_cast<float>(each.figures.ms_per_token * us_per_ms));
        item.set_ms_per_million_pairs(
            static_cast<float>(each.figures.ms_per_million_pairs));
        item.set_weight(static_cast<float>(each.figures.weight));
    }
}

direct::service_figures decode_figures(const pb::ServiceFigures& item)
{
    direct::service_figures told;
    told.service = core::service_id(item.service());
    told.figures.first_ms = checked(item.first_ms());
    told.figures.ms_per_token = checked(item.us_per_token()) / us_per_ms;
    told.figures.ms_per_million_pairs = checked(item.ms_per_million_pairs());
    told.figures.weight = checked(item.weight());
    return told;
}

void encode_store(const direct::store_view& view, pb::StoreView& out)
{
    out.set_revision(view.revision);
    out.set_age_ms(static_cast<std::uint32_t>(view.age.count()));
    out.set_up_ms(static_cast<std::uint32_t>(view.uptime.count()));
    out.set_digest(view.digest);
    out.set_complete(view.endpoints.has_value());
    for (const direct::domain_drain& drain : view.drains)
    {
        pb::DomainDrain& item = *out.add_drains();
        item.set_domain(drain.domain.value());
        item.set_revision(drain.revision);
        item.set_active(drain.active);
        item.set_ended_ms(ms_of(drain.ended_for));
    }
    if (!view.endpoints)
        return;
    for (const direct::endpoint_record& record : *view.endpoints)
    {
        pb::EndpointEntry& item = *out.add_endpoints();
        item.set_boot(record.boot);
        item.set_service(record.service.value());
        item.set_address(record.address);
        item.set_domain(record.domain.value());
        item.set_slots(record.slots);
        item.set_draining(record.draining);
        item.set_revision(record.revision);
        item.set_started_ms(record.started_ms);
        item.set_warmup_left_ms(ms_of(record.warmup_left));
        item.set_version(record.version);
    }
}

bool is_address(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    boost::system::error_code error;
    boost::asio::ip::make_address_v4(text.substr(0, colon), error);
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto [stop, wrong] =
        std::from_chars(text.data() + colon + 1, end, port);
    return !error && wrong == std::errc() && stop == end && port != 0;
}

/// The same bounds as for an entry that this instance reads from the store.
direct::endpoint_record decode_endpoint(const pb::EndpointEntry& entry)
{
    static constexpr std::uint32_t most_slots = 1'000'000;
    // The end of the year 9999.
    static constexpr std::uint64_t latest_ms = 253'402'300'799'999;
    if (!direct::is_endpoint_name(entry.boot()))
        throw decode_error("a name that no endpoint can have");
    if (!is_address(entry.address()))
        throw decode_error("an address is no IP:port");
    if (entry.slots() == 0 || entry.slots() > most_slots)
        throw decode_error("slots out of range");
    if (entry.started_ms() > latest_ms)
        throw decode_error("a start time is out of range");
    if (entry.version().size() > direct::max_version_bytes)
        throw decode_error("a version is too long");
    return {entry.boot(),
            core::service_id(entry.service()),
            entry.address(),
            core::domain_id(entry.domain()),
            entry.slots(),
            entry.draining(),
            entry.revision(),
            entry.started_ms(),
            std::chrono::milliseconds(entry.warmup_left_ms()),
            entry.version()};
}

direct::store_view decode_store(const pb::StoreView& item)
{
    direct::store_view view;
    view.revision = item.revision();
    view.age = std::chrono::milliseconds(item.age_ms());
    view.uptime = std::chrono::milliseconds(item.up_ms());
    view.digest = item.digest();
    for (const pb::DomainDrain& drain : item.drains())
        view.drains.push_back({core::domain_id(drain.domain()),
                               drain.revision(), drain.active(),
                               std::chrono::milliseconds(drain.ended_ms())});
    if (!item.complete())
        return view;
    std::vector<direct::endpoint_record>& all = view.endpoints.emplace();
    for (const pb::EndpointEntry& entry : item.endpoints())
        all.push_back(decode_endpoint(entry));
    return view;
}

/// Streams share the few releases and attempts that they were sent to, so a
/// stream takes little more than its key.
void encode_streams(const direct::exchange_report& report,
                    pb::ExchangeReport& out)
{
    using group = std::tuple<core::service_id, direct::release_id, unsigned>;
    std::map<group, pb::StreamNews*> groups;
    for (const direct::stream_note& note : report.streams)
    {
        pb::StreamNews*& item =
            groups[{note.service, note.release, note.attempt}];
        if (item == nullptr)
        {
            item = out.add_streams();
            item->set_service(note.service.value());
            item->set_release(note.release.value());
            item->set_attempt(note.attempt);
        }
        item->add_keys(note.key.value());
    }
    out.set_wants_streams(report.wants_streams);
    out.set_wants_releases(report.wants_releases);
    if (!report.releases)
        return;
    pb::ReleaseHistory& history = *out.mutable_releases();
    history.set_watched_ms(ms_of(report.releases->observed_for));
    for (const direct::known_release& sight : report.releases->seen)
    {
        pb::ReleaseSight& item = *history.add_seen();
        item.set_service(sight.service.value());
        item.set_release(sight.release.value());
        item.set_age_ms(ms_of(sight.age));
    }
}

void decode_streams(const pb::ExchangeReport& message,
                    direct::exchange_report& report)
{
    for (const pb::StreamNews& item : message.streams())
    {
        for (const std::uint64_t key : item.keys())
            report.streams.push_back(
                {direct::stream_key(key), core::service_id(item.service()),
                 direct::release_id(item.release()), item.attempt()});
    }
    report.wants_streams = message.wants_streams();
    report.wants_releases = message.wants_releases();
    if (!message.has_releases())
        return;
    direct::release_history& history = report.releases.emplace();
    history.observed_for =
        std::chrono::milliseconds(message.releases().watched_ms());
    for (const pb::ReleaseSight& item : message.releases().seen())
        history.seen.push_back({core::service_id(item.service()),
                                direct::release_id(item.release()),
                                std::chrono::milliseconds(item.age_ms())});
}

void encode_crashes(const direct::exchange_report& report,
                    pb::ExchangeReport& out)
{
    for (const core::crash_note& note : report.crashes)
    {
        pb::CrashNews& item = *out.add_crashes();
        item.set_key(note.key.value());
        item.set_endpoint(note.endpoint.value());
        item.set_age_ms(ms_of(note.age));
        item.set_evidence(static_cast<std::uint32_t>(note.evidence));
    }
}

core::crash_note decode_crash(const pb::CrashNews& item)
{
    constexpr auto last =
        static_cast<std::uint32_t>(core::crash_evidence::survived);
    if (item.evidence() > last)
        throw decode_error("an unknown kind of evidence");
    return {static_cast<core::crash_evidence>(item.evidence()),
            core::crash_key(item.key()), core::endpoint_id(item.endpoint()),
            std::chrono::milliseconds(item.age_ms())};
}

/// Ages travel in this unit, so that most take one byte.
constexpr std::chrono::milliseconds slowdown_age_unit(10);
constexpr double percent = 100;
/// No endpoint that is in use is slower than this.
constexpr std::uint32_t max_slowdown_percent = 10'000;

void encode_slowdowns(const direct::exchange_report& report,
                      pb::ExchangeReport& out)
{
    if (report.slowdowns.empty())
        return;
    pb::SlowdownNews& news = *out.mutable_slowdowns();
    for (const direct::slowdown_note& note : report.slowdowns)
    {
        news.add_endpoints(note.endpoint.value());
        news.add_percents(static_cast<std::uint32_t>(std::clamp<double>(
            std::round(note.slowdown * percent), 1, max_slowdown_percent)));
        news.add_ages(ms_of(note.age) /
                      static_cast<std::uint32_t>(slowdown_age_unit.count()));
    }
}

void decode_slowdowns(const pb::SlowdownNews& news,
                      direct::exchange_report& report)
{
    if (news.percents_size() != news.endpoints_size() ||
        news.ages_size() != news.endpoints_size())
        throw decode_error("slowdowns have columns of different length");
    for (int i = 0; i < news.endpoints_size(); ++i)
    {
        const std::uint32_t value = news.percents(i);
        if (value == 0 || value > max_slowdown_percent)
            throw decode_error("a slowdown is out of range");
        report.slowdowns.push_back({core::endpoint_id(news.endpoints(i)),
                                    news.ages(i) * slowdown_age_unit,
                                    value / percent});
    }
}

int count_streams(const pb::ExchangeReport& message)
{
    int count = 0;
    for (const pb::StreamNews& item : message.streams())
        count += item.keys_size();
    return count;
}

void check_sizes(const pb::ExchangeReport& message)
{
    const bool too_many = message.peers_size() > max_items ||
                          message.work_size() > max_items ||
                          message.notes_size() > max_items ||
                          message.demands_size() > max_items ||
                          message.figures_size() > max_items ||
                          message.warming_size() > max_items ||
                          count_streams(message) > max_items ||
                          message.crashes_size() > max_items ||
                          message.slowdowns().endpoints_size() > max_items ||
                          message.releases().seen_size() > max_items ||
                          message.store().endpoints_size() > max_items ||
                          message.store().drains_size() > max_items;
    if (too_many)
        throw decode_error("too many items in one report");
}

} // namespace

std::string encode_report(const direct::exchange_report& report,
                          std::string_view key)
{
    pb::ExchangeReport out;
    out.set_sender(report.sender);
    out.set_incarnation(report.incarnation);
    out.set_number(report.number);
    out.set_leaving(report.leaving);
    out.set_domain(report.domain.value());
    out.set_part(static_cast<std::uint32_t>(report.part));
    out.set_config_version(report.config_version);
    out.set_wants_caches(report.wants_caches);
    for (const direct::peer_status& peer : report.peers)
    {
        pb::PeerSight& item = *out.add_peers();
        item.set_address(peer.address);
        item.set_incarnation(peer.incarnation);
        item.set_heard(peer.report_number);
        item.set_domain(peer.domain.value());
    }
    if (report.config)
    {
        out.mutable_config()->set_version(report.config->version);
        out.mutable_config()->set_text(report.config->text);
    }
    for (const direct::endpoint_work& work : report.work)
    {
        pb::EndpointWork& item = *out.add_work();
        item.set_endpoint(work.endpoint.value());
        item.set_unread_ms(static_cast<float>(work.unread_ms));
        item.set_waiting(work.waiting);
        item.set_running(work.running);
        item.set_tokens(static_cast<float>(work.tokens));
    }
    encode_notes(report, out);
    for (const direct::account_demand& demand : report.demands)
    {
        pb::AccountDemand& item = *out.add_demands();
        item.set_account(demand.account.value());
        item.set_asked(static_cast<float>(demand.asked));
        item.set_served(static_cast<float>(demand.served));
        item.set_promised(static_cast<float>(demand.promised));
        item.set_redeemed(static_cast<float>(demand.redeemed));
    }
    encode_figures(report, out);
    for (const direct::warming_notice& each : report.warming)
    {
        pb::WarmingEndpoint& item = *out.add_warming();
        item.set_endpoint(each.endpoint.value());
        item.set_revision(each.revision);
        item.set_left_ms(ms_of(each.left));
    }
    encode_streams(report, out);
    encode_crashes(report, out);
    encode_slowdowns(report, out);
    encode_store(report.store, *out.mutable_store());
    std::string bytes = out.SerializeAsString();
    const message_tag tag = make_tag(bytes, key);
    bytes.append(reinterpret_cast<const char*>(tag.data()), tag.size());
    return bytes;
}

direct::exchange_report decode_report(std::string_view bytes,
                                      std::string_view key)
{
    if (bytes.size() < tag_size || bytes.size() > max_datagram)
        throw decode_error("length out of range");
    const std::string_view content = bytes.substr(0, bytes.size() - tag_size);
    if (!tag_matches(make_tag(content, key), bytes.substr(content.size())))
        throw decode_error("authentication tag does not match");
    pb::ExchangeReport message;
    if (!message.ParseFromArray(content.data(),
                                static_cast<int>(content.size())))
        throw decode_error("malformed report");
    check_sizes(message);
    direct::exchange_report report;
    report.sender = message.sender();
    report.incarnation = message.incarnation();
    report.number = message.number();
    report.leaving = message.leaving();
    report.domain = core::domain_id(message.domain());
    if (message.part() > static_cast<std::uint32_t>(direct::report_part::copy))
        throw decode_error("an unknown kind of report");
    report.part = static_cast<direct::report_part>(message.part());
    report.config_version = message.config_version();
    report.wants_caches = message.wants_caches();
    for (const pb::PeerSight& item : message.peers())
        report.peers.push_back({item.address(), item.incarnation(),
                                item.heard(), core::domain_id(item.domain())});
    if (message.has_config())
        report.config = direct::config_copy{message.config().version(),
                                            message.config().text()};
    for (const pb::EndpointWork& item : message.work())
        report.work.push_back(decode_work(item));
    for (const pb::CacheNote& item : message.notes())
        report.notes.push_back(decode_note(item));
    for (const pb::AccountDemand& item : message.demands())
        report.demands.push_back({core::account_id(item.account()),
                                  checked(item.asked()), checked(item.served()),
                                  checked(item.promised()),
                                  checked(item.redeemed())});
    for (const pb::ServiceFigures& item : message.figures())
        report.figures.push_back(decode_figures(item));
    for (const pb::WarmingEndpoint& item : message.warming())
        report.warming.push_back({core::endpoint_id(item.endpoint()),
                                  item.revision(),
                                  std::chrono::milliseconds(item.left_ms())});
    decode_streams(message, report);
    for (const pb::CrashNews& item : message.crashes())
        report.crashes.push_back(decode_crash(item));
    decode_slowdowns(message.slowdowns(), report);
    report.store = decode_store(message.store());
    return report;
}

} // namespace sycamorelock::wire
