// Tests which endpoints a stream that a caller resumes may be routed to.
#include "direct_fixture.hpp"

#include <criterion/criterion.h>

#include <utility>

using namespace sycamorelock::core;
using namespace sycamorelock::core::direct;
using std::chrono::seconds;

namespace
{

constexpr seconds observation_time{20};
const service_id plans = service_id::of("plans");
const release_id old_release = release_of(drafts, "v1");
const release_id new_release = release_of(drafts, "v2");

stream_key key_of(const std::string& attempt)
{
    return stream_key_of(account_id::of("nora"), attempt);
}

endpoint_record engine_of(const std::string& boot, const std::string& version)
{
    endpoint_record result = engine_record(boot);
    result.version = version;
    return result;
}

/// One instance with engines of several releases.
struct instance : two_engines
{
    using versions = std::vector<std::pair<std::string, std::string>>;

    explicit instance(const versions& engines = {{"one", "v1"}, {"two", "v2"}},
                      time_point now = start)
        : two_engines(1e6, 0)
    {
        config->routes.front().resumable = true;
        config->routes.front().timeout = seconds(5);
        tested_router.install(now, config);
        tested_router.set_endpoints(start, {});
        set_engines(now, engines);
    }

    void set_engines(time_point now, const versions& engines)
    {
        std::vector<endpoint_record> records;
        for (const auto& [boot, version] : engines)
            records.push_back(engine_of(boot, version));
        set_engines(now, records);
    }
    void set_engines(time_point now,
                     const std::vector<endpoint_record>& records)
    {
        std::map<std::string, endpoint_record> all;
        for (const endpoint_record& each : records)
            all[each.boot] = each;
        tested_router.set_endpoints(now, all);
    }
    /// Keeps the endpoint listing current from `from` to `until`.
    void keep_listing_current(time_point from, time_point until)
    {
        for (time_point at = from; at <= until; at += milliseconds(500))
            tested_router.set_endpoints_current(at, at);
    }

    routing_decision decide(time_point now, std::optional<release_id> release,
                            const std::set<endpoint_id>& tried = {})
    {
        request_profile request = make_profile({{1, 1000}, {2, 100}}, now);
        request.release = release;
        return tested_router.decide(now, request, drafts, tried,
                                    !tried.empty());
    }
    placement_decision place(time_point now, std::optional<release_id> release)
    {
        return std::get<placement_decision>(decide(now, release));
    }
    refusal_decision refuse(time_point now, release_id release,
                            const std::set<endpoint_id>& tried = {})
    {
        return std::get<refusal_decision>(decide(now, release, tried));
    }
    [[nodiscard]] stream_resolution resolve(time_point now,
                                            const std::string& attempt) const
    {
        return tested_router.resolve(now, key_of(attempt),
                                     config->routes.front());
    }
    exchange_report report(time_point now)
    {
        exchange_report result;
        tested_router.fill_report(now, result);
        result.sender = "10.0.0.1:7000";
        return result;
    }
};

} // namespace

// Guards against a stream that is resumed at another release than the one that
// started it, because the endpoint was chosen from all those of the service.
Test(direct_resume, a_stream_is_resumed_only_at_its_release)
{
    instance fix;
    fix.set_engines(start, {{"one", "v1"}, {"two", "v2"}, {"three", "v2"}});
    for (int i = 0; i < 50; ++i)
    {
        const time_point now = start + milliseconds(10 * i);
        placement_decision placed = fix.place(now, old_release);
        cr_assert_str_eq(placed.endpoint.boot.c_str(), "one");
        request_profile request = fix.make_profile({{1, 1000}}, now);
        fix.tested_router.sent(now, request, placed);
    }
    cr_expect(fix.place(start, new_release).endpoint.release() == new_release);
}

