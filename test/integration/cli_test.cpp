// The operators' command line, run as they run it.
#include "plans.hpp"

#include <criterion/criterion.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>

using namespace standin;

namespace
{

struct outcome
{
    int status = -1;
    std::string text;
};

/// Runs the command line and collects what it prints on both streams.
outcome sycamorelock(const std::string& arguments)
{
    outcome result;
    const std::string line =
        std::string(SYCAMORELOCK_PATH) + ' ' + arguments + " 2>&1";
    FILE* pipe = popen(line.c_str(), "r");
    cr_assert_not_null(pipe);
    std::array<char, 4096> buffer{};
    std::size_t count = 0;
    while ((count = std::fread(buffer.data(), 1, buffer.size(), pipe)) > 0)
        result.text.append(buffer.data(), count);
    result.status = WEXITSTATUS(pclose(pipe));
    return result;
}

bool says(const outcome& result, const std::string& words)
{
    return result.text.find(words) != std::string::npos;
}

/// A file that is gone when the test ends.
class scratch_file
{
  public:
    scratch_file(const std::string& name, const std::string& text)
        : path_(std::filesystem::temp_directory_path() /
                ("sycamorelock-" + std::to_string(getpid()) + '-' + name))
    {
        std::ofstream(path_) << text;
    }
    ~scratch_file() { std::filesystem::remove(path_); }
    scratch_file(const scratch_file&) = delete;
    scratch_file& operator=(const scratch_file&) = delete;
    [[nodiscard]] std::string path() const { return path_.string(); }

  private:
    std::filesystem::path path_;
};

/// The indented block of README.md after "A first configuration".
std::string first_configuration()
{
    std::ifstream in(SYCAMORELOCK_SOURCE "/README.md");
    std::string line;
    std::string block;
    bool found = false;
    while (std::getline(in, line))
    {
        found = found || line.starts_with("A first configuration");
        const bool indented = line.starts_with("    ");
        if (!found || (!indented && block.empty()))
            continue;
        if (!indented)
            break;
        block += line.substr(4) + '\n';
    }
    return block;
}

std::string digest_of(const std::string& key)
{
    const outcome printed = sycamorelock("digest " + key);
    return printed.text.substr(0, printed.text.find('\n'));
}

} // namespace

Test(cli, the_first_configuration_of_the_readme_passes_the_check)
{
    std::string tree = first_configuration();
    const std::string placeholder = "SHA-256 of the API key, in hex";
    const auto at = tree.find(placeholder);
    cr_assert_neq(at, std::string::npos, "%s", tree.c_str());
    const scratch_file unfinished("unfinished.yaml", tree);
    cr_assert_eq(sycamorelock("check " + unfinished.path()).status, 1);
    tree.replace(at, placeholder.size(), digest_of("secret"));
    const scratch_file finished("finished.yaml", tree);
    const outcome checked = sycamorelock("check " + finished.path());
    cr_assert_eq(checked.status, 0, "%s", checked.text.c_str());
    cr_assert(says(checked, "no findings"));
}

Test(cli, the_digest_is_the_sha_256_of_the_key)
{
    const std::string digest = digest_of("abc");
    cr_assert_str_eq(digest.c_str(), "ba7816bf8f01cfea414140de5dae2223"
                                     "b00361a396177a9cb410ff61f20015ad");
}

Test(cli, check_reports_all_findings_of_all_files_with_their_places)
{
    const scratch_file process("process.yaml", "name: a1\ndomian: a\n"
                                               "caller_port: many\n");
    const scratch_file tree("tree.yaml",
                            "accounts:\n  children:\n    north: {weight: -1}\n"
                            "services:\n  children: {}\n");
    const outcome checked =
        sycamorelock("check " + process.path() + ' ' + tree.path());
    cr_assert_eq(checked.status, 1);
    cr_assert(says(checked, process.path() + ":2:"), "%s",
              checked.text.c_str());
    cr_assert(says(checked, "domian"));
    cr_assert(says(checked, process.path() + ":3:"));
    cr_assert(says(checked, tree.path() + ":3:"));
    const outcome as_json = sycamorelock("check --json " + process.path());
    cr_assert(as_json.text.starts_with("[{\"file\":"));
    cr_assert(says(as_json, "\"line\":2"));
    const outcome missing = sycamorelock("check /nowhere/at-all.yaml");
    cr_assert_eq(missing.status, 1);
    cr_assert(says(missing, "cannot be read"));
}

