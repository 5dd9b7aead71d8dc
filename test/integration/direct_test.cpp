// Requests through instances that route directly, as real processes, before
// stand-ins of the store, the engines and the callers.
#include "direct_checks.hpp"

#include <criterion/criterion.h>

#include <thread>

using namespace standin;
using std::chrono::milliseconds;

Test(direct, requests_of_every_kind_are_served_and_translated)
{
    direct_fleet fleet({});
    direct_call plan = fleet.make_call(0);
    plan.fields = {{"Tenant", "forged"},
                   {"Kv-Hold", "forged"},
                   {"Connection", "Model, keep-alive"},
                   {"Model", "m"},
                   {"Token-Usage", "100,20"},
                   {"Prefix-Hash", "aa:50,bb:50"}};
    const direct_answer streamed = ask(plan);
    check_stream(streamed, plan, 5);
    cr_expect(streamed.seal == ("seal-" + plan.id));
    const int first = fleet.engine(0).runs_of(plan.id);
    const engine_run run = fleet.engine(first == 1 ? 0 : 1).runs().at(0);
    cr_expect(run.account == "north");
    cr_expect_str_eq(run.body.c_str(), "prompt");
    cr_expect_not(run.had_api_key);
    cr_expect_leq(run.time_left_ms, 4000);

    const std::string metrics =
        fleet.page(fleet.at(0).metrics_address(), "/metrics");
    for (const char* name : {"first", "pause", "total"})
        cr_expect_neq(metrics.find(std::string("sycamorelock_") + name +
                                   "_seconds_count{service=\"planner\"} 1"),
                      std::string::npos, "%s", name);

    direct_call order = fleet.make_call(1, "/order/1?x=y");
    order.chunked = true;
    const direct_answer done = ask(order);
    cr_expect_eq(done.status, 200U);
    cr_expect(done.body == "answer to " + order.id);

    direct_call open = fleet.make_call(1, "/open/1");
    open.key.clear();
    open.method = "GET";
    cr_expect_eq(ask(open).status, 200U);

    direct_call unknown = fleet.make_call(0, "/none/1");
    cr_expect_eq(ask(unknown).status, 404U);
    direct_call stranger = fleet.make_call(0);
    stranger.key = "key-nobody";
    cr_expect_eq(ask(stranger).status, 401U);
    cr_expect_eq(fleet.runs_of(stranger.id), 0);
    direct_call large = fleet.make_call(0, "/look/1");
    large.body = std::string(300000, 'x');
    cr_expect_eq(ask(large).status, 413U);
    direct_call wordy = fleet.make_call(0, "/look/1");
    wordy.fields["X-Long"] = std::string(9000, 'x');
    cr_expect_eq(ask(wordy).status, 431U);
}

// The last bytes of a body may be read before their arrival is reported. The
// report, which comes while the request is served, is no sign that its caller
// has left: one in forty such requests ended without an answer.
Test(direct, a_body_that_arrives_while_it_is_read_is_no_sign_of_leaving)
{
    direct_fleet fleet({});
    for (int i = 0; i < 300; ++i)
    {
        direct_call large = fleet.make_call(0);
        large.body =
            std::string(17000 + static_cast<std::size_t>(i) * 400, 'x');
        const direct_answer got = ask(large);
        cr_assert_eq(got.status, 200U, "%d: %u", i, got.status);
        cr_assert(got.whole);
    }
}

Test(direct, a_stream_cut_at_any_byte_goes_on_at_another_engine)
{
    direct_plan plan;
    plan.events = 3;
    plan.gap = milliseconds(1);
    direct_fleet fleet(plan);
    int whole = 0;
    for (long cut = 0; cut < 300; cut += 7)
    {
        for (std::size_t i = 0; i < 2; ++i)
            fleet.engine(i).set_fault(answer_fault::none);
        // Whichever engine is asked first, the fault comes once.
        fleet.engine(0).set_fault(answer_fault::cut, cut, 1);
        fleet.engine(1).set_fault(answer_fault::cut, cut, 1);
        direct_call asked = fleet.make_call(0);
        const direct_answer got = ask(asked);
        const int runs = fleet.runs_of(asked.id);
        cr_expect_leq(runs, 2);
        if (got.status != 200 || !got.whole)
            continue;
        ++whole;
        const std::string expected = stream_body(asked.id, 3, 0);
        cr_expect(got.body == expected, "cut at %ld: %zu bytes of %zu", cut,
                  got.body.size(), expected.size());
    }
    // The second attempt is cut as well where it is long enough.
    cr_expect_gt(whole, 10, "%d whole", whole);
}

Test(direct, a_stream_that_cannot_be_resumed_looks_cut)
{
    direct_fleet fleet({});
    for (std::size_t i = 0; i < 2; ++i)
        fleet.engine(i).set_fault(answer_fault::cut, 220);
    direct_call asked = fleet.make_call(0, "/draft/x");
    const direct_answer got = ask(asked);
    cr_expect_eq(got.status, 200U);
    cr_expect_not(got.whole);
    cr_expect_eq(fleet.runs_of(asked.id), 1);
}

