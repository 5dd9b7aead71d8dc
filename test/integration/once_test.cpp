// Promise: a request marked as not repeatable runs at most once, also when its
// caller repeats it through other instances.
#include "plans.hpp"

#include <criterion/criterion.h>

using namespace standin;

namespace
{

constexpr std::chrono::milliseconds past_the_lag(900);

/// Sends one key through all instances that run; checks what is said.
void send_everywhere(fleet& running, const std::string& key)
{
    std::vector<call> calls;
    for (std::size_t i = 0; i < running.instances().size(); ++i)
    {
        if (running.at(i).pid > 0)
            calls.push_back(keyed(running, i, key));
    }
    const auto answers = ask_all(calls);
    const int runs = running.runs("desk", mark_of(key));
    cr_assert(runs <= 1, "%d runs", runs);
    cr_assert(std::count_if(answers.begin(), answers.end(),
                            [](const answer& a)
                            { return a.completed(); }) <= 1);
    for (const answer& got : answers)
    {
        if (got.executed == "no")
            cr_assert_eq(runs, 0, "'no' was said of a key that ran");
    }
}

} // namespace

Test(once, one_key_through_all_instances_at_once_runs_once)
{
    fleet running(once_plan());
    std::this_thread::sleep_for(past_the_lag);
    for (int i = 0; i < 20; ++i)
    {
        const std::string key = make_key();
        send_everywhere(running, key);
        cr_assert_eq(running.runs("desk", mark_of(key)), 1);
    }
}

Test(once, a_repeat_after_the_answer_is_a_duplicate)
{
    fleet running(once_plan(1));
    std::this_thread::sleep_for(past_the_lag);
    const std::string key = make_key();
    cr_assert(ask_now(keyed(running, 0, key)).completed());
    const answer again = ask_now(keyed(running, 1, key));
    cr_assert_eq(again.status, 409);
    cr_assert_str_eq(again.reason.c_str(), "duplicate_key");
    cr_assert_str_eq(again.executed.c_str(), "unknown");
    cr_assert_eq(running.runs("desk", mark_of(key)), 1);
}

Test(once, a_repeat_after_a_lost_answer_does_not_run_again)
{
    fleet running(once_plan());
    std::this_thread::sleep_for(past_the_lag);
    running.drop_answers("desk", true);
    const std::string key = make_key();
    send_everywhere(running, key);
    running.drop_answers("desk", false);
    send_everywhere(running, key);
    cr_assert_eq(running.runs("desk", mark_of(key)), 1);
}

Test(once, restarts_of_every_key_owner_forget_no_key_dangerously)
{
    fleet running(once_plan());
    std::this_thread::sleep_for(past_the_lag);
    std::vector<std::string> keys;
    for (int i = 0; i < 12; ++i)
    {
        keys.push_back(make_key());
        send_everywhere(running, keys.back());
    }
    for (instance& which : running.instances())
    {
        running.kill_and_wait(which);
        running.start(which);
    }
    running.wait_all_ready();
    for (const std::string& key : keys)
    {
        send_everywhere(running, key);
        cr_assert_eq(running.runs("desk", mark_of(key)), 1);
    }
    std::this_thread::sleep_for(past_the_lag);
    const std::string fresh = make_key();
    send_everywhere(running, fresh);
    cr_assert_eq(running.runs("desk", mark_of(fresh)), 1);
}

Test(once, a_frozen_key_owner_that_wakes_is_not_trusted_with_old_keys)
{
    fleet running(once_plan());
    std::this_thread::sleep_for(past_the_lag);
    const std::string before = make_key();
    send_everywhere(running, before);
    for (std::size_t i = 0; i < 3; ++i)
        running.signal(running.at(i), SIGSTOP);
    std::vector<std::string> keys;
    for (int i = 0; i < 6; ++i)
    {
        keys.push_back(make_key());
        for (std::size_t through = 3; through < 6; ++through)
            ask_now(keyed(running, through, keys.back()));
    }
    for (std::size_t i = 0; i < 3; ++i)
        running.signal(running.at(i), SIGCONT);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    keys.push_back(before);
    for (const std::string& key : keys)
        send_everywhere(running, key);
}

Test(once, a_partition_lets_no_key_run_on_both_sides)
{
    fleet running(once_plan());
    std::this_thread::sleep_for(past_the_lag);
    running.partition("c", true);
    std::vector<std::string> keys;
    int runs = 0;
    for (int i = 0; i < 6; ++i)
    {
        keys.push_back(make_key());
        send_everywhere(running, keys.back());
        runs += running.runs("desk", mark_of(keys.back()));
        // The majority goes on once the others are known to be silent.
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
    }
    running.faults().heal();
    for (const std::string& key : keys)
        send_everywhere(running, key);
    cr_log_warn("%d of 6 keys ran during the partition", runs);
}

Test(once, a_list_that_lags_lets_no_key_run_twice)
{
    fleet running(once_plan());
    std::this_thread::sleep_for(past_the_lag);
    for (int round = 0; round < 4; ++round)
    {
        const std::string removed =
            running.at(static_cast<std::size_t>(round)).name;
        running.publish_members({}, {removed});
        for (int i = 0; i < 5; ++i)
        {
            const std::string key = make_key();
            send_everywhere(running, key);
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            send_everywhere(running, key);
        }
        running.publish_members({});
    }
}

Test(once, unkeyed_requests_marked_once_are_sent_once)
{
    fleet_plan plan = once_plan(1);
    plan.endpoints_proxied = true;
    fleet running(plan);
    running.drop_answers("planner", true);
    call made = running.make_call(0, "north", "planner");
    made.tokens = 5;
    made.fields["X-Idempotent"] = "false";
    const answer got = ask_now(made);
    cr_assert_str_eq(got.executed.c_str(), "unknown");
    cr_assert_eq(running.runs("planner", made.mark), 1);
}

Test(once, malformed_keys_are_named_in_the_error)
{
    fleet running(once_plan(1));
    for (const char* bad :
         {"1", "not-a-uuid", "00000000-0000-4000-8000-000000000000"})
    {
        call made = running.make_call(0, "north", "desk");
        made.fields["Idempotency-Key"] = bad;
        const answer got = ask_now(made);
        cr_assert_eq(got.status, 400);
        cr_assert(got.body.find("Idempotency-Key") != std::string::npos);
    }
}