Test(cli, wrong_usage_and_an_unreachable_instance_have_their_own_exit_codes)
{
    for (const char* line : {"", "check", "explain", "nonsense", "status more",
                             "--at", "status --nonsense"})
    {
        const outcome wrong = sycamorelock(line);
        cr_assert_eq(wrong.status, 2, "%s: %d", line, wrong.status);
        cr_assert(!wrong.text.empty());
    }
    const outcome nobody = sycamorelock("--at 127.0.0.1:1 status");
    cr_assert_eq(nobody.status, 1);
    cr_assert(says(nobody, "127.0.0.1:1"));
    cr_assert_eq(sycamorelock("--at nonsense status").status, 1);
    cr_assert_eq(sycamorelock("--help").status, 0);
    cr_assert_eq(sycamorelock("--version").status, 0);
}

Test(cli, status_explain_metrics_and_drain_of_a_running_instance)
{
    fleet running(usual_plan(1));
    const std::string first = "--at " + running.at(0).operator_address() + ' ';
    const std::string second = "--at " + running.at(1).operator_address() + ' ';
    const answer got = ask_now(running.make_call(0, "north", "planner"));
    cr_assert(got.completed());

    const outcome status = sycamorelock(first + "status");
    cr_assert_eq(status.status, 0);
    cr_assert(says(status, "a1"), "%s", status.text.c_str());

    const outcome explained = sycamorelock(first + "explain " + got.request_id);
    cr_assert_eq(explained.status, 0, "%s", explained.text.c_str());
    cr_assert(says(explained, "account: north"));
    cr_assert(says(explained, "service: planner"));
    cr_assert(says(explained, "attempts: 1"));
    cr_assert(says(explained, "state: ended"));

    const outcome elsewhere =
        sycamorelock(second + "explain " + got.request_id);
    cr_assert_eq(elsewhere.status, 1);
    cr_assert(says(elsewhere, "accepted by instance a1"), "%s",
              elsewhere.text.c_str());
    cr_assert_eq(sycamorelock(first + "explain nonsense").status, 1);

    call late = running.make_call(0, "north", "desk");
    late.fields["Idempotency-Key"] = make_key(std::chrono::hours(2));
    const answer refused = ask_now(late);
    cr_assert_eq(refused.status, 422U, "%u %s", refused.status,
                 refused.body.c_str());
    const outcome why = sycamorelock(first + "explain " + refused.request_id);
    cr_assert(says(why, "reason: key_outside_memory"), "%s", why.text.c_str());
    cr_assert(says(why, "executed: unknown"));

    const outcome metrics = sycamorelock(first + "metrics");
    cr_assert(says(metrics, "sycamorelock_refused_total{reason=\""));
    cr_assert(says(metrics, "sycamorelock_retries_total{reason=\""));

    cr_assert_eq(sycamorelock(first + "drain").status, 0);
    int ended = -1;
    cr_assert(
        running.wait_exit(running.at(0), std::chrono::seconds(20), &ended));
    cr_assert_eq(ended, 0);
}

Test(cli, explain_finds_the_story_of_a_request_in_logs)
{
    const scratch_file one(
        "one.log",
        R"(  1.5 edge-1 {"ts_ms":10,"level":"info","event":1101,"name":"config_installed","instance":"edge-1","version":"7"}
no json here
{"ts_ms":20,"level":"info","event":3101,"name":"endpoint_seen","instance":"edge-1","endpoint":"e1"}
{"ts_ms":21,"level":"info","event":3101,"name":"endpoint_seen","instance":"edge-1","endpoint":"e2"}
{"ts_ms":30,"level":"info","event":3001,"name":"request_placed","instance":"edge-1","request":"r1","endpoint":"e1"}
{"ts_ms":50,"level":"info","event":3003,"name":"request_ended","instance":"edge-1","request":"r1","outcome":"cut"}
)");
    const scratch_file two(
        "two.log",
        R"({"ts_ms":40,"level":"info","event":3002,"name":"request_refused_directly","instance":"edge-2","request":"r2"}
)");
    const outcome found =
        sycamorelock("explain r1 --log " + one.path() + " --log " + two.path());
    cr_expect_eq(found.status, 0);
    cr_expect(says(found, "10 edge-1 config_installed version=7"));
    cr_expect(says(found, "20 edge-1 endpoint_seen endpoint=e1"));
    cr_expect(says(found, "50 edge-1 request_ended request=r1 outcome=cut"));
    cr_expect_not(says(found, "e2"));
    cr_expect_not(says(found, "r2"));
    const outcome none = sycamorelock("explain r9 --log " + one.path());
    cr_expect_eq(none.status, 1);
    cr_expect(says(none, "no line tells of request r9"));
}