Test(direct, what_may_run_once_is_sent_once)
{
    direct_fleet fleet({});
    for (const answer_fault fault :
         {answer_fault::lost, answer_fault::server_error, answer_fault::cut})
    {
        for (std::size_t i = 0; i < 2; ++i)
            fleet.plain(i).set_fault(fault, 30);
        direct_call order = fleet.make_call(0, "/order/1");
        const direct_answer got = ask(order);
        cr_expect_geq(got.status, 500U);
        cr_expect_neq(got.status, 503U);
        cr_expect_eq(fleet.runs_of(order.id), 1);
    }
}

Test(direct, a_declined_request_goes_elsewhere_or_is_truly_refused)
{
    direct_fleet fleet({});
    fleet.plain(0).set_fault(answer_fault::declines);
    for (int i = 0; i < 4; ++i)
    {
        direct_call order = fleet.make_call(0, "/order/1");
        cr_expect_eq(ask(order).status, 200U);
        cr_expect_eq(fleet.runs_of(order.id), 1);
    }
    fleet.plain(1).set_fault(answer_fault::declines);
    direct_call order = fleet.make_call(0, "/order/1");
    const direct_answer got = ask(order);
    cr_expect_eq(got.status, 503U);
    cr_expect_neq(got.retry_after.size(), 0U);
    cr_expect_eq(fleet.runs_of(order.id), 0);
}

Test(direct, a_safe_request_survives_errors_and_silence)
{
    direct_fleet fleet({});
    for (const answer_fault fault :
         {answer_fault::server_error, answer_fault::lost, answer_fault::silent,
          answer_fault::cut})
    {
        fleet.plain(0).set_fault(fault, 10);
        for (int i = 0; i < 3; ++i)
        {
            direct_call look = fleet.make_call(0, "/look/1");
            const direct_answer got = ask(look);
            cr_expect_eq(got.status, 200U, "fault %d: %u",
                         static_cast<int>(fault), got.status);
        }
    }
}

Test(direct, an_extra_answer_belongs_to_nobody)
{
    direct_plan plan;
    plan.plain = 1;
    direct_fleet fleet(plan);
    cr_expect_eq(ask(fleet.make_call(0, "/order/1")).status, 200U);
    fleet.plain(0).set_fault(answer_fault::extra);
    for (int i = 0; i < 3; ++i)
    {
        direct_call order = fleet.make_call(0, "/order/1");
        const direct_answer got = ask(order);
        cr_expect_eq(got.status, 200U);
        cr_expect(got.body == ("answer to " + order.id));
    }
}

Test(direct, an_answer_without_a_length_is_passed_on_whole)
{
    direct_fleet fleet({});
    for (std::size_t i = 0; i < 2; ++i)
        fleet.engine(i).set_fault(answer_fault::unframed);
    direct_call asked = fleet.make_call(0);
    check_stream(ask(asked), asked, 5);
}

Test(direct, an_address_that_another_endpoint_has_runs_nothing)
{
    direct_plan plan;
    plan.engines = 1;
    direct_fleet fleet(plan);
    fleet.engine(0).restart_as("another");
    direct_call asked = fleet.make_call(0);
    const direct_answer got = ask(asked);
    cr_expect_eq(got.status, 503U);
    cr_expect_eq(fleet.runs_of(asked.id), 0);
}

Test(direct, a_caller_that_leaves_frees_the_engine)
{
    direct_plan plan;
    plan.engines = 1;
    plan.events = 200;
    direct_fleet fleet(plan);
    direct_call asked = fleet.make_call(0);
    asked.leave_after = milliseconds(200);
    ask(asked);
    cr_expect(eventually([&] { return fleet.engine(0).working() == 0; },
                         milliseconds(500)));
}

Test(direct, the_final_answer_comes_at_the_time_limit)
{
    direct_plan plan;
    plan.plain = 1;
    direct_fleet fleet(plan);
    fleet.plain(0).set_fault(answer_fault::silent);
    direct_call order = fleet.make_call(0, "/order/1");
    const direct_answer got = ask(order);
    cr_expect_eq(got.status, 504U);
    cr_expect_float_eq(got.seconds, 1.5, 0.3, "%f s", got.seconds);
}

Test(direct, a_draining_engine_gets_nothing_new)
{
    direct_fleet fleet({});
    fleet.list_engine(0, "draining");
    fleet.unlist_engine(1);
    cr_expect(eventually([&] { return ask(fleet.make_call(0)).status == 503; },
                         std::chrono::seconds(2)));
    const std::size_t before = fleet.engine(0).runs().size();
    for (int i = 0; i < 5; ++i)
        cr_expect_eq(ask(fleet.make_call(0)).status, 503U);
    cr_expect_eq(fleet.engine(0).runs().size(), before);
}
