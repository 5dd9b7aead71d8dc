// Promises under failures that come together, are silent, or hit one direction
// only.
#include "plans.hpp"

#include <criterion/criterion.h>

#include <atomic>

using namespace standin;

namespace
{

/// Every request ended, once, with its own answer or a true refusal, and every
/// running instance serves again.
void check_recovery(fleet& running, load& work)
{
    const tally& counted = work.stop();
    check_ends(work);
    cr_assert_eq(counted.foreign, 0);
    cr_assert_eq(broken_invariants(running), 0);
    cr_assert(counted.completed > 100, "%ld", counted.completed);
    for (std::size_t i = 0; i < running.instances().size(); ++i)
    {
        if (running.at(i).pid <= 0)
            continue;
        const answer got = ask_now(running.make_call(i, "north", "planner"));
        cr_assert(got.completed(), "instance %zu: %u %s", i, got.status,
                  got.reason.c_str());
    }
}

} // namespace

Test(failures, a_one_way_cut_loses_nothing_and_runs_nothing_twice)
{
    fleet running(usual_plan());
    load work(running, "planner", 4, even_senders({0, 1, 2, 3, 4, 5}), 1);
    work.start();
    std::this_thread::sleep_for(std::chrono::seconds(1));
    // What this instance sends vanishes; what others send arrives.
    fault deaf;
    deaf.drop_forward = true;
    const instance& cut = running.at(2);
    for (const instance& to : running.instances())
        running.faults().set(cut.ip, to.peer_route, deaf);
    std::this_thread::sleep_for(std::chrono::seconds(7));
    running.faults().heal();
    std::this_thread::sleep_for(std::chrono::seconds(4));
    check_recovery(running, work);
}

Test(failures, a_silent_cut_of_a_domain_loses_nothing_and_runs_nothing_twice)
{
    fleet running(usual_plan());
    load work(running, "planner", 4, even_senders({0, 1, 2, 3, 4, 5}), 2);
    work.start();
    std::this_thread::sleep_for(std::chrono::seconds(1));
    // Connections stay open, so that only silence tells.
    running.partition("c", false, {.drop_forward = true, .drop_back = true});
    std::this_thread::sleep_for(std::chrono::seconds(9));
    running.faults().heal();
    std::this_thread::sleep_for(std::chrono::seconds(4));
    check_recovery(running, work);
}

Test(failures, a_kill_during_a_partition_loses_nothing_at_other_entries)
{
    fleet running(usual_plan());
    const std::size_t victim = running.scheduler_of("planner", "a");
    std::vector<std::size_t> entries{0, 1, 2, 3, 4, 5};
    std::erase(entries, victim);
    load work(running, "planner", 4, even_senders(entries), 3);
    work.start();
    std::this_thread::sleep_for(std::chrono::seconds(1));
    running.partition("c", true);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    running.kill_and_wait(running.at(victim));
    std::this_thread::sleep_for(std::chrono::seconds(5));
    running.start(running.at(victim));
    std::this_thread::sleep_for(std::chrono::seconds(1));
    running.faults().heal();
    running.wait_all_ready();
    std::this_thread::sleep_for(std::chrono::seconds(3));
    check_recovery(running, work);
}

Test(failures, keyed_requests_run_at_most_once_through_a_rolling_restart)
{
    fleet running(once_plan(2));
    std::atomic<std::size_t> down{running.instances().size()};
    std::atomic<bool> ended{false};
    std::vector<std::string> marks;
    int completed = 0;
    bool truthful = true;
    std::thread callers(
        [&]
        {
            while (!ended)
            {
                const std::string key = make_key();
                marks.push_back(mark_of(key));
                std::vector<call> calls;
                for (std::size_t i = 0; i < running.instances().size(); ++i)
                {
                    if (i == down)
                        continue;
                    calls.push_back(keyed(running, i, key));
                }
                const auto answers = ask_all(calls);
                const int runs = running.runs("desk", marks.back());
                for (const answer& got : answers)
                {
                    completed += got.completed() ? 1 : 0;
                    truthful = truthful && (got.executed != "no" || runs == 0);
                }
            }
        });
    for (std::size_t i = 0; i < running.instances().size(); ++i)
    {
        std::this_thread::sleep_for(std::chrono::seconds(1));
        down = i;
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        running.signal(running.at(i), SIGTERM);
        cr_assert(running.wait_exit(running.at(i), std::chrono::seconds(20)));
        running.start_and_wait(running.at(i));
        down = running.instances().size();
    }
    std::this_thread::sleep_for(std::chrono::seconds(1));
    ended = true;
    callers.join();
    for (const std::string& mark : marks)
        cr_assert(running.runs("desk", mark) <= 1, "%s", mark.c_str());
    cr_assert(truthful, "'not run' was said of a key that ran");
    cr_assert(completed > 20, "%d completed", completed);
    cr_log_warn("%zu keys, %d completed", marks.size(), completed);
}
