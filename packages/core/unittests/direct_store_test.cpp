// Tests of what an instance knows from the platform's state store: endpoints
// that register, drain and leave, unreadable entries, and how current the
// knowledge of different instances is.
#include "sycamorelock/core/direct/aggregator_coverage.hpp"
#include "sycamorelock/core/direct/endpoint_registry.hpp"
#include "sycamorelock/core/direct/store_knowledge.hpp"
#include "sycamorelock/core/direct/store_uptime.hpp"
#include "sycamorelock/core/direct/unreadable_entries.hpp"

#include <criterion/criterion.h>

using namespace sycamorelock::core;
using namespace sycamorelock::core::direct;
using std::chrono::seconds;

namespace
{

constexpr time_point start{std::chrono::seconds(1000)};

endpoint_record record(const std::string& boot, bool draining = false)
{
    endpoint_record result;
    result.boot = boot;
    result.address = "127.0.0.1:1";
    result.draining = draining;
    return result;
}

} // namespace

Test(direct_registry, a_removed_entry_is_dropped_at_once)
{
    endpoint_registry registry;
    registry.put(record("a"));
    registry.remove("a");
    cr_expect_not(registry.expire(start).empty());
    cr_expect(registry.all().empty());
}

// Guards against dropping the entries that lapsed during an outage of the
// store, which would leave no endpoint to send requests to for two seconds.
Test(direct_registry,
     entries_missing_after_an_outage_are_kept_for_the_grace_period)
{
    endpoint_registry registry;
    registry.put(record("a"));
    registry.put(record("b"));
    registry.platform_returned(start);
    registry.replace({record("b")});
    cr_expect(registry.expire(start + seconds(2)).empty());
    registry.put(record("a"));
    cr_expect(registry.expire(start + seconds(4)).empty());
    cr_expect_eq(registry.all().size(), 2U);
    registry.platform_returned(start + seconds(10));
    registry.replace({record("b")});
    cr_expect_not(registry.expire(start + seconds(13)).empty());
    cr_expect_eq(registry.all().size(), 1U);
}

// Guards against requests to an endpoint that has left. An instance that alone
// had lost the store kept the endpoint's entry for 2.5 s more and sent requests
// beyond the allowed time.
Test(direct_registry, a_few_entries_missing_after_an_outage_are_dropped_at_once)
{
    endpoint_registry registry;
    for (int i = 0; i < 8; ++i)
        registry.put(record("e" + std::to_string(i)));
    registry.platform_returned(start);
    registry.remove("e0");
    cr_expect_not(registry.expire(start).empty());
    registry.remove("e1");
    cr_expect_not(registry.expire(start).empty());
    // Entries that lapse one after another add up: three of eight are not few.
    registry.remove("e2");
    cr_expect(registry.expire(start + seconds(2)).empty());
    cr_expect_eq(registry.all().size(), 6U);
    cr_expect_not(registry.expire(start + seconds(3)).empty());
    cr_expect_eq(registry.all().size(), 5U);
}

Test(direct_registry, many_entries_missing_after_an_outage_are_kept)
{
    endpoint_registry registry;
    std::vector<endpoint_record> remaining;
    for (int i = 0; i < 8; ++i)
    {
        registry.put(record("e" + std::to_string(i)));
        if (i < 3)
            remaining.push_back(record("e" + std::to_string(i)));
    }
    registry.platform_returned(start);
    registry.replace(remaining);
    cr_expect(registry.expire(start + seconds(2)).empty());
    cr_expect_eq(registry.all().size(), 8U);
}

Test(direct_registry, an_older_entry_does_not_undo_draining)
{
    endpoint_registry registry;
    endpoint_record draining = record("a", true);
    draining.revision = 7;
    cr_expect(registry.put(draining));
    endpoint_record older = record("a");
    older.revision = 5;
    cr_expect_not(registry.put(older));
    cr_expect(registry.all().at("a").draining);
}

Test(direct_registry, a_member_adopts_the_endpoints_of_its_aggregator)
{
    endpoint_registry reader;
    reader.put(record("a"));
    reader.put(record("b"));
    endpoint_registry member;
    member.put(record("b"));
    member.put(record("c"));
    cr_expect_neq(reader.digest(), member.digest());
    const auto changes = member.adopt(1, {record("a"), record("b")});
    cr_assert_eq(changes.changed.size(), 1U);
    cr_expect_str_eq(changes.changed[0].boot.c_str(), "a");
    cr_assert_eq(changes.gone.size(), 1U);
    cr_expect_str_eq(changes.gone[0].c_str(), "c");
    cr_expect_eq(reader.digest(), member.digest());
}

// A member that has read the store itself for a short time may have newer
// entries than its aggregator.
Test(direct_registry, an_older_entry_does_not_undo_a_newer_one)
{
    endpoint_registry member;
    endpoint_record leaving = record("a");
    leaving.draining = true;
    leaving.revision = 5;
    member.put(leaving);
    endpoint_record older = record("a");
    older.revision = 4;
    cr_expect(member.adopt(1, {older}).changed.empty());
    cr_expect(member.all().at("a").draining);
}

