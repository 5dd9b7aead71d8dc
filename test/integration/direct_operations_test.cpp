// What operators do to instances that route directly, and what they can tell:
// configuration, the store, shutdown, settings, logs, metrics, large fleets.
#include "direct_checks.hpp"

#include <criterion/criterion.h>

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <sstream>
#include <thread>

using namespace standin;
using std::chrono::milliseconds;

namespace
{

/// Connections that callers leave open.
struct many_connections
{
    std::vector<std::unique_ptr<beast::tcp_stream>> streams;
    /// Answers that end their connection.
    int closing = 0;
};

/// Opens 300 connections; half of them ask once, half say nothing at all.
asio::awaitable<void> open_many(direct_fleet& fleet, many_connections& held)
{
    static constexpr int count = 300;
    const auto executor = co_await asio::this_coro::executor;
    for (int i = 0; i < count; ++i)
    {
        held.streams.push_back(std::make_unique<beast::tcp_stream>(executor));
        beast::tcp_stream& stream = *held.streams.back();
        stream.expires_after(std::chrono::seconds(10));
        direct_call asked = fleet.make_call(0, "/open/1");
        asked.method = "GET";
        const tcp::endpoint to = endpoint_of(asked.to);
        auto [error] = co_await stream.async_connect(to, as_result);
        cr_expect_not(error);
        if (i % 2 == 0)
            continue;
        direct_answer got;
        co_await ask_over(stream, asked, got);
        cr_expect_eq(got.status, 200U, "%d: %u", i, got.status);
        held.closing += got.closes ? 1 : 0;
    }
}

} // namespace

Test(direct, a_configuration_is_in_force_within_two_seconds)
{
    direct_fleet fleet({});
    direct_call later = fleet.make_call(1);
    later.key = "key-south";
    cr_expect_eq(ask(later).status, 401U);
    fleet.publish(5, {"south"});
    cr_expect(eventually([&] { return ask(later).status == 200; },
                         std::chrono::seconds(2)));
    // A lower version changes nothing.
    fleet.publish(3);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    cr_expect_eq(ask(later).status, 200U);
}

Test(direct, the_store_is_away_at_the_start)
{
    direct_plan plan;
    plan.store_down = true;
    direct_fleet fleet(plan);
    cr_expect(eventually([&] { return ask(fleet.make_call(0)).status == 503; },
                         std::chrono::seconds(5)));
    cr_expect_not(fleet.ready(fleet.at(0)));
    fleet.store().set_mode(store_mode::up);
    fleet.wait_ready();
    cr_expect_eq(ask(fleet.make_call(0)).status, 200U);
}

Test(direct, an_outage_of_the_store_stops_nothing)
{
    direct_fleet fleet({});
    for (const store_mode mode :
         {store_mode::closed, store_mode::silent, store_mode::busy})
    {
        fleet.store().set_mode(mode);
        std::this_thread::sleep_for(std::chrono::seconds(1));
        cr_expect_eq(ask(fleet.make_call(0)).status, 200U);
        fleet.store().set_mode(store_mode::up);
    }
    fleet.store().forget_history();
    fleet.publish(9, {"south"});
    direct_call later = fleet.make_call(0);
    later.key = "key-south";
    cr_expect(eventually([&] { return ask(later).status == 200; },
                         std::chrono::seconds(5)));
}

Test(direct, sigterm_finishes_what_is_open)
{
    direct_plan plan;
    plan.events = 100;
    direct_fleet fleet(plan);
    direct_call asked = fleet.make_call(0);
    direct_answer got;
    std::thread open([&] { got = ask(asked); });
    std::this_thread::sleep_for(milliseconds(200));
    kill(fleet.at(0).pid, SIGTERM);
    cr_expect(eventually([&] { return !fleet.ready(fleet.at(0)); },
                         milliseconds(500)));
    // New connections are served while the balancer learns of it.
    const direct_answer late = ask(fleet.make_call(0, "/look/1"));
    cr_expect_eq(late.status, 200U);
    cr_expect(late.closes);
    open.join();
    check_stream(got, asked, 100);
    int status = -1;
    cr_expect(wait_for_exit(fleet.at(0).pid, std::chrono::seconds(5), &status));
    cr_expect_eq(status, 0);
    fleet.at(0).pid = -1;
}

