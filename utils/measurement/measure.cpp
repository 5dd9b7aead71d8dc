// Measures a design with real processes: fairness gap, utilisation, control
// traffic, latencies and the ends of requests. One JSON object a design.
#include "load.hpp"

#include "sycamorelock/core/messages.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cxxopts.hpp>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iostream>

namespace measurement
{

int run_slopes();

namespace
{

using namespace standin;
using clock = std::chrono::steady_clock;

/// Time runs about four times as fast as in production: 8 ms between tokens of
/// a full batch instead of 25 to 35, drafts of 50 tokens instead of 230.
constexpr std::chrono::microseconds token_step{7000};
constexpr std::chrono::microseconds token_step_per_request{200};
constexpr std::chrono::milliseconds domain_delay{1};
constexpr std::size_t planner_slots = 6;
constexpr long most_draft = 80;
constexpr long lookup_tokens = 4;
constexpr std::chrono::milliseconds lookup_pause{150};

struct deployment
{
    std::string name;
    std::string model;
    std::string plain;
    std::vector<sender> senders;
};

deployment deployment_of(const std::string& name)
{
    deployment made;
    made.name = name;
    const bool atlas = name == "atlas";
    made.model = atlas ? "planner" : "drafts";
    made.plain = atlas ? "desk" : "buyers";
    // A few large accounts, spread unevenly; one floods.
    made.senders = {{"large1", 1, 80, {0, 1}},
                    {"large2", 1, 80, {2}},
                    {"large3", 2, 120, {}},
                    {"flood", 1, atlas ? 160 : 300, {}}};
    for (int i = 1; i <= 12; ++i)
    {
        sender small =
            lookups("small" + std::to_string(i), lookup_tokens, lookup_pause);
        small.open = 1;
        small.through = {static_cast<std::size_t>(i % 6)};
        small.once_in = 0;
        made.senders.push_back(small);
    }
    return made;
}

/// Counters of an instance that are compared before and after.
struct usage
{
    double bytes = 0;
    double cpu = 0;
};

usage usage_of(fleet& running, const instance& which)
{
    usage now;
    for (const char* name : {"sycamorelock_peer_sent_bytes_total",
                             "sycamorelock_peer_received_bytes_total",
                             "sycamorelock_platform_bytes_total"})
        now.bytes += running.metric(which, name);
    now.cpu = running.metric(which, "sycamorelock_control_cpu_seconds_total");
    return now;
}

/// Messages of one type that all instances have sent.
double messages_sent(fleet& running, const std::string& type)
{
    double sum = 0;
    for (const instance& which : running.instances())
        sum += running.metric(which, "sycamorelock_peer_sent_messages_total"
                                     "{type=\"" +
                                         type + "\"}");
    return sum;
}

/// Light load through the router and straight to an endpoint, in turns.
std::pair<double, double> added_latency(fleet& running, const deployment& plan)
{
    std::vector<double> routed;
    std::vector<double> direct;
    for (int i = 0; i < 300; ++i)
    {
        const call through = running.make_call(static_cast<std::size_t>(i) %
                                                   running.instances().size(),
                                               "small1", plan.plain);
        routed.push_back(ask_now(through).seconds * 1000);
        call straight = through;
        straight.to = running.endpoints(plan.plain).front()->address();
        direct.push_back(ask_now(straight).seconds * 1000);
    }
    const double base = percentile(direct, 0.5);
    return {percentile(routed, 0.5) - base, percentile(routed, 0.99) - base};
}

fleet_plan plan_of(const deployment& what, const std::string& design)
{
    fleet_plan plan;
    plan.scheduling = design;
    plan.extra = "log_level: error\n";
    plan.accounts.clear();
    for (const sender& each : what.senders)
        plan.accounts.push_back({each.account, each.weight});
    service_plan model;
    model.name = what.model;
    model.endpoints_per_domain = 7;
    model.slots = planner_slots;
    model.engine.step = token_step;
    model.engine.step_per_request = token_step_per_request;
    model.extra = "      token_delay_us: 20000\n      first_estimate: 50\n";
    service_plan plain;
    plain.name = what.plain;
    plain.kind = "plain";
    plain.slots = 16;
    plan.services = {model, plain};
    return plan;
}

/// What the design promises for these settings, in tokens by weight: each of
/// two accounts can be ahead by the charges of the slots it holds when an
/// exchange is missed, and by what the fleet serves within one exchange.
double promised_bound(const deployment& what, std::size_t engines)
{
    const auto slots = static_cast<double>(engines * planner_slots);
    const double tokens_per_second =
        slots / std::chrono::duration<double>(
                    token_step + token_step_per_request *
                                     static_cast<long>(planner_slots - 1))
                    .count();
    double weights = 0;
    for (const sender& each : what.senders)
        weights += each.backlogged() ? each.weight : 0;
    static constexpr double exchange_seconds = 0.25;
    const double in_flight = slots / weights * static_cast<double>(most_draft);
    return 2 * in_flight + exchange_seconds * tokens_per_second / weights;
}

boost::json::object measure(const std::string& design, std::uint64_t seed,
                            std::chrono::seconds length, const deployment& what)
{
    fleet running(plan_of(what, design));
    fault delay;
    delay.delay = domain_delay;
    for (const instance& from : running.instances())
    {
        for (const instance& to : running.instances())
        {
            if (from.domain != to.domain)
                running.faults().set(from.ip, to.peer_route, delay);
        }
    }
    const auto [added_p50, added_p99] = added_latency(running, what);
    std::vector<usage> before;
    for (const instance& which : running.instances())
        before.push_back(usage_of(running, which));
    const auto start = clock::now();
    load work(running, what.model, planner_slots, what.senders, seed);
    const tally& counted = work.run(length);
    const double seconds =
        std::chrono::duration<double>(clock::now() - start).count();

    double bytes_max = 0;
    double bytes_sum = 0;
    double cpu_max = 0;
    double rss_max = 0;
    for (std::size_t i = 0; i < before.size(); ++i)
    {
        const usage after = usage_of(running, running.at(i));
        const double bytes = (after.bytes - before[i].bytes) / seconds;
        bytes_max = std::max(bytes_max, bytes);
        bytes_sum += bytes;
        cpu_max = std::max(cpu_max, (after.cpu - before[i].cpu) / seconds);
        rss_max =
            std::max(rss_max, running.metric(running.at(i),
                                             "sycamorelock_resident_bytes"));
    }
    boost::json::object messages;
    for (std::size_t i = 0; i < sycamorelock::core::message_type_count; ++i)
    {
        const std::string name(sycamorelock::core::message_type_name(i));
        const double sent = messages_sent(running, name);
        if (sent > 0)
            messages[name] = std::round(sent / seconds);
    }
    boost::json::object shares;
    std::vector<double> lookups;
    std::vector<double> drafts;
    for (const sender& each : what.senders)
    {
        const auto samples = counted.first_token_ms.find(each.account);
        if (samples != counted.first_token_ms.end())
        {
            auto& into = each.urgent ? lookups : drafts;
            into.insert(into.end(), samples->second.begin(),
                        samples->second.end());
        }
        if (!each.backlogged())
            continue;
        shares[each.account] = std::round(
            static_cast<double>(counted.accounts.at(each.account).tokens) /
            each.weight / seconds);
    }
    boost::json::object line;
    line["design"] = design;
    line["deployment"] = what.name;
    line["seed"] = seed;
    line["seconds"] = std::round(seconds);
    line["fairness_gap_tokens"] = std::round(work.gap(0, work.moment()));
    line["fairness_bound_tokens"] =
        std::round(promised_bound(what, running.endpoints(what.model).size()));
    line["utilisation"] = counted.busy / std::max(1.0, counted.available);
    line["control_bytes_per_second_max"] = std::round(bytes_max);
    line["control_bytes_per_second_mean"] =
        std::round(bytes_sum / static_cast<double>(before.size()));
    line["messages_per_second"] = messages;
    line["control_cpu_fraction_max"] = cpu_max;
    line["rss_mb_max"] = rss_max / 1e6;
    line["lookup_first_token_ms_p95"] = percentile(lookups, 0.95);
    line["draft_first_token_ms_p95"] = percentile(drafts, 0.95);
    line["offered"] = counted.offered;
    line["completed"] = counted.completed;
    line["refused_not_run"] = counted.refused_not_run;
    line["unknown"] = counted.unknown;
    line["lost"] = counted.lost;
    line["foreign"] = counted.foreign;
    line["run_twice"] = work.run_twice();
    line["untrue_refusals"] = work.untrue_refusals();
    line["added_latency_ms_p50"] = added_p50;
    line["added_latency_ms_p99"] = added_p99;
    line["weighted_tokens_per_second"] = shares;
    return line;
}

} // namespace
} // namespace measurement

