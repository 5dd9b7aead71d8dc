// Measures a design with real processes: fairness gap, utilisation, control
// traffic, latencies and the ends of requests. One JSON object a design.
#include "trace.hpp"

#include "fleet.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cxxopts.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <random>

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
constexpr std::chrono::milliseconds sample_period{20};
constexpr std::chrono::milliseconds domain_delay{1};
constexpr std::size_t planner_slots = 6;
constexpr long least_draft = 20;
constexpr long most_draft = 80;
constexpr long lookup_tokens = 4;

/// How an account sends.
struct sender
{
    std::string account;
    double weight = 1;
    /// Requests kept open at once; several times its share is a backlog.
    int open = 0;
    /// Instances it sends through; empty for all.
    std::vector<std::size_t> through;
    /// Sends lookups with a pause between them instead of drafts.
    bool lookups = false;
};

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
        made.senders.push_back({"small" + std::to_string(i),
                                1,
                                1,
                                {static_cast<std::size_t>(i % 6)},
                                true});
    return made;
}

/// Everything one run counts.
struct tally
{
    std::map<std::string, account_trace> accounts;
    std::vector<double> lookup_first_ms;
    std::vector<double> draft_first_ms;
    std::vector<std::string> once_marks;
    std::vector<std::pair<std::string, bool>> refused_marks;
    long offered = 0;
    long completed = 0;
    long refused_not_run = 0;
    long unknown = 0;
    long lost = 0;
    long foreign = 0;
    int waiting_requests = 0;
    double busy = 0;
    double available = 0;
    bool stop = false;
};

class driver
{
  public:
    driver(fleet& running, deployment plan, std::uint64_t seed)
        : fleet_(running), plan_(std::move(plan)), random_(seed)
    {
    }

    void run(std::chrono::seconds length)
    {
        for (const sender& each : plan_.senders)
        {
            tally_.accounts[each.account].weight = each.weight;
            for (int i = 0; i < each.open; ++i)
                asio::co_spawn(context_, send(each, i), asio::detached);
        }
        asio::co_spawn(context_, sample(length), asio::detached);
        context_.run();
    }

    [[nodiscard]] const tally& result() const { return tally_; }

  private:
    asio::awaitable<void> send(sender who, int number)
    {
        std::size_t turn = static_cast<std::size_t>(number);
        while (!tally_.stop)
        {
            const std::size_t to = who.through.empty()
                                       ? turn % fleet_.instances().size()
                                       : who.through[turn % who.through.size()];
            ++turn;
            co_await once(who, to);
            if (who.lookups)
                co_await sleep_for(std::chrono::milliseconds(150));
        }
    }

    asio::awaitable<void> once(const sender& who, std::size_t to)
    {
        account_trace& trace = tally_.accounts[who.account];
        call made = fleet_.make_call(to, who.account, plan_.model);
        std::uniform_int_distribution<long> length(least_draft, most_draft);
        made.tokens = who.lookups ? lookup_tokens : length(random_);
        made.fields["X-Cost-Hint"] = std::to_string(made.tokens * 2);
        if (who.lookups)
            made.fields["Priority"] = "u=0";
        // Every fifth draft must not run twice.
        const bool once_only = !who.lookups && random_() % 5 == 0;
        if (once_only)
        {
            made.fields["X-Idempotent"] = "false";
            tally_.once_marks.push_back(made.mark);
        }
        bool began = false;
        made.on_piece = [&](std::string_view piece)
        {
            trace.tokens += std::count(piece.begin(), piece.end(), '\n') / 2;
            if (began)
                return;
            began = true;
            --trace.waiting;
            --tally_.waiting_requests;
        };
        ++trace.waiting;
        ++tally_.waiting_requests;
        ++tally_.offered;
        const answer got = co_await ask(made);
        if (!began)
        {
            --trace.waiting;
            --tally_.waiting_requests;
        }
        record(who, made, got);
        if (!got.completed())
            co_await sleep_for(std::chrono::milliseconds(200));
    }

