// Instances whose descriptors run out: new connections wait, nothing ends.
#include "crowd_cases.hpp"
#include "direct_fleet.hpp"
#include "fleet.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <thread>

#include <sys/ptrace.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace standin;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/// While it lives, a running process gets no further descriptors.
class shortage_of
{
  public:
    explicit shortage_of(pid_t process) : process_(process)
    {
        prlimit(process_, RLIMIT_NOFILE, nullptr, &old_);
        // What the process still closes, as the connection that asked whether
        // it is ready, would be free later.
        static constexpr int settled = 30;
        rlim_t lowest = old_.rlim_cur;
        for (int same = 0; same < settled; ++same)
        {
            const rlim_t free = first_free();
            if (free < lowest)
                same = 0;
            lowest = std::min(lowest, free);
            const rlimit short_of{lowest, old_.rlim_max};
            prlimit(process_, RLIMIT_NOFILE, &short_of, nullptr);
            std::this_thread::sleep_for(milliseconds(10));
        }
    }
    ~shortage_of() { prlimit(process_, RLIMIT_NOFILE, &old_, nullptr); }
    shortage_of(const shortage_of&) = delete;
    shortage_of& operator=(const shortage_of&) = delete;

  private:
    [[nodiscard]] rlim_t first_free() const
    {
        const std::string folder = "/proc/" + std::to_string(process_) + "/fd/";
        rlim_t number = 0;
        while (std::filesystem::exists(
            std::filesystem::symlink_status(folder + std::to_string(number))))
            ++number;
        return number;
    }

    pid_t process_;
    rlimit old_{};
};

/// While it lives, the threads of a process beside its first one stand still.
/// Made and ended on one thread.
class stuck_threads
{
  public:
    explicit stuck_threads(pid_t process)
    {
        namespace fs = std::filesystem;
        const std::string folder = "/proc/" + std::to_string(process) + "/task";
        for (const fs::directory_entry& each : fs::directory_iterator(folder))
        {
            const pid_t thread = std::stoi(each.path().filename().string());
            if (thread == process)
                continue;
            if (ptrace(PTRACE_SEIZE, thread, nullptr, nullptr) != 0)
                continue;
            ptrace(PTRACE_INTERRUPT, thread, nullptr, nullptr);
            waitpid(thread, nullptr, __WALL);
            held_.push_back(thread);
        }
    }
    ~stuck_threads()
    {
        for (const pid_t each : held_)
            ptrace(PTRACE_DETACH, each, nullptr, nullptr);
    }
    stuck_threads(const stuck_threads&) = delete;
    stuck_threads& operator=(const stuck_threads&) = delete;
    [[nodiscard]] std::size_t count() const { return held_.size(); }

  private:
    std::vector<pid_t> held_;
};

/// Starts a fleet whose processes may have this many descriptors.
template <class Fleet, class Plan>
std::unique_ptr<Fleet> start_with(rlim_t descriptors, const Plan& plan)
{
    rlimit old{};
    getrlimit(RLIMIT_NOFILE, &old);
    const rlimit lower{descriptors, old.rlim_max};
    setrlimit(RLIMIT_NOFILE, &lower);
    auto started = std::make_unique<Fleet>(plan);
    setrlimit(RLIMIT_NOFILE, &old);
    return started;
}

/// Connections that say nothing.
class silent_connections
{
  public:
    silent_connections(const std::string& to, std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            held_.emplace_back(io_);
            error_code ignored;
            held_.back().connect(endpoint_of(to), ignored);
        }
    }
    void close() { held_.clear(); }

  private:
    asio::io_context io_;
    std::vector<tcp::socket> held_;
};

