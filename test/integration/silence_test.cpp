// Endpoints from which nothing is read for a while, as real processes.
#include "direct_checks.hpp"

#include <criterion/criterion.h>

#include <csignal>
#include <thread>

using namespace standin;
using std::chrono::milliseconds;

namespace
{

/// Longer than an instance waits for the next event: four times the objective
/// of pauses, which is 100 ms.
constexpr milliseconds long_pause{1200};
/// The same for the first event: 2.5 times the objective, 400 ms.
constexpr milliseconds long_start{1600};

direct_plan one_endpoint_each()
{
    direct_plan plan;
    plan.instances = 1;
    plan.engines = 1;
    plan.plain = 1;
    plan.events = 10;
    plan.gap = milliseconds(20);
    return plan;
}

/// Asks many times at once.
std::vector<direct_answer> ask_all(const std::vector<direct_call>& calls)
{
    std::vector<direct_answer> got(calls.size());
    std::vector<std::thread> callers;
    callers.reserve(calls.size());
    for (std::size_t i = 0; i < calls.size(); ++i)
        callers.emplace_back([&, i] { got[i] = ask(calls[i]); });
    for (std::thread& each : callers)
        each.join();
    return got;
}

/// Whether one of two engines has begun a request, and the other engine.
std::pair<bool, std::size_t> where_it_begins(direct_fleet& fleet,
                                             const direct_call& asked)
{
    const bool begun = eventually([&] { return fleet.runs_of(asked.id) == 1; },
                                  std::chrono::seconds(2));
    return {begun, fleet.engine(0).runs_of(asked.id) == 0 ? 0 : 1};
}

/// Stops the process for a time, as a machine that gets no processor does.
void freeze(const direct_instance& which, milliseconds length)
{
    ::kill(which.pid, SIGSTOP);
    std::this_thread::sleep_for(length);
    ::kill(which.pid, SIGCONT);
}

} // namespace

// Guards against LOST: a stream was cut because its endpoint paused, though no
// other endpoint could go on with it.
Test(silence, a_stream_stays_with_its_endpoint_while_no_other_can_take_it)
{
    direct_fleet fleet(one_endpoint_each());
    fleet.engine(0).set_pause(4, long_pause);
    const direct_call asked = fleet.make_call(0);
    check_stream(ask(asked), asked, 10);
    cr_expect_eq(fleet.runs_of(asked.id), 1);
}

// Guards against the same before the first event: the run was given up and the
// caller got 502.
Test(silence, a_request_stays_with_its_endpoint_while_no_other_can_take_it)
{
    direct_fleet fleet(one_endpoint_each());
    fleet.engine(0).set_pause(1, long_start);
    const direct_call stream = fleet.make_call(0);
    check_stream(ask(stream), stream, 10);
    cr_expect_eq(fleet.runs_of(stream.id), 1);

    fleet.plain(0).set_pause(0, milliseconds(700));
    const direct_call look = fleet.make_call(0, "/look/1");
    cr_expect_eq(ask(look).status, 200U);
    cr_expect_eq(fleet.runs_of(look.id), 1);
}

// Guards against LOST: streams were cut because the budget of repeats was spent
// when their endpoint paused.
Test(silence, a_stream_stays_with_its_endpoint_while_no_repeat_is_allowed)
{
    direct_plan plan = one_endpoint_each();
    plan.engines = 2;
    direct_fleet fleet(plan);
    const std::string text = fleet.settings_of(fleet.at(0));
    std::string without = text;
    without.replace(without.find("retry_slack: 100"), 16, "retry_slack: 0");
    fleet.write_settings(fleet.at(0), without + "retry_ratio: 0\n");
    ::kill(fleet.at(0).pid, SIGHUP);
    std::this_thread::sleep_for(milliseconds(300));
    for (std::size_t i = 0; i < 2; ++i)
        fleet.engine(i).set_pause(4, long_pause);
    // One repeat can always be saved up; this request takes it.
    ask(fleet.make_call(0));
    const direct_call asked = fleet.make_call(0);
    check_stream(ask(asked), asked, 10);
    cr_expect_eq(fleet.runs_of(asked.id), 1);
}

