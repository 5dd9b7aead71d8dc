// Reports between instances that route directly: round trips, hostile bytes.
#include "sycamorelock/wire/exchange_codec.hpp"

#include <criterion/criterion.h>

#include <limits>

using namespace sycamorelock;

namespace
{

core::direct::exchange_report full_report()
{
    namespace direct = core::direct;
    direct::exchange_report report;
    report.sender = "10.0.0.1:7000";
    report.domain = core::domain_id::of("a");
    report.part = direct::report_part::domain;
    report.incarnation = 5;
    report.number = 9;
    report.leaving = true;
    report.peers = {{"10.0.0.2:7000", 6, 7, core::domain_id::of("b")}};
    report.config_version = 11;
    report.config = direct::config_copy{11, "text"};
    direct::endpoint_work work;
    work.endpoint = core::endpoint_id::of("e");
    work.unread_ms = 12.5;
    work.waiting = 2;
    work.running = 3;
    work.tokens = 4000;
    report.work = {work};
    report.notes = {{core::endpoint_id::of("e"),
                     {{77, 800}, {78, 20}},
                     std::chrono::milliseconds(150)}};
    report.demands = {{core::account_id::of("n"), 100, 50, 7, 3}};
    report.figures = {{core::service_id::of("s"), {36, 0.0147, 0.24, 80}}};
    direct::endpoint_record endpoint{"boot",
                                     core::service_id::of("s"),
                                     "10.0.0.9:1",
                                     {},
                                     64,
                                     true,
                                     12,
                                     1790000000123,
                                     std::chrono::milliseconds(2500),
                                     "v1.2"};
    report.store = {
        13,
        std::chrono::milliseconds(40),
        std::chrono::milliseconds(60),
        99,
        {{endpoint}},
        {{core::domain_id::of("a"), 14, true, core::duration(0)},
         {core::domain_id::of("b"), 15, false, std::chrono::seconds(2)}}};
    report.warming = {
        {core::endpoint_id::of("e"), 16, std::chrono::milliseconds(1800)}};
    report.wants_caches = true;
    const core::service_id service = core::service_id::of("s");
    const direct::release_id release = direct::release_of(service, "v1.2");
    report.streams = {{direct::stream_key(81), service, release, 1},
                      {direct::stream_key(82), service, release, 1},
                      {direct::stream_key(83), service, release, 2}};
    report.wants_streams = true;
    report.wants_releases = true;
    report.releases = {{{service, release, std::chrono::milliseconds(700)}},
                       std::chrono::milliseconds(21000)};
    return report;
}

core::direct::exchange_report
back_and_forth(const core::direct::exchange_report& report)
{
    return wire::decode_report(wire::encode_report(report, "key"), "key");
}

/// A report with so many streams of each of some releases.
core::direct::exchange_report report_of_streams(std::size_t releases,
                                                std::size_t streams)
{
    namespace direct = core::direct;
    const core::service_id service = core::service_id::of("s");
    direct::exchange_report report;
    for (std::size_t i = 0; i < releases; ++i)
    {
        for (std::size_t j = 0; j < streams; ++j)
            report.streams.push_back({direct::stream_key(i * streams + j),
                                      service, direct::release_id(i), 1});
    }
    return report;
}

} // namespace