    void record(const sender& who, const call& made, const answer& got)
    {
        tally_.foreign += got.foreign ? 1 : 0;
        if (got.completed())
        {
            ++tally_.completed;
            auto& first =
                who.lookups ? tally_.lookup_first_ms : tally_.draft_first_ms;
            first.push_back(got.first_token_seconds * 1000);
            return;
        }
        if (!got.refused())
        {
            ++tally_.lost;
            return;
        }
        const bool not_run = got.executed == "no";
        tally_.refused_marks.emplace_back(made.mark, not_run);
        ++(not_run ? tally_.refused_not_run : tally_.unknown);
    }

    asio::awaitable<void> sample(std::chrono::seconds length)
    {
        const auto end = clock::now() + length;
        while (clock::now() < end)
        {
            co_await sleep_for(sample_period);
            for (auto& [name, trace] : tally_.accounts)
            {
                trace.service.push_back(static_cast<double>(trace.tokens));
                trace.backlogged.push_back(trace.waiting > 0);
            }
            if (tally_.waiting_requests == 0)
                continue;
            for (const auto& engine : fleet_.endpoints(plan_.model))
            {
                tally_.busy += static_cast<double>(
                    std::min(engine->running(), planner_slots));
                tally_.available += static_cast<double>(planner_slots);
            }
        }
        tally_.stop = true;
    }

    fleet& fleet_;
    deployment plan_;
    std::mt19937_64 random_;
    tally tally_;
    asio::io_context context_{1};
};

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
        weights += each.lookups ? 0 : each.weight;
    static constexpr double exchange_seconds = 1.0;
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
    driver load(running, what, seed);
    load.run(length);
    const double seconds =
        std::chrono::duration<double>(clock::now() - start).count();
    const tally& counted = load.result();

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
    long twice = 0;
    for (const std::string& mark : counted.once_marks)
        twice += running.runs(what.model, mark) > 1 ? 1 : 0;
    long untrue = 0;
    for (const auto& [mark, not_run] : counted.refused_marks)
        untrue += not_run && running.runs(what.model, mark) > 0 ? 1 : 0;

    std::map<std::string, account_trace> backlogged;
    boost::json::object shares;
    for (const sender& each : what.senders)
    {
        if (each.lookups)
            continue;
        backlogged[each.account] = counted.accounts.at(each.account);
        shares[each.account] = std::round(
            static_cast<double>(counted.accounts.at(each.account).tokens) /
            each.weight / seconds);
    }
    boost::json::object line;
    line["design"] = design;
    line["deployment"] = what.name;
    line["seed"] = seed;
    line["seconds"] = std::round(seconds);
    line["fairness_gap_tokens"] = std::round(fairness_gap(backlogged));
    line["fairness_bound_tokens"] =
        std::round(promised_bound(what, running.endpoints(what.model).size()));
    line["utilisation"] = counted.busy / std::max(1.0, counted.available);
    line["control_bytes_per_second_max"] = std::round(bytes_max);
    line["control_bytes_per_second_mean"] =
        std::round(bytes_sum / static_cast<double>(before.size()));
    line["control_cpu_fraction_max"] = cpu_max;
    line["rss_mb_max"] = rss_max / 1e6;
    line["lookup_first_token_ms_p95"] =
        percentile(counted.lookup_first_ms, 0.95);
    line["draft_first_token_ms_p95"] = percentile(counted.draft_first_ms, 0.95);
    line["offered"] = counted.offered;
    line["completed"] = counted.completed;
    line["refused_not_run"] = counted.refused_not_run;
    line["unknown"] = counted.unknown;
    line["lost"] = counted.lost;
    line["foreign"] = counted.foreign;
    line["run_twice"] = twice;
    line["untrue_refusals"] = untrue;
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
