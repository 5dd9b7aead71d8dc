// Randomised runs: random work under drops, duplicates, delays, kills,
// restarts, pauses, partitions and late member lists. rapidcheck shrinks a
// failing script; its seed is printed and can be given again:
//   RC_PARAMS="seed=N" random_test
#include "fake_fleet.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <iostream>
#include <sstream>

using namespace sycamorelock::core;
using namespace sycamorelock::core::testing;

namespace
{

/// One thing that happens; `a` and `b` are reduced to valid ranges.
struct happening
{
    int kind = 0;
    unsigned a = 0;
    unsigned b = 0;
};

constexpr int happening_kinds = 12;

void happen(fake_fleet& fleet, const happening& what, std::size_t accounts)
{
    const std::size_t node = what.a % fleet.size();
    const std::size_t account = what.b % accounts;
    const bool up = fleet.running(node);
    switch (what.kind)
    {
    case 0:
    case 1:
    case 2:
        if (up)
            fleet.submit(node, account);
        return;
    case 3:
        if (up)
            fleet.submit(node, account, false);
        return;
    case 4:
    {
        // One key through several instances at once and a little later.
        const idempotency_key key = fleet.make_key(account, what.b);
        for (std::size_t i = 0; i < 3; ++i)
        {
            const std::size_t through =
                (node + i * (what.b % 3 + 1)) % fleet.size();
            if (fleet.running(through))
                fleet.submit(through, account, false, key);
            if (what.b % 2 == 0)
                fleet.advance(std::chrono::milliseconds(400));
        }
        return;
    }
    case 5:
        fleet.kill(node);
        return;
    case 6:
        fleet.restart(node);
        return;
    case 7:
        fleet.pause(node);
        return;
    case 8:
        fleet.resume(node);
        return;
    case 9:
        fleet.cut_domain(what.a % 3, what.b % 2 == 0);
        return;
    case 10:
        fleet.publish_members(what.b % 3 == 0 ? std::set<std::size_t>{}
                                              : std::set<std::size_t>{node},
                              std::chrono::seconds(4));
        return;
    default:
        fleet.advance(std::chrono::milliseconds(what.a % 4000));
        return;
    }
}

/// Heals everything and lets all requests come to their ends.
void settle(fake_fleet& fleet)
{
    fleet.set_chances({});
    for (std::size_t i = 0; i < 3; ++i)
        fleet.cut_domain(i, false);
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        fleet.resume(i);
        if (!fleet.running(i))
            fleet.restart(i);
    }
    fleet.publish_members({}, std::chrono::milliseconds(0));
    fleet.advance(std::chrono::seconds(90));
}

void check_request(const outcome& known)
{
    const int ends = known.completed + known.refused;
    if (!known.entry_died)
        RC_ASSERT(ends == 1);
    RC_ASSERT(ends <= 1);
    if (known.refused > 0 && known.ran == executed::no)
        RC_ASSERT(known.runs == 0);
    if (!known.spec.idempotent)
        RC_ASSERT(known.runs <= 1);
}

void check_invariants(fake_fleet& fleet)
{
    for (const event_number number : {event_number::invariant_double_end,
                                      event_number::invariant_double_grant,
                                      event_number::invariant_system_time_back,
                                      event_number::invariant_version_down})
        RC_ASSERT(fleet.events(number) == 0);
}

void run_script(const std::vector<happening>& script, std::uint64_t seed,
                chances harm)
{
    fake_fleet::plan plan;
    plan.seed = seed;
    fake_fleet fleet(plan);
    fleet.advance(std::chrono::seconds(10));
    fleet.set_chances(harm);
    for (const happening& what : script)
    {
        happen(fleet, what, plan.accounts);
        fleet.advance(std::chrono::milliseconds(50));
    }
    settle(fleet);
    std::map<idempotency_key, int> runs_by_key;
    for (const auto& [id, known] : fleet.outcomes())
    {
        check_request(known);
        if (known.spec.key)
            runs_by_key[*known.spec.key] += known.runs;
    }
    for (const auto& [key, runs] : runs_by_key)
        RC_ASSERT(runs <= 1);
    RC_ASSERT(fleet.open_requests() == 0U);
    RC_ASSERT(fleet.used_slots() == 0U);
    check_invariants(fleet);
}

rc::Gen<happening> any_happening()
{
    return rc::gen::build<happening>(
        rc::gen::set(&happening::kind, rc::gen::inRange(0, happening_kinds)),
        rc::gen::set(&happening::a, rc::gen::inRange(0U, 100000U)),
        rc::gen::set(&happening::b, rc::gen::inRange(0U, 100000U)));
}

// Found by rapidcheck when it prints a failing script.
[[maybe_unused]] void showValue(const happening& what, std::ostream& out)
{
    out << '{' << what.kind << ", " << what.a << ", " << what.b << '}';
}

} // namespace

namespace rc
{
template <> struct Arbitrary<happening>
{
    static Gen<happening> arbitrary() { return any_happening(); }
};
} // namespace rc

namespace
{

void check_scripts(const char* claim, const chances& harm)
{
    const bool held = rc::check(claim,
                                [&](const std::vector<happening>& script)
                                {
                                    const auto seed =
                                        *rc::gen::inRange(1U, 1000000U);
                                    run_script(script, seed, harm);
                                });
    cr_assert(held);
}

} // namespace

Test(random, each_request_ends_once_and_truthfully)
{
    check_scripts("every request ends once, and what is said of it is true",
                  {.drop = 5,
                   .duplicate = 5,
                   .slow = 10,
                   .nothing_sent = 5,
                   .not_connected = 5,
                   .fails = 5});
}

Test(random, the_same_without_losses_in_the_network)
{
    check_scripts("the same with failures of processes only",
                  {.nothing_sent = 5, .not_connected = 5, .fails = 5});
}
