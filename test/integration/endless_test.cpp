// Endpoints that send bytes without end which are no answer, as real processes:
// the instance closes soon, its memory stays flat, its caller learns the truth
// and sound requests beside them are served.
#include "direct_checks.hpp"
#include "plans.hpp"

#include <fstream>
#include <thread>

using namespace standin;
using std::chrono::milliseconds;

namespace
{

/// An endpoint that is clearly wrong holds its caller no longer than this.
constexpr double longest_wait_s = 1.0;
/// What an endpoint may be rid of at one request, with what the sockets of both
/// sides hold.
constexpr std::size_t most_bytes = 16UL * 1024 * 1024;
/// The same where the bytes may be an answer as long as they come.
constexpr std::size_t most_answer_bytes = 80UL * 1024 * 1024;
/// Memory that an instance may take beyond its start.
constexpr long most_memory_kb = 48L * 1024;

struct endless_case
{
    const char* name;
    endless_bytes bytes;
};

const std::string ok = "HTTP/1.1 200 OK\r\n";
const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
const std::string events = ok + "Content-Type: text/event-stream\r\n";

std::vector<endless_case> cases()
{
    return {
        {"no HTTP", {"", "z"}},
        {"status line", {"HTTP/1.1 200 ", "O"}},
        {"header line", {ok + "X-A: ", "a"}},
        {"header lines", {ok, "X-A: b\r\n"}},
        {"informational", {"", "HTTP/1.1 103 Early Hints\r\n\r\n"}},
        {"other answers",
         {"", ok + "Attempt-Id: other\r\nX-Request-Id: other\r\n"
                   "Content-Length: 2\r\n\r\nab"}},
        {"chunk extension", {chunked + "5;a=", "a"}},
        {"chunk size", {chunked, "0"}},
        {"trailers", {chunked + "2\r\nab\r\n0\r\n", "X-A: b\r\n"}},
        {"trailer line", {chunked + "2\r\nab\r\n0\r\nX-A: ", "a"}},
        {"whole trailer field",
         {chunked + "2\r\nab\r\n0\r\nX-A: " + std::string(70000, 'a') +
              "\r\n\r\n",
          "a"}},
        {"event", {events + "\r\nid: 1\ndata: ", "a"}},
        {"lines of an event", {events + "\r\nid: 1\n", "data: a\n"}},
        {"chunked event",
         {events + "Transfer-Encoding: chunked\r\n\r\n", "4\r\naaaa\r\n"}},
    };
}

/// Bytes that may be a long answer.
std::vector<endless_case> long_answers()
{
    return {
        {"body without a length", {ok + "\r\n", "abcd"}},
        {"chunks", {chunked, "4\r\nabcd\r\n"}},
        {"comments", {events + "\r\n", ": a\n\n"}},
    };
}

direct_plan one_of_each()
{
    direct_plan plan;
    plan.instances = 1;
    plan.engines = 1;
    plan.plain = 1;
    return plan;
}

/// Prompts of their own have homes at all endpoints; calls without one share a
/// few.
direct_call call_with_own_prompt(direct_fleet& fleet)
{
    direct_call made = fleet.make_call(0);
    describe_prompt(made, 0, 200, 5);
    made.fields["Prefix-Hash"] =
        std::to_string(std::hash<std::string>()(made.id)) + ":200";
    return made;
}

/// What an instance did with one such endpoint.
void check_direct(const endless_case& which, const char* path,
                  std::size_t limit, double wait_s)
{
    direct_fleet fleet(one_of_each());
    direct_engine& bad = std::string(path).starts_with("/plan")
                             ? fleet.engine(0)
                             : fleet.plain(0);
    const long before = peak_memory_kb(fleet.at(0).pid);
    bad.set_endless(which.bytes);
    const direct_call asked = fleet.make_call(0, path);
    const direct_answer got = ask(asked);
    const long more = peak_memory_kb(fleet.at(0).pid) - before;
    cr_expect(got.status == 502 || got.status == 504 || !got.whole,
              "%s: status %u", which.name, got.status);
    static const std::set<unsigned> untrue{0, 408, 421, 429, 503};
    cr_expect_not(untrue.contains(got.status), "%s: status %u", which.name,
                  got.status);
    cr_expect(fleet.ready(fleet.at(0)), "%s", which.name);
    cr_expect(got.seconds < wait_s, "%s: %.2f s", which.name, got.seconds);
    cr_expect_lt(bad.endless_sent(), limit, "%s: %zu bytes", which.name,
                 bad.endless_sent());
    cr_expect_lt(more, most_memory_kb, "%s: %ld KB", which.name, more);
}

} // namespace

Test(endless, no_answer_of_an_engine_is_closed_soon)
{
    for (const endless_case& each : cases())
        check_direct(each, "/plan/x", most_bytes, longest_wait_s);
}

Test(endless, no_answer_of_a_plain_endpoint_is_closed_soon)
{
    for (const endless_case& each : cases())
    {
        // A plain service answers without events.
        if (each.bytes.begin.starts_with(events))
            continue;
        check_direct(each, "/look/x", most_bytes, longest_wait_s);
    }
}

Test(endless, a_long_answer_ends_and_does_not_look_complete)
{
    // The time limit of the route and a second.
    for (const endless_case& each : long_answers())
        check_direct(each, "/plan/x", most_answer_bytes, 5.0);
}