Test(direct, the_cause_of_a_refusal_is_in_the_log)
{
    direct_fleet fleet({});
    fleet.unlist_engine(0);
    fleet.unlist_engine(1);
    direct_call refused;
    cr_assert(eventually(
        [&]
        {
            refused = fleet.make_call(0);
            return ask(refused).status == 503;
        },
        std::chrono::seconds(3)));
    cr_expect(eventually(
        [&]
        {
            const std::string log = fleet.log_of(fleet.at(0));
            return log.find("\"request\":\"" + refused.id) !=
                       std::string::npos &&
                   log.find("\"reason\":\"no_endpoint\"") !=
                       std::string::npos &&
                   log.find("\"name\":\"endpoint_gone\"") != std::string::npos;
        },
        std::chrono::seconds(2)));
    direct_call stranger = fleet.make_call(0);
    stranger.key = "key-nobody";
    cr_expect_eq(ask(stranger).status, 401U);
    cr_expect(eventually(
        [&]
        {
            return fleet.log_of(fleet.at(0))
                       .find("\"request\":\"" + stranger.id +
                             "\",\"status\":\"401\","
                             "\"reason\":\"unknown_key\"") != std::string::npos;
        },
        std::chrono::seconds(2)));
    const std::string metrics =
        fleet.page(fleet.at(0).metrics_address(), "/metrics");
    cr_expect_neq(metrics.find("refused_total{reason=\"no_endpoint\"}"),
                  std::string::npos);
}

Test(direct, settings_are_read_again_or_refused_with_every_finding)
{
    direct_fleet fleet({});
    direct_instance& one = fleet.at(0);
    const std::string good = fleet.settings_of(one);
    // What was read at the start is not read in again.
    std::this_thread::sleep_for(milliseconds(2500));
    cr_assert(fleet.log_of(one).find("settings_reloaded") == std::string::npos);
    fleet.write_settings(one, good + "retry_ratio: 7\nnonsense: 1\n");
    kill(one.pid, SIGHUP);
    cr_expect(eventually(
        [&]
        {
            const std::string log = fleet.log_of(one);
            return log.find("retry_ratio") != std::string::npos &&
                   log.find("nonsense") != std::string::npos;
        },
        std::chrono::seconds(2)));
    cr_expect_eq(ask(fleet.make_call(0)).status, 200U);
    // Without a signal.
    fleet.write_settings(one, good + "retry_ratio: 0.1\n");
    cr_expect(eventually(
        [&] {
            return fleet.log_of(one).find("settings_reloaded") !=
                   std::string::npos;
        },
        std::chrono::seconds(5)));
}

// A reader that does not read must hold up no request.
Test(direct, a_log_that_nobody_reads_holds_up_nothing)
{
    direct_plan plan;
    plan.unread_logs = true;
    plan.instances = 1;
    plan.events = 1;
    direct_fleet fleet(plan);
    for (int i = 0; i < 600; ++i)
    {
        const direct_answer got = ask(fleet.make_call(0, "/look/1"));
        cr_assert_eq(got.status, 200U, "request %d", i);
        cr_assert_lt(got.seconds, 1.0, "request %d", i);
    }
    kill(fleet.at(0).pid, SIGTERM);
    int status = -1;
    cr_expect(wait_for_exit(fleet.at(0).pid, std::chrono::seconds(6), &status));
    fleet.at(0).pid = -1;
}