// Guards against LOST: an instance that got no processor for a while took
// endpoints for silent whose answers it had not read.
Test(silence, what_waits_to_be_read_is_no_silence)
{
    direct_plan plan = one_endpoint_each();
    plan.engines = 2;
    plan.events = 30;
    plan.gap = milliseconds(60);
    direct_fleet fleet(plan);
    std::vector<direct_call> calls;
    for (int i = 0; i < 12; ++i)
        calls.push_back(fleet.make_call(0));
    for (std::size_t i = 0; i < 2; ++i)
        fleet.engine(i).set_pause(1, milliseconds(300));
    std::thread stop(
        [&]
        {
            std::this_thread::sleep_for(milliseconds(200));
            freeze(fleet.at(0), milliseconds(1300));
        });
    const std::vector<direct_answer> got = ask_all(calls);
    stop.join();
    for (std::size_t i = 0; i < calls.size(); ++i)
    {
        check_stream(got[i], calls[i], 30);
        cr_expect_eq(fleet.runs_of(calls[i].id), 1);
    }
}

// Guards against LOST: a caller that read slowly made its endpoint look silent,
// and the rest of the answer was thrown away.
Test(silence, a_caller_that_reads_slowly_makes_no_endpoint_silent)
{
    direct_plan plan = one_endpoint_each();
    plan.engines = 2;
    plan.events = 40;
    plan.gap = milliseconds(1);
    direct_fleet fleet(plan);
    for (std::size_t i = 0; i < 2; ++i)
        fleet.engine(i).set_padding(256 * 1024);
    direct_call asked = fleet.make_call(0);
    asked.read_after = milliseconds(1500);
    const direct_answer got = ask(asked);
    cr_expect(got.whole);
    cr_expect_gt(got.body.size(), 40U * 256 * 1024);
    cr_expect_eq(fleet.runs_of(asked.id), 1);
}

// Guards against LOST: a stream was cut because the endpoint that was to go on
// with it declined, though the one that was left had only paused.
Test(silence, a_stream_stays_with_its_endpoint_until_another_has_taken_it)
{
    direct_plan plan = one_endpoint_each();
    plan.engines = 2;
    direct_fleet fleet(plan);
    for (std::size_t i = 0; i < 2; ++i)
        fleet.engine(i).set_pause(4, long_pause);
    const direct_call asked = fleet.make_call(0);
    direct_answer got;
    std::thread caller([&] { got = ask(asked); });
    const auto [begun, other] = where_it_begins(fleet, asked);
    fleet.engine(other).set_fault(answer_fault::declines);
    caller.join();
    cr_assert(begun);
    check_stream(got, asked, 10);
}

// Guards against the same where the other endpoint breaks off before it
// answers.
Test(silence, a_stream_stays_with_its_endpoint_when_another_breaks_at_once)
{
    direct_plan plan = one_endpoint_each();
    plan.engines = 2;
    direct_fleet fleet(plan);
    for (std::size_t i = 0; i < 2; ++i)
        fleet.engine(i).set_pause(4, long_pause);
    const direct_call asked = fleet.make_call(0);
    direct_answer got;
    std::thread caller([&] { got = ask(asked); });
    const auto [begun, other] = where_it_begins(fleet, asked);
    fleet.engine(other).set_fault(answer_fault::lost);
    caller.join();
    cr_assert(begun);
    check_stream(got, asked, 10);
    cr_expect(
        fleet.says(fleet.at(0), "sycamorelock_silent_endpoints_kept_total 1"));
}

// Guards against callers who wait until their time is over for a silent
// endpoint, though another one has answered that it failed.
Test(silence, the_failure_of_another_endpoint_is_passed_on)
{
    direct_plan plan = one_endpoint_each();
    plan.engines = 2;
    direct_fleet fleet(plan);
    for (std::size_t i = 0; i < 2; ++i)
        fleet.engine(i).set_fault(answer_fault::silent);
    const direct_call asked = fleet.make_call(0);
    direct_answer got;
    std::thread caller([&] { got = ask(asked); });
    const auto [begun, other] = where_it_begins(fleet, asked);
    fleet.engine(other).set_fault(answer_fault::server_error);
    caller.join();
    cr_assert(begun);
    cr_expect_eq(got.status, 500U, "%u", got.status);
}

// Guards against work that is done twice: an endpoint that was silent works on
// after another one has taken its request.
Test(silence, an_endpoint_is_left_once_another_has_taken_its_request)
{
    direct_plan plan = one_endpoint_each();
    plan.engines = 2;
    plan.gap = milliseconds(150);
    direct_fleet fleet(plan);
    for (std::size_t i = 0; i < 2; ++i)
        fleet.engine(i).set_fault(answer_fault::silent);
    const direct_call asked = fleet.make_call(0);
    direct_answer got;
    std::thread caller([&] { got = ask(asked); });
    const auto [begun, other] = where_it_begins(fleet, asked);
    fleet.engine(other).set_fault(answer_fault::none);
    const bool taken =
        eventually([&] { return fleet.engine(other).runs_of(asked.id) == 1; },
                   std::chrono::seconds(3));
    const bool left =
        eventually([&] { return fleet.engine(1 - other).working() == 0; },
                   milliseconds(400));
    caller.join();
    cr_assert(begun);
    cr_assert(taken);
    cr_expect(left);
    check_stream(got, asked, 10);
}

