// Promise: what is answered 408, 421, 429 or 503, or "executed: no", has not
// run and never will, in both kinds of routing.
#include "direct_checks.hpp"
#include "plans.hpp"

#include <thread>

using namespace standin;
using std::chrono::milliseconds;

namespace
{

endless_bytes refusal_without_mark(const char* status)
{
    return {std::string("HTTP/1.1 ") + status +
                " Refused\r\nContent-Length: 0\r\n\r\n",
            "z"};
}

/// Statuses that promise that a request has not run.
bool promises_no_run(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// Time in which a request that is sent although it was refused reaches an
/// endpoint: leases and limits on silence are shorter.
constexpr milliseconds late_runs(1500);

/// Requests that may run once, all from one account, through the instances in
/// turn.
std::vector<call> once_only(fleet& running, std::size_t count,
                            milliseconds longest_wait)
{
    std::vector<call> calls;
    for (std::size_t i = 0; i < count; ++i)
    {
        const std::size_t through = i % running.instances().size();
        calls.push_back(running.make_call(through, "north", "planner"));
        calls.back().tokens = 25;
        calls.back().fields["X-Idempotent"] = "false";
        calls.back().fields["X-Deadline-Ms"] =
            std::to_string(longest_wait.count());
    }
    return calls;
}

/// One engine that serves a request at a time, in a tenth of a second.
fleet_plan one_slot()
{
    fleet_plan plan = usual_plan(1);
    plan.services.front().endpoints_per_domain = 1;
    plan.services.front().slots = 1;
    return plan;
}

/// Checks all answers, and that some are refusals and some are not.
void check_refusals(fleet& running, const std::vector<call>& calls,
                    const std::vector<answer>& answers)
{
    std::this_thread::sleep_for(late_runs);
    int refused = 0;
    int completed = 0;
    for (std::size_t i = 0; i < calls.size(); ++i)
    {
        const int runs = running.runs("planner", calls[i].mark);
        const bool promised =
            promises_no_run(answers[i].status) || answers[i].executed == "no";
        cr_expect(runs <= 1, "%d runs", runs);
        cr_expect(!promised || runs == 0, "status %u, reason %s",
                  answers[i].status, answers[i].reason.c_str());
        refused += promised ? 1 : 0;
        completed += answers[i].completed() ? 1 : 0;
    }
    cr_expect_gt(refused, 0);
    cr_expect_gt(completed, 0);
}

} // namespace

// Fault: an endpoint of the scheduled path has run a request and answers with a
// status that promises the contrary.
Test(refused, a_scheduled_refusal_without_the_mark_is_not_passed_on)
{
    for (const char* status : {"408", "421", "429", "503"})
    {
        fleet running(usual_plan(1));
        for (const char* service : {"planner", "desk"})
        {
            for (const auto& each : running.endpoints(service))
                each->set_endless(refusal_without_mark(status));
            call made = running.make_call(0, "north", service);
            made.fields["X-Idempotent"] = "false";
            const answer got = ask_now(made);
            cr_expect_eq(running.runs(service, made.mark), 1);
            cr_expect_eq(got.status, 502U, "%s at %s: status %u", status,
                         service, got.status);
            cr_expect_str_eq(got.executed.c_str(), "unknown", "%s at %s",
                             status, service);
        }
    }
}

// Requests that may run often are answered as their endpoint says.
Test(refused, a_scheduled_refusal_of_what_may_be_repeated_is_passed_on)
{
    fleet running(usual_plan(1));
    for (const auto& each : running.endpoints("desk"))
        each->set_endless(refusal_without_mark("429"));
    call made = running.make_call(0, "north", "desk");
    made.fields["X-Idempotent"] = "true";
    cr_expect_eq(ask_now(made).status, 429U);
}

// Fault: an instance that knows no configuration yet is sent a key under which
// another one has run a request.
Test(refused, an_instance_that_is_not_ready_says_nothing_of_keys)
{
    fleet_plan plan = once_plan();
    plan.instances_per_domain = 1;
    fleet running(plan);
    std::this_thread::sleep_for(milliseconds(900));
    const std::string key = make_key();
    cr_assert(ask_now(keyed(running, 0, key)).completed());
    running.kill_and_wait(running.at(2));
    running.partition("c", true);
    running.start(running.at(2));
    answer got;
    for (int i = 0; i < 100 && got.status == 0; ++i)
    {
        std::this_thread::sleep_for(milliseconds(50));
        got = ask_now(keyed(running, 2, key));
    }
    cr_expect_str_eq(got.reason.c_str(), "not_ready");
    cr_expect_str_eq(got.executed.c_str(), "unknown", "executed: %s",
                     got.executed.c_str());
    // Without a key it speaks for this request alone.
    const answer bare = ask_now(running.make_call(2, "north", "desk"));
    cr_expect_str_eq(bare.executed.c_str(), "no");
}

// Load: twice what one slot serves in the time that callers wait, so that
// grants cross the refusals of requests whose time has passed.
Test(refused, a_scheduled_request_whose_wait_is_over_never_runs)
{
    fleet running(one_slot());
    const std::vector<call> calls = once_only(running, 20, milliseconds(1000));
    const std::vector<answer> answers = ask_all(calls);
    check_refusals(running, calls, answers);
}

// Fault: an entry is frozen beyond the lease and the callers' time while
// requests wait there and grants are on their way.
Test(refused, what_a_frozen_entry_refuses_never_runs)
{
    fleet running(one_slot());
    const std::vector<call> calls = once_only(running, 20, milliseconds(1000));
    std::vector<answer> answers;
    std::thread open([&] { answers = ask_all(calls); });
    std::this_thread::sleep_for(milliseconds(300));
    running.signal(running.at(0), SIGSTOP);
    std::this_thread::sleep_for(milliseconds(2500));
    running.signal(running.at(0), SIGCONT);
    open.join();
    check_refusals(running, calls, answers);
}

// Fault: one endpoint declines or is another start, the other runs the request
// and loses its answer. What the first one said is no promise any more.
Test(refused, a_direct_request_is_not_refused_for_what_its_first_endpoint_said)
{
    for (const bool is_other_start : {false, true})
    {
        int both = 0;
        for (int round = 0; round < 4 && both == 0; ++round)
        {
            direct_plan plan;
            plan.instances = 1;
            direct_fleet fleet(plan);
            if (is_other_start)
                fleet.plain(0).restart_as("another");
            else
                fleet.plain(0).set_fault(answer_fault::declines);
            fleet.plain(1).set_fault(answer_fault::lost);
            for (int i = 0; i < 6; ++i)
            {
                const direct_call order = fleet.make_call(0, "/order/x");
                const direct_answer got = ask(order);
                const int runs = fleet.runs_of(order.id);
                cr_expect(runs <= 1, "%d runs", runs);
                cr_expect(!promises_no_run(got.status) || runs == 0,
                          "status %u", got.status);
                for (const arrival& each : fleet.plain(0).arrivals())
                    both += each.attempt_id == order.id && runs == 1 ? 1 : 0;
            }
        }
        cr_expect_gt(both, 0);
    }
}

// Load: 48 requests, eight at a time, at endpoints that decline, lose, cut and
// never answer, while one of two instances ends.
Test(refused, direct_refusals_hold_while_endpoints_fail_and_an_instance_ends)
{
    direct_plan plan;
    plan.plain = 4;
    direct_fleet fleet(plan);
    fleet.plain(0).set_fault(answer_fault::declines);
    fleet.plain(1).set_fault(answer_fault::lost);
    fleet.plain(2).set_fault(answer_fault::cut, 30);
    fleet.plain(3).set_fault(answer_fault::silent);
    int refused = 0;
    int open_ended = 0;
    for (int round = 0; round < 6; ++round)
    {
        if (round == 3)
            kill(fleet.at(0).pid, SIGTERM);
        std::vector<direct_call> calls;
        for (std::size_t i = 0; i < 8; ++i)
        {
            calls.push_back(fleet.make_call(i % 2, "/order/x"));
            calls.back().time_left_ms = 700;
        }
        // A caller that leaves learns nothing, and its request runs once at
        // most.
        calls.back().leave_after = milliseconds(50);
        std::vector<direct_answer> got(calls.size());
        std::vector<std::thread> callers;
        for (std::size_t i = 0; i < calls.size(); ++i)
            callers.emplace_back([&, i] { got[i] = ask(calls[i]); });
        for (std::thread& each : callers)
            each.join();
        std::this_thread::sleep_for(milliseconds(300));
        for (std::size_t i = 0; i < calls.size(); ++i)
        {
            const int runs = fleet.runs_of(calls[i].id);
            const bool promised = promises_no_run(got[i].status);
            cr_expect(runs <= 1, "%d runs", runs);
            cr_expect(!promised || runs == 0, "status %u", got[i].status);
            refused += promised ? 1 : 0;
            open_ended += got[i].status == 502 || got[i].status == 504 ? 1 : 0;
        }
    }
    cr_expect_gt(refused + open_ended, 0);
    cr_expect_gt(open_ended, 0);
}

// Fault: bytes that belong to no request come before the answer, on a
// connection that is used again, and look like a refusal.
Test(refused, a_stray_refusal_on_a_used_connection_is_no_answer)
{
    direct_plan plan;
    plan.instances = 1;
    plan.plain = 1;
    direct_fleet fleet(plan);
    cr_expect_eq(ask(fleet.make_call(0, "/order/x")).status, 200U);
    fleet.plain(0).set_fault(answer_fault::stray_refusal);
    const direct_call order = fleet.make_call(0, "/order/x");
    const direct_answer got = ask(order);
    cr_expect_eq(fleet.runs_of(order.id), 1);
    cr_expect(!promises_no_run(got.status), "status %u", got.status);
}

// Guards against MIXED and a lost answer: one that names no request is taken
// for the present request's, whose own answer follows.
Test(refused, a_stray_answer_on_a_used_connection_costs_its_caller_nothing)
{
    for (const answer_fault stray :
         {answer_fault::stray_refusal, answer_fault::stray_misdirection,
          answer_fault::stray_success})
    {
        direct_plan plan;
        plan.instances = 1;
        plan.plain = 1;
        direct_fleet fleet(plan);
        cr_expect_eq(ask(fleet.make_call(0, "/order/x")).status, 200U);
        fleet.plain(0).set_fault(stray);
        const direct_call order = fleet.make_call(0, "/order/x");
        const direct_answer got = ask(order);
        cr_expect_eq(fleet.runs_of(order.id), 1);
        cr_expect_eq(got.status, 200U, "status %u", got.status);
        cr_expect(got.body == "answer to " + order.id);
    }
}

// Guards against TWICE: a second copy of an earlier refusal is taken for the
// answer to a request that runs.
Test(refused, a_second_copy_of_a_refusal_is_no_answer)
{
    direct_plan plan;
    plan.instances = 1;
    plan.plain = 1;
    direct_fleet fleet(plan);
    fleet.plain(0).set_fault(answer_fault::declines);
    cr_expect_eq(ask(fleet.make_call(0, "/order/x")).status, 503U);
    fleet.plain(0).set_fault(answer_fault::repeated_refusal);
    const direct_call order = fleet.make_call(0, "/order/x");
    const direct_answer got = ask(order);
    cr_expect_eq(fleet.runs_of(order.id), 1);
    cr_expect_eq(got.status, 200U, "status %u", got.status);
}

// Guards against MIXED: a success that names no request is passed on, on a new
// connection or a used one.
Test(refused, a_success_that_names_no_request_is_no_answer)
{
    for (const bool is_used : {false, true})
    {
        direct_plan plan;
        plan.instances = 1;
        plan.plain = 1;
        direct_fleet fleet(plan);
        if (is_used)
            cr_expect_eq(ask(fleet.make_call(0, "/order/x")).status, 200U);
        fleet.plain(0).set_fault(answer_fault::unnamed);
        const direct_call order = fleet.make_call(0, "/order/x");
        const direct_answer got = ask(order);
        cr_expect_eq(fleet.runs_of(order.id), 1);
        cr_expect_eq(got.status, 502U, "status %u", got.status);
    }
}

// Guards against true refusals that become 502: one that names no request holds
// if nothing follows it, also on a connection that was used before.
Test(refused, a_refusal_without_a_name_stays_a_refusal)
{
    direct_plan plan;
    plan.instances = 1;
    plan.plain = 1;
    direct_fleet fleet(plan);
    for (int i = 0; i < 3; ++i)
    {
        fleet.plain(0).set_fault(answer_fault::none);
        cr_expect_eq(ask(fleet.make_call(0, "/order/x")).status, 200U);
        fleet.plain(0).set_fault(answer_fault::declines);
        const direct_call order = fleet.make_call(0, "/order/x");
        cr_expect_eq(ask(order).status, 503U);
        cr_expect_eq(fleet.runs_of(order.id), 0);
    }
}
