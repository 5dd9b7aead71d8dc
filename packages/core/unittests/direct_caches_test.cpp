// Copies of the KV cache estimate that a starting instance receives.
#include "direct_fixture.hpp"

#include "sycamorelock/core/direct/cache_copies.hpp"

#include <criterion/criterion.h>

#include <array>
#include <vector>

using namespace sycamorelock::core;
using namespace sycamorelock::core::direct;

namespace
{

const endpoint_id engine = endpoint_id::of("one");
constexpr double capacity = 10000;

/// An instance that has routed requests for a while, and one that has just
/// started.
struct fixture
{
    two_engines running{100000, 0};
    two_engines started;

    explicit fixture(const mechanism_set& used = {}) : started(100000, 0, used)
    {
    }

    /// Routes a request with the shared prefix of 5,000 tokens and a last
    /// part `own`. Returns its placement.
    static placement_decision route_request(two_engines& instance,
                                            std::uint64_t own, time_point now)
    {
        request_profile profile =
            instance.make_profile({{1, 5000}, {own, 300}}, now);
        auto placed = std::get<placement_decision>(
            instance.tested_router.decide(now, profile, drafts, {}, true));
        instance.tested_router.sent(now, profile, placed);
        instance.tested_router.first_token(now, profile, placed, now);
        return placed;
    }
};

constexpr std::chrono::seconds later{2};

} // namespace

Test(direct_caches, only_parts_of_several_requests_are_shared)
{
    prefix_cache cache;
    cache.touch(engine, std::vector<prompt_part>{{1, 500}, {2, 30}}, capacity);
    cache.touch(engine, std::vector<prompt_part>{{1, 500}, {3, 30}}, capacity);
    cache.touch(engine, std::vector<prompt_part>{{4, 700}, {5, 30}}, capacity);
    cache.touch(engine, std::vector<prompt_part>{{4, 700}, {6, 30}}, capacity);
    const auto shared_parts = cache.shared(start, engine, 10);
    cr_assert_eq(shared_parts.size(), 2U);
    cr_expect_eq(shared_parts.at(0).key, 4U);
    cr_expect_float_eq(shared_parts.at(0).tokens, 700, 1e-9);
    cr_expect_eq(shared_parts.at(1).key, 1U);
    cr_expect_eq(cache.shared(start, engine, 1).size(), 1U);
    cr_expect(cache.shared(start, endpoint_id::of("two"), 10).empty());
}

Test(direct_caches, parts_in_prefill_are_not_shared)
{
    prefix_cache cache;
    const std::vector<prompt_part> parts{{1, 500}};
    cache.touch(engine, parts, capacity, start + later);
    cache.touch(engine, parts, capacity, start + later);
    cr_expect(cache.shared(start, engine, 10).empty());
    cr_expect_eq(cache.shared(start + later, engine, 10).size(), 1U);
}

// Copied parts count as less recently used than known ones, and only as many
// are added as fit into the engine's memory.
Test(direct_caches, a_copy_ranks_behind_known_parts)
{
    prefix_cache cache;
    const std::vector<prompt_part> own{{1, 6000}};
    cache.touch(engine, own, capacity);
    const std::vector<prompt_part> copy{{2, 3000}, {1, 6000}, {3, 3000}};
    cache.adopt(engine, copy, capacity);
    cr_expect_float_eq(cache.cached(engine, own), 6000, 1e-9);
    cr_expect_float_eq(
        cache.cached(engine, std::vector<prompt_part>{{2, 3000}}), 3000, 1e-9);
    cr_expect_float_eq(
        cache.cached(engine, std::vector<prompt_part>{{3, 3000}}), 0, 1e-9);
    const std::vector<prompt_part> next{{4, 3000}};
    cache.touch(engine, next, capacity);
    cr_expect_float_eq(
        cache.cached(engine, std::vector<prompt_part>{{2, 3000}}), 0, 1e-9);
    cr_expect_float_eq(cache.cached(engine, own), 6000, 1e-9);
}