// Guards against the same where the other endpoint does not answer either.
Test(silence, an_endpoint_is_left_soon_after_another_was_asked)
{
    direct_plan plan = one_endpoint_each();
    plan.plain = 2;
    direct_fleet fleet(plan);
    for (std::size_t i = 0; i < 2; ++i)
        fleet.plain(i).set_fault(answer_fault::silent);
    const direct_call asked = fleet.make_call(0, "/look/1");
    std::thread caller([&] { ask(asked); });
    const bool both = eventually([&] { return fleet.runs_of(asked.id) == 2; },
                                 std::chrono::seconds(2));
    const bool left = eventually(
        [&]
        { return fleet.plain(0).working() + fleet.plain(1).working() == 1; },
        milliseconds(400));
    caller.join();
    cr_assert(both);
    cr_expect(left);
}

// Guards against answers that are thrown away while they arrive: the limit for
// the first answer held for the whole of it.
Test(silence, an_answer_that_arrives_in_pieces_is_no_silence)
{
    direct_plan plan = one_endpoint_each();
    plan.plain = 2;
    direct_fleet fleet(plan);
    for (std::size_t i = 0; i < 2; ++i)
        fleet.plain(i).set_pieces(10, milliseconds(50));
    const direct_call asked = fleet.make_call(0, "/look/1");
    cr_expect_eq(ask(asked).status, 200U);
    cr_expect_eq(fleet.runs_of(asked.id), 1);
}

// Guards against LOST: a long answer without events was cut in the middle while
// it arrived, and no other endpoint can go on with one.
Test(silence, a_long_answer_that_arrives_in_pieces_is_not_cut)
{
    static constexpr std::size_t size = 400 * 1024;
    direct_plan plan = one_endpoint_each();
    plan.plain = 2;
    direct_fleet fleet(plan);
    // Longer than 2.5 times the objective of the route, 150 ms, and shorter
    // than its limit, 1,500 ms.
    for (std::size_t i = 0; i < 2; ++i)
    {
        fleet.plain(i).set_padding(size);
        fleet.plain(i).set_pieces(16 * 1024, milliseconds(25));
    }
    const direct_call asked = fleet.make_call(0, "/look/x");
    const direct_answer got = ask(asked);
    cr_expect_eq(got.status, 200U);
    cr_expect(got.whole, "%zu bytes", got.body.size());
    cr_expect_geq(got.body.size(), size);
    cr_expect_eq(fleet.runs_of(asked.id), 1);
}

// Guards against requests that stay open, and count as work of their endpoint,
// for as long as their caller keeps the connection and reads nothing.
Test(silence, a_caller_that_reads_nothing_is_left_when_its_time_is_over)
{
    direct_plan plan = one_endpoint_each();
    plan.events = 40;
    plan.gap = milliseconds(1);
    direct_fleet fleet(plan);
    fleet.engine(0).set_padding(1024 * 1024);
    direct_call asked = fleet.make_call(0);
    asked.time_left_ms = 1000;
    asked.read_after = milliseconds(4000);
    std::thread caller([&] { ask(asked); });
    std::this_thread::sleep_for(milliseconds(500));
    const bool was_open =
        fleet.says(fleet.at(0), "sycamorelock_requests_open 1");
    std::this_thread::sleep_for(milliseconds(2000));
    const bool ended = fleet.says(fleet.at(0), "sycamorelock_requests_open 0");
    caller.join();
    cr_assert(was_open);
    cr_expect(ended);
}

// Guards against cuts at the end of a request's time that are counted as cuts
// by its endpoint for which no other was left.
Test(silence, a_stream_that_is_cut_at_its_time_is_counted_so)
{
    direct_fleet fleet(one_endpoint_each());
    fleet.engine(0).set_pause(4, milliseconds(3000));
    direct_call asked = fleet.make_call(0);
    asked.time_left_ms = 1200;
    cr_expect_not(ask(asked).whole);
    const std::string metrics =
        fleet.page(fleet.at(0).metrics_address(), "/metrics");
    cr_expect(metrics.find("cut_total{reason=\"time_over") != std::string::npos,
              "%s", metrics.substr(metrics.find("cut_total{"), 80).c_str());
}
