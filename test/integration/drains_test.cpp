// Operators drain failure domains and take them back, beside faults of the
// store.
#include "direct_checks.hpp"

#include <criterion/criterion.h>

#include <thread>

using namespace standin;
using std::chrono::milliseconds;
using moment = std::chrono::steady_clock::time_point;

namespace
{

/// Time within which a drain is in force at every instance.
constexpr milliseconds drain_bound{5000};

direct_plan two_domains(std::size_t instances)
{
    direct_plan plan;
    plan.instances = instances;
    plan.two_domains = true;
    return plan;
}

/// Asks through each instance about prompts of their own, so that both engines
/// are chosen.
void ask_about_many(direct_fleet& fleet, std::size_t instances, int rounds)
{
    for (int round = 0; round < rounds; ++round)
    {
        for (std::size_t i = 0; i < instances; ++i)
        {
            direct_call asked = fleet.make_call(i);
            describe_prompt(asked, 100, 20, 10);
            asked.fields["Prefix-Hash"] = asked.id + ":100,91bd3f06:20";
            ask(asked);
        }
    }
}

/// Waits until the metrics of so many instances say how many domains are
/// drained.
bool all_know(direct_fleet& fleet, std::size_t instances, int drained)
{
    const std::string line =
        "sycamorelock_domains_drained " + std::to_string(drained);
    return eventually([&] { return fleet.that_say(line) == instances; },
                      drain_bound);
}

} // namespace

Test(drains, a_drained_domain_gets_nothing_until_it_is_taken_back)
{
    direct_fleet fleet(two_domains(2));
    ask_about_many(fleet, 2, 10);
    cr_expect_gt(fleet.engine(1).arrivals().size(), 0U);
    fleet.drain("b");
    cr_assert(all_know(fleet, 2, 1));
    const moment known = std::chrono::steady_clock::now();
    ask_about_many(fleet, 2, 20);
    cr_expect_eq(arrived_after(fleet.engine(1), known), 0);
    cr_expect_geq(arrived_after(fleet.engine(0), known), 40);
    fleet.take_back("b");
    cr_assert(all_know(fleet, 2, 0));
    fleet.drain("a");
    cr_assert(all_know(fleet, 2, 1));
    const direct_call asked = fleet.make_call(0);
    check_stream(ask(asked), asked, 5);
    cr_expect_eq(fleet.engine(1).runs_of(asked.id), 1);
}

// A stream that runs there goes on, and its caller gets all of it.
Test(drains, streams_of_a_drained_domain_are_not_cut)
{
    direct_plan plan = two_domains(1);
    plan.events = 30;
    plan.gap = milliseconds(100);
    plan.engines = 2;
    direct_fleet fleet(plan);
    const direct_call asked = fleet.make_call(0);
    direct_answer got;
    std::thread caller([&] { got = ask(asked); });
    cr_assert(eventually(
        [&]
        { return fleet.engine(0).working() + fleet.engine(1).working() == 1; },
        milliseconds(2000)));
    fleet.drain("a");
    fleet.drain("b");
    cr_expect(all_know(fleet, 1, 2));
    caller.join();
    check_stream(got, asked, plan.events);
    cr_expect_eq(fleet.runs_of(asked.id), 1);
}

// Guards against an instance that does not read the store itself, or reads it
// anew: it learns of a drain from others, and no older picture ends it.
Test(drains, it_holds_at_an_instance_that_is_cut_from_the_store)
{
    direct_plan plan = two_domains(3);
    plan.proxied = true;
    direct_fleet fleet(plan);
    ask_about_many(fleet, 3, 3);
    fault cut;
    cut.cut = true;
    fleet.faults().set("*", fleet.at(1).store_address, cut);
    fleet.drain("b");
    cr_expect(all_know(fleet, 3, 1));
    fleet.faults().heal();
    fleet.store().forget_history();
    fleet.kill(fleet.at(2));
    fleet.start(fleet.at(2));
    fleet.wait_ready();
    cr_expect(all_know(fleet, 3, 1));
    const moment known = std::chrono::steady_clock::now();
    ask_about_many(fleet, 3, 10);
    cr_expect_eq(arrived_after(fleet.engine(1), known), 0);
    // Its end is learned from a listing, too.
    fleet.store().set_mode(store_mode::closed);
    fleet.take_back("b");
    fleet.store().forget_history();
    fleet.store().set_mode(store_mode::up);
    cr_expect(all_know(fleet, 3, 0));
}

Test(drains, where_all_domains_are_drained_requests_are_refused_at_once)
{
    direct_fleet fleet(two_domains(1));
    fleet.drain("nowhere");
    fleet.drain("a");
    fleet.drain("b");
    cr_assert(all_know(fleet, 1, 3));
    const direct_call asked = fleet.make_call(0);
    const direct_answer got = ask(asked);
    cr_expect_eq(got.status, 503U);
    cr_expect_str_eq(got.body.c_str(), "drained\n");
    cr_expect_not(got.retry_after.empty());
    cr_expect_lt(got.seconds, 1.0);
    cr_expect_eq(fleet.runs_of(asked.id), 0);
    fleet.take_back("a");
    cr_assert(all_know(fleet, 1, 2));
    cr_expect(eventually([&] { return ask(fleet.make_call(0)).status == 200U; },
                         std::chrono::seconds(8)));
}
