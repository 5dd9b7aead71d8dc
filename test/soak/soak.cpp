// Randomised rounds of faults against real processes.
#include "soak_run.hpp"

#include <cxxopts.hpp>

#include <cstdio>
#include <random>

namespace
{

/// Plays one round and prints what was broken; returns whether nothing was.
bool play_and_print(const soak::round_plan& plan)
{
    const soak::round_result got = soak::play(plan);
    std::printf(
        "seed %llu: %zu requests, %zu served, %zu refused, %zu actions, "
        "%zu broken\n",
        static_cast<unsigned long long>(plan.seed), got.requests, got.served,
        got.refused, got.actions.size(), got.broken.size());
    for (const std::string& each : got.broken)
        std::printf("  %s\n", each.c_str());
    if (!got.broken.empty())
    {
        for (const std::string& each : got.actions)
            std::printf("    %s\n", each.c_str());
        std::printf("  again: build/bin/soak --seed %llu --instances %zu "
                    "--callers %zu --seconds %lld%s\n",
                    static_cast<unsigned long long>(plan.seed), plan.instances,
                    plan.callers,
                    static_cast<long long>(plan.length.count() / 1000),
                    plan.notices ? " --notices" : "");
    }
    std::fflush(stdout);
    return got.broken.empty();
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("soak",
                             "Faults against a fleet of real processes");
    options.add_options()("seed", "first seed; drawn if left out",
                          cxxopts::value<std::uint64_t>())(
        "rounds", "seeds in a row",
        cxxopts::value<unsigned>()->default_value("1"))(
        "minutes", "plays until this time is over",
        cxxopts::value<unsigned>()->default_value("0"))(
        "seconds", "length of a round",
        cxxopts::value<unsigned>()->default_value("8"))(
        "instances", "at most 38",
        cxxopts::value<unsigned>()->default_value("4"))(
        "callers", "connections",
        cxxopts::value<unsigned>()->default_value("24"))(
        "logs", "folder for the logs of rounds that broke a promise",
        cxxopts::value<std::string>()->default_value("/tmp/sycamorelock-soak"))(
        "notices", "endpoints ask for rest, and one says that it leaves")(
        "help", "this text");
    try
    {
        const auto given = options.parse(argc, argv);
        if (given.count("help") > 0)
        {
            std::puts(options.help().c_str());
            return 0;
        }
        soak::round_plan plan;
        plan.seed = given.count("seed") > 0 ? given["seed"].as<std::uint64_t>()
                                            : std::random_device{}();
        plan.instances = given["instances"].as<unsigned>();
        plan.callers = given["callers"].as<unsigned>();
        plan.length = std::chrono::seconds(given["seconds"].as<unsigned>());
        plan.notices = given.count("notices") > 0;
        plan.keep_logs = given["logs"].as<std::string>();
        const auto end = soak::clock::now() +
                         std::chrono::minutes(given["minutes"].as<unsigned>());
        const unsigned rounds = given["rounds"].as<unsigned>();
        unsigned played = 0;
        unsigned failed = 0;
        while (played < rounds || soak::clock::now() < end)
        {
            failed += play_and_print(plan) ? 0 : 1;
            ++played;
            ++plan.seed;
        }
        std::printf("%u rounds, %u broke a promise\n", played, failed);
        return failed == 0 ? 0 : 1;
    }
    catch (const std::exception& error)
    {
        std::fprintf(stderr, "soak: %s\n", error.what());
        return 2;
    }
}