// Beyond a dozen instances the exchange goes by aggregators.
Test(direct, every_instance_hears_of_the_work_of_all_others)
{
    for (const std::size_t instances : {3, 16})
    {
        direct_plan plan;
        plan.instances = instances;
        plan.events = 60;
        plan.gap = milliseconds(50);
        direct_fleet fleet(plan);
        const std::string all =
            "sycamorelock_peers_live " + std::to_string(instances - 1);
        const auto says = [&](std::size_t i, const std::string& line)
        { return fleet.says(fleet.at(i), line); };
        for (std::size_t i = 0; i < instances; ++i)
            cr_assert(eventually([&] { return says(i, all); },
                                 std::chrono::seconds(10)));
        direct_call asked = fleet.make_call(1);
        direct_answer got;
        std::thread open([&] { got = ask(asked); });
        for (std::size_t i = 0; i < instances; ++i)
        {
            const std::string told = "sycamorelock_requests_open_elsewhere " +
                                     std::to_string(i == 1 ? 0 : 1);
            cr_expect(
                eventually([&] { return says(i, told); }, milliseconds(1500)),
                "instance %zu of %zu", i, instances);
        }
        open.join();
        check_stream(got, asked, 60);
    }
}

// Members of a large fleet leave the store alone, learn of changes all the
// same, and read for themselves within a second when their aggregator ends.
Test(direct, one_instance_reads_the_store_for_its_failure_domain)
{
    direct_plan plan;
    plan.instances = 15;
    direct_fleet fleet(plan);
    const auto by_aggregator = [&]
    { return fleet.that_say("sycamorelock_store_followed 0"); };
    cr_assert(eventually([&] { return by_aggregator() == plan.instances - 1; },
                         std::chrono::seconds(15)),
              "%zu", by_aggregator());
    // The aggregator's first waiting call was one of two seconds.
    std::this_thread::sleep_for(std::chrono::seconds(3));
    const int before = fleet.store().calls();
    std::this_thread::sleep_for(std::chrono::seconds(3));
    // One reader makes two calls a second; fifteen would make seven at least.
    const int calls = fleet.store().calls() - before;
    cr_expect_lt(calls, 15, "%d", calls);

    fleet.publish(2, {"south"});
    fleet.unlist_engine(0);
    const auto learned = [&]
    {
        return fleet.that_say("sycamorelock_config_version 2") ==
                   plan.instances &&
               fleet.that_say("sycamorelock_endpoints 3") == plan.instances;
    };
    cr_expect(eventually(learned, milliseconds(1500)));

    // The lowest address aggregates.
    std::size_t lowest = 0;
    for (std::size_t i = 1; i < plan.instances; ++i)
    {
        if (fleet.at(i).peer_address() < fleet.at(lowest).peer_address())
            lowest = i;
    }
    fleet.kill(fleet.at(lowest));
    fleet.list_engine(1, "draining");
    const auto drained = [&]
    {
        for (std::size_t i = 0; i < plan.instances; ++i)
        {
            const bool knows =
                fleet.log_of(fleet.at(i)).find("endpoint_drains") !=
                std::string::npos;
            if (i != lowest && !knows)
                return false;
        }
        return true;
    };
    cr_expect(eventually(drained, milliseconds(2000)));
}

// While the store is away only the aggregator asks often; it tells of the
// return. With a pause of 0.4 s at most, 15 instances made 145 calls in three
// seconds.
Test(direct, members_of_a_large_fleet_ask_an_absent_store_seldom)
{
    direct_plan plan;
    plan.instances = 15;
    direct_fleet fleet(plan);
    const auto covered = [&]
    {
        return fleet.that_say("sycamorelock_store_followed 0") ==
               plan.instances - 1;
    };
    cr_assert(eventually(covered, std::chrono::seconds(15)));
    fleet.store().set_mode(store_mode::busy);
    std::this_thread::sleep_for(std::chrono::seconds(4));
    const int before = fleet.store().calls();
    std::this_thread::sleep_for(std::chrono::seconds(3));
    const int calls = fleet.store().calls() - before;
    cr_expect_lt(calls, 80, "%d", calls);
    cr_expect_gt(calls, 4, "%d", calls);

    fleet.store().set_mode(store_mode::up);
    fleet.publish(2, {"south"});
    const auto learned = [&] {
        return fleet.that_say("sycamorelock_config_version 2") ==
               plan.instances;
    };
    cr_expect(eventually(learned, milliseconds(1500)));
}