// Guards against the same fault in a large fleet, where the candidates for a
// prompt are a few engines: they must be engines of the release.
Test(direct_resume, in_a_large_fleet_a_stream_is_resumed_only_at_its_release)
{
    instance fix;
    instance::versions engines;
    for (int i = 0; i < 30; ++i)
        engines.emplace_back("e" + std::to_string(i), i == 17 ? "v1" : "v2");
    fix.set_engines(start, engines);
    fix.tested_router.set_fleet_size(100);
    cr_assert(fix.tested_router.large_fleet());
    cr_expect_str_eq(fix.place(start, old_release).endpoint.boot.c_str(),
                     "e17");
}

// Guards against a broken stream that the instance itself resumes at another
// release after the last endpoint of the stream's release has failed.
Test(direct_resume,
     without_an_untried_endpoint_of_its_release_a_stream_is_refused)
{
    instance fix;
    const placement_decision first = fix.place(start, old_release);
    cr_assert_str_eq(first.endpoint.boot.c_str(), "one");
    const auto again =
        fix.decide(start, old_release, {first.request_load.endpoint});
    cr_expect(std::holds_alternative<refusal_decision>(again));
}

// Guards against the same fault when the last endpoint of its release has left
// during the stream.
Test(direct_resume, when_its_release_has_left_a_stream_is_refused_as_gone)
{
    instance fix;
    fix.set_engines(start, {{"two", "v2"}});
    const refusal_decision result = fix.refuse(start, old_release);
    cr_expect(result.reason == refusal::release_gone);
    cr_expect_gt(result.retry_after.count(), 0);
    endpoint_record leaving = engine_of("one", "v1");
    leaving.draining = true;
    fix.set_engines(start, {leaving, engine_of("two", "v2")});
    cr_expect(fix.refuse(start, old_release).reason == refusal::release_gone);
}

// Guards against a refusal with `release_gone` while the endpoints of the
// release have only requested back-off or are drained: they will serve again.
Test(direct_resume, an_endpoint_in_back_off_or_drained_is_not_gone)
{
    instance fix;
    fix.tested_router.note_backoff(start, engine_of("one", "v1"),
                                   milliseconds(3000));
    const refusal_decision in_back_off = fix.refuse(start, old_release);
    cr_expect(in_back_off.reason == refusal::backing_off);
    cr_expect_geq(in_back_off.retry_after.count(), 2900);
    instance other;
    endpoint_record drained_engine = engine_of("one", "v1");
    drained_engine.domain = domain_id::of("there");
    other.set_engines(start, {drained_engine, engine_of("two", "v2")});
    other.tested_router.set_drained(start, {domain_id::of("there")}, {});
    cr_expect(other.refuse(start, old_release).reason == refusal::drained);
    cr_expect(std::holds_alternative<placement_decision>(
        other.decide(start, std::nullopt)));
}

// Guards against a request that was placed on an endpoint of one release and is
// sent to another release under the same endpoint name.
Test(direct_resume, a_placement_is_withheld_when_its_entry_changes_release)
{
    instance fix;
    const placement_decision placed = fix.place(start, old_release);
    cr_expect_not(fix.tested_router.withheld(start, placed).has_value());
    fix.set_engines(start, {{"one", "v2"}, {"two", "v2"}});
    cr_assert(fix.tested_router.withheld(start, placed).has_value());
    cr_expect(*fix.tested_router.withheld(start, placed) ==
              withheld_reason::other_release);
    cr_expect(fix.refuse(start, old_release).reason == refusal::release_gone);
}

// Guards against an endpoint that is asked again after it has left, and against
// work of the first attempt that stays in the ledger or counts twice.
Test(direct_resume, an_endpoint_may_be_asked_again_until_it_leaves)
{
    instance fix;
    request_profile request = fix.make_profile({{1, 400}});
    placement_decision first = fix.place(start, old_release);
    fix.tested_router.sent(start, request, first);
    fix.tested_router.first_token(start, request, first, start);
    fix.tested_router.finished(start, first, attempt_outcome::abandoned);
    placement_decision again = first;
    cr_assert(fix.tested_router.renew(start, again));
    cr_expect(again.endpoint.boot == first.endpoint.boot);
    cr_expect_not(again.request_load.has_first_token);
    fix.tested_router.sent(start, request, again);
    cr_expect_neq(again.request_load.number, first.request_load.number);
    fix.tested_router.finished(start, again, attempt_outcome::abandoned);
    fix.tested_router.note_leaving(start, first.endpoint);
    cr_expect_not(fix.tested_router.renew(start, again));
}

