// Guards against connections that hold more memory together than they may, and
// against large or stalled requests that starve small ones.
#include "sycamorelock/core/connection_memory.hpp"

#include <criterion/criterion.h>

#include <map>
#include <random>

using namespace sycamorelock::core;
using std::chrono::milliseconds;

namespace
{

constexpr byte_count kilobytes(std::size_t count)
{
    return byte_count(count * 1024);
}

const connection_memory_limits limits{kilobytes(1000), kilobytes(4),
                                      milliseconds(250)};

time_point at_ms(int ms)
{
    return time_point(milliseconds(ms));
}

} // namespace

Test(connection_memory, a_connection_counts_from_its_beginning)
{
    connection_memory memory(limits);
    const connection_id one = memory.open(at_ms(0))->id;
    cr_expect(memory.used() == kilobytes(4));
    cr_expect(memory.resize(at_ms(0), one, kilobytes(3)).has_value());
    cr_expect(memory.used() == kilobytes(4));
    cr_expect(memory.resize(at_ms(0), one, kilobytes(10)).has_value());
    cr_expect(memory.used() == kilobytes(10));
    memory.close(one);
    cr_expect(memory.used() == byte_count());
    cr_expect_eq(memory.connections(), 0U);
}

Test(connection_memory, machines_in_force_bear_their_connections_and_bodies)
{
    struct machine
    {
        std::size_t megabytes;
        std::size_t callers;
    };
    constexpr std::size_t largest_body = 4UL * 1024 * 1024;
    // Six in ten descriptors are for callers.
    for (const machine& each :
         {machine{120, 1845}, {160, 2460}, {260, 2460}, {512, 6150}})
    {
        const connection_memory memory(
            limits_for_callers(megabytes(each.megabytes)));
        cr_expect_geq(memory.max_connections(), each.callers, "%zu MB",
                      each.megabytes);
        cr_expect(memory.limits().largest_body() >= byte_count(largest_body));
        cr_expect(memory.limits().total.value() * 5 <=
                  each.megabytes * 1000 * 1000);
    }
}

Test(connection_memory, connections_leave_a_quarter_of_the_total)
{
    cr_expect_eq(connection_memory(limits).max_connections(), 187U);
}

Test(connection_memory, one_connection_may_hold_nearly_everything)
{
    connection_memory memory(limits);
    const connection_id one = memory.open(at_ms(0))->id;
    cr_expect(memory.resize(at_ms(0), one, kilobytes(1000)).has_value());
    cr_expect_not(memory.resize(at_ms(0), one, kilobytes(1001)).has_value());
    cr_expect(memory.used() == kilobytes(1000));
}

Test(connection_memory, the_largest_is_evicted_for_a_small_request)
{
    connection_memory memory(limits);
    const connection_id small = memory.open(at_ms(0))->id;
    const connection_id middle = memory.open(at_ms(0))->id;
    const connection_id large = memory.open(at_ms(0))->id;
    cr_assert(memory.resize(at_ms(0), middle, kilobytes(400)).has_value());
    cr_assert(memory.resize(at_ms(0), large, kilobytes(590)).has_value());
    const auto given = memory.resize(at_ms(1), small, kilobytes(100));
    cr_assert(given.has_value());
    cr_expect_eq(given->size(), 1U);
    cr_expect(given->front() == large);
    cr_expect(memory.used() == kilobytes(504));
    // It gets no more until it enters a phase again.
    cr_expect_not(memory.resize(at_ms(1), large, kilobytes(8)).has_value());
    memory.enter(at_ms(1), large, holder_phase::receiving);
    cr_expect(memory.resize(at_ms(1), large, kilobytes(8)).has_value());
}

Test(connection_memory, smaller_ones_are_not_evicted_for_a_large_request)
{
    connection_memory memory(limits);
    const connection_id first = memory.open(at_ms(0))->id;
    const connection_id second = memory.open(at_ms(0))->id;
    cr_assert(memory.resize(at_ms(0), first, kilobytes(600)).has_value());
    cr_expect_not(memory.resize(at_ms(1), second, kilobytes(600)).has_value());
    cr_expect(memory.resize(at_ms(1), second, kilobytes(400)).has_value());
}

Test(connection_memory, a_stalled_connection_is_evicted_for_a_larger_request)
{
    connection_memory memory(limits);
    const connection_id stalled = memory.open(at_ms(0))->id;
    const connection_id lively = memory.open(at_ms(0))->id;
    const connection_id newcomer = memory.open(at_ms(0))->id;
    cr_assert(memory.resize(at_ms(0), stalled, kilobytes(300)).has_value());
    cr_assert(memory.resize(at_ms(0), lively, kilobytes(300)).has_value());
    memory.note_progress(at_ms(240), lively);
    const auto given = memory.resize(at_ms(250), newcomer, kilobytes(690));
    cr_assert(given.has_value());
    cr_expect_eq(given->size(), 1U);
    cr_expect(given->front() == stalled);
}

