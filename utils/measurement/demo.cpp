// A fleet of six instances in three failure domains, with traffic of several
// client accounts and a table of what became of it.
#include "load.hpp"

#include <cstdio>
#include <iostream>

int main()
{
    using namespace standin;
    fleet_plan plan;
    plan.accounts = {{"dispatch", 1}, {"workshop", 2}, {"driver", 1}};
    plan.extra = "log_level: warn\n";
    service_plan planner;
    planner.name = "planner";
    planner.endpoints_per_domain = 2;
    service_plan desk;
    desk.name = "desk";
    desk.kind = "plain";
    plan.services = {planner, desk};
    fleet running(plan);

    call streamed = running.make_call(0, "driver", "planner");
    streamed.tokens = 5;
    const answer first = ask_now(streamed);
    const answer plain = ask_now(running.make_call(3, "driver", "desk"));
    std::cout << "A streamed answer:\n" << first.body;
    std::cout << "A plain answer: " << plain.body << "\n\n";

    const std::vector<sender> senders{
        {"dispatch", 1, 40, {0, 1}}, {"workshop", 2, 40}, lookups("driver")};
    load work(running, "planner", planner.slots, senders, 1);
    const tally& counted = work.run(std::chrono::seconds(5));

    std::printf("%-10s %9s %9s %21s\n", "account", "completed", "tokens",
                "first token p95 (ms)");
    for (const sender& each : senders)
    {
        const auto samples = counted.first_token_ms.find(each.account);
        const std::vector<double> none;
        const auto& times =
            samples == counted.first_token_ms.end() ? none : samples->second;
        std::printf("%-10s %9zu %9ld %21.0f\n", each.account.c_str(),
                    times.size(), counted.accounts.at(each.account).tokens,
                    percentile(times, 0.95));
    }
    std::printf("offered %ld, completed %ld, refused %zu, lost %ld, run twice "
                "%ld, untrue refusals %ld\n",
                counted.offered, counted.completed, counted.refused.size(),
                counted.lost, work.run_twice(), work.untrue_refusals());
    const bool good = first.completed() && plain.completed() &&
                      counted.completed == counted.offered &&
                      counted.foreign == 0 && work.run_twice() == 0;
    std::cout << (good ? "every request came out as promised\n"
                       : "something did not come out as promised\n");
    return good ? 0 : 1;
}