// The store turns one instance away and serves the others: it must not go on
// sending to an endpoint that leaves, nor lack one that is new.
Test(direct, an_instance_without_the_store_learns_of_endpoints_from_others)
{
    direct_plan plan;
    plan.instances = 3;
    plan.proxied = true;
    direct_fleet fleet(plan);
    direct_instance& alone = fleet.at(1);
    fault cut;
    cut.cut = true;
    fleet.faults().set("*", alone.store_address, cut);
    cr_assert(eventually(
        [&] {
            return fleet.log_of(alone).find("\"store_lost\"") !=
                   std::string::npos;
        },
        std::chrono::seconds(3)));
    fleet.list_engine(0, "draining");
    cr_expect(eventually(
        [&]
        {
            return fleet.log_of(alone).find("\"endpoint_drains\"") !=
                   std::string::npos;
        },
        milliseconds(2000)));
    fleet.unlist_engine(0);
    cr_expect(eventually(
        [&] { return fleet.says(alone, "sycamorelock_endpoints 3"); },
        milliseconds(2000)));

    // One that starts meanwhile gets everything from the others.
    fleet.kill(alone);
    fleet.start(alone);
    cr_expect(eventually([&] { return fleet.ready(alone); },
                         std::chrono::seconds(3)));
    cr_expect_eq(ask(fleet.make_call(1)).status, 200U);
}

// An instance without descriptors takes no caller, but says that it is ready.
Test(direct, callers_that_rest_leave_room_for_new_ones)
{
    direct_plan plan;
    plan.instances = 1;
    // Answers end their connection from 90 on; beyond 120 those that rest are
    // closed.
    plan.extra = "max_descriptors: 200\n";
    direct_fleet fleet(plan);
    const auto connections = [&]
    {
        const std::string text =
            fleet.page(fleet.at(0).metrics_address(), "/metrics");
        const std::string name = "\nsycamorelock_caller_connections ";
        return std::strtol(text.c_str() + text.find(name) + name.size(),
                           nullptr, 10);
    };
    asio::io_context io{1};
    many_connections held;
    asio::co_spawn(io, open_many(fleet, held), asio::detached);
    io.run();
    cr_expect_gt(held.closing, 50);
    const auto bounded = [&]
    {
        const long now = connections();
        return now > 0 && now <= 125;
    };
    cr_expect(eventually(bounded, std::chrono::seconds(2)), "%ld",
              connections());
    const direct_call last = fleet.make_call(0, "/look/1");
    const direct_answer got = ask(last);
    cr_expect_eq(got.status, 200U);
    cr_expect_lt(got.seconds, 1.0);
}

// On-call engineers read both times off one line.
Test(direct, the_end_of_a_request_tells_its_times)
{
    direct_fleet fleet({});
    const direct_call served = fleet.make_call(0);
    check_stream(ask(served), served, 5);
    for (std::size_t i = 0; i < 2; ++i)
        fleet.plain(i).set_fault(answer_fault::lost);
    const direct_call lost = fleet.make_call(0, "/order/1");
    cr_expect_eq(ask(lost).status, 502U);
    const auto end_of = [&](const direct_call& asked)
    {
        const std::string log = fleet.log_of(fleet.at(0));
        const std::size_t at =
            log.find("\"name\":\"request_ended\",\"instance\":\"" +
                     fleet.at(0).ip + "\",\"request\":\"" + asked.id + '"');
        return at == std::string::npos
                   ? std::string()
                   : log.substr(at, log.find('\n', at) - at);
    };
    cr_assert(eventually([&] { return !end_of(lost).empty(); },
                         std::chrono::seconds(2)));
    cr_expect(end_of(served).find("\"pause_ms\":\"") != std::string::npos);
    cr_expect(end_of(served).find("\"first_ms\":\"none\"") ==
              std::string::npos);
    cr_expect(end_of(lost).find("\"first_ms\":\"none\"") != std::string::npos);
}