int main(int argc, char** argv)
{
    cxxopts::Options options("measure", "Measures designs with real processes");
    options.add_options()("design", "full, alone, fcfs, no_exchange or all",
                          cxxopts::value<std::string>()->default_value("full"))(
        "seed", "seed of the load",
        cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seconds", "length of the load",
        cxxopts::value<long>()->default_value("20"))(
        "deployment", "atlas or kurzeme",
        cxxopts::value<std::string>()->default_value("atlas"))(
        "json", "also write the lines to this file",
        cxxopts::value<std::string>())(
        "slopes", "measure the core and the codec alone")("help", "show help");
    const auto given = options.parse(argc, argv);
    if (given.count("help") > 0)
    {
        std::cout << options.help();
        return 0;
    }
    if (given.count("slopes") > 0)
        return measurement::run_slopes();
    std::vector<std::string> designs{given["design"].as<std::string>()};
    if (designs.front() == "all")
        designs = {"full", "alone", "fcfs", "no_exchange"};
    if (designs.front() == "no-exchange")
        designs.front() = "no_exchange";
    const auto what =
        measurement::deployment_of(given["deployment"].as<std::string>());
    std::ofstream file;
    if (given.count("json") > 0)
        file.open(given["json"].as<std::string>());
    for (const std::string& design : designs)
    {
        const std::string line = boost::json::serialize(measurement::measure(
            design, given["seed"].as<std::uint64_t>(),
            std::chrono::seconds(given["seconds"].as<long>()), what));
        std::cout << line << std::endl;
        if (file)
            file << line << '\n';
    }
    return 0;
}
