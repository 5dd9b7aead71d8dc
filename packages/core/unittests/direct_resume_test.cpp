// Where a stream that a caller resumes may go on.
#include "direct_fixture.hpp"

#include <criterion/criterion.h>

#include <utility>

using namespace sycamorelock::core;
using namespace sycamorelock::core::direct;
using std::chrono::seconds;

namespace
{

constexpr seconds long_enough{20};
const service_id plans = service_id::of("plans");
const release_id old_release = release_of(drafts, "v1");
const release_id new_release = release_of(drafts, "v2");

stream_key key_of(const std::string& attempt)
{
    return stream_key_of(account_id::of("nora"), attempt);
}

endpoint_record engine_of(const std::string& boot, const std::string& version)
{
    endpoint_record made = engine_record(boot);
    made.version = version;
    return made;
}

/// One instance before engines of some releases.
struct instance : two_engines
{
    using versions = std::vector<std::pair<std::string, std::string>>;

    explicit instance(const versions& engines = {{"one", "v1"}, {"two", "v2"}},
                      time_point now = start)
        : two_engines(1e6, 0)
    {
        config->routes.front().resumable = true;
        config->routes.front().timeout = seconds(5);
        decides.install(now, config);
        decides.set_endpoints(start, {});
        show(now, engines);
    }

    void show(time_point now, const versions& engines)
    {
        std::vector<endpoint_record> records;
        for (const auto& [boot, version] : engines)
            records.push_back(engine_of(boot, version));
        show(now, records);
    }
    void show(time_point now, const std::vector<endpoint_record>& records)
    {
        std::map<std::string, endpoint_record> all;
        for (const endpoint_record& each : records)
            all[each.boot] = each;
        decides.set_endpoints(now, all);
    }
    /// Has fresh news of endpoints until then.
    void watch(time_point from, time_point until)
    {
        for (time_point at = from; at <= until; at += milliseconds(500))
            decides.set_endpoints_current(at, at);
    }

    routing_decision decide(time_point now, std::optional<release_id> release,
                            const std::set<endpoint_id>& tried = {})
    {
        request_profile asked = ask_for({{1, 1000}, {2, 100}}, now);
        asked.release = release;
        return decides.decide(now, asked, drafts, tried, !tried.empty());
    }
    placement_decision place(time_point now, std::optional<release_id> release)
    {
        return std::get<placement_decision>(decide(now, release));
    }
    refusal_decision refused(time_point now, release_id release,
                             const std::set<endpoint_id>& tried = {})
    {
        return std::get<refusal_decision>(decide(now, release, tried));
    }
    [[nodiscard]] stream_resolution resolve(time_point now,
                                            const std::string& attempt) const
    {
        return decides.resolve(now, key_of(attempt), config->routes.front());
    }
    exchange_report report(time_point now)
    {
        exchange_report made;
        decides.fill_report(now, made);
        made.sender = "10.0.0.1:7000";
        return made;
    }
};

} // namespace

// Guards against streams that go on at another release than the one that began
// them: the choice was made among all endpoints of the service.
Test(direct_resume, a_stream_goes_on_only_at_its_release)
{
    instance fix;
    fix.show(start, {{"one", "v1"}, {"two", "v2"}, {"three", "v2"}});
    for (int i = 0; i < 50; ++i)
    {
        const time_point now = start + milliseconds(10 * i);
        placement_decision placed = fix.place(now, old_release);
        cr_assert_str_eq(placed.endpoint.boot.c_str(), "one");
        request_profile asked = fix.ask_for({{1, 1000}}, now);
        fix.decides.sent(now, asked, placed);
    }
    cr_expect(fix.place(start, new_release).endpoint.release() == new_release);
}

// Guards against the same in a large fleet, where a prompt has a few engines:
// they are a few of the release.
Test(direct_resume, a_stream_of_a_large_fleet_goes_on_only_at_its_release)
{
    instance fix;
    instance::versions engines;
    for (int i = 0; i < 30; ++i)
        engines.emplace_back("e" + std::to_string(i), i == 17 ? "v1" : "v2");
    fix.show(start, engines);
    fix.decides.set_fleet_size(100);
    cr_assert(fix.decides.large_fleet());
    cr_expect_str_eq(fix.place(start, old_release).endpoint.boot.c_str(),
                     "e17");
}

// Guards against a broken stream that the instance itself takes to another
// release, when the last endpoint of its own has failed it.
Test(direct_resume, without_an_untried_endpoint_of_its_release_it_ends)
{
    instance fix;
    const placement_decision first = fix.place(start, old_release);
    cr_assert_str_eq(first.endpoint.boot.c_str(), "one");
    const auto again = fix.decide(start, old_release, {first.hold.endpoint});
    cr_expect(std::holds_alternative<refusal_decision>(again));
}

