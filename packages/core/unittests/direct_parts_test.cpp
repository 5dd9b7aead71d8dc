// Unit tests of the components of direct routing: account shares, prefix cache,
// load ledger, endpoint health, catalogue, prompt homes, note relay, tick
// delay.
#include "sycamorelock/core/direct/catalogue.hpp"
#include "sycamorelock/core/direct/endpoint_health.hpp"
#include "sycamorelock/core/direct/note_relay.hpp"
#include "sycamorelock/core/direct/prompt_homes.hpp"
#include "sycamorelock/core/direct/router.hpp"
#include "sycamorelock/core/direct/tick_delay.hpp"

#include <criterion/criterion.h>

#include <cmath>

using namespace sycamorelock::core;
using namespace sycamorelock::core::direct;
using std::chrono::seconds;

namespace
{

constexpr time_point start{std::chrono::seconds(1000)};
const account_id north = account_id::of("north");
const account_id south = account_id::of("south");
const endpoint_id engine = endpoint_id::of("engine");

} // namespace

Test(direct_shares, max_min)
{
    cr_expect(std::isinf(max_min_share(100, {20, 30})));
    cr_expect_float_eq(max_min_share(100, {20, 90, 200}), 40, 1e-9);
    cr_expect_float_eq(max_min_share(90, {100, 100, 100}), 30, 1e-9);
}

Test(direct_shares, an_account_above_its_share_is_detected)
{
    account_shares shares;
    time_point at = start;
    for (int i = 0; i < 100; ++i)
    {
        at += std::chrono::milliseconds(20);
        shares.record_demand(at, north, 400, 10000);
        shares.record_sent(at, north, 400);
        shares.record_demand(at, south, 40, 10000);
        shares.record_sent(at, south, 40);
    }
    cr_expect_gt(shares.record_demand(at, north, 400, 10000).owed, 1.0);
    cr_expect_lt(shares.record_demand(at, south, 40, 10000).owed, 1.0);
}

Test(direct_shares, service_at_other_instances_counts)
{
    account_shares shares;
    shares.report(start, instance_id::of("a"),
                  {{north, 20000, 20000}, {south, 20000, 1000}});
    cr_expect_gt(shares.record_demand(start, north, 10, 10000).fair, 1.0);
    const time_point later = start + std::chrono::milliseconds(200);
    cr_expect_lt(shares.record_demand(later, south, 10, 10000).owed, 1.0);
    // After ten seconds the report has decayed to almost nothing.
    cr_expect_lt(
        shares.record_demand(start + seconds(10), north, 10, 10000).owed, 1.0);
}

// An aggregator that has just started reports its own failure domain only. The
// previous aggregator's totals for the other domains must decay instead of
// disappearing at once.
Test(direct_shares, a_less_complete_report_does_not_free_an_account)
{
    const time_point now{std::chrono::seconds(10)};
    const account_id flood = account_id::of("flood");
    const account_id other = account_id::of("other");
    const instance_id aggregator = instance_id::of("rest");
    account_shares shares;
    shares.report(now, aggregator,
                  {{flood, 90000, 40000}, {other, 20000, 5000}});
    cr_expect_gt(shares.record_demand(now, flood, 100, 50000).owed, 1.0);
    const time_point soon = now + std::chrono::milliseconds(150);
    shares.report(soon, aggregator, {{flood, 9000, 2000}});
    cr_expect_gt(shares.record_demand(soon, flood, 100, 50000).owed, 1.0);
    // Once the averages have decayed, the new report applies alone.
    const time_point later = now + std::chrono::seconds(12);
    shares.report(later, aggregator, {{flood, 9000, 2000}});
    cr_expect_lt(shares.record_demand(later, flood, 100, 50000).owed, 1.0);
}

Test(direct_shares, reports_of_a_silent_instance_decay)
{
    const time_point now{std::chrono::seconds(10)};
    const account_id flood = account_id::of("flood");
    account_shares shares;
    shares.report(now, instance_id::of("a"), {{flood, 90000, 60000}});
    const double before = shares.record_demand(now, flood, 100, 50000).owed;
    const time_point later = now + std::chrono::seconds(3);
    const double after = shares.record_demand(later, flood, 100, 50000).owed;
    cr_expect_gt(before, 1.0);
    cr_expect_lt(after, before / 2);
}

Test(direct_cache, a_part_counts_only_after_all_before_it)
{
    prefix_cache cache;
    const std::uint64_t a = extend_key(0, "a");
    const std::uint64_t ab = extend_key(a, "b");
    const std::uint64_t b = extend_key(0, "b");
    cr_expect_neq(ab, b);
    const std::vector<prompt_part> read{{a, 100}, {ab, 50}};
    cache.touch(engine, read, 1000);
    cr_expect_float_eq(cache.cached(engine, read), 150, 1e-9);
    const std::vector<prompt_part> other{{b, 50}, {ab, 50}};
    cr_expect_float_eq(cache.cached(engine, other), 0, 1e-9);
}