/// Status of the answer to a GET request; 0 if none came in time.
unsigned status_of(const std::string& address, const std::string& path,
                   milliseconds limit)
{
    asio::io_context io;
    unsigned status = 0;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void>
        {
            beast::tcp_stream stream(io);
            stream.expires_after(limit);
            auto [unconnected] =
                co_await stream.async_connect(endpoint_of(address), as_result);
            if (unconnected)
                co_return;
            http::request<http::empty_body> asked(http::verb::get, path, 11);
            asked.set(http::field::host, "h");
            auto [unsent, sent] =
                co_await http::async_write(stream, asked, as_result);
            beast::flat_buffer buffer;
            http::response<http::string_body> got;
            auto [unread, read] =
                co_await http::async_read(stream, buffer, got, as_result);
            if (!unsent && !unread)
                status = got.result_int();
        },
        asio::detached);
    io.run();
    return status;
}

/// Seconds of processor time that a process has used.
double processor_seconds_of(pid_t process)
{
    std::ifstream in("/proc/" + std::to_string(process) + "/stat");
    std::string text;
    std::getline(in, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int i = 0; i < 11; ++i)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / double(sysconf(_SC_CLK_TCK));
}

/// Lines of one event at one listener.
std::size_t lines_of(const std::string& log, const std::string& event,
                     const std::string& listener)
{
    std::istringstream lines(log);
    std::string line;
    std::size_t count = 0;
    while (std::getline(lines, line))
    {
        const bool counts =
            line.find("\"name\":\"" + event + '"') != std::string::npos &&
            line.find("\"listener\":\"" + listener + '"') != std::string::npos;
        count += counts ? 1 : 0;
    }
    return count;
}

fleet_plan one_instance()
{
    fleet_plan plan;
    plan.domains = {"a"};
    plan.instances_per_domain = 1;
    plan.services = {{.name = "planner"}, {.name = "desk", .kind = "plain"}};
    return plan;
}

direct_plan one_direct_instance()
{
    direct_plan plan;
    plan.instances = 1;
    return plan;
}

/// Callers wait at a listener while no descriptor is free. Bounded processor
/// time, two lines in the log, and an answer once there are descriptors.
void check_shortage(pid_t process, const std::string& address,
                    const std::string& path, const std::string& listener,
                    const std::function<std::string()>& log)
{
    {
        silent_connections waiting(address, 20);
        const shortage_of none_left(process);
        // The one that was being accepted may have taken the last descriptor.
        silent_connections more(address, 20);
        const double before = processor_seconds_of(process);
        std::this_thread::sleep_for(seconds(2));
        const double used = processor_seconds_of(process) - before;
        cr_expect_lt(used, 0.2, "%s: %f s of processor time in 2 s",
                     listener.c_str(), used);
    }
    cr_expect_neq(status_of(address, path, seconds(4)), 0U, "%s",
                  listener.c_str());
    cr_expect(
        eventually(
            [&] { return lines_of(log(), "accept_recovered", listener) == 1; },
            seconds(3)),
        "%s: %zu lines", listener.c_str(),
        lines_of(log(), "accept_recovered", listener));
    cr_expect_eq(lines_of(log(), "accept_failed", listener), 1U,
                 "%s: %zu lines", listener.c_str(),
                 lines_of(log(), "accept_failed", listener));
}

asio::awaitable<void> keep_asking(beast::tcp_stream& kept, direct_call asked,
                                  direct_answer& got)
{
    co_await ask_over(kept, asked, got);
}

/// Status of an answer over a connection that stands.
unsigned status_over(beast::tcp_stream& kept, const direct_call& asked,
                     asio::io_context& io)
{
    direct_answer got;
    asio::co_spawn(io, keep_asking(kept, asked, got), asio::detached);
    io.restart();
    io.run();
    return got.status;
}

asio::awaitable<void> keep_calling(beast::tcp_stream& kept, call asked,
                                   answer& got)
{
    got = co_await ask_over(kept, asked);
}

/// Answer to a call over a connection that stands.
answer answer_over(beast::tcp_stream& kept, const call& asked,
                   asio::io_context& io)
{
    answer got;
    asio::co_spawn(io, keep_calling(kept, asked, got), asio::detached);
    io.restart();
    io.run();
    return got;
}

} // namespace