Test(exchange_codec, a_report_comes_out_as_it_went_in)
{
    const auto sent = full_report();
    const auto got =
        wire::decode_report(wire::encode_report(sent, "key"), "key");
    cr_expect_str_eq(got.sender.c_str(), sent.sender.c_str());
    cr_expect(got.domain == sent.domain);
    cr_expect(got.part == sent.part);
    cr_expect_eq(got.number, 9U);
    cr_expect(got.leaving);
    cr_expect(got.wants_caches);
    cr_expect_eq(got.peers.at(0).report_number, 7U);
    cr_expect(got.peers.at(0).domain == sent.peers.at(0).domain);
    cr_expect_str_eq(got.config->text.c_str(), "text");
    cr_expect_float_eq(got.work.at(0).unread_ms, 12.5, 1e-6);
    cr_expect_eq(got.work.at(0).running, 3U);
    cr_expect_eq(got.notes.at(0).parts.at(1).key, 78U);
    cr_expect_eq(got.notes.at(0).due.count(), 150);
    cr_expect_float_eq(got.demands.at(0).served, 50, 1e-6);
    cr_expect_float_eq(got.demands.at(0).promised, 7, 1e-6);
    cr_expect_float_eq(got.demands.at(0).redeemed, 3, 1e-6);
    cr_expect(got.figures.at(0).service == core::service_id::of("s"));
    cr_expect_float_eq(got.figures.at(0).figures.first_ms, 36, 1e-6);
    cr_expect_float_eq(got.figures.at(0).figures.ms_per_token, 0.0147, 1e-6);
    cr_expect_float_eq(got.figures.at(0).figures.ms_per_million_pairs, 0.24,
                       1e-6);
    cr_expect_float_eq(got.figures.at(0).figures.weight, 80, 1e-6);
    cr_expect_eq(got.store.revision, 13U);
    cr_expect(got.store.drains == sent.store.drains);
    cr_assert_eq(got.warming.size(), 1U);
    cr_expect(got.warming[0].endpoint == core::endpoint_id::of("e"));
    cr_expect_eq(got.warming[0].revision, 16U);
    cr_expect_eq(got.warming[0].left.count(), 1800);
    cr_expect_eq(got.store.endpoints->at(0).warmup_left.count(), 2500);
    cr_expect_eq(got.store.age.count(), 40);
    cr_expect_eq(got.store.uptime.count(), 60);
    cr_expect_eq(got.store.digest, 99U);
    cr_assert(got.store.endpoints.has_value());
    const core::direct::endpoint_record& endpoint = got.store.endpoints->at(0);
    cr_expect_str_eq(endpoint.boot.c_str(), "boot");
    cr_expect_str_eq(endpoint.address.c_str(), "10.0.0.9:1");
    cr_expect(endpoint.service == core::service_id::of("s"));
    cr_expect_eq(endpoint.slots, 64U);
    cr_expect(endpoint.draining);
    cr_expect_eq(endpoint.revision, 12U);
    cr_expect_eq(endpoint.started_ms, 1790000000123U);
    cr_expect(endpoint.id() == sent.store.endpoints->at(0).id());
}

Test(exchange_codec, streams_and_releases_come_out_as_they_went_in)
{
    const auto sent = full_report();
    const auto got = back_and_forth(sent);
    cr_expect(got.streams == sent.streams);
    cr_expect(got.wants_streams);
    cr_expect(got.wants_releases);
    cr_assert(got.releases.has_value());
    cr_expect(*got.releases == *sent.releases);
    cr_expect_str_eq(got.store.endpoints->at(0).version.c_str(), "v1.2");
    cr_expect_not(back_and_forth({}).releases.has_value());
    cr_expect_not(back_and_forth({}).wants_streams);
    cr_expect_not(back_and_forth({}).wants_releases);
}

Test(exchange_codec, evidence_of_crashes_comes_out_as_it_went_in)
{
    using std::chrono::milliseconds;
    core::direct::exchange_report sent;
    sent.crashes = {
        {core::crash_evidence::crashed, core::crash_key(91),
         core::endpoint_id::of("e"), milliseconds(1200)},
        {core::crash_evidence::succeeded,
         core::crash_key(92),
         {},
         milliseconds(0)},
        {core::crash_evidence::survived,
         {},
         core::endpoint_id::of("f"),
         milliseconds(30)},
    };
    cr_expect(back_and_forth(sent).crashes == sent.crashes);
}

Test(exchange_codec, an_unknown_kind_of_crash_evidence_is_refused)
{
    core::direct::exchange_report sent;
    sent.crashes = {{static_cast<core::crash_evidence>(3),
                     core::crash_key(1),
                     core::endpoint_id::of("e"),
                     {}}};
    cr_expect_throw(back_and_forth(sent), wire::decode_error);
}

Test(exchange_codec, slowdowns_come_out_as_they_went_in)
{
    using std::chrono::milliseconds;
    core::direct::exchange_report sent;
    sent.slowdowns = {
        {core::endpoint_id::of("e"), milliseconds(130), 4.25},
        {core::endpoint_id::of("f"), milliseconds(0), 0.7},
    };
    const auto got = back_and_forth(sent).slowdowns;
    cr_assert_eq(got.size(), 2U);
    for (std::size_t i = 0; i < got.size(); ++i)
    {
        cr_expect(got[i].endpoint == sent.slowdowns[i].endpoint);
        cr_expect(got[i].age == sent.slowdowns[i].age);
        cr_expect_float_eq(got[i].slowdown, sent.slowdowns[i].slowdown, 1e-9);
    }
    // What is out of range is sent as the limit.
    sent.slowdowns = {{core::endpoint_id::of("e"), milliseconds(0), 1e9}};
    cr_expect_float_eq(back_and_forth(sent).slowdowns.at(0).slowdown, 100,
                       1e-9);
}

