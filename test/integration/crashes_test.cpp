// Requests that crash the endpoints that execute them: how many endpoints they
// end, and what becomes of other requests meanwhile.
#include "direct_checks.hpp"
#include "fleet.hpp"

#include <criterion/criterion.h>

#include <future>
#include <thread>

using namespace standin;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

namespace
{

const std::string bad_body = "crashes its endpoint";
/// Endpoints that may end under one request.
constexpr std::size_t allowed_crashes = 3;
/// Instances that can reach each other have learned of the crashes by then.
constexpr seconds contact_time{3};

direct_plan plan_of(std::size_t instances, std::size_t engines,
                    std::size_t plain)
{
    direct_plan plan;
    plan.instances = instances;
    plan.engines = engines;
    plan.plain = plain;
    return plan;
}

crash_rule rule_before_event(long event)
{
    crash_rule rule;
    rule.body = bad_body;
    rule.before_event = event;
    return rule;
}

direct_call bad_call(direct_fleet& fleet, std::size_t instance,
                     const std::string& path = "/plan/x")
{
    direct_call made = fleet.make_call(instance, path);
    made.body = bad_body;
    made.time_left_ms = 1500;
    return made;
}

/// A caller that sends the same request again and again, at one instance after
/// the other.
void insist(direct_fleet& fleet, const std::vector<std::size_t>& instances,
            const std::string& path, seconds time)
{
    const auto until = steady_clock::now() + time;
    while (steady_clock::now() < until)
    {
        for (const std::size_t instance : instances)
        {
            ask(bad_call(fleet, instance, path));
            std::this_thread::sleep_for(milliseconds(100));
        }
    }
}

/// Checks that no endpoint has ended once instances could know of those that
/// may.
void check_times(const std::vector<steady_clock::time_point>& all)
{
    cr_assert_geq(all.size(), allowed_crashes);
    const auto latest = all[allowed_crashes - 1] + contact_time;
    const auto late = std::count_if(all.begin(), all.end(),
                                    [latest](steady_clock::time_point at)
                                    { return at > latest; });
    cr_expect_eq(late, 0, "%td of %zu crashes came later", late, all.size());
}

void check_crashes(const direct_fleet& fleet)
{
    std::vector<steady_clock::time_point> times;
    for (const endpoint_crash& each : fleet.crashes())
        times.push_back(each.at);
    check_times(times);
}

/// A fleet whose instances get slots from schedulers.
fleet_plan scheduled_plan()
{
    fleet_plan plan;
    plan.instances_per_domain = 1;
    plan.services = {
        {.name = "planner", .kind = "model", .endpoints_per_domain = 3},
        {.name = "desk", .kind = "plain", .endpoints_per_domain = 3}};
    return plan;
}

void ask_bad(fleet& running, std::size_t instance, const std::string& service)
{
    call bad = running.make_call(instance, "north", service);
    bad.mark = "bad";
    bad.fields["X-Deadline-Ms"] = "1000";
    ask_now(bad);
    std::this_thread::sleep_for(milliseconds(100));
}

/// A caller that sends one call again and again through the given instances.
void insist_on(fleet& running, const std::vector<std::size_t>& instances,
               const std::string& service, seconds time)
{
    const auto until = steady_clock::now() + time;
    while (steady_clock::now() < until)
    {
        for (const std::size_t instance : instances)
        {
            ask_bad(running, instance, service);
        }
    }
}

void set_crash(fleet& running, const std::string& service)
{
    for (const auto& each : running.endpoints(service))
        each->set_crash("bad", milliseconds(1500));
}

std::vector<steady_clock::time_point> crash_times(fleet& running,
                                                  const std::string& service)
{
    std::vector<steady_clock::time_point> all;
    for (const auto& each : running.endpoints(service))
    {
        const auto own = each->crashes();
        all.insert(all.end(), own.begin(), own.end());
    }
    std::sort(all.begin(), all.end());
    return all;
}

/// Waits until all endpoints are back and listed everywhere.
void wait_for_endpoints(direct_fleet& fleet, std::size_t count)
{
    const std::string line = "sycamorelock_endpoints " + std::to_string(count);
    cr_assert(eventually([&] { return fleet.that_say(line) > 0; }, seconds(8)));
}

/// Part of prompts under which engines crash when they begin to answer.
const std::string bad_part = "bad0bad0";
/// Engines that may end under one part, and requests with it that may reach
/// engines once instances could know of those ends.
constexpr std::size_t allowed_part_crashes = 5;
constexpr std::ptrdiff_t allowed_late_requests = 3;

/// A request no other one is alike. Many share its first part and some its
/// second.
direct_call prompt_call(direct_fleet& fleet, std::size_t instance, int number,
                        const std::string& second_part)
{
    direct_call made = fleet.make_call(instance);
    made.body = "prompt " + std::to_string(number);
    made.fields["Model"] = "m";
    made.fields["Token-Usage"] = "360,40";
    made.fields["Prefix-Hash"] = "a1a1a1a1:200," + second_part + ":110," +
                                 std::to_string(number) + ":50";
    made.time_left_ms = 3000;
    return made;
}

struct prompt_answer
{
    steady_clock::time_point sent;
    std::future<direct_answer> answer;
};

/// Sound requests and some with the bad part, at all instances for some time.
/// \param meanwhile called after each request.
std::vector<prompt_answer>
mixed_prompts(direct_fleet& fleet, const std::vector<std::size_t>& instances,
              seconds time, const std::function<void()>& meanwhile)
{
    std::vector<prompt_answer> sound;
    std::vector<std::future<direct_answer>> bad;
    const auto until = steady_clock::now() + time;
    for (int i = 0; steady_clock::now() < until; ++i)
    {
        const bool is_bad = i % 6 == 5;
        const std::size_t instance =
            instances[static_cast<std::size_t>(i) % instances.size()];
        const direct_call call =
            prompt_call(fleet, instance, i,
                        is_bad ? bad_part : "b" + std::to_string(i % 7));
        std::future<direct_answer> answer =
            std::async(std::launch::async, [call] { return ask(call); });
        if (is_bad)
            bad.push_back(std::move(answer));
        else
            sound.push_back({steady_clock::now(), std::move(answer)});
        meanwhile();
        std::this_thread::sleep_for(milliseconds(30));
    }
    return sound;
}

/// The last crash under the bad part that is allowed, or the last one if there
/// are fewer.
steady_clock::time_point
last_allowed_crash(const std::vector<endpoint_crash>& crashes)
{
    cr_assert_geq(crashes.size(), allowed_crashes);
    return crashes[std::min(crashes.size(), allowed_part_crashes) - 1].at;
}

/// Checks that few requests with the bad part reach engines after instances
/// could know of the crashes that are allowed.
void check_late_requests(direct_fleet& fleet, std::size_t engines)
{
    const std::vector<endpoint_crash> crashes = fleet.crashes();
    const auto latest = last_allowed_crash(crashes) + contact_time;
    std::ptrdiff_t late = 0;
    for (std::size_t i = 0; i < engines; ++i)
    {
        const std::vector<engine_run> runs = fleet.engine(i).runs();
        late += std::count_if(runs.begin(), runs.end(),
                              [latest](const engine_run& each) {
                                  return each.at > latest &&
                                         each.parts.find(bad_part) !=
                                             std::string::npos;
                              });
    }
    cr_expect_leq(late, allowed_late_requests, "%td later, %zu crashes", late,
                  crashes.size());
}

} // namespace