// Guards against restoring an endpoint from a listing that was made before it
// left: a removed entry has no revision to compare with.
Test(direct_registry, an_older_listing_does_not_restore_a_removed_endpoint)
{
    endpoint_registry member;
    member.adopt(10, {record("a"), record("b")});
    member.adopt(12, {record("b")});
    cr_expect(member.adopt(11, {record("a"), record("b")}).changed.empty());
    cr_expect_not(member.all().contains("a"));
    cr_expect_eq(member.adopt(12, {record("b"), record("c")}).changed.size(),
                 1U);
}

Test(direct_cover,
     an_unreachable_aggregator_or_a_stale_answer_gives_no_coverage)
{
    aggregator_coverage cover;
    cr_expect_not(cover.covered(start));
    store_view view;
    view.revision = 7;
    view.age = milliseconds(300);
    cover.process_report(start, view);
    cr_expect(cover.covered(start + milliseconds(600)));
    cr_expect_not(cover.covered(start + milliseconds(800)));
    view.age = milliseconds(1200);
    cover.process_report(start + milliseconds(900), view);
    cr_expect_not(cover.covered(start + milliseconds(900)));
    // An aggregator that has not read the store yet.
    cover.process_report(start + milliseconds(1000), {});
    cr_expect_not(cover.covered(start + milliseconds(1000)));
}

Test(direct_knowledge,
     only_instances_that_missed_an_earlier_change_are_sent_endpoints)
{
    store_knowledge here;
    here.set_known_state(start, 10, 1);
    here.set_known_state(start + seconds(1), 20, 2);
    const auto reported = [](std::uint64_t revision, std::uint64_t digest)
    {
        store_view view;
        view.revision = revision;
        view.digest = digest;
        return view;
    };
    const auto later = [](int ms) { return start + milliseconds(1000 + ms); };
    // An instance gets time to read the change itself, but should have read
    // earlier ones already.
    here.set_known_state(later(100), 20, 2);
    cr_expect_not(here.needs_endpoints(later(100), "slow", reported(10, 1)));
    cr_expect(here.needs_endpoints(later(100), "rejected by the store",
                                   reported(9, 0)));
    here.set_known_state(later(800), 20, 2);
    cr_expect(here.needs_endpoints(later(800), "slow", reported(10, 1)));
    cr_expect_not(here.needs_endpoints(later(900), "slow", reported(10, 1)));
    cr_expect(here.needs_endpoints(later(1200), "slow", reported(10, 1)));
    // No copy is sent for the same endpoints or the same revision.
    cr_expect_not(
        here.needs_endpoints(later(900), "same endpoints", reported(10, 2)));
    cr_expect_not(
        here.needs_endpoints(later(900), "same revision", reported(20, 3)));
}

Test(direct_knowledge,
     an_equal_listing_of_another_instance_confirms_the_own_one)
{
    store_knowledge here;
    here.set_known_state(start, 10, 1);
    store_view reported;
    reported.revision = 12;
    reported.digest = 2;
    reported.age = milliseconds(100);
    const time_point at = start + seconds(5);
    here.confirm(at, reported);
    cr_expect(here.current_at(start) == start);
    reported.digest = 1;
    here.confirm(at, reported);
    cr_expect(here.current_at(start) == at - milliseconds(100));
    cr_expect(here.current_at(at) == at);
}

Test(direct_registry, a_restart_under_the_same_name_is_another_endpoint)
{
    endpoint_record record;
    record.boot = "e";
    record.revision = 1;
    record.started_ms = 1000;
    endpoint_registry known;
    cr_expect(known.put(record));
    const endpoint_id before = known.all().at("e").id();
    const std::uint64_t digest = known.digest();
    record.started_ms = 2000;
    record.revision = 2;
    cr_expect(known.put(record));
    cr_expect(known.all().at("e").id() != before);
    cr_expect_neq(known.digest(), digest);
    record.started_ms = 1000;
    record.revision = 1;
    cr_expect_not(known.put(record));
    cr_expect_eq(known.all().at("e").started_ms, 2000U);
}

Test(direct_registry,
     an_entry_that_became_unreadable_is_dropped_within_the_grace_period)
{
    endpoint_record record;
    record.boot = "e";
    endpoint_registry known;
    known.put(record);
    known.platform_returned(time_point(std::chrono::seconds(5)));
    cr_expect(known.drop("e"));
    cr_expect_not(known.drop("e"));
    cr_expect(known.all().empty());
}

