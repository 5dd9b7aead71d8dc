// Messages of a peer that has the key, with bytes and figures that a seed
// changes: each is refused, or every value that is read is within its range.
#include "sycamorelock/wire/codec.hpp"
#include "sycamorelock/wire/exchange_codec.hpp"

#include "drawn_bytes.hpp"
#include "tag.hpp"

#include <boost/asio/ip/address_v4.hpp>
#include <criterion/criterion.h>

#include <charconv>
#include <cmath>
#include <limits>

using namespace sycamorelock;
namespace direct = core::direct;
using std::chrono::milliseconds;

namespace
{

constexpr std::uint64_t seeds = 50;
constexpr int draws = 300;
constexpr std::string_view key = "a-key-for-tests-only";

direct::endpoint_record sound_endpoint()
{
    return {"i-1",
            core::service_id::of("s"),
            "10.0.0.9:1",
            core::domain_id::of("a"),
            64,
            true,
            12,
            1790000000123,
            milliseconds(2500),
            "v1.2"};
}

direct::exchange_report sound_report()
{
    direct::exchange_report report;
    report.sender = "10.0.0.1:7000";
    report.domain = core::domain_id::of("a");
    report.incarnation = 5;
    report.number = 9;
    report.peers = {{"10.0.0.2:7000", 6, 7, core::domain_id::of("b")}};
    direct::endpoint_work work;
    work.endpoint = core::endpoint_id::of("e");
    work.unread_ms = 12.5;
    work.waiting = 2;
    work.running = 3;
    work.tokens = 4000;
    report.work = {work};
    report.notes = {
        {core::endpoint_id::of("e"), {{77, 800}, {78, 20}}, milliseconds(150)}};
    report.demands = {{core::account_id::of("n"), 100, 50, 7, 3}};
    report.figures = {{core::service_id::of("s"), {36, 0.0147, 0.24, 80}}};
    report.slowdowns = {{core::endpoint_id::of("e"), milliseconds(130), 4.25}};
    report.crashes = {{core::crash_evidence::crashed, core::crash_key(91),
                       core::endpoint_id::of("e"), milliseconds(1200)}};
    report.store.endpoints = {{sound_endpoint()}};
    report.store.drains = {
        {core::domain_id::of("b"), 15, false, std::chrono::seconds(2)}};
    return report;
}

/// Changes bytes of a message and seals it, as a faulty peer would.
std::string spoil_and_seal(std::string bytes, std::string_view receiver,
                           std::mt19937_64& random)
{
    bytes.resize(bytes.size() - wire::tag_size);
    for (std::size_t i = 0; i <= random() % 2; ++i)
        bytes = standin::spoil_by_seed(std::move(bytes), random());
    std::string sealed = bytes;
    const auto tag = wire::make_tag(sealed.append(receiver), std::string(key));
    return bytes.append(reinterpret_cast<const char*>(tag.data()), tag.size());
}

bool is_quantity(double value)
{
    return std::isfinite(value) && value >= 0;
}

bool is_address(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    boost::system::error_code error;
    boost::asio::ip::make_address_v4(text.substr(0, colon), error);
    if (error || colon == std::string::npos)
        return false;
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto [stop, wrong] =
        std::from_chars(text.data() + colon + 1, end, port);
    return wrong == std::errc() && stop == end && port != 0;
}

bool is_name(std::string_view text)
{
    return !text.empty() &&
           std::all_of(text.begin(), text.end(),
                       [](char each) { return each > ' ' && each < 0x7f; });
}

void check_endpoint(const direct::endpoint_record& record, std::uint64_t seed)
{
    static constexpr std::uint64_t latest_ms = 253'402'300'799'999;
    cr_assert(is_name(record.boot), "seed %lu: %s", seed, record.boot.c_str());
    cr_assert(is_address(record.address), "seed %lu: %s", seed,
              record.address.c_str());
    cr_assert(record.slots >= 1 && record.slots <= 1'000'000, "seed %lu: %u",
              seed, record.slots);
    cr_assert_leq(record.started_ms, latest_ms, "seed %lu", seed);
    cr_assert_geq(record.warmup_left.count(), 0, "seed %lu", seed);
    cr_assert_leq(record.version.size(), direct::max_version_bytes, "seed %lu",
                  seed);
}

void check_report(const direct::exchange_report& report, std::uint64_t seed)
{
    for (const auto& work : report.work)
        cr_assert(is_quantity(work.unread_ms) && is_quantity(work.tokens),
                  "seed %lu", seed);
    for (const auto& note : report.notes)
    {
        cr_assert_geq(note.due.count(), 0, "seed %lu", seed);
        for (const auto& part : note.parts)
            cr_assert(is_quantity(part.tokens), "seed %lu", seed);
    }
    for (const auto& demand : report.demands)
        cr_assert(is_quantity(demand.asked) && is_quantity(demand.served) &&
                      is_quantity(demand.promised) &&
                      is_quantity(demand.redeemed),
                  "seed %lu", seed);
    for (const auto& [service, figures] : report.figures)
        cr_assert(is_quantity(figures.first_ms) &&
                      is_quantity(figures.ms_per_token) &&
                      is_quantity(figures.ms_per_million_pairs) &&
                      is_quantity(figures.weight),
                  "seed %lu", seed);
    for (const auto& note : report.slowdowns)
        cr_assert(note.slowdown >= 0.01 && note.slowdown <= 100 &&
                      note.age.count() >= 0,
                  "seed %lu", seed);
    for (const auto& note : report.crashes)
        cr_assert(note.evidence <= core::crash_evidence::survived &&
                      note.age.count() >= 0,
                  "seed %lu", seed);
    for (const auto& drain : report.store.drains)
        cr_assert_geq(drain.ended_for.count(), 0, "seed %lu", seed);
    cr_assert_geq(report.store.age.count(), 0, "seed %lu", seed);
    cr_assert_geq(report.store.uptime.count(), 0, "seed %lu", seed);
    if (!report.store.endpoints)
        return;
    for (const auto& record : *report.store.endpoints)
        check_endpoint(record, seed);
}

core::enqueue sound_enqueue()
{
    core::enqueue wanted;
    wanted.request = {core::instance_id::of("a1"), 77, 123};
    wanted.account = core::account_id::of("north");
    wanted.urgency = 1;
    wanted.estimate = core::cost(250);
    wanted.time_left = milliseconds(5000);
    return wanted;
}

wire::envelope sound_envelope()
{
    wire::envelope content;
    content.sender = core::instance_id::of("a1");
    content.receiver = core::instance_id::of("a2");
    content.incarnation = 77;
    content.sequence = 5;
    core::gossip news;
    news.heartbeats.push_back({content.sender, 77, 9, true});
    core::service_report report;
    report.items.push_back(
        {core::account_id::of("north"), -5, true, core::virtual_time(2.5)});
    core::snapshot known;
    known.system = core::virtual_time(7);
    known.items.push_back(
        {core::account_id::of("north"), core::virtual_time(8)});
    content.messages = {sound_enqueue(), news, report, known,
                        core::config_document{3, std::string(500, 'x')}};
    return content;
}

/// Times that are added to the present, and costs that are summed.
void check_enqueue(const core::enqueue& wanted, std::uint64_t seed)
{
    static constexpr std::int64_t longest_ms = std::int64_t{1} << 42;
    static constexpr std::int64_t most_cost = std::int64_t{1} << 40;
    cr_assert_leq(std::abs(wanted.time_left.count()), longest_ms, "seed %lu",
                  seed);
    cr_assert_leq(std::abs(wanted.entry_clock.count()), longest_ms, "seed %lu",
                  seed);
    cr_assert(wanted.estimate.value() >= 0 &&
                  wanted.estimate.value() <= most_cost,
              "seed %lu", seed);
    cr_assert_lt(wanted.urgency, 8, "seed %lu", seed);
}

} // namespace

