// Promises: a graceful shutdown cuts nothing; a leaving endpoint gets no new
// work after a few seconds; schedulers that die or freeze lose no request.
#include "plans.hpp"

#include <criterion/criterion.h>

using namespace standin;

Test(shutdown, a_rolling_restart_of_the_whole_fleet_loses_no_request)
{
    fleet running(usual_plan());
    for (std::size_t i = 0; i < running.instances().size(); ++i)
    {
        // Callers follow the balancer, which takes the instance out while the
        // requests that it already has go on.
        std::vector<std::size_t> others;
        for (std::size_t j = 0; j < running.instances().size(); ++j)
        {
            if (j != i)
                others.push_back(j);
        }
        load rest(running, "planner", 4, even_senders(others), i);
        rest.start();
        std::vector<call> calls = streams(running, i, 20, 150);
        std::vector<answer> answers;
        std::thread open([&] { answers = ask_all(calls); });
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        running.signal(running.at(i), SIGTERM);
        int status = -1;
        const bool ended =
            running.wait_exit(running.at(i), std::chrono::seconds(30), &status);
        open.join();
        cr_assert(ended);
        cr_assert_eq(status, 0);
        running.start_and_wait(running.at(i));
        const tally& counted = rest.stop();
        for (const answer& got : answers)
            cr_assert(got.completed(),
                      "instance %zu: status %u reason %s %s after %.3f s", i,
                      got.status, got.reason.c_str(), got.failure.c_str(),
                      got.seconds);
        cr_assert_eq(counted.lost, 0, "%ld lost", counted.lost);
        cr_assert_eq(counted.refused_not_run + counted.unknown, 0,
                     "instance %zu: %s", i, counted.reasons_text().c_str());
    }
}

Test(shutdown, new_requests_are_served_while_the_balancer_learns)
{
    fleet running(usual_plan(1));
    running.signal(running.at(0), SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    cr_assert_eq(running.operator_get(running.at(0), "/ready"), "not ready\n");
    call made = running.make_call(0, "north", "planner");
    made.tokens = 5;
    cr_assert(ask_now(made).completed());
    cr_assert(running.wait_exit(running.at(0), std::chrono::seconds(20)));
}

Test(shutdown, a_killed_scheduler_loses_no_request_of_other_entries)
{
    fleet running(usual_plan(1));
    const std::size_t victim = running.scheduler_of("planner", "a");
    const std::size_t entry = 1 - victim;
    load work(running, "planner", 4, even_senders({entry}), 1);
    work.start();
    std::this_thread::sleep_for(std::chrono::seconds(1));
    running.kill_and_wait(running.at(victim));
    std::this_thread::sleep_for(std::chrono::seconds(6));
    running.start_and_wait(running.at(victim));
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const tally& counted = work.stop();
    cr_assert_eq(counted.lost, 0, "%ld", counted.lost);
    cr_assert_eq(counted.refused_not_run + counted.unknown, 0);
    cr_assert(counted.completed > 100);
    cr_assert_eq(work.run_twice(), 0);
}

Test(shutdown, a_frozen_scheduler_that_wakes_runs_nothing_twice)
{
    fleet running(usual_plan(1));
    const std::size_t victim = running.scheduler_of("planner", "a");
    load work(running, "planner", 4, even_senders({1 - victim}), 1);
    work.start();
    for (int round = 0; round < 2; ++round)
    {
        std::this_thread::sleep_for(std::chrono::seconds(1));
        running.signal(running.at(victim), SIGSTOP);
        std::this_thread::sleep_for(std::chrono::seconds(7));
        running.signal(running.at(victim), SIGCONT);
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const tally& counted = work.stop();
    check_ends(work);
    cr_assert_eq(counted.foreign, 0);
    cr_assert_eq(broken_invariants(running), 0);
}

Test(shutdown, a_frozen_entry_gives_its_slots_back_and_acts_on_no_old_grant)
{
    fleet running(usual_plan(1));
    const std::size_t scheduler = running.scheduler_of("planner", "a");
    const std::size_t victim = 1 - scheduler;
    std::vector<call> calls = streams(running, victim, 30, 100);
    for (call& made : calls)
        made.fields["X-Idempotent"] = "false";
    std::vector<answer> answers;
    std::thread open([&] { answers = ask_all(calls); });
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    running.signal(running.at(victim), SIGSTOP);
    // Past every lease: the slots serve others meanwhile.
    std::this_thread::sleep_for(std::chrono::seconds(8));
    call other = running.make_call(scheduler, "south", "planner");
    other.tokens = 5;
    cr_assert(ask_now(other).completed());
    running.signal(running.at(victim), SIGCONT);
    open.join();
    for (std::size_t i = 0; i < calls.size(); ++i)
    {
        const int runs = running.runs("planner", calls[i].mark);
        cr_assert(runs <= 1);
        if (answers[i].executed == "no")
            cr_assert_eq(runs, 0);
        cr_assert(answers[i].completed() || answers[i].refused(), "status %u",
                  answers[i].status);
    }
}

Test(shutdown, a_leaving_endpoint_gets_no_new_work)
{
    // The endpoint itself says so; the platform's list lags behind.
    fleet running(usual_plan(1));
    load work(running, "planner", 4, even_senders({0, 1}), 1);
    work.start();
    std::this_thread::sleep_for(std::chrono::seconds(1));
    endpoint& leaving = *running.endpoints("planner").front();
    leaving.set_leaving(true);
    std::this_thread::sleep_for(std::chrono::seconds(4));
    const int before = leaving.started();
    std::this_thread::sleep_for(std::chrono::seconds(3));
    cr_assert_eq(leaving.started(), before);
    check_ends(work);
}

Test(shutdown, a_leaving_endpoint_on_the_list_gets_none_from_a_frozen_entry)
{
    fleet running(usual_plan(1));
    const std::size_t scheduler = running.scheduler_of("planner", "a");
    load work(running, "planner", 4, even_senders({1 - scheduler}), 1);
    work.start();
    std::this_thread::sleep_for(std::chrono::seconds(1));
    running.signal(running.at(1 - scheduler), SIGSTOP);
    running.publish_members({"planner/e0"});
    std::this_thread::sleep_for(std::chrono::seconds(7));
    const int before = running.endpoints("planner").front()->started();
    running.signal(running.at(1 - scheduler), SIGCONT);
    std::this_thread::sleep_for(std::chrono::seconds(3));
    cr_assert_eq(running.endpoints("planner").front()->started(), before);
    work.stop();
}
