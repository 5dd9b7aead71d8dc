// Promise: every caller receives the whole answer to its own request; one that
// was cut looks cut.
#include "plans.hpp"

#include <criterion/criterion.h>

using namespace standin;

namespace
{

fleet_plan answers_plan()
{
    fleet_plan plan = usual_plan(1);
    plan.endpoints_proxied = true;
    return plan;
}

std::vector<call> many(fleet& running, const std::string& service, int count)
{
    std::vector<call> calls;
    for (int i = 0; i < count; ++i)
    {
        call made = running.make_call(static_cast<std::size_t>(i) % 2, "north",
                                      service);
        made.tokens = service == "planner" ? 10 + i % 20 : -1;
        calls.push_back(made);
    }
    return calls;
}

} // namespace

Test(answers, reused_connections_carry_each_answer_to_its_caller)
{
    fleet running(answers_plan());
    for (int round = 0; round < 5; ++round)
    {
        for (const answer& got : ask_all(many(running, "planner", 40)))
            cr_assert(got.completed() && !got.foreign);
        for (const answer& got : ask_all(many(running, "desk", 40)))
            cr_assert(got.completed() && !got.foreign);
    }
}

Test(answers, callers_that_leave_disturb_nobody)
{
    fleet running(answers_plan());
    for (int round = 0; round < 5; ++round)
    {
        std::vector<call> calls = many(running, "planner", 40);
        for (std::size_t i = 0; i < calls.size(); i += 2)
            calls[i].leave_after = std::chrono::milliseconds(5 + 10 * i);
        const auto answers = ask_all(calls);
        for (std::size_t i = 1; i < answers.size(); i += 2)
            cr_assert(answers[i].completed(), "status %u", answers[i].status);
    }
    const bool idle = eventually(
        [&]
        {
            double open = 0;
            for (const instance& which : running.instances())
                open += running.metric(which, "sycamorelock_requests_open");
            return open == 0;
        },
        std::chrono::seconds(10));
    cr_assert(idle);
    cr_assert_eq(broken_invariants(running), 0);
}

Test(answers, odd_bytes_behind_an_answer_reach_no_other_caller)
{
    fleet running(answers_plan());
    for (const auto& each : running.endpoints("desk"))
        each->send_odd_bytes(true);
    for (int round = 0; round < 5; ++round)
    {
        for (const answer& got : ask_all(many(running, "desk", 30)))
        {
            cr_assert_not(got.foreign);
            cr_assert(got.completed() || got.refused());
        }
    }
}

Test(answers, an_answer_that_names_another_request_is_not_passed_on)
{
    fleet running(answers_plan());
    for (const auto& each : running.endpoints("desk"))
        each->mix_answers(true);
    const answer got = ask_now(running.make_call(0, "north", "desk"));
    cr_assert(got.refused());
    cr_assert_eq(got.status, 502);
    cr_assert_str_eq(got.executed.c_str(), "unknown");
}

Test(answers, a_cut_stream_looks_cut)
{
    fleet running(answers_plan());
    for (const auto& each : running.endpoints("planner"))
        each->truncate_after(7);
    call made = running.make_call(0, "north", "planner");
    made.tokens = 30;
    const answer got = ask_now(made);
    cr_assert_eq(got.status, 200);
    cr_assert_not(got.whole);
    cr_assert_eq(got.tokens, 7);
}

Test(answers, cuts_at_any_byte_of_the_answer_look_cut_or_are_refused)
{
    fleet running(answers_plan());
    for (long bytes = 0; bytes < 600; bytes += 40)
    {
        fault harm;
        harm.truncate_back = bytes;
        running.harm_endpoints("planner", harm);
        call made = running.make_call(0, "north", "planner");
        made.tokens = 40;
        made.fields["X-Idempotent"] = "false";
        const answer got = ask_now(made);
        cr_assert_not(got.completed());
        cr_assert_not(got.foreign);
        if (got.status != 200)
            cr_assert(got.refused());
        cr_assert(running.runs("planner", made.mark) <= 1);
        if (got.executed == "no")
            cr_assert_eq(running.runs("planner", made.mark), 0);
        running.faults().heal();
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

Test(answers, a_refusal_not_run_is_true_under_cuts_of_the_request)
{
    fleet running(answers_plan());
    int refused = 0;
    for (long bytes = 0; bytes < 400; bytes += 25)
    {
        fault harm;
        harm.truncate_forward = bytes;
        harm.cut = bytes == 0;
        running.harm_endpoints("desk", harm);
        const call made = running.make_call(0, "north", "desk");
        const answer got = ask_now(made);
        refused += got.refused() ? 1 : 0;
        if (got.executed == "no")
            cr_assert_eq(running.runs("desk", made.mark), 0);
        cr_assert(running.runs("desk", made.mark) <= 1);
        running.faults().heal();
    }
    cr_assert(refused > 5, "%d", refused);
}

Test(answers, an_endpoint_that_drops_answers_leaves_the_outcome_unknown)
{
    fleet running(answers_plan());
    running.drop_answers("desk", true);
    const call made = running.make_call(0, "north", "desk");
    const answer got = ask_now(made);
    cr_assert_str_eq(got.reason.c_str(), "endpoint_failed");
    cr_assert_str_eq(got.executed.c_str(), "unknown");
    cr_assert_eq(running.runs("desk", made.mark), 1);
}

Test(answers, a_repeatable_request_is_retried_elsewhere)
{
    fleet running(answers_plan());
    running.endpoints("planner").front()->drop_answers(true);
    for (int i = 0; i < 10; ++i)
    {
        call made = running.make_call(0, "north", "planner");
        made.tokens = 3;
        cr_assert(ask_now(made).completed());
    }
}