Test(direct_cache, the_least_recently_used_parts_are_evicted)
{
    prefix_cache cache;
    const std::vector<prompt_part> one{{1, 400}};
    const std::vector<prompt_part> two{{2, 400}};
    const std::vector<prompt_part> three{{3, 400}};
    cache.touch(engine, one, 1000);
    cache.touch(engine, two, 1000);
    cache.touch(engine, one, 1000);
    cache.touch(engine, three, 1000);
    cr_expect_float_eq(cache.cached(engine, one), 400, 1e-9);
    cr_expect_float_eq(cache.cached(engine, two), 0, 1e-9);
    cr_expect_float_eq(cache.cached(engine, three), 400, 1e-9);
}

// Guards against an estimate whose contents are all evicted for a prompt that
// is larger than any engine's memory. The prompt size comes from the caller.
Test(direct_cache, a_prompt_larger_than_the_memory_changes_nothing)
{
    prefix_cache cache;
    const std::vector<prompt_part> kept{{1, 400}};
    const std::vector<prompt_part> oversized{{2, 900}, {3, 1e9}};
    cache.touch(engine, kept, 1000);
    cache.touch(engine, oversized, 1000);
    cr_expect_float_eq(cache.cached(engine, kept), 400, 1e-9);
    cr_expect_float_eq(cache.cached(engine, oversized), 0, 1e-9);
}

Test(direct_ledger, own_and_reported_work_adds_up_and_ends)
{
    load_ledger ledger;
    load_ledger::request_load request_load{engine, 30, 1000, false};
    ledger.open(request_load);
    endpoint_work theirs;
    theirs.endpoint = engine;
    theirs.unread_ms = 20;
    theirs.waiting = 2;
    ledger.report(start, instance_id::of("a"), {theirs});
    ledger.refresh(start);
    cr_expect_float_eq(ledger.total(engine).unread_ms, 50, 1e-9);
    cr_expect_eq(ledger.total(engine).waiting, 3U);
    ledger.begin(request_load);
    cr_expect_float_eq(ledger.total(engine).unread_ms, 20, 1e-9);
    cr_expect_eq(ledger.total(engine).running, 1U);
    ledger.close(request_load);
    ledger.refresh(start + seconds(2));
    cr_expect(ledger.total(engine).idle());
}

// Guards against refusals due to a long prompt whose prefill is almost complete
// but which counts in full until its first token.
Test(direct_ledger, a_prompt_in_prefill_counts_with_its_remaining_time)
{
    load_ledger ledger;
    load_ledger::request_load first{engine, 500, 25000, false};
    first.prefill_starts_at = start;
    load_ledger::request_load second{engine, 100, 5000, false};
    second.prefill_starts_at = start + std::chrono::milliseconds(1000);
    second.slowdown = 2;
    ledger.open(first);
    ledger.open(second);
    ledger.refresh(start);
    cr_expect_float_eq(ledger.total(engine).unread_ms, 600, 1e-9);
    ledger.advance(start + std::chrono::milliseconds(300));
    cr_expect_float_eq(ledger.total(engine).unread_ms, 300, 1e-9);
    // At least a fifth counts until the first token, however late it is.
    ledger.advance(start + std::chrono::milliseconds(1100));
    cr_expect_float_eq(ledger.total(engine).unread_ms, 150, 1e-9);
    ledger.begin(first);
    cr_expect_float_eq(ledger.total(engine).unread_ms, 50, 1e-9);
    cr_expect_eq(ledger.own().at(0).waiting, 1U);
    ledger.close(second);
    ledger.close(first);
    cr_expect(ledger.total(engine).idle());
}

Test(direct_health, a_slowdown_is_learned_and_decays)
{
    endpoint_health health;
    for (int i = 0; i < 8; ++i)
        health.record_first_token(start, 1000, 200);
    cr_expect_gt(health.slowdown(start), 2.0);
    cr_expect_lt(health.slowdown(start + seconds(60)), 1.05);
}

Test(direct_health, an_unreachable_endpoint_is_ejected_and_probed)
{
    endpoint_health health;
    health.unreachable(start);
    cr_expect(health.is_ejected(start + std::chrono::milliseconds(400)));
    cr_expect_not(health.is_ejected(start + std::chrono::milliseconds(600)));
    for (int i = 0; i < 10; ++i)
        health.unreachable(start);
    cr_expect(health.is_ejected(start + seconds(3)));
    cr_expect_not(health.is_ejected(start + seconds(5)));
}

Test(direct_catalogue, the_longest_prefix_wins)
{
    catalogue config;
    for (const char* prefix : {"/a/", "/a/b/", "/"})
    {
        route added;
        added.name = prefix;
        added.host = "h";
        added.prefix = prefix;
        config.routes.push_back(added);
    }
    config.index();
    cr_expect_str_eq(config.find_route("h", "/a/b/c")->name.c_str(), "/a/b/");
    cr_expect_str_eq(config.find_route("h", "/a/c")->name.c_str(), "/a/");
    cr_expect_str_eq(config.find_route("h", "/x")->name.c_str(), "/");
    cr_expect_null(config.find_route("other", "/a/"));
}