Test(endless, a_store_without_end_costs_no_memory_and_no_request)
{
    for (const endless_case& each : cases())
    {
        direct_fleet fleet(one_of_each());
        const long before = peak_memory_kb(fleet.at(0).pid);
        fleet.store().set_endless(each.bytes);
        // Ends the call that waits.
        fleet.publish(2);
        cr_expect(eventually([&] { return fleet.store().endless_sent() > 0; },
                             std::chrono::seconds(3)));
        std::this_thread::sleep_for(milliseconds(1000));
        const direct_call asked = fleet.make_call(0);
        check_stream(ask(asked), asked, 5);
        const long more = peak_memory_kb(fleet.at(0).pid) - before;
        cr_expect_lt(more, most_memory_kb, "%s: %ld KB", each.name, more);
    }
}

// Load: half of the engines send without end while the other half is sound.
Test(endless, sound_requests_beside_many_are_served_in_time)
{
    direct_plan plan = one_of_each();
    plan.engines = 12;
    direct_fleet fleet(plan);
    const std::vector<endless_case> all = cases();
    const long before = peak_memory_kb(fleet.at(0).pid);
    for (std::size_t i = 0; i < 6; ++i)
        fleet.engine(i).set_endless(all.at(2 * i).bytes);
    int served = 0;
    int untrue = 0;
    static constexpr int rounds = 10;
    static constexpr std::size_t at_once = 12;
    for (int round = 0; round < rounds; ++round)
    {
        std::vector<direct_call> calls;
        for (std::size_t i = 0; i < at_once; ++i)
            calls.push_back(call_with_own_prompt(fleet));
        std::vector<direct_answer> got(at_once);
        std::vector<std::thread> callers;
        for (std::size_t i = 0; i < at_once; ++i)
            callers.emplace_back([&, i] { got[i] = ask(calls[i]); });
        for (std::thread& each : callers)
            each.join();
        for (std::size_t i = 0; i < at_once; ++i)
        {
            const bool whole = got[i].status == 200 && got[i].whole;
            served += whole ? 1 : 0;
            untrue += whole && got[i].body != stream_body(calls[i].id, 5, 0);
            untrue += got[i].status == 503 && fleet.runs_of(calls[i].id) > 0;
            cr_expect(got[i].seconds < 2 * longest_wait_s, "%.2f s",
                      got[i].seconds);
        }
    }
    cr_expect_eq(untrue, 0);
    // Two attempts each: only while the endpoints are not known to fail may a
    // request meet two of them.
    cr_expect_gt(served, 100, "%d of 120", served);
    cr_expect_lt(peak_memory_kb(fleet.at(0).pid) - before, most_memory_kb);
    // They are avoided by then.
    std::size_t sent = 0;
    for (std::size_t i = 0; i < 6; ++i)
        sent += fleet.engine(i).runs().size();
    cr_expect_gt(sent, 0U);
    cr_expect_lt(sent, 60U, "%zu of 120 reached them", sent);
}

Test(endless, scheduled_endpoints_are_closed_soon)
{
    for (const endless_case& each : cases())
    {
        fleet running(usual_plan(1));
        for (const char* service : {"planner", "desk"})
        {
            // A plain service answers without events.
            if (each.bytes.begin.starts_with(events) &&
                std::string(service) == "desk")
                continue;
            for (const auto& bad : running.endpoints(service))
                bad->set_endless(each.bytes);
            const instance& through = running.at(0);
            const long before = peak_memory_kb(through.pid);
            const auto begin = std::chrono::steady_clock::now();
            call made = running.make_call(0, "north", service);
            made.fields["X-Idempotent"] = "false";
            const answer got = ask_now(made);
            const std::chrono::duration<double> took =
                std::chrono::steady_clock::now() - begin;
            cr_expect(!got.completed(), "%s at %s", each.name, service);
            cr_expect(got.executed != "no", "%s at %s", each.name, service);
            cr_expect(took.count() < 2 * longest_wait_s, "%s at %s: %.2f s",
                      each.name, service, took.count());
            std::size_t sent = 0;
            for (const auto& bad : running.endpoints(service))
                sent += bad->endless_sent();
            cr_expect_lt(sent, most_bytes, "%s at %s: %zu bytes", each.name,
                         service, sent);
            const long more = peak_memory_kb(through.pid) - before;
            cr_expect_lt(more, most_memory_kb, "%s at %s: %ld KB", each.name,
                         service, more);
        }
    }
}

// Guards against REFUSED: an endpoint that has run a request answers with a
// status that promises the contrary, and does not say that it did not run it.
Test(endless, a_refusal_without_the_mark_is_not_passed_on)
{
    for (const char* status : {"408", "429", "503"})
    {
        direct_fleet fleet(one_of_each());
        fleet.plain(0).set_endless({std::string("HTTP/1.1 ") + status +
                                        " Refused\r\nContent-Length: 0\r\n\r\n",
                                    "z"});
        const direct_call asked = fleet.make_call(0, "/order/x");
        const direct_answer got = ask(asked);
        cr_expect_eq(fleet.runs_of(asked.id), 1);
        cr_expect_eq(got.status, 502U, "%s: status %u", status, got.status);
    }
}