// Another writer's entries beside those of the endpoints: each is told once, no
// endpoint is lost by them, and the watch goes on.
Test(direct, entries_of_another_writer_change_nothing)
{
    direct_fleet fleet({});
    for (const char* value :
         {"", "{", R"({"service":"planner"})",
          R"({"service":"planner","address":"nowhere","zone":"a",)"
          R"("version":"v1","slots":8,"state":"ready","warmup_left_ms":0,)"
          R"("seq":1})"})
        fleet.list_foreign("foreign-" + std::to_string(std::strlen(value)),
                           value);
    cr_expect(eventually(
        [&]
        {
            return fleet.says(fleet.at(0),
                              "sycamorelock_store_entries_unreadable 4") &&
                   fleet.says(fleet.at(1),
                              "sycamorelock_store_entries_unreadable 4");
        },
        std::chrono::seconds(4)));
    for (int i = 0; i < 10; ++i)
        cr_expect_eq(
            ask(fleet.make_call(static_cast<std::size_t>(i % 2))).status, 200U);
    // The watch still tells of changes.
    direct_call later = fleet.make_call(1);
    later.key = "key-south";
    fleet.publish(5, {"south"});
    cr_expect(eventually([&] { return ask(later).status == 200; },
                         std::chrono::seconds(2)));
    const std::string log = fleet.log_of(fleet.at(0));
    std::size_t told = 0;
    for (std::size_t at = log.find("entry_unreadable"); at != std::string::npos;
         at = log.find("entry_unreadable", at + 1))
        ++told;
    cr_expect_eq(told, 4U, "%zu lines", told);
}

// Guards against a log that another writer fills: large values that would show
// up in the reason, an entry whose fault changes with each write, and start
// times that are none.
Test(direct, what_another_writer_wrote_does_not_fill_the_log)
{
    // An instance may skip a value that another one has read, if the endpoints
    // are the same; a single one reads all.
    direct_plan plan;
    plan.instances = 1;
    direct_fleet fleet(plan);
    const auto entry_with = [](const std::string& state, const char* born)
    {
        return R"({"service":"planner","address":"127.0.0.1:9","zone":"a",)"
               R"("version":"v1","slots":8,"state":")" +
               state + R"(","warmup_left_ms":0,"seq":1,"born":)" + born + '}';
    };
    fleet.list_foreign("large", entry_with(std::string(300'000, 'x'), "1"));
    fleet.list_foreign("epoch", entry_with("ready", "0"));
    fleet.list_foreign("never", entry_with("ready", "1e300"));
    for (const char* other : {"gone", "asleep", "busy", "lost"})
    {
        fleet.list_foreign("flaps", entry_with(other, "1"));
        std::this_thread::sleep_for(milliseconds(600));
    }
    cr_expect(eventually(
                  [&] {
                      return fleet.says(
                          fleet.at(0),
                          "sycamorelock_store_entries_unreadable 4");
                  },
                  std::chrono::seconds(4)),
              "%s", fleet.log_of(fleet.at(0)).c_str());
    for (int i = 0; i < 10; ++i)
        cr_expect_eq(ask(fleet.make_call(0)).status, 200U);
    std::istringstream log(fleet.log_of(fleet.at(0)));
    std::size_t told = 0;
    std::size_t longest = 0;
    for (std::string line; std::getline(log, line);)
    {
        if (line.find("entry_unreadable") == std::string::npos)
            continue;
        ++told;
        longest = std::max(longest, line.size());
    }
    cr_expect_eq(told, 4U, "%zu lines", told);
    cr_expect_lt(longest, 1000U, "%zu bytes", longest);
}

Test(direct, an_endpoint_that_starts_again_under_its_name_serves)
{
    direct_plan plan;
    plan.engines = 1;
    direct_fleet fleet(plan);
    cr_expect_eq(ask(fleet.make_call(0)).status, 200U);
    fleet.list_engine(0, "ready", 2);
    cr_expect(eventually(
        [&]
        {
            return fleet.log_of(fleet.at(0)).find(R"("started_ms":"2")") !=
                   std::string::npos;
        },
        std::chrono::seconds(3)));
    cr_expect_eq(ask(fleet.make_call(0)).status, 200U);
}