// Guards against BUDGET: a request is sent to further engines after three have
// ended under it, by a caller that tries all instances.
Test(crashes, a_request_that_crashes_engines_is_not_sent_on)
{
    direct_fleet fleet(plan_of(3, 8, 1));
    fleet.set_crash(rule_before_event(1));
    insist(fleet, {0, 1, 2}, "/plan/x", seconds(6));
    check_crashes(fleet);
}

// Guards against BUDGET as above where the request crashes the engine in the
// middle of the answer, so that it is repeated from its last event on.
Test(crashes, a_stream_that_crashes_engines_midway_is_not_sent_on)
{
    direct_fleet fleet(plan_of(3, 8, 1));
    fleet.set_crash(rule_before_event(3));
    insist(fleet, {0, 1, 2}, "/plan/x", seconds(6));
    check_crashes(fleet);
}

// Guards against a crash that is taken for the end of an empty answer: the
// stream has neither a length nor chunks, and its engine ends before any event.
Test(crashes, an_unframed_stream_without_events_is_no_whole_answer)
{
    const direct_plan plan = plan_of(3, 8, 1);
    direct_fleet fleet(plan);
    fleet.set_crash(rule_before_event(1));
    for (std::size_t i = 0; i < plan.engines; ++i)
        fleet.engine(i).set_fault(answer_fault::unframed);
    const direct_answer got = ask(bad_call(fleet, 0));
    cr_expect_neq(got.status, 200U);
    insist(fleet, {0, 1, 2}, "/plan/x", seconds(6));
    check_crashes(fleet);
}

// Guards against BUDGET as above at endpoints without prompts.
Test(crashes, a_request_that_crashes_plain_endpoints_is_not_sent_on)
{
    direct_fleet fleet(plan_of(3, 1, 8));
    fleet.set_crash(rule_before_event(1));
    insist(fleet, {0, 1, 2}, "/look/x", seconds(6));
    check_crashes(fleet);
}

// Guards against BUDGET as above if the only instance that has seen the crashes
// is killed, and comes back without memory.
Test(crashes, the_other_instances_know_of_crashes_after_a_kill)
{
    direct_fleet fleet(plan_of(3, 8, 1));
    fleet.set_crash(rule_before_event(1));
    while (fleet.crashes().size() < allowed_crashes)
    {
        ask(bad_call(fleet, 0));
        std::this_thread::sleep_for(milliseconds(100));
    }
    fleet.kill(fleet.at(0));
    insist(fleet, {1, 2}, "/plan/x", seconds(2));
    fleet.start(fleet.at(0));
    fleet.wait_ready();
    insist(fleet, {0}, "/plan/x", seconds(3));
    check_crashes(fleet);
}

