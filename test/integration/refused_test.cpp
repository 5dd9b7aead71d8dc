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