// Guards against news of endpoints that fills the links of a large fleet.
Test(exchange_codec, a_slowdown_takes_seven_bytes)
{
    using std::chrono::milliseconds;
    core::direct::exchange_report sent;
    const std::size_t empty = wire::encode_report(sent, "key").size();
    for (int i = 0; i < 100; ++i)
        sent.slowdowns.push_back(
            {core::endpoint_id::of(std::to_string(i)), milliseconds(400), 2.5});
    cr_expect_leq(wire::encode_report(sent, "key").size() - empty,
                  100 * 7 + 16U);
}

// Guards against news of streams that fills the links of a large fleet.
Test(exchange_codec, a_stream_takes_eight_bytes_beside_its_release)
{
    constexpr std::size_t releases = 3;
    constexpr std::size_t streams = 1000;
    constexpr std::size_t key_bytes = 8;
    constexpr std::size_t release_bytes = 32;
    const std::size_t empty = wire::encode_report({}, "key").size();
    const std::size_t full =
        wire::encode_report(report_of_streams(releases, streams), "key").size();
    cr_expect_leq(full - empty,
                  releases * (streams * key_bytes + release_bytes));
}

// Guards against reports that make a receiver keep without bound.
Test(exchange_codec, more_streams_than_a_receiver_keeps_are_refused)
{
    constexpr std::size_t most = 100'000;
    cr_expect_eq(back_and_forth(report_of_streams(2, most / 2)).streams.size(),
                 most);
    cr_expect_throw(back_and_forth(report_of_streams(2, most / 2 + 1)),
                    wire::decode_error);
    auto report = full_report();
    report.store.endpoints->at(0).version =
        std::string(core::direct::max_version_bytes + 1, 'v');
    cr_expect_throw(back_and_forth(report), wire::decode_error);
    report.store.endpoints->at(0).version.pop_back();
    cr_expect_eq(back_and_forth(report).store.endpoints->at(0).version.size(),
                 core::direct::max_version_bytes);
    report = full_report();
    report.releases->seen.assign(most + 1, {});
    cr_expect_throw(back_and_forth(report), wire::decode_error);
}

Test(exchange_codec, no_endpoints_differ_from_none_told)
{
    auto report = full_report();
    report.store.endpoints.reset();
    auto got = wire::decode_report(wire::encode_report(report, "key"), "key");
    cr_expect_not(got.store.endpoints.has_value());
    report.store.endpoints.emplace();
    got = wire::decode_report(wire::encode_report(report, "key"), "key");
    cr_assert(got.store.endpoints.has_value());
    cr_expect(got.store.endpoints->empty());
}

Test(exchange_codec, what_was_changed_or_cut_is_refused)
{
    const std::string bytes = wire::encode_report(full_report(), "key");
    cr_expect_throw(wire::decode_report(bytes, "other"), wire::decode_error);
    for (std::size_t i = 0; i < bytes.size(); ++i)
    {
        std::string changed = bytes;
        changed[i] = static_cast<char>(changed[i] ^ 1);
        cr_expect_throw(wire::decode_report(changed, "key"),
                        wire::decode_error);
        cr_expect_throw(wire::decode_report(bytes.substr(0, i), "key"),
                        wire::decode_error);
    }
}

Test(exchange_codec, quantities_that_make_no_sense_are_refused)
{
    auto report = full_report();
    report.work.at(0).unread_ms = -1;
    cr_expect_throw(
        wire::decode_report(wire::encode_report(report, "key"), "key"),
        wire::decode_error);
    report = full_report();
    report.figures.at(0).figures.ms_per_token = -1;
    cr_expect_throw(
        wire::decode_report(wire::encode_report(report, "key"), "key"),
        wire::decode_error);
    report = full_report();
    report.demands.at(0).asked = std::numeric_limits<double>::infinity();
    cr_expect_throw(
        wire::decode_report(wire::encode_report(report, "key"), "key"),
        wire::decode_error);
}
