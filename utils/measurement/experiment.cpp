// Plays a load pattern against routers that decide by themselves, before model
// engines, and prints what became of the requests.
#include "fleet_simulation.hpp"

#include <cxxopts.hpp>

#include <functional>
#include <iostream>
#include <map>

namespace
{

using model::fleet_simulation;

using pattern = std::function<void(fleet_simulation&)>;

const std::map<std::string, pattern>& patterns()
{
    static const std::map<std::string, pattern> all{
        {"usual", [](fleet_simulation&) {}},
        {"burst", [](fleet_simulation& world) { world.set_traffic_factor(2); }},
        {"hot-subject",
         [](fleet_simulation& world) { world.set_hot_prompt_share(0.3); }},
        {"flood", [](fleet_simulation& world)
         { world.set_account_factor("account-0", 8); }},
        {"two-floods",
         [](fleet_simulation& world)
         {
             world.set_account_factor("account-2", 10);
             world.set_account_factor("account-5", 14);
         }},
        {"half-gone", [](fleet_simulation& world)
         { world.crash_engines(0, world.engines() / 2); }},
        {"slow", [](fleet_simulation& world)
         { world.slow_engines(0, world.engines() / 3, 5); }},
        {"cut", [](fleet_simulation& world) { world.partition_routers_at(4); }},
    };
    return all;
}

void print(const fleet_simulation& world, const model::simulation_config& plan,
           double read_before, double again_before)
{
    std::cout << "kind       asked on-time late refused\n";
    for (const model::request_type& kind : plan.request_types)
    {
        const model::request_counts& got = world.counts_of_type(kind.name);
        std::cout << kind.name << ' ' << got.offered_requests << ' '
                  << got.on_time << ' ' << got.late << ' ' << got.refused
                  << '\n';
    }
    const double read = world.prefilled_tokens() - read_before;
    std::cout << "tokens read " << static_cast<long>(read)
              << ", of them shared parts read again "
              << static_cast<long>(world.repeated_prefill_tokens() -
                                   again_before)
              << "; fetched so far "
              << static_cast<long>(world.tokens_fetched())
              << "; median miss of predictions "
              << world.median_prediction_error() << '\n';
}

model::simulation_config plan_of(const cxxopts::ParseResult& given)
{
    model::simulation_config plan =
        given.count("large") > 0     ? model::large_fleet_config()
        : given.count("letters") > 0 ? model::letter_drafts_config()
                                     : model::atlas_config();
    if (given.count("without") > 0)
    {
        const auto name = given["without"].as<std::string>();
        const auto which = model::direct::mechanism_of(name);
        if (!which)
            throw cxxopts::exceptions::parsing("no mechanism '" + name + "'");
        plan.mechanisms.switch_off(*which);
    }
    plan.seed = given["seed"].as<std::uint64_t>();
    if (given.count("routers") > 0)
        plan.routers = given["routers"].as<std::size_t>();
    if (given.count("delay-ms") > 0)
        plan.report_delay_ms = given["delay-ms"].as<double>();
    if (given.count("period-ms") > 0)
        plan.report_period_ms = given["period-ms"].as<double>();
    return plan;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("experiment",
                             "Load patterns against the routing decisions");
    options.add_options()("pattern", "one of the patterns, or all",
                          cxxopts::value<std::string>()->default_value("all"))(
        "seed", "seed of arrivals and decisions",
        cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seconds", "time of the pattern, after 6 s of usual load",
        cxxopts::value<double>()->default_value("10"))(
        "traffic", "factor on the usual load",
        cxxopts::value<double>()->default_value("1"))(
        "letters", "drafts of letters on engines that can fetch prompts")(
        "without", "a mechanism that is switched off",
        cxxopts::value<std::string>())(
        "large", "five times as many engines, and news by way of aggregators")(
        "routers", "routers", cxxopts::value<std::size_t>())(
        "delay-ms", "delay of reports between routers",
        cxxopts::value<double>())("period-ms", "period of reports",
                                  cxxopts::value<double>())("h,help",
                                                            "this help");
    try
    {
        const auto given = options.parse(argc, argv);
        if (given.count("help") > 0)
        {
            std::cout << options.help();
            return 0;
        }
        const auto wanted = given["pattern"].as<std::string>();
        if (wanted != "all" && !patterns().contains(wanted))
        {
            std::cerr << "experiment: no pattern '" << wanted << "'\n";
            return 2;
        }
        for (const auto& [name, start] : patterns())
        {
            if (wanted != "all" && wanted != name)
                continue;
            model::simulation_config plan = plan_of(given);
            for (model::request_type& kind : plan.request_types)
                kind.requests_per_second *= given["traffic"].as<double>();
            fleet_simulation world(plan);
            world.run(6);
            start(world);
            world.reset_results();
            const double read = world.prefilled_tokens();
            const double again = world.repeated_prefill_tokens();
            world.run(given["seconds"].as<double>());
            std::cout << "== " << name << '\n';
            print(world, plan, read, again);
        }
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        std::cerr << "experiment: " << error.what() << '\n';
        return 2;
    }
    return 0;
}