// Guards against an update of an entry that is ignored because only the version
// has changed.
Test(direct_resume, a_changed_version_updates_an_entry)
{
    endpoint_registry registry;
    endpoint_record one = engine_of("one", "v1");
    one.revision = 3;
    cr_expect(registry.put(one));
    cr_expect_not(registry.put(one));
    const std::uint64_t before = registry.digest();
    one.version = "v2";
    one.revision = 4;
    cr_expect(registry.put(one));
    cr_expect_neq(registry.digest(), before);
    // Instances of earlier builds report no version.
    one.version.clear();
    cr_expect_not(registry.put(one));
    cr_expect_str_eq(registry.all().at("one").version.c_str(), "v2");
}

// Guards against a stream that cannot be resumed because its instance became
// unreachable right after the start: others must have received the report
// before the first event of the stream.
Test(direct_resume, a_reported_stream_is_resumed_at_another_instance)
{
    instance began;
    instance other;
    const placement_decision placed = began.place(start, new_release);
    began.tested_router.note_stream(start, key_of("a"), placed, 1);
    cr_expect(began.resolve(start, "a").source == stream_source::own);
    other.tested_router.on_report(start, began.report(start));
    for (const milliseconds later : {milliseconds(1), milliseconds(9000)})
    {
        const stream_resolution found = other.resolve(start + later, "a");
        cr_assert(found.source == stream_source::reported);
        cr_expect(found.service == drafts);
        cr_expect(*found.release == new_release);
    }
    // The stream is resumed twice, the second time at a third instance.
    const time_point late = start + seconds(9);
    const placement_decision again = other.place(late, new_release);
    other.tested_router.note_resumed(late, key_of("a"), again);
    instance third;
    third.tested_router.on_report(late, other.report(late));
    cr_expect(third.resolve(late, "a").source == stream_source::reported);
    cr_expect(*third.resolve(late, "a").release == new_release);
}

// Guards against a report that arrives too late after a request was repeated at
// another release.
Test(direct_resume, a_change_of_release_is_reported_at_once)
{
    instance fix;
    const placement_decision first = fix.place(start, old_release);
    fix.tested_router.note_stream(start, key_of("a"), first, 1);
    fix.report(start);
    cr_expect_not(fix.tested_router.report_is_urgent());
    const placement_decision next = fix.place(start, new_release);
    fix.tested_router.note_stream(start, key_of("a"), next, 2);
    cr_expect(fix.tested_router.report_is_urgent());
    const exchange_report report = fix.report(start);
    cr_assert_eq(report.streams.size(), 1U);
    cr_expect(report.streams.front().release == new_release);
    cr_expect_eq(report.streams.front().attempt, 2U);
}

// Guards against an assumed release for a stream that no instance has reported.
Test(direct_resume, an_unknown_stream_is_refused)
{
    instance fix;
    fix.keep_listing_current(start, start + observation_time);
    const time_point now = start + observation_time;
    cr_expect(fix.resolve(now, "never sent").source == stream_source::unknown);
    cr_expect(fix.resolve(now, "").source == stream_source::unknown);
    const auto unnamed = fix.tested_router.resolve(now, std::nullopt,
                                                   fix.config->routes.front());
    cr_expect(unnamed.source == stream_source::unknown);
    cr_expect_not(unnamed.release.has_value());
    const refusal_decision result = fix.tested_router.refuse_unknown_release();
    cr_expect(result.reason == refusal::release_unknown);
    cr_expect_geq(result.retry_after.count(), 250);
}

