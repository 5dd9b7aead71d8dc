// Promise: what callers have sent to an instance that leaves is answered, also
// where the instance reads it late.
#include "direct_fleet.hpp"
#include "plans.hpp"

#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <sstream>

using namespace standin;
using std::chrono::milliseconds;

namespace
{

constexpr std::size_t count = 40;
/// From SIGTERM to a freeze that lasts beyond the time of lingering.
constexpr milliseconds before_freeze{1000};
constexpr milliseconds direct_before_freeze{200};
constexpr milliseconds freeze{1000};

/// Tells an instance to end, and asks while it is frozen beyond the time of
/// lingering.
template <class Ask>
auto ask_across_linger(pid_t instance, milliseconds until_frozen, Ask ask)
{
    kill(instance, SIGTERM);
    std::this_thread::sleep_for(until_frozen);
    kill(instance, SIGSTOP);
    decltype(ask()) answers;
    std::thread open([&] { answers = ask(); });
    std::this_thread::sleep_for(freeze);
    kill(instance, SIGCONT);
    open.join();
    return answers;
}

/// Requests over kept connections: one each to begin with, and one more after
/// a pause.
class kept_connections
{
  public:
    kept_connections(fleet& running, std::size_t through)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            streams_.emplace_back(context_);
            streams_.back().connect(
                endpoint_of(running.at(through).caller_address()));
        }
    }

    std::vector<answer> ask(fleet& running, std::size_t through)
    {
        std::vector<answer> got(streams_.size());
        for (std::size_t i = 0; i < streams_.size(); ++i)
        {
            call made = running.make_call(through, "north", "planner");
            made.tokens = 2;
            asio::co_spawn(
                context_,
                [&, i, made]() -> asio::awaitable<void>
                { got[i] = co_await ask_over(streams_[i], made); },
                asio::detached);
        }
        context_.restart();
        context_.run();
        return got;
    }

  private:
    asio::io_context context_{1};
    std::vector<beast::tcp_stream> streams_;
};

void check_all_answered(const std::vector<answer>& answers)
{
    std::size_t unanswered = 0;
    std::string why;
    for (const answer& got : answers)
    {
        if (got.completed() || got.refused())
            continue;
        ++unanswered;
        why = got.failure;
    }
    cr_assert_eq(unanswered, 0, "%zu of %zu, last: %s", unanswered,
                 answers.size(), why.c_str());
}

} // namespace

// Guards against connections that are reset because the listener closes before
// they are accepted.
Test(drain, connections_that_wait_to_be_accepted_are_served)
{
    fleet running(usual_plan(1));
    check_all_answered(ask_across_linger(
        running.at(0).pid, before_freeze,
        [&] { return ask_all(streams(running, 0, count, 2)); }));
    cr_assert(running.wait_exit(running.at(0), std::chrono::seconds(20)));
}

// Guards against requests that have arrived on a kept connection and are lost
// because it is closed as idle.
Test(drain, requests_that_wait_on_kept_connections_are_served)
{
    fleet running(usual_plan(1));
    kept_connections callers(running, 0);
    check_all_answered(callers.ask(running, 0));
    check_all_answered(ask_across_linger(running.at(0).pid, before_freeze,
                                         [&]
                                         { return callers.ask(running, 0); }));
    cr_assert(running.wait_exit(running.at(0), std::chrono::seconds(20)));
}

// Guards against an instance that never ends because callers keep connections
// without requests.
Test(drain, idle_connections_hold_up_no_end)
{
    fleet running(usual_plan(1));
    kept_connections callers(running, 0);
    running.signal(running.at(0), SIGTERM);
    // Lingers 1.5 s and drops connections that were never used after 1 s.
    cr_assert(running.wait_exit(running.at(0), std::chrono::seconds(4)));
}

