// Property-based tests: random requests under dropped, duplicated and delayed
// messages, kills, restarts, pauses, partitions and late member lists.
// rapidcheck shrinks a failing script and prints its seed, which repeats the
// run:
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

/// One step of a script. `operation` selects the case in `apply_step`; `a` and
/// `b` are its arguments, reduced to valid ranges there.
struct script_step
{
    int operation = 0;
    unsigned a = 0;
    unsigned b = 0;
};

constexpr int operation_count = 12;

void apply_step(fake_fleet& fleet, const script_step& step,
                std::size_t accounts)
{
    const std::size_t node = step.a % fleet.size();
    const std::size_t account = step.b % accounts;
    const bool is_running = fleet.running(node);
    switch (step.operation)
    {
    case 0:
    case 1:
    case 2:
        if (is_running)
            fleet.submit(node, account);
        return;
    case 3:
        if (is_running)
            fleet.submit(node, account, false);
        return;
    case 4:
    {
        // Submits one key through several instances, either at the same time or
        // 400 ms apart.
        const idempotency_key key = fleet.make_key(account, step.b);
        for (std::size_t i = 0; i < 3; ++i)
        {
            const std::size_t entry =
                (node + i * (step.b % 3 + 1)) % fleet.size();
            if (fleet.running(entry))
                fleet.submit(entry, account, false, key);
            if (step.b % 2 == 0)
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
        fleet.cut_domain(step.a % 3, step.b % 2 == 0);
        return;
    case 10:
        fleet.publish_members(step.b % 3 == 0 ? std::set<std::size_t>{}
                                              : std::set<std::size_t>{node},
                              std::chrono::seconds(4));
        return;
    default:
        fleet.advance(std::chrono::milliseconds(step.a % 4000));
        return;
    }
}

/// Removes all faults and runs the fleet until all requests have ended.
void repair_and_drain(fake_fleet& fleet)
{
    fleet.set_fault_chances({});
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

/// Checks that a request got exactly one final answer, or at most one if its
/// entry was killed, that it has not run if it was reported as not executed,
/// and that it ran at most once if it is not idempotent.
void check_request(const outcome& result)
{
    const int final_answers = result.completed + result.refused;
    if (!result.entry_killed)
        RC_ASSERT(final_answers == 1);
    RC_ASSERT(final_answers <= 1);
    if (result.refused > 0 && result.ran == executed::no)
        RC_ASSERT(result.runs == 0);
    if (!result.spec.idempotent)
        RC_ASSERT(result.runs <= 1);
}

void check_invariants(fake_fleet& fleet)
{
    for (const event_number number : {event_number::invariant_double_end,
                                      event_number::invariant_double_grant,
                                      event_number::invariant_system_time_back,
                                      event_number::invariant_version_down})
        RC_ASSERT(fleet.events(number) == 0);
}

void run_script(const std::vector<script_step>& script, std::uint64_t seed,
                fault_probabilities fault_chances)
{
    fake_fleet::fleet_options fleet_options;
    fleet_options.seed = seed;
    fake_fleet fleet(fleet_options);
    fleet.advance(std::chrono::seconds(10));
    fleet.set_fault_chances(fault_chances);
    for (const script_step& step : script)
    {
        apply_step(fleet, step, fleet_options.accounts);
        fleet.advance(std::chrono::milliseconds(50));
    }
    repair_and_drain(fleet);
    std::map<idempotency_key, int> runs_by_key;
    for (const auto& [id, result] : fleet.outcomes())
    {
        check_request(result);
        if (result.spec.key)
            runs_by_key[*result.spec.key] += result.runs;
    }
    for (const auto& [key, runs] : runs_by_key)
        RC_ASSERT(runs <= 1);
    RC_ASSERT(fleet.open_requests() == 0U);
    RC_ASSERT(fleet.used_slots() == 0U);
    check_invariants(fleet);
}

rc::Gen<script_step> arbitrary_step()
{
    return rc::gen::build<script_step>(
        rc::gen::set(&script_step::operation,
                     rc::gen::inRange(0, operation_count)),
        rc::gen::set(&script_step::a, rc::gen::inRange(0U, 100000U)),
        rc::gen::set(&script_step::b, rc::gen::inRange(0U, 100000U)));
}

// rapidcheck finds this overload by argument-dependent lookup when it prints a
// failing script.
[[maybe_unused]] void showValue(const script_step& step, std::ostream& out)
{
    out << '{' << step.operation << ", " << step.a << ", " << step.b << '}';
}

} // namespace

namespace rc
{
template <> struct Arbitrary<script_step>
{
    static Gen<script_step> arbitrary() { return arbitrary_step(); }
};
} // namespace rc

namespace
{

void check_random_scripts(const char* property,
                          const fault_probabilities& fault_chances)
{
    const bool passed = rc::check(property,
                                  [&](const std::vector<script_step>& script)
                                  {
                                      const auto seed =
                                          *rc::gen::inRange(1U, 1000000U);
                                      run_script(script, seed, fault_chances);
                                  });
    cr_assert(passed);
}

} // namespace

Test(random, each_request_ends_once_with_a_correct_result)
{
    check_random_scripts(
        "every request ends once with a correct execution status",
        {.drop = 5,
         .duplicate = 5,
         .slow = 10,
         .nothing_sent = 5,
         .not_connected = 5,
         .fails = 5});
}

Test(random, each_request_ends_once_without_random_message_loss)
{
    check_random_scripts("every request ends once without random message loss",
                         {.nothing_sent = 5, .not_connected = 5, .fails = 5});
}