Test(direct_home, the_shared_prefix_excludes_the_last_part)
{
    const std::vector<prompt_part> parts{{1, 100}, {2, 50}, {3, 7}};
    cr_expect_eq(shared_key(parts), 2U);
    cr_expect_float_eq(shared_tokens(parts), 150, 1e-9);
    const std::vector<prompt_part> one{{9, 100}};
    cr_expect_eq(shared_key(one), 9U);
    cr_expect_float_eq(shared_tokens(one), 0, 1e-9);
    cr_expect_eq(shared_key({}), 0U);
}

Test(direct_home, keys_spread_over_engines)
{
    std::map<std::uint32_t, int> homes;
    for (std::uint64_t key = 1; key <= 2000; ++key)
    {
        endpoint_id home;
        double best = -1;
        for (int i = 0; i < 10; ++i)
        {
            const auto id = endpoint_id::of("engine-" + std::to_string(i));
            const double rank = rank_of(key, id);
            cr_assert(rank >= 0 && rank < 1);
            if (rank <= best)
                continue;
            best = rank;
            home = id;
        }
        ++homes[home.value()];
    }
    cr_assert_eq(homes.size(), 10U);
    for (const auto& [id, count] : homes)
        cr_expect(count > 120 && count < 300, "%d of 2000", count);
}

Test(direct_home, the_highest_ranked_are_the_same_in_any_order)
{
    const auto chosen = [](std::vector<endpoint_id> engines)
    {
        keep_highest_ranked(7, engines, 3, [](endpoint_id id) { return id; });
        return engines;
    };
    std::vector<endpoint_id> engines;
    for (int i = 0; i < 20; ++i)
        engines.push_back(endpoint_id::of("engine-" + std::to_string(i)));
    const auto first = chosen(engines);
    std::reverse(engines.begin(), engines.end());
    cr_expect(first == chosen(engines));
    cr_expect_eq(first.size(), 3U);
    cr_expect_geq(rank_of(7, first[0]), rank_of(7, first[1]));
    cr_expect_eq(chosen({engines[0]}).size(), 1U);
    cr_expect(chosen({}).empty());
}

Test(direct_home, a_prefix_with_high_load_gets_more_engines)
{
    prompt_homes homes;
    time_point now{std::chrono::seconds(1000)};
    cr_expect_eq(homes.count(now, 1), prompt_homes::min_homes);
    for (int i = 0; i < 200; ++i)
    {
        now += std::chrono::milliseconds(10);
        homes.note(now, 1, 50);
        homes.note(now, 2, 0.1);
    }
    // Five engine seconds per second, minus what the average has not caught up
    // with yet.
    cr_expect_gt(homes.count(now, 1), prompt_homes::min_homes + 10);
    cr_expect_eq(homes.count(now, 2), prompt_homes::min_homes);
    now += std::chrono::seconds(20);
    homes.sweep(now);
    cr_expect_eq(homes.count(now, 1), prompt_homes::min_homes);
}

Test(direct_relay, notes_are_forwarded_once_per_direction)
{
    const auto note = [](const char* engine) {
        return cache_note{endpoint_id::of(engine), {{1, 10}}};
    };
    note_relay relay;
    relay.add_own({note("own")});
    relay.add_member({note("member")});
    relay.add_domain({note("there")});
    cr_expect_eq(relay.take_own().size(), 1U);
    cr_expect_eq(relay.take_domain().size(), 2U);
    cr_expect_eq(relay.take_all().size(), 3U);
    cr_expect(relay.take_own().empty());
    cr_expect(relay.take_domain().empty());
    cr_expect(relay.take_all().empty());
}

Test(direct_relay, pending_notes_are_bounded)
{
    note_relay relay;
    const cache_note note{endpoint_id::of("e"), {{1, 10}}};
    for (int i = 0; i < 10; ++i)
        relay.add_domain(std::vector<cache_note>(1000, note));
    cr_expect_eq(relay.take_all().size(), note_relay::max_notes);
}

Test(direct_delay, a_late_or_blocked_event_loop_is_detected)
{
    tick_delay delay(milliseconds(20));
    cr_expect_not(delay.is_late(start));
    time_point now = start;
    const auto ticks = [&](int count, int apart_ms)
    {
        bool changed = false;
        for (int i = 0; i < count; ++i)
        {
            now += milliseconds(apart_ms);
            changed = delay.tick(now) || changed;
        }
        return changed;
    };
    cr_expect_not(ticks(50, 21));
    // A single late tick is a pause, not an overload.
    cr_expect_not(ticks(1, 900));
    cr_expect(ticks(20, 500));
    cr_expect(delay.is_late(now));
    cr_expect(ticks(50, 20));
    cr_expect_not(delay.is_late(now));
    cr_expect_not(delay.is_late(now + milliseconds(1400)));
    cr_expect(delay.is_late(now + milliseconds(1600)));
}