// Guards against failures of sound requests once the request that crashes
// endpoints is known, and against their refusal.
Test(crashes, sound_requests_are_served_beside_one_that_crashes_engines)
{
    direct_fleet fleet(plan_of(3, 8, 1));
    fleet.set_crash(rule_before_event(1));
    std::future<void> bad =
        std::async(std::launch::async,
                   [&] {
                       insist(fleet, {0, 1, 2}, "/plan/x", seconds(5));
                   });
    struct sound_call
    {
        steady_clock::time_point sent;
        std::future<direct_answer> answer;
    };
    std::vector<sound_call> sound;
    for (int i = 0; i < 60; ++i)
    {
        direct_call call = fleet.make_call(static_cast<std::size_t>(i) % 3);
        call.body = "sound " + std::to_string(i % 10);
        sound.push_back(
            {steady_clock::now(),
             std::async(std::launch::async, [call] { return ask(call); })});
        std::this_thread::sleep_for(milliseconds(80));
    }
    bad.get();
    const std::vector<endpoint_crash> crashes = fleet.crashes();
    cr_assert_geq(crashes.size(), allowed_crashes);
    const auto known_at = crashes[allowed_crashes - 1].at + contact_time;
    std::size_t asked = 0;
    std::size_t served = 0;
    for (sound_call& each : sound)
    {
        const bool is_late = each.sent > known_at;
        asked += is_late ? 1 : 0;
        served += is_late && each.answer.get().status == 200 ? 1 : 0;
    }
    cr_expect_gt(asked, 0U);
    cr_expect_eq(served, asked, "%zu of %zu", served, asked);
    wait_for_endpoints(fleet, 9);
    for (std::size_t instance = 0; instance < 3; ++instance)
        cr_expect_eq(ask(fleet.make_call(instance)).status, 200U);
}

// Guards against BUDGET as above where schedulers grant slots of engines.
Test(crashes, a_scheduled_request_that_crashes_engines_is_not_sent_on)
{
    fleet running(scheduled_plan());
    set_crash(running, "planner");
    insist_on(running, {0, 1, 2}, "planner", seconds(8));
    check_times(crash_times(running, "planner"));
}

// Guards against BUDGET as above where schedulers grant slots of plain
// endpoints, and the instance that has seen the crashes is killed.
Test(crashes, scheduled_instances_know_of_crashes_after_a_kill)
{
    fleet running(scheduled_plan());
    set_crash(running, "desk");
    const auto until = steady_clock::now() + seconds(20);
    while (crash_times(running, "desk").size() < allowed_crashes &&
           steady_clock::now() < until)
        ask_bad(running, 0, "desk");
    running.kill_and_wait(running.at(0));
    insist_on(running, {1, 2}, "desk", seconds(4));
    running.start_and_wait(running.at(0));
    insist_on(running, {0}, "desk", seconds(4));
    check_times(crash_times(running, "desk"));
}

// Guards against BUDGET: requests with one part in their prompts, no two alike,
// are sent to engines after five have ended under that part. Guards also
// against LOST: sound requests that share their first part are refused.
Test(crashes, requests_with_a_part_that_crashes_engines_are_not_sent_on)
{
    direct_fleet fleet(plan_of(3, 8, 1));
    crash_rule rule;
    rule.part = bad_part;
    fleet.set_crash(rule);
    std::vector<prompt_answer> sound =
        mixed_prompts(fleet, {0, 1, 2}, seconds(12), [] {});
    check_late_requests(fleet, 8);
    const std::vector<endpoint_crash> crashes = fleet.crashes();
    const auto known_at = last_allowed_crash(crashes) + 2 * contact_time;
    std::size_t asked = 0;
    std::size_t served = 0;
    for (prompt_answer& each : sound)
    {
        const bool is_late = each.sent > known_at;
        asked += is_late ? 1 : 0;
        served += is_late && each.answer.get().status == 200 ? 1 : 0;
    }
    cr_expect_gt(asked, 20U);
    cr_expect_eq(served, asked, "%zu of %zu", served, asked);
}

// Guards against BUDGET as above if an instance that has seen the crashes is
// killed and comes back without memory.
Test(crashes, parts_that_crash_engines_are_known_after_a_kill)
{
    direct_fleet fleet(plan_of(3, 8, 1));
    crash_rule rule;
    rule.part = bad_part;
    fleet.set_crash(rule);
    bool is_killed = false;
    mixed_prompts(fleet, {0, 1, 2}, seconds(6),
                  [&]
                  {
                      if (is_killed || fleet.crashes().size() < allowed_crashes)
                          return;
                      fleet.kill(fleet.at(0));
                      is_killed = true;
                  });
    cr_assert(is_killed);
    fleet.start(fleet.at(0));
    fleet.wait_ready();
    mixed_prompts(fleet, {0}, seconds(4), [] {});
    check_late_requests(fleet, 8);
}