Test(connection_memory, a_request_that_is_being_served_is_not_evicted)
{
    connection_memory memory(limits);
    const connection_id served = memory.open(at_ms(0))->id;
    const connection_id newcomer = memory.open(at_ms(0))->id;
    cr_assert(memory.resize(at_ms(0), served, kilobytes(900)).has_value());
    memory.enter(at_ms(0), served, holder_phase::serving);
    cr_expect_not(
        memory.resize(at_ms(9000), newcomer, kilobytes(200)).has_value());
    memory.enter(at_ms(9000), served, holder_phase::sending);
    cr_expect(memory.resize(at_ms(9300), newcomer, kilobytes(200)).has_value());
}

Test(connection_memory, a_refusal_evicts_nobody)
{
    connection_memory memory(limits);
    const connection_id served = memory.open(at_ms(0))->id;
    const connection_id stalled = memory.open(at_ms(0))->id;
    const connection_id newcomer = memory.open(at_ms(0))->id;
    cr_assert(memory.resize(at_ms(0), served, kilobytes(800)).has_value());
    memory.enter(at_ms(0), served, holder_phase::serving);
    cr_assert(memory.resize(at_ms(0), stalled, kilobytes(100)).has_value());
    cr_expect_not(
        memory.resize(at_ms(900), newcomer, kilobytes(500)).has_value());
    cr_expect(memory.used() == kilobytes(904));
    cr_expect(memory.resize(at_ms(900), stalled, kilobytes(101)).has_value());
}

Test(connection_memory, a_new_connection_finds_room_unless_all_is_being_served)
{
    connection_memory memory(limits);
    const connection_id large = memory.open(at_ms(0))->id;
    cr_assert(memory.resize(at_ms(0), large, kilobytes(1000)).has_value());
    memory.enter(at_ms(0), large, holder_phase::serving);
    cr_expect_not(memory.open(at_ms(1)).has_value());
    memory.enter(at_ms(1), large, holder_phase::receiving);
    const auto opened = memory.open(at_ms(1));
    cr_assert(opened.has_value());
    cr_assert_eq(opened->evicted.size(), 1U);
    cr_expect(opened->evicted.front() == large);
    cr_expect(memory.used() == kilobytes(8));
}

// Guards against drawn orders of events that exceed the total, evict a request
// that is being served, or refuse one that is no larger than an even part of
// what the others may hold.
Test(connection_memory, the_total_holds_in_every_order_of_events)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed)
    {
        std::mt19937_64 random(seed);
        connection_memory memory(limits);
        std::map<std::size_t, std::size_t> held;
        std::map<std::size_t, bool> serving;
        int ms = 0;
        for (int step = 0; step < 2000; ++step)
        {
            ms += static_cast<int>(random() % 20);
            const bool opens = held.size() < memory.max_connections() / 4 &&
                               (held.empty() || random() % 8 == 0);
            if (opens)
            {
                const auto made = memory.open(at_ms(ms));
                cr_assert(memory.used() <= limits.total, "seed %lu", seed);
                if (!made)
                    continue;
                held[made->id.value()] = 0;
                serving[made->id.value()] = false;
                for (const connection_id each : made->evicted)
                    held[each.value()] = 0;
                continue;
            }
            auto chosen = held.begin();
            std::advance(chosen, static_cast<long>(random() % held.size()));
            const connection_id id(chosen->first);
            const auto kind = random() % 16;
            if (kind == 0)
            {
                memory.close(id);
                serving.erase(chosen->first);
                held.erase(chosen);
                continue;
            }
            if (kind == 1)
            {
                const bool serves = random() % 8 == 0;
                memory.enter(at_ms(ms), id,
                             serves ? holder_phase::serving
                                    : holder_phase::sending);
                serving[id.value()] = serves;
                continue;
            }
            if (kind == 2)
            {
                memory.enter(at_ms(ms), id, holder_phase::receiving);
                serving[id.value()] = false;
            }
            std::size_t pinned = 0;
            for (const auto& [each, bytes] : held)
                pinned += serving[each] && each != id.value()
                              ? std::max(bytes, kilobytes(4).value())
                              : 0;
            const std::size_t wanted = random() % kilobytes(500).value();
            memory.enter(at_ms(ms), id, holder_phase::receiving);
            serving[id.value()] = false;
            const auto given = memory.resize(at_ms(ms), id, byte_count(wanted));
            cr_assert(memory.used() <= limits.total, "seed %lu", seed);
            if (!given)
            {
                const std::size_t even =
                    (limits.total.value() - pinned) / held.size();
                cr_assert_gt(wanted + kilobytes(4).value(), even,
                             "seed %lu: %zu bytes, even part %zu", seed, wanted,
                             even);
                continue;
            }
            held[id.value()] = wanted;
            for (const connection_id each : *given)
            {
                cr_assert_not(serving[each.value()], "seed %lu", seed);
                cr_assert(each != id, "seed %lu", seed);
                held[each.value()] = 0;
            }
            std::size_t sum = 0;
            for (const auto& [each, bytes] : held)
                sum += std::max(bytes, kilobytes(4).value());
            cr_assert_eq(sum, memory.used().value(), "seed %lu", seed);
        }
    }
}