// Guards against the same when the last endpoint of its release has left in the
// middle of the stream.
Test(direct_resume, when_its_release_has_gone_it_is_refused_as_gone)
{
    instance fix;
    fix.show(start, {{"two", "v2"}});
    const refusal_decision made = fix.refused(start, old_release);
    cr_expect(made.reason == refusal::release_gone);
    cr_expect_gt(made.retry_after.count(), 0);
    endpoint_record leaving = engine_of("one", "v1");
    leaving.draining = true;
    fix.show(start, {leaving, engine_of("two", "v2")});
    cr_expect(fix.refused(start, old_release).reason == refusal::release_gone);
}

// Guards against refusals as gone of a release whose endpoints only rest or are
// drained: it is served again in a while.
Test(direct_resume, an_endpoint_that_rests_or_is_drained_is_not_gone)
{
    instance fix;
    fix.decides.note_rest(start, engine_of("one", "v1"), milliseconds(3000));
    const refusal_decision rests = fix.refused(start, old_release);
    cr_expect(rests.reason == refusal::resting);
    cr_expect_geq(rests.retry_after.count(), 2900);
    instance other;
    endpoint_record far = engine_of("one", "v1");
    far.domain = domain_id::of("there");
    other.show(start, {far, engine_of("two", "v2")});
    other.decides.set_drained(start, {domain_id::of("there")}, {});
    cr_expect(other.refused(start, old_release).reason == refusal::drained);
    cr_expect(std::holds_alternative<placement_decision>(
        other.decide(start, std::nullopt)));
}

// Guards against a request that was chosen for a release and reaches another
// one under the same name.
Test(direct_resume, an_entry_of_another_release_withholds_what_was_chosen)
{
    instance fix;
    const placement_decision placed = fix.place(start, old_release);
    cr_expect_not(fix.decides.withheld(start, placed).has_value());
    fix.show(start, {{"one", "v2"}, {"two", "v2"}});
    cr_assert(fix.decides.withheld(start, placed).has_value());
    cr_expect(*fix.decides.withheld(start, placed) ==
              withheld_reason::other_release);
    cr_expect(fix.refused(start, old_release).reason == refusal::release_gone);
}

// Guards against a change of an entry's version that is taken for no news.
Test(direct_resume, another_version_of_an_entry_is_news)
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
    // An instance of an earlier build tells none.
    one.version.clear();
    cr_expect_not(registry.put(one));
    cr_expect_str_eq(registry.all().at("one").version.c_str(), "v2");
}

// Guards against a stream whose instance is gone at once: others must have
// heard of it before its first event.
Test(direct_resume, a_stream_goes_on_where_another_instance_told_of_it)
{
    instance began;
    instance other;
    const placement_decision placed = began.place(start, new_release);
    began.decides.note_stream(start, key_of("a"), placed, 1);
    cr_expect(began.resolve(start, "a").source == stream_source::own);
    other.decides.on_report(start, began.report(start));
    for (const milliseconds later : {milliseconds(1), milliseconds(9000)})
    {
        const stream_resolution found = other.resolve(start + later, "a");
        cr_assert(found.source == stream_source::reported);
        cr_expect(found.service == drafts);
        cr_expect(*found.release == new_release);
    }
    // It is resumed twice in a row, the second time at a third instance.
    const time_point late = start + seconds(9);
    const placement_decision again = other.place(late, new_release);
    other.decides.note_resumed(late, key_of("a"), again);
    instance third;
    third.decides.on_report(late, other.report(late));
    cr_expect(third.resolve(late, "a").source == stream_source::reported);
    cr_expect(*third.resolve(late, "a").release == new_release);
}

// Guards against news that comes too late for a request that was repeated at
// another release.
Test(direct_resume, a_move_to_another_release_is_told_at_once)
{
    instance fix;
    const placement_decision first = fix.place(start, old_release);
    fix.decides.note_stream(start, key_of("a"), first, 1);
    fix.report(start);
    cr_expect_not(fix.decides.report_is_urgent());
    const placement_decision next = fix.place(start, new_release);
    fix.decides.note_stream(start, key_of("a"), next, 2);
    cr_expect(fix.decides.report_is_urgent());
    const exchange_report told = fix.report(start);
    cr_assert_eq(told.streams.size(), 1U);
    cr_expect(told.streams.front().release == new_release);
    cr_expect_eq(told.streams.front().attempt, 2U);
}

