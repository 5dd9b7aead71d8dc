// Tests of an endpoint that starts again under its name: in whatever order the
// news of the starts arrives, nothing of the earlier start is believed.
#include "direct_fixture.hpp"

#include "sycamorelock/core/direct/endpoint_registry.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <numeric>

using namespace sycamorelock::core;
using namespace sycamorelock::core::direct;
using std::chrono::seconds;

namespace
{

/// A start of the engine "one"; a start time of 0 stands for none.
endpoint_record start_of(std::uint64_t started_ms, std::uint64_t revision)
{
    endpoint_record record = engine_record("one");
    record.started_ms = started_ms;
    record.revision = revision;
    return record;
}

/// Runs a check with the indexes below `count` in every order.
void in_all_orders(
    std::size_t count,
    const std::function<void(const std::vector<std::size_t>&)>& check)
{
    std::vector<std::size_t> order(count);
    std::iota(order.begin(), order.end(), std::size_t{0});
    do
        check(order);
    while (std::next_permutation(order.begin(), order.end()));
}

std::string text_of(const std::vector<std::size_t>& order)
{
    std::string text;
    for (const std::size_t each : order)
        text += std::to_string(each) + ' ';
    return text;
}

/// Start times of the earlier and the later start. Clocks of machines may go
/// back, and an endpoint may report no start time.
constexpr std::pair<std::uint64_t, std::uint64_t> start_times[] = {
    {1000, 2000}, {2000, 1000}, {1000, 1000}, {0, 1000}, {1000, 0}, {0, 0}};

} // namespace

// Guards against an endpoint that is lost, or an earlier start that is used,
// when reports of other instances overtake answers of a slow store. The last
// change in the store holds.
Test(restarted_endpoint, the_last_change_of_its_entry_holds_in_every_order)
{
    for (const auto& [before, after] : start_times)
    {
        // What an instance hears: from the store the entry of the earlier
        // start, written twice, its removal, and the entry of the later start;
        // from another instance a listing with the later start.
        const std::vector<std::function<void(endpoint_registry&)>> news = {
            [&, b = before](endpoint_registry& known)
            { known.put(start_of(b, 1)); },
            [&, b = before](endpoint_registry& known)
            { known.put(start_of(b, 2)); },
            [](endpoint_registry& known)
            {
                known.remove("one", 3);
                known.expire(start);
            },
            [&, a = after](endpoint_registry& known)
            { known.put(start_of(a, 4)); },
            [&, a = after](endpoint_registry& known)
            { known.adopt(4, {start_of(a, 4)}); }};
        in_all_orders(
            news.size(),
            [&, a = after](const std::vector<std::size_t>& order)
            {
                endpoint_registry known;
                for (const std::size_t each : order)
                    news[each](known);
                cr_assert(known.all().contains("one"), "%s",
                          text_of(order).c_str());
                const endpoint_record& held = known.all().at("one");
                cr_expect_eq(held.revision, 4U, "%s", text_of(order).c_str());
                cr_expect_eq(held.started_ms, a, "%s", text_of(order).c_str());
                cr_expect_not(known.is_kept("one"), "%s",
                              text_of(order).c_str());
            });
    }
}

// Guards against requests to an endpoint that has left, whose entry comes back
// with an answer of the store that was slower than the report of its removal.
// Such an entry was never told to be gone again.
Test(restarted_endpoint, a_removed_entry_stays_removed_in_every_order)
{
    for (const bool is_adopted : {false, true})
    {
        const std::vector<std::function<void(endpoint_registry&)>> news = {
            [](endpoint_registry& known) { known.put(start_of(1000, 1)); },
            [](endpoint_registry& known) { known.put(start_of(2000, 2)); },
            [](endpoint_registry& known) { known.drop("one", 2); },
            [is_adopted](endpoint_registry& known)
            {
                if (is_adopted)
                    known.adopt(3, {});
                else
                    known.remove("one", 3);
                known.expire(start);
            }};
        in_all_orders(news.size(),
                      [&](const std::vector<std::size_t>& order)
                      {
                          endpoint_registry known;
                          known.put(start_of(1000, 1));
                          for (const std::size_t each : order)
                              news[each](known);
                          cr_expect(known.all().empty(), "%s",
                                    text_of(order).c_str());
                      });
    }
}

// Within the grace period after an outage an entry that is missing is still in
// use, and older news of it must not keep it for longer.
Test(restarted_endpoint, older_news_does_not_revive_an_entry_that_is_missing)
{
    for (const std::uint64_t revision : {1U, 2U})
    {
        endpoint_registry known;
        known.put(start_of(1000, 2));
        known.platform_returned(start);
        known.remove("one", 3);
        cr_assert(known.expire(start).empty());
        cr_expect_not(known.put(start_of(1000, revision)));
        cr_expect(known.is_kept("one"));
        cr_expect_eq(known.expire(start + seconds(3)).size(), 1U);
    }
}