// Guards against a report that is believed although a figure or an entry in it
// is out of range.
Test(drawn_messages, a_report_is_refused_or_within_its_ranges)
{
    const std::string sound =
        wire::encode_report(sound_report(), std::string(key));
    int read = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        std::mt19937_64 random(seed);
        for (int draw = 0; draw < draws; ++draw)
        {
            const std::string bytes = spoil_and_seal(sound, {}, random);
            try
            {
                check_report(wire::decode_report(bytes, key), seed);
                ++read;
            }
            catch (const wire::decode_error&)
            {
                continue;
            }
        }
    }
    cr_expect_gt(read, 0);
}

// Each field of an entry that a peer forwards, beyond its range.
Test(drawn_messages, an_entry_that_names_no_endpoint_is_refused)
{
    const auto refused = [](auto change)
    {
        direct::exchange_report report = sound_report();
        change(report.store.endpoints->at(0));
        const std::string bytes = wire::encode_report(report, std::string(key));
        cr_expect_throw(wire::decode_report(bytes, key), wire::decode_error);
    };
    for (const char* address :
         {"", "10.0.0.9", "10.0.0.9:", "10.0.0.9:0", "10.0.0.9:65536",
          "10.0.0.9:1x", "host:1", "[::1]:1", "10.0.0.9:99999999999999999999"})
        refused([&](auto& record) { record.address = address; });
    for (const char* boot : {"", "i 1", "i\r\nTenant: t", "i\x7f"})
        refused([&](auto& record) { record.boot = boot; });
    for (const unsigned slots :
         {0U, 1'000'001U, std::numeric_limits<unsigned>::max()})
        refused([&](auto& record) { record.slots = slots; });
    refused([](auto& record) { record.started_ms = 253'402'300'800'000; });
    const std::string sound =
        wire::encode_report(sound_report(), std::string(key));
    cr_expect(wire::decode_report(sound, key).store.endpoints->at(0).boot ==
              "i-1");
}

