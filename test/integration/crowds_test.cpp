// Guards against callers that outgrow or end a process: 64 at once that send
// too much, too slowly or without an end. The process lives, its memory stays
// within what the smallest machine has for callers, its descriptors are
// released, and an ordinary request is answered afterwards.
#include "crowd_cases.hpp"
#include "direct_checks.hpp"
#include "plans.hpp"

using namespace standin;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::size_t crowd_size = 64;
/// Memory that a process may take beyond its start. Of the 120 MB of the
/// smallest machine, 12 are for the process at its start, 32 for control, and
/// 28 for the kernel's sockets.
constexpr long most_memory_kb = 48L * 1024;
/// Descriptors that may be open after a crowd and were not before: 32 idle
/// connections to an endpoint for each of two threads, and a few to the
/// platform.
constexpr std::size_t kept_descriptors = 72;

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
CROWD_TESTS(small_requests_without_end)
CROWD_TESTS(a_method_that_nobody_knows)
CROWD_TESTS(a_trailer_of_70000_bytes)
CROWD_TESTS(the_end_of_a_chunked_body_byte_by_byte)
CROWD_TESTS(a_trace_with_a_body)
CROWD_TESTS(a_body_without_a_final_chunked)

Test(direct_crowds, three_mixed_crowds, .timeout = 90)
{
    direct_process process;
    check_crowds(process.watched(), process.instance().caller_address(),
                 drawn_crowds(1, 3, crowd_size, direct_forms()));
}

Test(scheduled_crowds, three_mixed_crowds, .timeout = 90)
{
    scheduled_process process;
    check_crowds(process.watched(), process.instance().caller_address(),
                 drawn_crowds(1, 3, crowd_size, scheduled_forms()));
}

Test(page_crowds, mixed_crowds_at_the_ready_page, .timeout = 90)
{
    direct_process process;
    check_crowds(process.watched(), process.instance().ready_address(),
                 drawn_crowds(2, 3, crowd_size, ready_page_forms()));
}

Test(page_crowds, mixed_crowds_at_the_metrics_page, .timeout = 90)
{
    direct_process process;
    check_crowds(process.watched(), process.instance().metrics_address(),
                 drawn_crowds(3, 3, crowd_size, page_forms("/metrics")));
}

Test(page_crowds, mixed_crowds_at_the_operators_port, .timeout = 90)
{
    scheduled_process process;
    check_crowds(process.watched(), process.instance().operator_address(),
                 drawn_crowds(4, 3, crowd_size, page_forms("/metrics")));
}

Test(page_crowds, trailers_without_end_at_the_ready_page, .timeout = 90)
{
    direct_process process;
    check_crowd(process.watched(), process.instance().ready_address(),
                script_of("a_trailer_line_without_end", ready_page_forms()));
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

Test(peer_crowds, unfinished_messages_in_direct_routing, .timeout = 90)
{
    direct_process process;
    check_crowd(process.watched(), process.instance().peer_address(),
                unfinished_peer_message());
}

Test(peer_crowds, unfinished_messages_in_scheduled_routing, .timeout = 90)
{
    scheduled_process process;
    check_crowd(process.watched(), process.instance().peer_address(),
                unfinished_peer_message());
}

// Guards against bounds that refuse a body of the configured limit although no
// other caller is there.
Test(direct_crowds, a_body_of_the_limit_is_served_in_calm, .timeout = 60)
{
    direct_process process;
    for (const bool is_chunked : {false, true})
    {
        direct_call asked = process.fleet().make_call(0, "/look/1");
        asked.body = std::string(crowd_body_limit, 'b');
        asked.chunked = is_chunked;
        const direct_answer got = ask(asked);
        cr_expect_eq(got.status, 200U, "%u", got.status);
    }
}

// Guards against a body without a final `chunked` whose bytes run as a request.
Test(direct_crowds, bytes_behind_an_unframed_body_are_not_run, .timeout = 60)
{
    direct_process process;
    play_crowd(process.instance().caller_address(),
               script_of("a_body_without_a_final_chunked", direct_forms()), 1,
               milliseconds(1000));
    cr_expect_eq(process.fleet().runs_of("crowd"), 0);
}