// Guards against a resumed stream whose line does not tell where it began.
Test(cli, explain_shows_the_attempt_that_began_a_resumed_stream)
{
    const scratch_file log(
        "resumed.log",
        R"({"ts_ms":10,"name":"request_placed","instance":"edge-1","request":"r1","endpoint":"e1","version":"v1"}
{"ts_ms":15,"name":"request_placed","instance":"edge-1","request":"r3","endpoint":"e1","version":"v1"}
{"ts_ms":20,"name":"stream_resumed","instance":"edge-2","request":"r2","resumes":"r1","source":"told"}
{"ts_ms":21,"name":"request_placed","instance":"edge-2","request":"r2","endpoint":"e2","version":"v1"}
)");
    const outcome found = sycamorelock("explain r2 --log " + log.path());
    cr_expect_eq(found.status, 0);
    cr_expect(says(found, "10 edge-1 request_placed request=r1 endpoint=e1 "
                          "version=v1"));
    cr_expect(says(found, "20 edge-2 stream_resumed request=r2 resumes=r1 "
                          "source=told"));
    cr_expect_not(says(found, "r3"));
}

Test(cli, losses_are_counted_by_cause)
{
    const auto line = [](const std::string& name, const std::string& request,
                         const std::string& fields)
    {
        return R"( 1.5 edge {"ts_ms":12000,"name":")" + name +
               R"(","instance":"edge-1","request":")" + request + '"' + fields +
               "}\n";
    };
    const std::string placed =
        R"(,"route":"plan","account":"north","predicted_ms":"90",)"
        R"("prompt_tokens":"1500","objective_ms":"400",)"
        R"("pause_objective_ms":"300")";
    const std::string slow =
        R"(,"route":"plan","predicted_ms":"900","prompt_tokens":"9000",)"
        R"("objective_ms":"400")";
    std::string text = "no json here\n";
    for (const char* request : {"a", "b", "c", "d"})
        text += line("request_placed", request, placed);
    text += line("request_placed", "e", slow);
    const auto ended = [&](const char* request, const char* outcome,
                           const char* first, const char* pause)
    {
        text += line("request_ended", request,
                     std::string(R"(,"outcome":")") + outcome +
                         R"(","first_ms":")" + first + R"(","pause_ms":")" +
                         pause + '"');
    };
    ended("a", "complete", "100", "20");
    ended("b", "complete", "600", "20");
    ended("c", "complete", "100", "350");
    ended("d", "cut", "none", "0");
    ended("e", "complete", "950", "0");
    text += line("request_refused_directly", "f",
                 R"(,"route":"plan","reason":"overloaded","wait_ms":"300",)"
                 R"("allowed_ms":"240","prompt_tokens":"700")");
    const scratch_file log("losses.log", text);
    const outcome by_route = sycamorelock("losses --log " + log.path());
    cr_expect_eq(by_route.status, 0);
    for (const char* row :
         {"plan (6)", "100  in time", "600  late, predicted in time",
          "350  paused too long", "ended: cut", "950  late, as predicted",
          "300      240  refused: overloaded"})
        cr_expect(says(by_route, row), "%s in %s", row, by_route.text.c_str());
    const outcome by_size = sycamorelock("losses size --log " + log.path());
    cr_expect(says(by_size, "8192 tokens or more (1)"), "%s",
              by_size.text.c_str());
    cr_expect(says(by_size, "512 tokens or more (1)"));
    std::string odd;
    for (const char* tokens : {"1e300", "inf", "nan", "-5", "many"})
        odd += line("request_refused_directly", "g",
                    std::string(R"(,"reason":"overloaded","prompt_tokens":")") +
                        tokens + '"');
    const scratch_file absurd("absurd.log", odd);
    const outcome odd_sizes =
        sycamorelock("losses size --log " + absurd.path());
    cr_expect_eq(odd_sizes.status, 0);
    cr_expect(says(odd_sizes, "2147483648 tokens or more (1)"), "%s",
              odd_sizes.text.c_str());
    cr_expect(says(odd_sizes, "no prompt (4)"), "%s", odd_sizes.text.c_str());
    cr_expect_eq(sycamorelock("losses nonsense --log " + log.path()).status, 2);
    cr_expect_eq(sycamorelock("losses").status, 2);
    cr_expect_eq(sycamorelock("losses --log /nowhere/at-all").status, 1);
}

Test(cli, check_knows_settings_of_direct_routing)
{
    const scratch_file bad("direct.yaml", "routing: direct\nstore: nowhere\n");
    const outcome found = sycamorelock("check " + bad.path());
    cr_expect_eq(found.status, 1);
    cr_expect(says(found, "process.store"));
    cr_expect(says(found, "process.caller_address: is required"));
}