// Guards against times of messages between schedulers that cannot be added.
Test(drawn_messages, an_envelope_is_refused_or_within_its_ranges)
{
    const wire::envelope content = sound_envelope();
    const std::string sound = wire::encode(content, std::string(key));
    const std::string receiver = std::to_string(content.receiver.value());
    int read = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        std::mt19937_64 random(seed);
        for (int draw = 0; draw < draws; ++draw)
        {
            const std::string bytes = spoil_and_seal(sound, receiver, random);
            try
            {
                const auto got = wire::decode(bytes, content.receiver, key);
                ++read;
                for (const core::peer_message& each : got.messages)
                {
                    if (const auto* wanted = std::get_if<core::enqueue>(&each))
                        check_enqueue(*wanted, seed);
                    if (const auto* known = std::get_if<core::snapshot>(&each))
                        cr_assert(std::abs(known->system.value()) <= 1e15,
                                  "seed %lu", seed);
                }
            }
            catch (const wire::decode_error&)
            {
                continue;
            }
        }
    }
    cr_expect_gt(read, 0);
}

// Guards against reports that no instance can read, as the version of one
// endpoint was cut within a character.
Test(drawn_messages, a_cut_version_can_be_told)
{
    for (std::size_t before = 0; before < direct::max_version_bytes; ++before)
    {
        direct::exchange_report report = sound_report();
        std::string version(before, 'v');
        for (std::size_t i = 0; i < direct::max_version_bytes; ++i)
            version += i % 2 == 0 ? "\xc3\xa9" : "\xf0\x9f\x8d\x81";
        report.store.endpoints->at(0).version =
            direct::bounded_version(version);
        const std::string bytes = wire::encode_report(report, std::string(key));
        cr_expect_no_throw(wire::decode_report(bytes, key), wire::decode_error,
                           "%zu", before);
    }
}
