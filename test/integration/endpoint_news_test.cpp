// What endpoints and the store say of an endpoint, and what instances send to
// it afterwards: leaving, and asking for rest.
#include "direct_checks.hpp"

#include <criterion/criterion.h>

#include <thread>

using namespace standin;
using std::chrono::milliseconds;
using moment = std::chrono::steady_clock::time_point;

namespace
{

/// Time for which a leaving endpoint may still be sent requests.
constexpr milliseconds leaving_bound{3000};

/// The instance that reads the store for all others; none if several do.
std::optional<std::size_t> reader_of(direct_fleet& fleet, std::size_t instances)
{
    std::optional<std::size_t> reader;
    for (std::size_t i = 0; i < instances; ++i)
    {
        if (!fleet.says(fleet.at(i), "sycamorelock_store_followed 1"))
            continue;
        if (reader)
            return std::nullopt;
        reader = i;
    }
    return reader;
}

/// The endpoint that ran a request of a fleet with two of each kind.
direct_engine& used_by(direct_fleet& fleet, const std::string& attempt_id)
{
    for (direct_engine* each :
         {&fleet.engine(0), &fleet.engine(1), &fleet.plain(0), &fleet.plain(1)})
    {
        if (each->runs_of(attempt_id) > 0)
            return *each;
    }
    throw std::runtime_error("nobody ran " + attempt_id);
}

/// The endpoint that serves requests which come one after the other.
direct_engine& preferred_by(direct_fleet& fleet, const char* path)
{
    const direct_call asked = fleet.make_call(0, path);
    cr_assert_eq(ask(asked).status, 200U);
    return used_by(fleet, asked.id);
}

} // namespace

// Guards against requests to an endpoint that has left, from instances that had
// the store's news all the while: their aggregator alone loses the store for a
// moment, and keeps the entry in use for all as if it had lapsed in an outage.
Test(endpoint_news,
     an_aggregator_that_lost_the_store_keeps_no_endpoint_that_left)
{
    direct_plan plan;
    plan.instances = 15;
    plan.plain = 3;
    plan.proxied = true;
    direct_fleet fleet(plan);
    std::optional<std::size_t> reader;
    cr_assert(eventually(
        [&] { return (reader = reader_of(fleet, plan.instances)).has_value(); },
        std::chrono::seconds(15)));
    // The aggregator's first waiting call was one of two seconds; members read
    // the store themselves for as long after it.
    std::this_thread::sleep_for(std::chrono::seconds(6));
    direct_engine& leaving = fleet.plain(0);
    std::vector<std::size_t> senders;
    for (std::size_t i = 0; i < plan.instances; ++i)
    {
        const direct_call asked = fleet.make_call(i, "/look/1");
        ask(asked);
        if (i != *reader && leaving.runs_of(asked.id) > 0)
            senders.push_back(i);
    }
    cr_assert_not(senders.empty());

    fault cut;
    cut.cut = true;
    fleet.faults().set("*", fleet.at(*reader).store_address, cut);
    fleet.store().remove("servers/" + leaving.boot());
    const moment left = std::chrono::steady_clock::now();
    // The aggregator is back before others tell it what it has missed.
    std::this_thread::sleep_for(milliseconds(700));
    fleet.faults().heal();
    while (std::chrono::steady_clock::now() < left + std::chrono::seconds(6))
    {
        for (const std::size_t each : senders)
            ask(fleet.make_call(each, "/look/1"));
    }
    cr_expect_eq(arrived_after(leaving, left + leaving_bound), 0, "%td",
                 arrived_after(leaving, left + leaving_bound));
}

// Guards against requests to an endpoint that has said in an answer that it
// leaves, while the store's news of it does not come.
Test(endpoint_news, an_endpoint_that_says_it_leaves_gets_nothing_new)
{
    direct_plan plan;
    plan.instances = 1;
    direct_fleet fleet(plan);
    for (const char* path : {"/plan/x", "/look/1"})
    {
        direct_engine& used = preferred_by(fleet, path);
        used.set_leaving(true);
        cr_assert_eq(ask(fleet.make_call(0, path)).status, 200U);
        const moment known = std::chrono::steady_clock::now();
        for (int i = 0; i < 30; ++i)
            cr_expect_eq(ask(fleet.make_call(0, path)).status, 200U);
        cr_expect_eq(arrived_after(used, known), 0, "%td at %s",
                     arrived_after(used, known), used.boot().c_str());
    }
}