// Guards against repeated prefills after a start. Load pattern: many requests
// share a prefix, and an instance starts. Without a copy it sent the next
// request to any free engine, which repeated the prefill of 5,000 tokens.
Test(direct_caches, a_started_instance_uses_the_engine_with_the_cached_prefix)
{
    fixture fix;
    const placement_decision first =
        fixture::route_request(fix.running, 2, start);
    fixture::route_request(fix.running, 3, start + later);
    const time_point now = start + 2 * later;
    fix.started.tested_router.adopt_caches(
        fix.running.tested_router.copy_caches(now));
    const placement_decision next = fixture::route_request(fix.started, 4, now);
    cr_expect(next.endpoint.boot == first.endpoint.boot);
    cr_expect_float_eq(next.cached_tokens, 5000, 1e-6);
}

Test(direct_caches, copies_are_ignored_if_switched_off)
{
    mechanism_set used;
    used.switch_off(mechanism::cache_copies);
    fixture fix(used);
    fixture::route_request(fix.running, 2, start);
    fixture::route_request(fix.running, 3, start + later);
    const time_point now = start + 2 * later;
    fix.started.tested_router.adopt_caches(
        fix.running.tested_router.copy_caches(now));
    const placement_decision next = fixture::route_request(fix.started, 4, now);
    cr_expect_float_eq(next.cached_tokens, 0, 1e-6);
}

// An engine that restarted under its old name has an empty KV cache, so a copy
// that describes it before the restart must not be applied.
Test(direct_caches, a_copy_does_not_apply_to_a_restarted_engine)
{
    fixture fix;
    fixture::route_request(fix.running, 2, start);
    fixture::route_request(fix.running, 3, start + later);
    const time_point now = start + 2 * later;
    fix.started.list({"one", "two"}, 7);
    fix.started.tested_router.adopt_caches(
        fix.running.tested_router.copy_caches(now));
    const placement_decision next = fixture::route_request(fix.started, 4, now);
    cr_expect_float_eq(next.cached_tokens, 0, 1e-6);
}

Test(direct_caches, copies_are_requested_after_a_start_and_provided_later)
{
    cache_copies copies;
    cr_expect_not(copies.should_request(start));
    cr_expect_not(copies.can_provide(start));
    copies.on_endpoints_known(start);
    copies.on_endpoints_known(start + later);
    cr_expect(copies.should_request(start));
    cr_expect_not(copies.should_request(start + cache_copies::request_period));
    cr_expect_not(copies.can_provide(start));
    cr_expect(copies.can_provide(start + cache_copies::complete_after));
    copies.on_copy_received();
    cr_expect_not(copies.should_request(start));
    cr_expect(copies.can_provide(start));
}

// Guards against prompts of thousands of parts without tokens, which the
// capacity in tokens does not bound: 400 prompts of 2,000 new parts each.
Test(direct_caches, parts_without_tokens_take_bounded_memory)
{
    prefix_cache cache;
    std::uint64_t key = 0;
    const std::array engines{endpoint_id::of("one"), endpoint_id::of("two")};
    const std::vector<prompt_part> usual{{1, 500}, {2, 20}};
    for (std::size_t prompt = 0; prompt < 400; ++prompt)
    {
        std::vector<prompt_part> parts(2000);
        for (prompt_part& each : parts)
            each.key = 100 + ++key;
        cache.touch(engines.at(prompt % 2), parts, 100'000);
        cache.touch(engines.at(prompt % 2), usual, 100'000);
        cr_assert_leq(cache.size(), prefix_cache::max_kept_parts);
    }
    // What is used goes on to be known.
    for (const endpoint_id engine : engines)
        cr_expect_float_eq(cache.cached(engine, usual), 520, 1e-6);
    cache.forget(engines[0]);
    cache.forget(engines[1]);
    cr_expect_eq(cache.size(), 0U);
}
