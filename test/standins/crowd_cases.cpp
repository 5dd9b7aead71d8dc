// The cases as they were seen, and drawn mixes of them.
#include "crowd_cases.hpp"

#include <sstream>

namespace standin
{

using std::chrono::milliseconds;

namespace
{

/// What a caller sends that never ends is cut off here.
constexpr std::size_t much = 8UL * 1024 * 1024;

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

} // namespace

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
                                 (crowd_body_limit / 65536 - 1) *
                                     chunk_of(65536).size()};
         }},
        {"chunks_without_the_last_line_end",
         [](const forms& of)
         {
             return crowd_script{
                 of.post + chunked, chunk_of(65536),
                 (crowd_body_limit / 65536) * chunk_of(65536).size(), "0\r\n"};
         }},
        {"an_announced_body_just_short_of_its_end",
         [](const forms& of)
         {
             return crowd_script{of.post + announced(crowd_body_limit), "b",
                                 crowd_body_limit - 1};
         }},
        {"small_chunks_of_half_the_limit",
         [](const forms& of)
         {
             return crowd_script{of.post + chunked, chunk_of(16),
                                 crowd_body_limit / 2 / 16 *
                                     chunk_of(16).size()};
         }},
        {"small_chunks_that_trickle",
         [](const forms& of)
         {
             return crowd_script{of.post + chunked, chunk_of(16),
                                 crowd_body_limit / 2 / 16 *
                                     chunk_of(16).size(),
                                 std::string(1000, '1'), milliseconds(20)};
         }},
        {"chunks_of_one_byte",
         [](const forms& of)
         {
             return crowd_script{of.post + chunked, chunk_of(1),
                                 crowd_body_limit / 8 * chunk_of(1).size()};
         }},
        {"short_header_lines_before_a_body_that_stays",
         [](const forms& of) {
             return crowd_script{of.post + short_lines(60000) + announced(10) +
                                 "b"};
         }},
        {"a_large_body_then_nothing",
         [](const forms& of)
         {
             return crowd_script{of.post + announced(crowd_body_limit - 1), "b",
                                 crowd_body_limit - 1};
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
        {"small_requests_without_end",
         [](const forms& of) {
             return crowd_script{"", of.stray + "\r\n", much};
         }},
        {"a_method_that_nobody_knows",
         [](const forms& of)
         {
             return crowd_script{"GROW" + of.post.substr(of.post.find(' ')) +
                                 announced(2) + "ab"};
         }},
    };
    return all;
}

std::string peer_greeting()
{
    using namespace std::string_literals;
    return "\0SP\0\0\x50\0\0"s;
}

crowd_script unfinished_peer_message()
{
    static constexpr std::size_t largest = 2UL * 1024 * 1024;
    static constexpr unsigned byte_bits = 8;
    std::string length;
    for (unsigned i = 0; i < byte_bits; ++i)
        length.insert(length.begin(),
                      static_cast<char>(largest >> (byte_bits * i)));
    return {peer_greeting() + length, "x", largest - 1};
}

crowd_script script_of(const std::string& name, const request_forms& forms)
{
    for (const crowd_case& each : crowd_cases())
    {
        if (each.name == name)
            return each.script(forms);
    }
    throw std::runtime_error("no crowd is named " + name);
}

namespace
{

/// The mixes of a seed stay the same as cases are added at the end.
constexpr std::size_t mixed_cases = 23;

/// Scripts for one crowd.
std::vector<crowd_script> drawn_crowd(std::mt19937_64& random, std::size_t size,
                                      const request_forms& forms)
{
    std::vector<crowd_script> all;
    while (all.size() < size)
    {
        const auto& drawn = crowd_cases()[random() % mixed_cases];
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

} // namespace

std::vector<std::vector<crowd_script>> drawn_crowds(std::uint64_t seed,
                                                    std::size_t crowds,
                                                    std::size_t size,
                                                    const request_forms& forms)
{
    std::mt19937_64 random(seed);
    std::vector<std::vector<crowd_script>> all;
    while (all.size() < crowds)
        all.push_back(drawn_crowd(random, size, forms));
    return all;
}

request_forms direct_forms()
{
    static const std::string fields =
        " HTTP/1.1\r\nHost: fleet\r\nAttempt-Id: crowd\r\nDeadline-Ms: 5000\r\n"
        "Authorization: Bearer key-north\r\n";
    return {"POST /look/crowd" + fields, "GET /look/hidden" + fields,
            "TRACE /look/crowd" + fields, "GET /nowhere" + fields};
}

request_forms scheduled_forms()
{
    static const std::string fields =
        " HTTP/1.1\r\nHost: f\r\nAuthorization: Bearer key-north\r\n";
    return {"POST /v1/services/desk/x" + fields,
            "GET /v1/services/desk/hidden" + fields,
            "TRACE /v1/services/desk/x" + fields, "GET /nowhere" + fields};
}

request_forms page_forms(const std::string& path)
{
    const std::string fields = ' ' + path + " HTTP/1.1\r\nHost: f\r\n";
    return {"POST" + fields, "GET" + fields, "TRACE" + fields,
            "GET /nowhere HTTP/1.1\r\nHost: f\r\n"};
}

request_forms ready_page_forms()
{
    return page_forms("/v1/readyz");
}

watched_process direct_process::watched()
{
    return {fleet_.at(0).pid,
            [this]
            { return ask(fleet_.make_call(0, "/look/1")).status == 200; },
            [this] { return fleet_.log_of(fleet_.at(0)); }};
}

direct_plan direct_process::plan()
{
    direct_plan made;
    made.instances = 1;
    made.engines = 1;
    made.plain = 1;
    made.limits = R"("max_header_bytes":65536,"max_body_bytes":)" +
                  std::to_string(crowd_body_limit) +
                  R"(,"header_timeout_ms":)" +
                  std::to_string(crowd_arrival_limit.count()) +
                  R"(,"idle_timeout_ms":5000)";
    return made;
}

watched_process scheduled_process::watched()
{
    return {
        fleet_.at(0).pid,
        [this]
        { return ask_now(fleet_.make_call(0, "north", "desk")).completed(); },
        [this] { return text_of(fleet_.at(0).log_file); }};
}

fleet_plan scheduled_process::plan()
{
    fleet_plan made;
    made.domains = {"a"};
    made.instances_per_domain = 1;
    made.services = {{.name = "planner"}, {.name = "desk", .kind = "plain"}};
    made.extra =
        "max_body_bytes: " + std::to_string(crowd_body_limit) +
        "\nheader_timeout_ms: " + std::to_string(crowd_arrival_limit.count()) +
        "\nidle_timeout_ms: 5000\nwrite_timeout_ms: 2000\n";
    return made;
}

} // namespace standin
