// Tests slot accounting, ejection, slow start, adaptive limits and leaving
// endpoints.
#include "sycamorelock/core/endpoint_pool.hpp"

#include <criterion/criterion.h>

using namespace sycamorelock::core;

namespace
{

constexpr time_point start{std::chrono::seconds(100)};

struct fixture
{
    outbox out;
    endpoint_pool pool{{}, out};
    endpoint_id first = endpoint_id::of("first");
    endpoint_id second = endpoint_id::of("second");

    fixture()
    {
        endpoint_spec a;
        a.id = first;
        a.name = "first";
        a.slots = 4;
        endpoint_spec b = a;
        b.id = second;
        b.name = "second";
        pool.configure({a, b}, std::chrono::milliseconds(25), 1);
    }

    void run_request(endpoint_id id, attempt_outcome outcome,
                     time_point at = start, duration delay = duration(0))
    {
        pool.acquire_slot(id, 0);
        pool.release_slot(at, id, outcome, delay);
    }
};

} // namespace

Test(endpoint_pool, the_least_loaded_endpoint_is_picked)
{
    fixture f;
    f.pool.acquire_slot(f.first, 0);
    cr_assert(f.pool.pick(0) == f.second);
    cr_assert_eq(f.pool.free_slots(), 7U);
}

Test(endpoint_pool,
     a_prefix_prefers_the_endpoint_that_served_it_while_a_slot_is_free)
{
    fixture f;
    f.pool.acquire_slot(f.first, 42);
    cr_assert(f.pool.pick(42) == f.first);
    for (int i = 0; i < 3; ++i)
        f.pool.acquire_slot(f.first, 42);
    cr_assert(f.pool.pick(42) == f.second);
}

Test(endpoint_pool, another_endpoint_is_preferred_over_the_one_already_tried)
{
    fixture f;
    cr_assert(f.pool.pick(0) == f.first);
    cr_assert(f.pool.pick(0, f.first) == f.second);
    f.pool.acquire_slot(f.first, 42);
    cr_assert(f.pool.pick(42, f.first) == f.second);
    for (int i = 0; i < 4; ++i)
        f.pool.acquire_slot(f.second, 0);
    cr_assert(f.pool.pick(0, f.first) == f.first);
}

Test(endpoint_pool, repeated_failures_eject_and_slow_start_restores)
{
    fixture f;
    for (int i = 0; i < 3; ++i)
        f.run_request(f.first, attempt_outcome::endpoint_failed);
    cr_assert_eq(f.pool.usable_slots(), 4U);
    cr_assert(f.pool.pick(0) == f.second);
    f.pool.tick(start + std::chrono::seconds(6));
    cr_assert_eq(f.pool.usable_slots(), 5U, "slow start with one slot");
    f.run_request(f.first, attempt_outcome::completed);
    f.run_request(f.first, attempt_outcome::completed);
    cr_assert(f.pool.usable_slots() > 5U);
}

Test(endpoint_pool, slow_tokens_shrink_the_limit_and_fast_ones_raise_it)
{
    fixture f;
    time_point at = start;
    for (int i = 0; i < 10; ++i)
    {
        at += std::chrono::seconds(2);
        f.run_request(f.first, attempt_outcome::completed, at,
                      std::chrono::milliseconds(90));
    }
    const auto shrunk = f.pool.usable_slots();
    cr_assert(shrunk < 7U, "%u", shrunk);
    for (int i = 0; i < 60; ++i)
        f.run_request(f.first, attempt_outcome::completed, at,
                      std::chrono::milliseconds(10));
    cr_assert_eq(f.pool.usable_slots(), 8U);
}

Test(endpoint_pool, load_from_other_senders_occupies_slots)
{
    fixture f;
    f.pool.on_load(f.first, {3, false});
    cr_assert_eq(f.pool.free_slots(), 8U,
                 "one sample may be past load of this pool");
    f.pool.on_load(f.first, {3, false});
    f.pool.on_load(f.first, {3, false});
    cr_assert_eq(f.pool.free_slots(), 5U);
}

// Guards against a load report without the leaving flag that clears the mark
// set from the platform's list. Found by fleet_shutdown_test.
Test(endpoint_pool, a_load_report_does_not_clear_the_leaving_mark_of_the_list)
{
    fixture f;
    f.pool.set_leaving(f.first, true);
    f.pool.on_load(f.first, {0, false});
    cr_assert_eq(f.pool.usable_slots(), 4U);
    f.pool.set_leaving(f.first, false);
    cr_assert_eq(f.pool.usable_slots(), 8U);
    f.pool.on_load(f.second, {0, true});
    cr_assert_eq(f.pool.usable_slots(), 4U);
}