Test(descriptors, a_fresh_instance_outlives_a_shortage, .timeout = 60)
{
    fleet running(one_instance());
    instance& only = running.at(0);
    {
        const shortage_of none_left(only.pid);
        const silent_connections waiting(only.caller_address(), 3);
        std::this_thread::sleep_for(milliseconds(500));
    }
    int status = 0;
    const bool ended = running.wait_exit(only, seconds(1), &status);
    cr_assert(!ended, "ended with %d: %s", status,
              text_of(only.log_file).c_str());
    cr_expect(ask_now(running.make_call(0, "north", "desk")).completed());
}

Test(descriptors, scheduling_listeners_wait_and_tell, .timeout = 60)
{
    fleet running(one_instance());
    const instance& only = running.at(0);
    const auto log = [&] { return text_of(only.log_file); };
    check_shortage(only.pid, only.caller_address(), "/ready", "caller", log);
    check_shortage(only.pid, only.operator_address(), "/ready", "operator",
                   log);
    const std::string page = running.operator_get(only, "/metrics");
    for (const char* listener : {"caller", "operator"})
        cr_expect(page.find("sycamorelock_accept_failures_total{listener=\"" +
                            std::string(listener) + "\"} 0\n") ==
                      std::string::npos &&
                  page.find("sycamorelock_accept_failures_total{listener=\"" +
                            std::string(listener)) != std::string::npos);
}

Test(descriptors, direct_listeners_wait_and_tell, .timeout = 60)
{
    direct_fleet running(one_direct_instance());
    const direct_instance& only = running.at(0);
    const auto log = [&] { return running.log_of(only); };
    check_shortage(only.pid, only.ready_address(), "/v1/readyz", "ready", log);
    check_shortage(only.pid, only.metrics_address(), "/metrics", "metrics",
                   log);
    check_shortage(only.pid, only.caller_address(), "/v1/readyz", "caller",
                   log);
    const std::string page = running.page(only.metrics_address(), "/metrics");
    for (const char* listener : {"caller", "ready", "metrics"})
        cr_expect(page.find("sycamorelock_accept_failures_total{listener=\"" +
                            std::string(listener) + "\"} 0\n") ==
                      std::string::npos &&
                  page.find("sycamorelock_accept_failures_total{listener=\"" +
                            std::string(listener)) != std::string::npos);
}

// Silent connections at one listener, more than the process has descriptors.
Test(descriptors, silent_readers_leave_descriptors_to_callers, .timeout = 60)
{
    const auto running = start_with<fleet>(200, one_instance());
    const instance& only = running->at(0);
    const silent_connections silent(only.operator_address(), 250);
    cr_expect_eq(status_of(only.operator_address(), "/ready", seconds(4)),
                 200U);
    const answer got = ask_now(running->make_call(0, "north", "desk"));
    cr_expect(got.completed(), "%u %s", got.status, got.failure.c_str());
}

Test(descriptors, silent_callers_leave_descriptors_to_others, .timeout = 60)
{
    const auto running = start_with<fleet>(200, one_instance());
    const instance& only = running->at(0);
    const silent_connections silent(only.caller_address(), 250);
    cr_expect_eq(status_of(only.operator_address(), "/ready", seconds(4)),
                 200U);
    cr_expect_eq(status_of(only.caller_address(), "/ready", seconds(4)), 200U);
    const answer got = ask_now(running->make_call(0, "north", "desk"));
    cr_expect(got.completed(), "%u %s", got.status, got.failure.c_str());
}

Test(descriptors, silent_readers_leave_descriptors_to_direct_callers,
     .timeout = 60)
{
    direct_plan plan = one_direct_instance();
    plan.extra = "max_descriptors: 200\n";
    const auto running = start_with<direct_fleet>(200, plan);
    const direct_instance& only = running->at(0);
    for (const std::string& at :
         {only.metrics_address(), only.ready_address(), only.caller_address()})
    {
        const silent_connections silent(at, 250);
        cr_expect_eq(status_of(only.ready_address(), "/v1/readyz", seconds(4)),
                     200U, "%s", at.c_str());
        cr_expect_eq(status_of(only.metrics_address(), "/metrics", seconds(4)),
                     200U, "%s", at.c_str());
        cr_expect_eq(ask(running->make_call(0, "/look/1")).status, 200U, "%s",
                     at.c_str());
    }
}

