// Crowds of callers against one real process, as large and as many as wanted:
// what the process holds at its peak, and how ordinary requests fare beside.
#include "crowd_cases.hpp"

#include <cxxopts.hpp>

#include <atomic>
#include <cstdio>
#include <thread>

using namespace standin;

namespace
{

/// Pause between two ordinary requests beside a crowd.
constexpr std::chrono::milliseconds beside_pause{50};

struct target
{
    watched_process process;
    std::string address;
    request_forms forms;
};

/// What was seen of one crowd or a row of them.
struct outcome
{
    long more_kb = 0;
    long descriptors = 0;
    unsigned asked = 0;
    unsigned answered = 0;
    bool alive = false;
    bool answers_afterwards = false;
};

outcome play(const target& at,
             const std::vector<std::vector<crowd_script>>& crowds)
{
    outcome seen;
    at.process.answers();
    const long before = peak_memory_kb(at.process.pid);
    const auto open_before = static_cast<long>(descriptors_of(at.process.pid));
    std::atomic<bool> over{false};
    std::thread beside(
        [&]
        {
            while (!over)
            {
                ++seen.asked;
                seen.answered += at.process.answers() ? 1 : 0;
                std::this_thread::sleep_for(beside_pause);
            }
        });
    for (const std::vector<crowd_script>& each : crowds)
        play_crowd(at.address, each, crowd_patience);
    over = true;
    beside.join();
    seen.more_kb = peak_memory_kb(at.process.pid) - before;
    seen.answers_afterwards =
        eventually(at.process.answers, std::chrono::seconds(20));
    seen.descriptors =
        static_cast<long>(descriptors_of(at.process.pid)) - open_before;
    seen.alive =
        !wait_for_exit(at.process.pid, std::chrono::seconds(0), nullptr);
    return seen;
}

bool print(const std::string& name, const outcome& seen)
{
    std::printf("%-52s %8ld KB more, %4ld descriptors more, %u of %u answered "
                "beside%s%s\n",
                name.c_str(), seen.more_kb, seen.descriptors, seen.answered,
                seen.asked, seen.alive ? "" : ", ENDED",
                seen.answers_afterwards ? "" : ", NO ANSWER AFTERWARDS");
    std::fflush(stdout);
    return seen.alive && seen.answers_afterwards;
}

/// Calls `use` with a fresh process and the listener of that name.
/// \throws std::runtime_error if there is no such listener.
template <class Use>
auto with_process(const std::string& listener, const Use& use)
{
    if (listener == "scheduled" || listener == "operators")
    {
        scheduled_process process;
        const bool callers = listener == "scheduled";
        return use(
            target{process.watched(),
                   callers ? process.instance().caller_address()
                           : process.instance().operator_address(),
                   callers ? scheduled_forms() : page_forms("/metrics")});
    }
    direct_process process;
    const direct_instance& at = process.instance();
    if (listener == "direct")
        return use(
            target{process.watched(), at.caller_address(), direct_forms()});
    if (listener == "ready")
        return use(
            target{process.watched(), at.ready_address(), ready_page_forms()});
    if (listener == "metrics")
        return use(target{process.watched(), at.metrics_address(),
                          page_forms("/metrics")});
    throw std::runtime_error("no listener is named " + listener);
}

bool play_cases(const std::string& listener, const std::string& wanted,
                std::size_t connections)
{
    bool held = true;
    for (const crowd_case& each : crowd_cases())
    {
        if (!wanted.empty() && wanted != each.name)
            continue;
        const outcome seen = with_process(
            listener,
            [&](const target& at) {
                return play(at,
                            {std::vector(connections, each.script(at.forms))});
            });
        held = print(each.name, seen) && held;
    }
    return held;
}

bool play_drawn(const std::string& listener, std::uint64_t seed,
                unsigned rounds, std::size_t crowds, std::size_t connections)
{
    bool held = true;
    for (unsigned i = 0; i < rounds; ++i)
    {
        const outcome seen = with_process(
            listener,
            [&](const target& at) {
                return play(
                    at, drawn_crowds(seed + i, crowds, connections, at.forms));
            });
        held = print("seed " + std::to_string(seed + i), seen) && held;
    }
    return held;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("crowds", "Callers that send too much or never "
                                       "end, against a real process");
    options.add_options()(
        "listener", "direct, scheduled, ready, metrics or operators",
        cxxopts::value<std::string>()->default_value("direct"))(
        "case", "one way of sending; all if left out",
        cxxopts::value<std::string>()->default_value(""))(
        "connections", "of each crowd",
        cxxopts::value<std::size_t>()->default_value("64"))(
        "seed", "plays mixed crowds from this seed on",
        cxxopts::value<std::uint64_t>())(
        "rounds", "seeds in a row",
        cxxopts::value<unsigned>()->default_value("1"))(
        "crowds", "one after another in each round",
        cxxopts::value<std::size_t>()->default_value("3"))("help", "this text");
    try
    {
        const auto given = options.parse(argc, argv);
        if (given.count("help") > 0)
        {
            std::printf("%s", options.help().c_str());
            return 0;
        }
        const auto listener = given["listener"].as<std::string>();
        const auto connections = given["connections"].as<std::size_t>();
        const bool held =
            given.count("seed") > 0
                ? play_drawn(listener, given["seed"].as<std::uint64_t>(),
                             given["rounds"].as<unsigned>(),
                             given["crowds"].as<std::size_t>(), connections)
                : play_cases(listener, given["case"].as<std::string>(),
                             connections);
        return held ? 0 : 1;
    }
    catch (const std::exception& error)
    {
        std::fprintf(stderr, "crowds: %s\n", error.what());
        return 2;
    }
}
