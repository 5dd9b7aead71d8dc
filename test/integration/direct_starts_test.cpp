// Instances that start in a fleet that is at work, as separate processes.
#include "direct_checks.hpp"

#include <criterion/criterion.h>

#include <sstream>
#include <thread>

using namespace standin;
using std::chrono::milliseconds;

namespace
{

constexpr long subject_tokens = 3000;
constexpr long own_tokens = 20;

/// What an instance logged of a request.
std::string lines_about(direct_fleet& fleet, std::size_t instance,
                        const std::string& id)
{
    std::istringstream log(fleet.log_of(fleet.at(instance)));
    std::string found;
    for (std::string line; std::getline(log, line);)
    {
        if (line.find('"' + id + '"') != std::string::npos)
            found += line + '\n';
    }
    return found;
}

/// Asks about the shared subject; the id of the request.
std::string ask_about_subject(direct_fleet& fleet, std::size_t instance)
{
    direct_call asked = fleet.make_call(instance);
    describe_prompt(asked, subject_tokens, own_tokens, 10);
    const direct_answer got = ask(asked);
    std::string lines;
    if (got.status != 200U)
        // A thread of its own writes the log.
        eventually(
            [&]
            {
                lines = lines_about(fleet, instance, asked.id);
                return !lines.empty();
            },
            milliseconds(1000));
    cr_expect_eq(got.status, 200U, "status %u: %s%s", got.status,
                 got.body.c_str(), lines.c_str());
    return asked.id;
}

/// The line that tells where an instance sent a request.
std::string placement_of(direct_fleet& fleet, std::size_t instance,
                         const std::string& id)
{
    std::istringstream log(lines_about(fleet, instance, id));
    std::string last;
    for (std::string line; std::getline(log, line);)
    {
        if (line.find("request_placed") != std::string::npos)
            last = line;
    }
    return last;
}

} // namespace

// An instance that starts does not know what engines keep, and had prompts read
// again that another engine keeps.
Test(direct_starts, an_instance_learns_from_others_what_engines_keep)
{
    direct_plan plan;
    plan.instances = 3;
    direct_fleet fleet(plan);
    for (int n = 0; n < 4; ++n)
        ask_about_subject(fleet, std::size_t(n) % 2);
    // Those that answer have been at work for some seconds.
    std::this_thread::sleep_for(std::chrono::seconds(6));
    direct_instance& again = fleet.at(2);
    fleet.kill(again);
    fleet.start(again);
    fleet.wait_ready();
    cr_assert(eventually(
        [&] {
            return fleet.log_of(again).find("caches_learned") !=
                   std::string::npos;
        },
        milliseconds(2000)));
    const std::string id = ask_about_subject(fleet, 2);
    cr_expect(
        eventually(
            [&]
            {
                return placement_of(fleet, 2, id)
                           .find("\"cached_tokens\":\"" +
                                 std::to_string(subject_tokens + own_tokens) +
                                 '"') != std::string::npos;
            },
            milliseconds(1000)),
        "%s", placement_of(fleet, 2, id).c_str());
}

// Guards against streams that an instance refuses, as it has just started and
// does not know which releases began them.
Test(direct_starts, an_instance_learns_from_others_which_releases_there_were)
{
    direct_plan plan;
    plan.instances = 3;
    direct_fleet fleet(plan);
    ask_about_subject(fleet, 0);
    // Those that answer have run for longer than others ask.
    std::this_thread::sleep_for(std::chrono::seconds(7));
    direct_instance& again = fleet.at(2);
    fleet.kill(again);
    fleet.start(again);
    fleet.wait_ready();
    cr_assert(eventually(
        [&] {
            return fleet.log_of(again).find("streams_learned") !=
                   std::string::npos;
        },
        milliseconds(2000)));
    // They watched the store, too.
    const std::string log = fleet.log_of(again);
    cr_expect(log.find("\"watched_ms\":\"0\"") == std::string::npos, "%s",
              log.c_str());
}

// When all start together nobody knows anything, and nobody is asked for long.
Test(direct_starts, a_whole_fleet_that_starts_tells_itself_nothing)
{
    direct_plan plan;
    plan.instances = 3;
    direct_fleet fleet(plan);
    ask_about_subject(fleet, 0);
    ask_about_subject(fleet, 1);
    std::this_thread::sleep_for(std::chrono::seconds(3));
    for (std::size_t i = 0; i < plan.instances; ++i)
    {
        const std::string log = fleet.log_of(fleet.at(i));
        cr_expect(log.find("caches_passed_on") == std::string::npos);
        cr_expect(log.find("caches_learned") == std::string::npos);
        cr_expect(log.find("streams_passed_on") == std::string::npos);
        cr_expect(log.find("streams_learned") == std::string::npos);
    }
}