// Guards against strangers that keep all descriptors: 250 connections at the
// port for other instances that send a greeting and nothing else.
Test(descriptors, silent_peers_leave_descriptors_to_callers, .timeout = 60)
{
    direct_plan plan = one_direct_instance();
    plan.extra = "max_descriptors: 200\n";
    const auto direct = start_with<direct_fleet>(200, plan);
    const auto scheduled = start_with<fleet>(200, one_instance());
    const crowd_script greeting{peer_greeting()};
    std::atomic<int> crowds{2};
    const auto crowd_at = [&](const std::string& address)
    {
        play_crowd(address, greeting, 250, seconds(12));
        --crowds;
    };
    std::thread first([&] { crowd_at(direct->at(0).peer_address()); });
    std::thread second([&] { crowd_at(scheduled->at(0).peer_address()); });
    std::this_thread::sleep_for(seconds(1));
    cr_expect_eq(ask(direct->make_call(0, "/look/1")).status, 200U);
    const answer got = ask_now(scheduled->make_call(0, "north", "desk"));
    cr_expect(got.completed(), "%u %s", got.status, got.failure.c_str());
    cr_expect_eq(crowds.load(), 2, "answered after the crowds had left");
    first.join();
    second.join();
}

// Balancers go by the pages: they answer also when others have all descriptors.
Test(descriptors, pages_answer_without_a_free_descriptor, .timeout = 60)
{
    fleet running(one_instance());
    const instance& only = running.at(0);
    direct_fleet direct(one_direct_instance());
    const direct_instance& alone = direct.at(0);
    const shortage_of none_left(only.pid);
    const shortage_of none_left_there(alone.pid);
    for (int i = 0; i < 20; ++i)
    {
        cr_expect_eq(status_of(only.operator_address(), "/ready", seconds(2)),
                     200U, "%d", i);
        cr_expect_eq(status_of(alone.ready_address(), "/v1/readyz", seconds(2)),
                     200U, "%d", i);
        cr_expect_eq(status_of(alone.metrics_address(), "/metrics", seconds(2)),
                     200U, "%d", i);
    }
}

// Callers whose connections wait for a descriptor when the drain closes the
// listener are answered, not reset.
Test(descriptors, callers_that_wait_are_served_before_the_end, .timeout = 60)
{
    fleet running(one_instance());
    instance& only = running.at(0);
    std::vector<unsigned> statuses(5, 0);
    std::vector<std::thread> callers;
    {
        const shortage_of none_left(only.pid);
        for (unsigned& status : statuses)
            callers.emplace_back(
                [&] {
                    status =
                        status_of(only.caller_address(), "/ready", seconds(10));
                });
        std::this_thread::sleep_for(milliseconds(300));
        running.signal(only, SIGTERM);
        // The test fleet lingers for 1.5 s.
        std::this_thread::sleep_for(milliseconds(2000));
    }
    for (std::thread& each : callers)
        each.join();
    for (const unsigned status : statuses)
        cr_expect_eq(status, 503U, "%u", status);
    int ended = -1;
    cr_expect(running.wait_exit(only, seconds(10), &ended));
    cr_expect_eq(ended, 0, "%d", ended);
}

Test(descriptors, direct_callers_that_wait_are_served_before_the_end,
     .timeout = 60)
{
    direct_fleet running(one_direct_instance());
    direct_instance& only = running.at(0);
    std::vector<direct_answer> answers(5);
    std::vector<std::thread> callers;
    {
        const shortage_of none_left(only.pid);
        for (direct_answer& got : answers)
            callers.emplace_back([&got, asked = running.make_call(0, "/look/1")]
                                 { got = ask(asked); });
        std::this_thread::sleep_for(milliseconds(300));
        kill(only.pid, SIGTERM);
        // The test fleet lingers for 0.5 s.
        std::this_thread::sleep_for(milliseconds(1000));
    }
    for (std::thread& each : callers)
        each.join();
    for (const direct_answer& got : answers)
        cr_expect_neq(got.status, 0U);
    int ended = -1;
    cr_expect(wait_for_exit(only.pid, seconds(10), &ended));
    only.pid = -1;
    cr_expect_eq(ended, 0, "%d", ended);
}