// An endpoint that starts often has one entry; the memory for removals must not
// grow with the endpoints that have ever left.
Test(restarted_endpoint, only_the_newest_removals_are_remembered)
{
    endpoint_registry known;
    for (std::uint64_t i = 1; i <= 2 * endpoint_registry::max_removals; ++i)
        known.remove("e" + std::to_string(i), i);
    const auto record_of = [](std::uint64_t i)
    {
        endpoint_record record = start_of(1000, i);
        record.boot = "e" + std::to_string(i);
        return record;
    };
    cr_expect_not(known.put(record_of(2 * endpoint_registry::max_removals)));
    cr_expect_not(known.put(record_of(endpoint_registry::max_removals + 1)));
    cr_expect(known.put(record_of(1)));
}

// The store's own listing holds whatever was told before, also if the store
// begins again with lower revisions.
Test(restarted_endpoint, a_listing_of_the_store_ends_what_was_told_before)
{
    endpoint_registry known;
    known.put(start_of(1000, 50));
    known.remove("one", 60);
    known.expire(start);
    known.replace({start_of(2000, 5)});
    cr_assert(known.all().contains("one"));
    cr_expect_eq(known.all().at("one").started_ms, 2000U);
    known.replace({});
    known.expire(start);
    cr_expect(known.all().empty());
}

namespace
{

endpoint_load slowed_load()
{
    endpoint_load load;
    load.slowdown = 3;
    return load;
}

} // namespace

// Guards against load, slowdown, cached prompts, notices and failures of an
// earlier start that are held against the next one, or believed of it.
Test(restarted_endpoint, nothing_of_the_earlier_start_is_believed_in_any_order)
{
    const std::vector<prompt_part> prompt = {{1, 1000}, {2, 100}};
    const endpoint_record old = start_of(1000, 1);
    for (const std::uint64_t after : {2000U, 500U, 0U})
    {
        const std::vector<std::function<void(two_engines&)>> news = {
            [&](two_engines& fix) { fix.list({"one"}, after); },
            [&](two_engines& fix)
            { fix.tested_router.note_load(start, old, slowed_load()); },
            [&](two_engines& fix)
            {
                exchange_report report;
                report.sender = "peer";
                report.notes = {{old.id(), prompt, milliseconds(0)}};
                report.slowdowns = {{old.id(), milliseconds(10), 3}};
                endpoint_work work;
                work.endpoint = old.id();
                work.unread_ms = 5000;
                work.tokens = 500000;
                work.waiting = 10;
                work.running = 64;
                report.work = {work};
                fix.tested_router.on_report(start, report);
            },
            [&](two_engines& fix)
            {
                const cache_note copy{old.id(), prompt, milliseconds(0)};
                fix.tested_router.adopt_caches({&copy, 1});
            },
            [&](two_engines& fix)
            {
                fix.tested_router.note_leaving(start, old);
                fix.tested_router.note_backoff(start, old, seconds(30));
            },
            // An old answer: the request was sent to the earlier start.
            [&](two_engines& fix)
            {
                request_profile request = fix.make_profile(prompt);
                placement_decision placed;
                placed.endpoint = old;
                placed.request_load.endpoint = old.id();
                fix.tested_router.sent(start, request, placed);
                fix.tested_router.first_token(start + seconds(2), request,
                                              placed, start);
                fix.tested_router.finished(start + seconds(2), placed,
                                           attempt_outcome::unreachable);
            }};
        in_all_orders(
            news.size(),
            [&](const std::vector<std::size_t>& order)
            {
                two_engines fix(10000, 0);
                fix.list({"one"}, 1000);
                for (const std::size_t each : order)
                    news[each](fix);
                const std::string text = text_of(order);
                const time_point now = start + seconds(3);
                cr_expect_not(fix.tested_router.reports_slowdown(drafts), "%s",
                              text.c_str());
                cr_expect(fix.tested_router.copy_caches(now).empty(), "%s",
                          text.c_str());
                request_profile request = fix.make_profile(prompt, now);
                const auto decision =
                    fix.tested_router.decide(now, request, drafts, {}, false);
                const auto* placed = std::get_if<placement_decision>(&decision);
                cr_assert(placed != nullptr, "%s", text.c_str());
                cr_expect_eq(placed->endpoint.started_ms, after);
                cr_expect_float_eq(placed->cached_tokens, 0, 1e-9, "%s",
                                   text.c_str());
                cr_expect_float_eq(placed->wait_ms, 0, 1e-9, "%s",
                                   text.c_str());
                // As an engine of which nothing was ever heard.
                two_engines fresh(10000, 0);
                fresh.list({"one"}, after);
                request_profile same = fresh.make_profile(prompt, now);
                const auto expected = std::get<placement_decision>(
                    fresh.tested_router.decide(now, same, drafts, {}, false));
                cr_expect_float_eq(placed->slowdown, expected.slowdown, 1e-9,
                                   "%s", text.c_str());
            });
    }
}