namespace
{

void connect(asio::io_context& context, std::vector<beast::tcp_stream>& streams,
             std::size_t more, direct_fleet& running)
{
    for (std::size_t i = 0; i < more; ++i)
    {
        streams.emplace_back(context);
        streams.back().connect(endpoint_of(running.at(0).caller_address()));
    }
}

/// The same towards an instance of direct routing.
std::vector<direct_answer> ask_each(asio::io_context& context,
                                    std::vector<beast::tcp_stream>& streams,
                                    direct_fleet& running)
{
    std::vector<direct_answer> got(streams.size());
    for (std::size_t i = 0; i < streams.size(); ++i)
    {
        const direct_call made = running.make_call(0, "/look/x");
        asio::co_spawn(
            context,
            [&, i, made]() -> asio::awaitable<void>
            { co_await ask_over(streams[i], made, got[i]); },
            asio::detached);
    }
    context.restart();
    context.run();
    return got;
}

void check_all_answered(const std::vector<direct_answer>& answers)
{
    std::size_t unanswered = 0;
    for (const direct_answer& got : answers)
        unanswered += got.status == 200 || got.status == 503 ? 0 : 1;
    cr_assert_eq(unanswered, 0, "%zu of %zu", unanswered, answers.size());
}

/// Asks over one connection, with a pause between.
asio::awaitable<void> ask_twice(beast::tcp_stream& over,
                                std::array<direct_call, 2> calls,
                                milliseconds pause, direct_answer& first,
                                direct_answer& second,
                                std::chrono::steady_clock::time_point& sent)
{
    co_await ask_over(over, calls[0], first);
    co_await sleep_for(pause);
    sent = std::chrono::steady_clock::now();
    co_await ask_over(over, calls[1], second);
}

/// A stream during which its instance is told to end, and the request that
/// follows it on its connection.
struct answers_at_an_end
{
    direct_answer before;
    direct_answer after;
    /// Times that the second request was run.
    int runs = 0;
    /// From the signal to the second request.
    milliseconds sent_after{0};
};

answers_at_an_end ask_across_end(direct_fleet& running, milliseconds pause)
{
    asio::io_context context{1};
    beast::tcp_stream caller(context);
    caller.connect(endpoint_of(running.at(0).caller_address()));
    answers_at_an_end got;
    std::chrono::steady_clock::time_point told;
    std::chrono::steady_clock::time_point sent;
    const direct_call stream = running.make_call(0);
    const direct_call next = running.make_call(0, "/look/x");
    asio::co_spawn(
        context,
        ask_twice(caller, {stream, next}, pause, got.before, got.after, sent),
        asio::detached);
    std::thread ends(
        [&]
        {
            std::this_thread::sleep_for(milliseconds(250));
            told = std::chrono::steady_clock::now();
            kill(running.at(0).pid, SIGTERM);
        });
    context.run();
    ends.join();
    got.sent_after = std::chrono::duration_cast<milliseconds>(sent - told);
    got.runs = running.runs_of(next.id);
    return got;
}

/// Changes one of the times in the settings of the first instance.
void set_time(direct_fleet& running, std::string_view from, std::string_view to)
{
    const direct_instance& only = running.at(0);
    std::string settings = running.settings_of(only);
    settings.replace(settings.find(from), from.size(), to);
    running.write_settings(only, settings);
    kill(only.pid, SIGHUP);
    std::this_thread::sleep_for(milliseconds(300));
}

void wait_for_end(direct_instance& which)
{
    cr_assert(wait_for_exit(which.pid, std::chrono::seconds(20), nullptr));
    which.pid = -1;
}

} // namespace

// The same where entries decide by themselves.
Test(drain, connections_that_wait_for_a_direct_instance_are_served)
{
    direct_fleet running({});
    running.wait_ready();
    asio::io_context context(1);
    std::vector<beast::tcp_stream> streams;
    check_all_answered(
        ask_across_linger(running.at(0).pid, direct_before_freeze,
                          [&]
                          {
                              // More than are accepted in one turn of the event
                              // loop.
                              connect(context, streams, 4 * count, running);
                              return ask_each(context, streams, running);
                          }));
    wait_for_end(running.at(0));
}

Test(drain, requests_that_wait_at_a_direct_instance_are_served)
{
    direct_fleet running({});
    running.wait_ready();
    asio::io_context context(1);
    std::vector<beast::tcp_stream> streams;
    connect(context, streams, count, running);
    const auto ask = [&] { return ask_each(context, streams, running); };
    check_all_answered(ask());
    check_all_answered(
        ask_across_linger(running.at(0).pid, direct_before_freeze, ask));
    wait_for_end(running.at(0));
}

// Guards against a request that gets no answer on a connection that the answer
// before had kept open, as the instance was told to end during that answer.
Test(drain, a_connection_that_was_promised_takes_one_more_request)
{
    direct_plan plan;
    plan.instances = 1;
    plan.events = 20;
    plan.gap = milliseconds(25);
    direct_fleet running(plan);
    set_time(running, "linger_ms: 500", "linger_ms: 3000");
    const answers_at_an_end got = ask_across_end(running, milliseconds(100));
    cr_assert(got.before.whole);
    cr_assert_not(got.before.closes);
    cr_expect_eq(got.after.status, 200U, "%u, sent %ld ms after the signal",
                 got.after.status, got.sent_after.count());
    cr_expect(got.after.closes);
}

