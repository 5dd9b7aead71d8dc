// Many callers at once that send too much, too slowly or without an end: the
// process lives, its memory stays within the share of the smallest machine, its
// descriptors come back, and an ordinary request is answered afterwards.
#include "crowd.hpp"
#include "direct_checks.hpp"
#include "plans.hpp"

#include <filesystem>
#include <fstream>
#include <random>

using namespace standin;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::size_t crowd_size = 64;
/// Largest body that the settings of these tests allow.
constexpr std::size_t body_limit = 2UL * 1024 * 1024;
/// Time for a request to arrive, by the same settings.
constexpr milliseconds arrival_limit{1500};
/// A crowd outlasts that, then leaves.
constexpr milliseconds crowd_patience{3000};
/// Memory that a process may take beyond its start: of the 120 MB of the
/// smallest machine, 72 are for the process at its start, for control and for
/// what the kernel holds.
constexpr long most_memory_kb = 48L * 1024;
/// Descriptors that may be open after a crowd and were not before: connections
/// to an endpoint that are kept, 32 by each of two threads.
constexpr std::size_t kept_descriptors = 72;
/// What a caller sends that never ends is cut off here.
constexpr std::size_t much = 8UL * 1024 * 1024;

/// Most memory that a process has held.
long peak_memory_kb(pid_t process)
{
    std::ifstream in("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(in, line);)
    {
        if (line.starts_with("VmHWM:"))
            return std::strtol(line.c_str() + 6, nullptr, 10);
    }
    return 0;
}

std::size_t descriptors_of(pid_t process)
{
    std::size_t count = 0;
    std::error_code gone;
    const std::string folder = "/proc/" + std::to_string(process) + "/fd";
    for (const auto& each : std::filesystem::directory_iterator(folder, gone))
        count += each.path().empty() ? 0 : 1;
    return count;
}

/// Beginnings of requests that a listener serves.
struct request_forms
{
    std::string post;
    std::string get;
    std::string trace;
};

const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";

std::string announced(std::size_t bytes)
{
    return "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

std::string chunk_of(std::size_t bytes)
{
    std::ostringstream out;
    out << std::hex << bytes << "\r\n" << std::string(bytes, 'b') << "\r\n";
    return out.str();
}

std::string short_lines(std::size_t bytes)
{
    std::string lines;
    for (std::size_t i = 0; lines.size() < bytes; ++i)
        lines += 'a' + std::to_string(i % 1000) + ":\r\n";
    return lines;
}

/// Name of a way of sending, and the way.
struct crowd_case
{
    const char* name;
    std::function<crowd_script(const request_forms&)> script;
};

const std::vector<crowd_case>& crowd_cases()
{
    using forms = request_forms;
    static const std::vector<crowd_case> all{
        {"trailer_lines_without_end",
         [](const forms& of)
         {
             return crowd_script{of.post + chunked + "2\r\nab\r\n0\r\n",
                                 "X-A: b\r\n", much};
         }},
        {"a_trailer_line_without_end",
         [](const forms& of)
         {
             return crowd_script{
                 of.post + chunked + "2\r\nab\r\n0\r\nX-A: ", "a", much};
         }},
        {"a_chunk_extension_without_end",
         [](const forms& of) {
             return crowd_script{of.post + chunked + "5;a=", "a", much};
         }},
        {"a_chunk_size_without_end",
         [](const forms& of) {
             return crowd_script{of.post + chunked, "0", much};
         }},
        {"a_header_line_without_end",
         [](const forms& of) {
             return crowd_script{of.post + "X-A: ", "a", much};
         }},
        {"a_second_request_with_trailers_without_end",
         [](const forms& of)
         {
             return crowd_script{of.post + announced(2) + "ab" + of.post +
                                     chunked + "2\r\nab\r\n0\r\n",
                                 "X-A: b\r\n", much};
         }},
        {"an_announced_body_of_4_GB",
         [](const forms& of) {
             return crowd_script{of.post + announced(4UL << 30U), "b", much};
         }},
        {"an_announced_body_of_4_GB_that_waits_for_leave",
         [](const forms& of)
         {
             return crowd_script{of.post + "Expect: 100-continue\r\n" +
                                     announced(4UL << 30U),
                                 "b", much};
         }},
        {"a_chunk_of_2_GB",
         [](const forms& of) {
             return crowd_script{of.post + chunked + "80000000\r\n", "b", much};
         }},
        {"chunks_past_the_limit",
         [](const forms& of) {
             return crowd_script{of.post + chunked, chunk_of(65536), much};
         }},
        {"large_chunks_just_short_of_the_limit",
         [](const forms& of)
         {
             return crowd_script{of.post + chunked, chunk_of(65536),
                                 (body_limit / 65536 - 1) *
                                     chunk_of(65536).size()};
         }},
        {"chunks_without_the_last_line_end",
         [](const forms& of)
         {
             return crowd_script{of.post + chunked, chunk_of(65536),
                                 (body_limit / 65536) * chunk_of(65536).size(),
                                 "0\r\n"};
         }},
        {"an_announced_body_just_short_of_its_end",
         [](const forms& of) {
             return crowd_script{of.post + announced(body_limit), "b",
                                 body_limit - 1};
         }},
        {"small_chunks_of_half_the_limit",
         [](const forms& of)
         {
             return crowd_script{of.post + chunked, chunk_of(16),
                                 body_limit / 2 / 16 * chunk_of(16).size()};
         }},
        {"small_chunks_that_trickle",
         [](const forms& of)
         {
             return crowd_script{of.post + chunked, chunk_of(16),
                                 body_limit / 2 / 16 * chunk_of(16).size(),
                                 std::string(1000, '1'), milliseconds(20)};
         }},
        {"chunks_of_one_byte",
         [](const forms& of)
         {
             return crowd_script{of.post + chunked, chunk_of(1),
                                 body_limit / 8 * chunk_of(1).size()};
         }},
        {"short_header_lines_before_a_body_that_stays",
         [](const forms& of) {
             return crowd_script{of.post + short_lines(60000) + announced(10) +
                                 "b"};
         }},
        {"a_large_body_then_nothing",
         [](const forms& of)
         {
             return crowd_script{of.post + announced(body_limit - 1), "b",
                                 body_limit - 1};
         }},
        {"pipelined_requests_with_unread_answers",
         [](const forms& of)
         {
             std::string one = of.post + announced(65536);
             one += std::string(65536, 'b');
             return crowd_script{.begin = "",
                                 .again = one,
                                 .repeated_bytes = 100 * one.size(),
                                 .end = "",
                                 .reads = false};
         }},
        {"a_trailer_of_70000_bytes",
         [](const forms& of)
         {
             return crowd_script{of.post + chunked + "2\r\nab\r\n0\r\nX-A: " +
                                 std::string(70000, 'a') + "\r\n\r\n"};
         }},
        {"the_end_of_a_chunked_body_byte_by_byte",
         [](const forms& of)
         {
             return crowd_script{of.post + chunked, "", 0, "0\r\n\r\n",
                                 milliseconds(20)};
         }},
        {"a_trace_with_a_body", [](const forms& of)
         { return crowd_script{of.trace + announced(2) + "ab"}; }},
        {"a_body_without_a_final_chunked",
         [](const forms& of)
         {
             return crowd_script{of.post + "Transfer-Encoding: gzip\r\n\r\n" +
                                 of.get + "\r\n"};
         }},
    };
    return all;
}

crowd_script script_of(const char* name, const request_forms& forms)
{
    for (const crowd_case& each : crowd_cases())
    {
        if (std::string(each.name) == name)
            return each.script(forms);
    }
    throw std::runtime_error(std::string("no crowd ") + name);
}

/// A process with its listeners, alike for both ways of routing.
struct watched_process
{
    pid_t pid;
    /// Sends one ordinary request; returns whether it was answered.
    std::function<bool()> answers;
    std::function<std::string()> log;
};

/// Plays crowds one after another and checks what must hold after each.
void check_crowds(const watched_process& at, const std::string& address,
                  const std::vector<std::vector<crowd_script>>& crowds)
{
    cr_assert(at.answers(), "before any crowd");
    const long before = peak_memory_kb(at.pid);
    const std::size_t open_before = descriptors_of(at.pid);
    for (const std::vector<crowd_script>& each : crowds)
        play_crowd(address, each, crowd_patience);
    cr_assert(wait_for_exit(at.pid, seconds(0), nullptr) == false,
              "the process has ended: %s", at.log().c_str());
    const long more = peak_memory_kb(at.pid) - before;
    cr_expect_lt(more, most_memory_kb, "%ld KB more", more);
    const auto returned = [&]
    { return descriptors_of(at.pid) <= open_before + kept_descriptors; };
    cr_expect(eventually(returned, seconds(20)), "%zu descriptors, %zu before",
              descriptors_of(at.pid), open_before);
    cr_expect(eventually(at.answers, seconds(20)), "no ordinary answer");
    cr_expect(wait_for_exit(at.pid, seconds(0), nullptr) == false,
              "the process has ended: %s", at.log().c_str());
}

void check_crowd(const watched_process& at, const std::string& address,
                 const crowd_script& script)
{
    check_crowds(at, address, {std::vector(crowd_size, script)});
}

/// Scripts drawn by a seed, for one crowd.
std::vector<crowd_script> drawn_crowd(std::mt19937_64& random,
                                      const request_forms& forms)
{
    std::vector<crowd_script> all;
    while (all.size() < crowd_size)
    {
        const auto& drawn = crowd_cases()[random() % crowd_cases().size()];
        crowd_script script = drawn.script(forms);
        // Some stop in the middle.
        if (random() % 3 == 0)
            script.repeated_bytes /= 1 + random() % 8;
        if (random() % 4 == 0)
            script.byte_gap = milliseconds(1 + random() % 50);
        script.reads = script.reads && random() % 4 != 0;
        all.push_back(std::move(script));
    }
    return all;
}

std::vector<std::vector<crowd_script>> drawn_crowds(std::uint64_t seed,
                                                    const request_forms& forms)
{
    std::mt19937_64 random(seed);
    std::vector<std::vector<crowd_script>> all;
    while (all.size() < 3)
        all.push_back(drawn_crowd(random, forms));
    return all;
}

request_forms direct_forms()
{
    static const std::string fields =
        " HTTP/1.1\r\nHost: fleet\r\nAttempt-Id: crowd\r\nDeadline-Ms: 5000\r\n"
        "Authorization: Bearer key-north\r\n";
    return {"POST /look/crowd" + fields, "GET /look/hidden" + fields,
            "TRACE /look/crowd" + fields};
}

request_forms scheduled_forms()
{
    static const std::string fields =
        " HTTP/1.1\r\nHost: f\r\nAuthorization: Bearer key-north\r\n";
    return {"POST /v1/services/desk/x" + fields,
            "GET /v1/services/desk/hidden" + fields,
            "TRACE /v1/services/desk/x" + fields};
}

request_forms page_forms(const std::string& path)
{
    const std::string fields = ' ' + path + " HTTP/1.1\r\nHost: f\r\n";
    return {"POST" + fields, "GET" + fields, "TRACE" + fields};
}

class direct_process
{
  public:
    direct_process() : fleet_(plan()) {}
    watched_process watched()
    {
        return {fleet_.at(0).pid,
                [this]
                { return ask(fleet_.make_call(0, "/look/1")).status == 200; },
                [this] { return fleet_.log_of(fleet_.at(0)); }};
    }
    direct_instance& instance() { return fleet_.at(0); }
    direct_fleet& fleet() { return fleet_; }

  private:
    static direct_plan plan()
    {
        direct_plan made;
        made.instances = 1;
        made.engines = 1;
        made.plain = 1;
        made.limits = R"("max_header_bytes":65536,"max_body_bytes":)" +
                      std::to_string(body_limit) + R"(,"header_timeout_ms":)" +
                      std::to_string(arrival_limit.count()) +
                      R"(,"idle_timeout_ms":5000)";
        return made;
    }

    direct_fleet fleet_;
};

class scheduled_process
{
  public:
    scheduled_process() : fleet_(plan()) {}
    watched_process watched()
    {
        return {fleet_.at(0).pid,
                [this] {
                    return ask_now(fleet_.make_call(0, "north", "desk"))
                        .completed();
                },
                [this] { return text_of(fleet_.at(0).log_file); }};
    }
    standin::instance& instance() { return fleet_.at(0); }

  private:
    static fleet_plan plan()
    {
        fleet_plan made;
        made.domains = {"a"};
        made.instances_per_domain = 1;
        made.services = {{.name = "planner"},
                         {.name = "desk", .kind = "plain"}};
        made.extra =
            "max_body_bytes: " + std::to_string(body_limit) +
            "\nheader_timeout_ms: " + std::to_string(arrival_limit.count()) +
            "\nidle_timeout_ms: 5000\nwrite_timeout_ms: 2000\n";
        return made;
    }

    standin::fleet fleet_;
};

} // namespace

// One test of each way of sending in each way of routing, so that each has its
// own result.
#define CROWD_TESTS(name)                                                      \
    Test(direct_crowds, name, .timeout = 90)                                   \
    {                                                                          \
        direct_process process;                                                \
        check_crowd(process.watched(), process.instance().caller_address(),    \
                    script_of(#name, direct_forms()));                         \
    }                                                                          \
    Test(scheduled_crowds, name, .timeout = 90)                                \
    {                                                                          \
        scheduled_process process;                                             \
        check_crowd(process.watched(), process.instance().caller_address(),    \
                    script_of(#name, scheduled_forms()));                      \
    }

CROWD_TESTS(trailer_lines_without_end)
CROWD_TESTS(a_trailer_line_without_end)
CROWD_TESTS(a_chunk_extension_without_end)
CROWD_TESTS(a_chunk_size_without_end)
CROWD_TESTS(a_header_line_without_end)
CROWD_TESTS(a_second_request_with_trailers_without_end)
CROWD_TESTS(an_announced_body_of_4_GB)
CROWD_TESTS(an_announced_body_of_4_GB_that_waits_for_leave)
CROWD_TESTS(a_chunk_of_2_GB)
CROWD_TESTS(chunks_past_the_limit)
CROWD_TESTS(large_chunks_just_short_of_the_limit)
CROWD_TESTS(chunks_without_the_last_line_end)
CROWD_TESTS(an_announced_body_just_short_of_its_end)
CROWD_TESTS(small_chunks_of_half_the_limit)
CROWD_TESTS(small_chunks_that_trickle)
CROWD_TESTS(chunks_of_one_byte)
CROWD_TESTS(short_header_lines_before_a_body_that_stays)
CROWD_TESTS(a_large_body_then_nothing)
CROWD_TESTS(pipelined_requests_with_unread_answers)
CROWD_TESTS(a_trailer_of_70000_bytes)
CROWD_TESTS(the_end_of_a_chunked_body_byte_by_byte)
CROWD_TESTS(a_trace_with_a_body)
CROWD_TESTS(a_body_without_a_final_chunked)

Test(direct_crowds, three_mixed_crowds, .timeout = 90)
{
    direct_process process;
    check_crowds(process.watched(), process.instance().caller_address(),
                 drawn_crowds(1, direct_forms()));
}

Test(scheduled_crowds, three_mixed_crowds, .timeout = 90)
{
    scheduled_process process;
    check_crowds(process.watched(), process.instance().caller_address(),
                 drawn_crowds(1, scheduled_forms()));
}

Test(page_crowds, mixed_crowds_at_the_ready_page, .timeout = 90)
{
    direct_process process;
    check_crowds(process.watched(), process.instance().ready_address(),
                 drawn_crowds(2, page_forms("/v1/readyz")));
}

Test(page_crowds, mixed_crowds_at_the_metrics_page, .timeout = 90)
{
    direct_process process;
    check_crowds(process.watched(), process.instance().metrics_address(),
                 drawn_crowds(3, page_forms("/metrics")));
}

Test(page_crowds, mixed_crowds_at_the_operators_port, .timeout = 90)
{
    scheduled_process process;
    check_crowds(process.watched(), process.instance().operator_address(),
                 drawn_crowds(4, page_forms("/metrics")));
}

Test(page_crowds, trailers_without_end_at_the_ready_page, .timeout = 90)
{
    direct_process process;
    check_crowd(
        process.watched(), process.instance().ready_address(),
        script_of("a_trailer_line_without_end", page_forms("/v1/readyz")));
}

Test(page_crowds, trailers_without_end_at_the_metrics_page, .timeout = 90)
{
    direct_process process;
    check_crowd(
        process.watched(), process.instance().metrics_address(),
        script_of("a_trailer_line_without_end", page_forms("/metrics")));
}

Test(page_crowds, trailers_without_end_at_the_operators_port, .timeout = 90)
{
    scheduled_process process;
    check_crowd(
        process.watched(), process.instance().operator_address(),
        script_of("a_trailer_line_without_end", page_forms("/metrics")));
}

// A caller with the largest body that is allowed is served in calm.
Test(direct_crowds, a_body_of_the_limit_is_served_in_calm, .timeout = 60)
{
    direct_process process;
    for (const bool is_chunked : {false, true})
    {
        direct_call asked = process.fleet().make_call(0, "/look/1");
        asked.body = std::string(body_limit, 'b');
        asked.chunked = is_chunked;
        const direct_answer got = ask(asked);
        cr_expect_eq(got.status, 200U, "%u", got.status);
    }
}

// What follows a body whose end is not marked is not a request of its own.
Test(direct_crowds, bytes_behind_an_unframed_body_are_not_run, .timeout = 60)
{
    direct_process process;
    play_crowd(process.instance().caller_address(),
               script_of("a_body_without_a_final_chunked", direct_forms()), 1,
               milliseconds(1000));
    cr_expect_eq(process.fleet().runs_of("crowd"), 0);
}