// Guards against guesses about streams that nobody has told of.
Test(direct_resume, a_stream_that_nobody_knows_goes_nowhere)
{
    instance fix;
    fix.watch(start, start + long_enough);
    const time_point now = start + long_enough;
    cr_expect(fix.resolve(now, "never sent").source == stream_source::unknown);
    cr_expect(fix.resolve(now, "").source == stream_source::unknown);
    const auto unnamed =
        fix.decides.resolve(now, std::nullopt, fix.config->routes.front());
    cr_expect(unnamed.source == stream_source::unknown);
    cr_expect_not(unnamed.release.has_value());
    const refusal_decision made = fix.decides.refuse_unknown_release();
    cr_expect(made.reason == refusal::release_unknown);
    cr_expect_geq(made.retry_after.count(), 250);
}

// Guards against refusals of streams that nobody told of while one release has
// served for long.
Test(direct_resume, with_one_release_any_stream_goes_on)
{
    instance fix;
    fix.show(start, {{"one", "v1"}, {"two", "v1"}});
    fix.watch(start, start + 2 * long_enough);
    const time_point now = start + 2 * long_enough;
    cr_expect(fix.resolve(now, "sent elsewhere").source == stream_source::sole);
    const auto unnamed =
        fix.decides.resolve(now, std::nullopt, fix.config->routes.front());
    cr_expect(unnamed.source == stream_source::sole);
    cr_expect(*unnamed.release == old_release);
    cr_expect(fix.report(now).streams.empty());
}

// Guards against a caller that takes up the stream of another account.
Test(direct_resume, another_account_does_not_find_the_stream)
{
    instance fix;
    const placement_decision placed = fix.place(start, new_release);
    fix.decides.note_stream(start, key_of("a"), placed, 1);
    const auto other =
        fix.decides.resolve(start, stream_key_of(account_id::of("omar"), "a"),
                            fix.config->routes.front());
    cr_expect(other.source == stream_source::unknown);
}

// Guards against a stream that goes on at another service: its route's weights
// would draw one, or a configuration has moved the route.
Test(direct_resume, a_stream_goes_on_at_the_service_that_began_it)
{
    instance fix;
    const placement_decision placed = fix.place(start, new_release);
    fix.decides.note_stream(start, key_of("a"), placed, 1);
    route both = fix.config->routes.front();
    both.targets = {{plans, 9}, {drafts, 1}};
    const auto found = fix.decides.resolve(start, key_of("a"), both);
    cr_expect(found.source == stream_source::own);
    cr_expect(found.service == drafts);
    route elsewhere = both;
    elsewhere.targets = {{plans, 1}};
    const auto moved = fix.decides.resolve(start, key_of("a"), elsewhere);
    cr_expect(moved.source == stream_source::unknown);
    cr_expect_not(moved.release.has_value());
}

// Guards against a guess where several services may have begun the stream.
Test(direct_resume, of_several_services_none_is_guessed)
{
    instance fix;
    fix.show(start, {{"one", "v1"}});
    fix.watch(start, start + long_enough);
    route both = fix.config->routes.front();
    both.targets = {{plans, 1}, {drafts, 1}};
    const time_point now = start + long_enough;
    cr_expect(fix.resolve(now, "a").source == stream_source::sole);
    cr_expect(fix.decides.resolve(now, key_of("a"), both).source ==
              stream_source::unknown);
}

// Guards against a guess after a configuration has moved a route in the middle
// of streams.
Test(direct_resume, a_moved_route_makes_streams_be_told)
{
    instance fix;
    fix.show(start, {{"one", "v1"}});
    fix.watch(start, start + 2 * long_enough);
    const time_point now = start + 2 * long_enough;
    cr_assert(fix.resolve(now, "a").source == stream_source::sole);
    auto newer = std::make_shared<catalogue>(*fix.config);
    newer->version = 2;
    newer->routes.front().targets = {{plans, 1}};
    newer->index();
    fix.decides.install(now, newer);
    fix.decides.install(now, fix.config);
    cr_expect(fix.resolve(now, "a").source == stream_source::unknown);
    fix.decides.note_stream(now, key_of("b"), fix.place(now, std::nullopt), 1);
    cr_expect_eq(fix.report(now).streams.size(), 1U);
}

// Guards against refusals at an instance that has just started.
Test(direct_resume, a_started_instance_learns_from_a_copy)
{
    instance worked(instance::versions{{"one", "v1"}});
    worked.watch(start, start + long_enough);
    const time_point now = start + long_enough;
    instance started(instance::versions{{"one", "v1"}}, now);
    started.decides.set_endpoints_current(now, now);
    cr_expect(started.report(now).wants_streams);
    cr_expect(started.resolve(now, "a").source == stream_source::unknown);
    const auto copy = worked.decides.copy_streams(now, true);
    cr_assert(copy.has_value());
    started.decides.adopt_streams(now, *copy);
    cr_expect_not(started.report(now).wants_streams);
    cr_expect(started.resolve(now, "a").source == stream_source::sole);
}