// Guards against requests to an endpoint that has turned one away and asked for
// rest: first attempts, and repeats after the refusal of another endpoint.
Test(endpoint_news, an_endpoint_that_asked_for_rest_gets_none_until_it_ends)
{
    static constexpr std::ptrdiff_t most_in_rest = 2;
    direct_plan plan;
    plan.instances = 1;
    direct_fleet fleet(plan);
    for (const char* path : {"/plan/x", "/look/1"})
    {
        direct_engine& used = preferred_by(fleet, path);
        used.set_rest("3");
        direct_engine& other = preferred_by(fleet, path);
        const moment turned_away = std::chrono::steady_clock::now();
        std::this_thread::sleep_for(milliseconds(500));
        used.set_rest("");
        other.set_fault(answer_fault::declines);
        const moment counted = std::chrono::steady_clock::now();
        while (std::chrono::steady_clock::now() <
               turned_away + milliseconds(2900))
        {
            ask(fleet.make_call(0, path));
            std::this_thread::sleep_for(milliseconds(20));
        }
        cr_expect_leq(arrived_after(used, counted), most_in_rest, "%td at %s",
                      arrived_after(used, counted), used.boot().c_str());
        std::this_thread::sleep_for(milliseconds(200));
        cr_expect_eq(ask(fleet.make_call(0, path)).status, 200U,
                     "the rest is over");
        other.set_fault(answer_fault::none);
    }
}

// Guards against requests that go round all endpoints of a service while all of
// them rest, and against callers that come back while they still do.
Test(endpoint_news, when_all_endpoints_rest_callers_are_told_until_when)
{
    direct_plan plan;
    plan.instances = 1;
    direct_fleet fleet(plan);
    for (std::size_t i = 0; i < plan.plain; ++i)
        fleet.plain(i).set_rest("2");
    const moment begin = std::chrono::steady_clock::now();
    const direct_answer turned_away = ask(fleet.make_call(0, "/look/1"));
    cr_expect_eq(turned_away.status, 503U);
    const moment known = std::chrono::steady_clock::now();
    const direct_answer refused = ask(fleet.make_call(0, "/look/1"));
    cr_expect_eq(refused.status, 503U);
    cr_expect_lt(refused.seconds, 0.1);
    for (std::size_t i = 0; i < plan.plain; ++i)
    {
        fleet.plain(i).set_rest("");
        cr_expect_eq(arrived_after(fleet.plain(i), begin), 1);
        cr_expect_eq(arrived_after(fleet.plain(i), known), 0);
    }
    for (const direct_answer* each : {&turned_away, &refused})
    {
        cr_expect_geq(std::stod(each->retry_after), 1.8, "%s",
                      each->retry_after.c_str());
        cr_expect_leq(std::stod(each->retry_after), 3.0, "%s",
                      each->retry_after.c_str());
    }
    std::this_thread::sleep_for(
        std::chrono::duration<double>(std::stod(refused.retry_after)));
    cr_expect_eq(ask(fleet.make_call(0, "/look/1")).status, 200U);
}

// Guards against an endpoint that one instance loses for good: the entry goes
// and comes back with another start, another instance tells of that, and the
// answer of a slow store that tells of the removal comes after it.
Test(endpoint_news, late_news_of_the_earlier_start_does_not_remove_the_next)
{
    direct_plan plan;
    plan.instances = 2;
    plan.engines = 1;
    plan.proxied = true;
    direct_fleet fleet(plan);
    const auto knows = [&fleet](std::size_t instance, const char* start) {
        return fleet.log_of(fleet.at(instance)).find(start) !=
               std::string::npos;
    };
    constexpr const char* second_start = R"("started_ms":"2")";
    constexpr const char* third_start = R"("started_ms":"3")";
    // A change ends the waiting call of both, so the next ones begin within
    // half a second.
    fleet.list_engine(0, "ready", 2);
    cr_assert(eventually(
        [&] { return knows(0, second_start) && knows(1, second_start); },
        std::chrono::seconds(3)));
    std::this_thread::sleep_for(milliseconds(600));

    fault slow;
    slow.delay = milliseconds(1900);
    fleet.faults().set("*", fleet.at(1).store_address, slow);
    fleet.unlist_engine(0);
    std::this_thread::sleep_for(milliseconds(100));
    fleet.list_engine(0, "ready", 3);
    cr_assert(
        eventually([&] { return knows(1, third_start); }, milliseconds(1700)),
        "the other instance did not help in time");
    std::this_thread::sleep_for(milliseconds(1500));
    cr_expect_eq(ask(fleet.make_call(1)).status, 200U);
    cr_expect_not(knows(1, "endpoint_gone"), "%s",
                  fleet.log_of(fleet.at(1)).c_str());
}