Test(direct_unreadable, an_entry_is_logged_once_until_it_is_removed)
{
    unreadable_entries known;
    cr_expect(known.note(start, {"e", "no address"}));
    cr_expect_not(known.note(start, {"e", "no address"}));
    cr_expect(known.note(start, {"e", "no slots"}));
    cr_expect_eq(known.count(), 1U);
    cr_expect_eq(known.seen(), 2U);
    known.forget("e");
    cr_expect(known.note(start, {"e", "no slots"}));
    known.note(start, {"f", "no slots"});
    known.keep_only({{"f", "no slots"}});
    cr_expect_eq(known.count(), 1U);
    for (std::size_t i = 0; i < 2 * unreadable_entries::max_entries; ++i)
        known.note(start, {std::to_string(i), "bad"});
    cr_expect_eq(known.count(), unreadable_entries::max_entries);
}

// Guards against a log that another writer fills: many entries, or one whose
// fault changes with each heartbeat, or whose value shows up in the reason.
Test(direct_unreadable, lines_are_bounded_in_number_and_all_are_counted)
{
    unreadable_entries known;
    unsigned lines = 0;
    for (int i = 0; i < 500; ++i)
    {
        const time_point now = start + milliseconds(100 * i);
        lines += known.note(now, {"flaps", i % 2 == 0 ? "a" : "b"}) ? 1 : 0;
        lines += known.note(now, {std::to_string(i), "c"}) ? 1 : 0;
    }
    cr_expect_eq(lines, unreadable_entries::max_lines);
    cr_expect_eq(known.seen(), 1000U);
    cr_expect(known.note(start + seconds(60), {"later", "a"}));
    // Reasons are kept and compared by their beginning.
    const std::string longest(unreadable_entries::max_reason_bytes, 'x');
    cr_expect(known.note(start + seconds(60), {"long", longest + "1"}));
    cr_expect_not(known.note(start + seconds(60), {"long", longest + "2"}));
}

// Guards against keeping endpoints that have left. An instance that alone had
// lost the store treated its reconnection as the end of an outage.
Test(direct_registry,
     the_grace_period_ends_if_others_could_reach_the_store_throughout)
{
    endpoint_registry registry;
    for (const char* name : {"a", "b", "c"})
        registry.put(record(name));
    registry.platform_returned(start);
    registry.replace({record("b"), record("c")});
    cr_assert(registry.expire(start).empty());
    cr_expect(registry.is_kept("a"));
    registry.platform_up_since(start - seconds(30));
    cr_expect_eq(registry.expire(start).size(), 1U);
    cr_expect_not(registry.is_kept("a"));
    registry.remove("b");
    cr_expect_eq(registry.expire(start).size(), 1U);
}

namespace
{

store_view view_with(milliseconds age, milliseconds uptime)
{
    store_view reported;
    reported.revision = 7;
    reported.age = age;
    reported.uptime = uptime;
    return reported;
}

} // namespace

Test(direct_uptime, an_outage_is_a_time_without_answers_to_any_instance)
{
    store_uptime here;
    cr_expect_not(here.answered(start),
                  "no entry can have lapsed before the first answer");
    // The longest time between two answers to a reader.
    cr_expect_not(here.answered(start + milliseconds(2500)));
    cr_expect(here.since() == start);
    const time_point back = start + seconds(10);
    cr_expect(here.answered(back));
    cr_expect(here.since() == back);
    cr_expect_eq(here.for_report(back + seconds(3)).count(), 3000);
}

Test(direct_uptime, answers_to_others_show_that_there_was_no_outage)
{
    store_uptime informed_during;
    informed_during.answered(start);
    for (int s = 1; s <= 8; ++s)
        cr_expect_not(informed_during.merge_report(
            start + seconds(s), view_with(milliseconds(500), seconds(20))));
    cr_expect_not(informed_during.answered(start + seconds(9)));

    store_uptime informed_after;
    informed_after.answered(start);
    cr_expect(informed_after.answered(start + seconds(8)));
    cr_expect_not(informed_after.merge_report(
        start + milliseconds(8100),
        view_with(milliseconds(100), milliseconds(60'000))));
    cr_expect(informed_after.since() <= start);
}

// All instances lose the store, and one of them reaches it again first.
Test(direct_uptime, the_first_answer_to_any_instance_ends_an_outage)
{
    store_uptime here;
    here.answered(start);
    const time_point now = start + seconds(8);
    // An answer from before the outage doesn't show its end.
    cr_expect_not(
        here.merge_report(now, view_with(milliseconds(8000), seconds(20))));
    cr_expect(
        here.merge_report(now, view_with(milliseconds(50), milliseconds(300))));
    cr_expect(here.since() == now - milliseconds(300));
    cr_expect_not(here.answered(now + milliseconds(400)));
    cr_expect(here.since() == now - milliseconds(300));
    // The sender has not read the store yet.
    cr_expect_not(here.merge_report(now + seconds(5), {}));
    store_uptime fresh;
    cr_expect_eq(fresh.for_report(now).count(), 0);
    cr_expect_not(
        fresh.merge_report(now, view_with(milliseconds(50), seconds(5))));
    cr_expect(fresh.since() == now - seconds(5));
}