// Guards against requests that were sent early, were read and are dropped with
// their connection when the answer before them ends.
Test(drain, a_request_sent_early_to_a_direct_instance_is_answered)
{
    direct_plan plan;
    plan.instances = 1;
    plan.gap = milliseconds(200);
    direct_fleet running(plan);
    asio::io_context context(1);
    std::vector<beast::tcp_stream> streams;
    connect(context, streams, 1, running);
    tcp::socket& socket = streams.front().socket();
    asio::write(socket,
                asio::buffer(message_of(running.make_call(0)) +
                             message_of(running.make_call(0, "/look/x"))));
    std::this_thread::sleep_for(milliseconds(300));
    kill(running.at(0).pid, SIGTERM);
    beast::flat_buffer buffer;
    std::array<http::response<http::string_body>, 2> got;
    std::array<error_code, 2> errors;
    for (std::size_t i = 0; i < 2; ++i)
        http::read(socket, buffer, got[i], errors[i]);
    cr_assert_not(errors[0]);
    cr_assert(got[0].keep_alive());
    cr_expect_not(errors[1], "%s", errors[1].message().c_str());
    cr_expect(got[1].result_int() == 200 || got[1].result_int() == 503);
    wait_for_end(running.at(0));
}

// Guards against LOST: a request that came right after an answer, long after
// the instance was told to end, was taken and cut at the end of the drain.
Test(drain, a_connection_takes_nothing_new_at_the_end_of_a_drain)
{
    direct_plan plan;
    plan.instances = 1;
    plan.events = 30;
    plan.gap = milliseconds(50);
    direct_fleet running(plan);
    const answers_at_an_end got = ask_across_end(running, milliseconds(0));
    cr_assert(got.before.whole);
    cr_expect_eq(got.runs, 0);
    wait_for_end(running.at(0));
}

namespace
{

/// The line of a log on how a request ended.
std::string line_on_end(const std::string& log, const std::string& id)
{
    std::istringstream lines(log);
    std::string line;
    while (std::getline(lines, line))
    {
        if (line.find("request_ended") != std::string::npos &&
            line.find('"' + id + '"') != std::string::npos)
            return line;
    }
    return "no line";
}

} // namespace

// Guards against LOST: a request that was sent after the time of lingering, on
// a connection that had been opened before, was taken and cut at the end of the
// drain.
Test(drain, a_request_that_cannot_end_before_its_instance_is_refused)
{
    direct_plan plan;
    plan.instances = 1;
    plan.events = 15;
    plan.gap = milliseconds(200);
    direct_fleet running(plan);
    direct_instance& only = running.at(0);
    set_time(running, "shutdown_ms: 5000", "shutdown_ms: 2500");
    asio::io_context context(1);
    std::vector<beast::tcp_stream> streams;
    // Lingers for 0.5 s.
    kill(only.pid, SIGTERM);
    std::this_thread::sleep_for(milliseconds(350));
    connect(context, streams, 1, running);
    std::this_thread::sleep_for(milliseconds(350));
    const direct_call asked = running.make_call(0);
    direct_answer got;
    asio::co_spawn(context, ask_over(streams.front(), asked, got),
                   asio::detached);
    context.run();
    cr_expect_eq(got.status, 503U, "%u, %s", got.status,
                 got.whole ? "whole" : "cut");
    cr_expect_eq(running.runs_of(asked.id), 0);
    wait_for_end(only);
}

// Guards against LOST: a request whose answer had not begun when the process
// ended got none, and no line told of what was cut.
Test(drain, what_is_open_at_the_end_of_an_instance_is_answered_or_logged)
{
    direct_plan plan;
    plan.instances = 1;
    plan.engines = 2;
    plan.events = 40;
    plan.gap = milliseconds(100);
    direct_fleet running(plan);
    direct_instance& only = running.at(0);
    set_time(running, "shutdown_ms: 5000", "shutdown_ms: 1500");
    const std::array<direct_call, 2> asked{running.make_call(0),
                                           running.make_call(0)};
    std::array<direct_answer, 2> got;
    const auto runs = [&](std::size_t which)
    {
        return eventually([&] { return running.runs_of(asked[which].id) == 1; },
                          std::chrono::seconds(2));
    };
    std::thread first([&] { got[0] = ask(asked[0]); });
    const bool first_runs = runs(0);
    for (std::size_t i = 0; i < plan.engines; ++i)
        running.engine(i).set_fault(answer_fault::silent);
    std::thread second([&] { got[1] = ask(asked[1]); });
    const bool second_runs = runs(1);
    kill(only.pid, SIGTERM);
    first.join();
    second.join();
    cr_assert(first_runs && second_runs);
    cr_expect_eq(got[0].status, 200U);
    cr_expect_not(got[0].whole);
    cr_expect_eq(got[1].status, 504U, "%u", got[1].status);
    wait_for_end(only);
    const std::string log = running.log_of(only);
    for (const direct_call& each : asked)
    {
        const std::string line = line_on_end(log, each.id);
        cr_expect(line.find("instance_ends") != std::string::npos, "%s: %s",
                  each.id.c_str(), line.c_str());
    }
}