// Guards against refusal of unreported streams after a single release has
// served for long.
Test(direct_resume, with_one_release_any_stream_is_resumed)
{
    instance fix;
    fix.set_engines(start, {{"one", "v1"}, {"two", "v1"}});
    fix.keep_listing_current(start, start + 2 * observation_time);
    const time_point now = start + 2 * observation_time;
    cr_expect(fix.resolve(now, "sent elsewhere").source == stream_source::sole);
    const auto unnamed = fix.tested_router.resolve(now, std::nullopt,
                                                   fix.config->routes.front());
    cr_expect(unnamed.source == stream_source::sole);
    cr_expect(*unnamed.release == old_release);
    cr_expect(fix.report(now).streams.empty());
}

// Guards against a caller that resumes the stream of another client account.
Test(direct_resume, another_account_does_not_find_the_stream)
{
    instance fix;
    const placement_decision placed = fix.place(start, new_release);
    fix.tested_router.note_stream(start, key_of("a"), placed, 1);
    const auto other = fix.tested_router.resolve(
        start, stream_key_of(account_id::of("omar"), "a"),
        fix.config->routes.front());
    cr_expect(other.source == stream_source::unknown);
}

// Guards against a stream that is resumed at another service, because the
// weights of its route select that service or a configuration has moved the
// route.
Test(direct_resume, a_stream_is_resumed_at_the_service_that_started_it)
{
    instance fix;
    const placement_decision placed = fix.place(start, new_release);
    fix.tested_router.note_stream(start, key_of("a"), placed, 1);
    route both = fix.config->routes.front();
    both.targets = {{plans, 9}, {drafts, 1}};
    const auto found = fix.tested_router.resolve(start, key_of("a"), both);
    cr_expect(found.source == stream_source::own);
    cr_expect(found.service == drafts);
    route elsewhere = both;
    elsewhere.targets = {{plans, 1}};
    const auto moved = fix.tested_router.resolve(start, key_of("a"), elsewhere);
    cr_expect(moved.source == stream_source::unknown);
    cr_expect_not(moved.release.has_value());
}

// Guards against an assumed release when several services may have started the
// stream.
Test(direct_resume, with_several_services_none_is_assumed)
{
    instance fix;
    fix.set_engines(start, {{"one", "v1"}});
    fix.keep_listing_current(start, start + observation_time);
    route both = fix.config->routes.front();
    both.targets = {{plans, 1}, {drafts, 1}};
    const time_point now = start + observation_time;
    cr_expect(fix.resolve(now, "a").source == stream_source::sole);
    cr_expect(fix.tested_router.resolve(now, key_of("a"), both).source ==
              stream_source::unknown);
}

// Guards against an assumed release after a configuration has moved a route
// while streams were open.
Test(direct_resume, a_route_change_causes_streams_to_be_reported)
{
    instance fix;
    fix.set_engines(start, {{"one", "v1"}});
    fix.keep_listing_current(start, start + 2 * observation_time);
    const time_point now = start + 2 * observation_time;
    cr_assert(fix.resolve(now, "a").source == stream_source::sole);
    auto newer = std::make_shared<catalogue>(*fix.config);
    newer->version = 2;
    newer->routes.front().targets = {{plans, 1}};
    newer->index();
    fix.tested_router.install(now, newer);
    fix.tested_router.install(now, fix.config);
    cr_expect(fix.resolve(now, "a").source == stream_source::unknown);
    fix.tested_router.note_stream(now, key_of("b"),
                                  fix.place(now, std::nullopt), 1);
    cr_expect_eq(fix.report(now).streams.size(), 1U);
}

// Guards against refused streams at an instance that has just started.
Test(direct_resume, a_started_instance_learns_from_a_copy)
{
    instance running(instance::versions{{"one", "v1"}});
    running.keep_listing_current(start, start + observation_time);
    const time_point now = start + observation_time;
    instance started(instance::versions{{"one", "v1"}}, now);
    started.tested_router.set_endpoints_current(now, now);
    cr_expect(started.report(now).wants_streams);
    cr_expect(started.resolve(now, "a").source == stream_source::unknown);
    const auto copy = running.tested_router.copy_streams(now, true);
    cr_assert(copy.has_value());
    started.tested_router.adopt_streams(now, *copy);
    cr_expect_not(started.report(now).wants_streams);
    cr_expect(started.resolve(now, "a").source == stream_source::sole);
}
