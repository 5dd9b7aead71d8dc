// A request's whole way through separate processes.
#include "fleet.hpp"

#include <criterion/criterion.h>

using namespace standin;

namespace
{

fleet_plan small_plan()
{
    fleet_plan plan;
    plan.domains = {"a"};
    plan.services = {{.name = "planner"}, {.name = "desk", .kind = "plain"}};
    return plan;
}

} // namespace

Test(path, answers_stream_back_whole_through_every_instance)
{
    fleet running(small_plan());
    for (std::size_t i = 0; i < running.instances().size(); ++i)
    {
        call streamed = running.make_call(i, "north", "planner");
        streamed.tokens = 20;
        const answer got = ask_now(streamed);
        cr_assert(got.completed(), "status %u, body %s", got.status,
                  got.body.c_str());
        cr_assert_eq(running.runs("planner", streamed.mark), 1);
        const call plain = running.make_call(i, "south", "desk");
        cr_assert(ask_now(plain).completed());
    }
}

Test(path, a_scheduler_on_another_instance_grants)
{
    // One shard has one scheduler, so of two entries one is remote to it.
    fleet running(small_plan());
    int schedulers = 0;
    for (const instance& which : running.instances())
    {
        const std::string status = running.operator_get(which, "/status");
        if (status.find("\"service\":\"planner\"") != std::string::npos)
            ++schedulers;
    }
    cr_assert_eq(schedulers, 1);
}

Test(path, unknown_key_and_service_are_refused_with_a_reason)
{
    fleet running(small_plan());
    call stranger = running.make_call(0, "nobody", "planner");
    const answer denied = ask_now(stranger);
    cr_assert_eq(denied.status, 401);
    cr_assert_str_eq(denied.reason.c_str(), "unauthenticated");
    cr_assert_str_eq(denied.executed.c_str(), "no");
    const call lost = running.make_call(0, "north", "nowhere");
    cr_assert_eq(ask_now(lost).status, 404);
}