// A drain does not wait for descriptors that nobody needs.
Test(descriptors, an_instance_without_descriptors_ends_in_order, .timeout = 60)
{
    fleet running(one_instance());
    instance& only = running.at(0);
    direct_fleet direct(one_direct_instance());
    direct_instance& alone = direct.at(0);
    const shortage_of none_left(only.pid);
    const shortage_of none_left_there(alone.pid);
    running.signal(only, SIGTERM);
    kill(alone.pid, SIGTERM);
    int ended = -1;
    cr_expect(running.wait_exit(only, seconds(5), &ended));
    cr_expect_eq(ended, 0, "%d", ended);
    ended = -1;
    cr_expect(wait_for_exit(alone.pid, seconds(5), &ended));
    alone.pid = -1;
    cr_expect_eq(ended, 0, "%d", ended);
}

// The thread that makes the metrics page never answers.
Test(descriptors, a_page_of_a_stuck_thread_ends, .timeout = 60)
{
    direct_fleet running(one_direct_instance());
    const direct_instance& only = running.at(0);
    {
        const stuck_threads stuck(only.pid);
        cr_assert_gt(stuck.count(), 0U);
        cr_expect_eq(status_of(only.metrics_address(), "/metrics", seconds(7)),
                     503U);
        cr_expect_neq(status_of(only.ready_address(), "/v1/readyz", seconds(2)),
                      0U);
    }
    cr_expect_eq(status_of(only.metrics_address(), "/metrics", seconds(4)),
                 200U);
}

// Guards against endpoints that are set aside because the instance itself had
// no descriptor for a connection to them.
Test(descriptors, an_instance_without_descriptors_sets_no_endpoint_aside,
     .timeout = 60)
{
    direct_plan plan = one_direct_instance();
    plan.plain = 3;
    direct_fleet running(plan);
    asio::io_context io;
    beast::tcp_stream kept(io);
    kept.connect(endpoint_of(running.at(0).caller_address()));
    std::this_thread::sleep_for(milliseconds(200));
    {
        const shortage_of none_left(running.at(0).pid);
        cr_assert_eq(status_over(kept, running.make_call(0, "/look/1"), io),
                     503U);
    }
    const unsigned status =
        status_over(kept, running.make_call(0, "/look/1"), io);
    cr_expect_eq(status, 200U, "%u", status);
    // Others cannot be asked either: each try costs time and lines of log.
    const auto logged = [&](const char* text)
    { return running.log_of(running.at(0)).find(text) != std::string::npos; };
    cr_expect(eventually([&] { return logged("local_shortage"); }, seconds(3)));
    cr_expect_not(logged("attempt_repeated"));
}

// Guards against endpoints that are ejected for all instances because one had
// no descriptor for a connection to them.
Test(descriptors, an_instance_without_descriptors_ejects_no_endpoint,
     .timeout = 60)
{
    fleet running(one_instance());
    const instance& only = running.at(0);
    asio::io_context io;
    beast::tcp_stream kept(io);
    kept.connect(endpoint_of(only.caller_address()));
    std::this_thread::sleep_for(milliseconds(200));
    {
        const shortage_of none_left(only.pid);
        const answer got =
            answer_over(kept, running.make_call(0, "north", "desk"), io);
        cr_assert_eq(got.reason, "retries_exhausted", "%u %s", got.status,
                     got.reason.c_str());
        cr_assert_eq(got.executed, "no");
    }
    const answer got =
        answer_over(kept, running.make_call(0, "north", "desk"), io);
    cr_expect(got.completed(), "%u %s", got.status, got.reason.c_str());
}
