// Tests that instances whose reports are old send no more work than engines
// have room for, when a flood reaches all of them at once.
#include "direct_fixture.hpp"

#include <criterion/criterion.h>

#include <random>

using namespace sycamorelock::core;
using namespace sycamorelock::core::direct;

namespace
{

const account_id flooding = account_id::of("flooding");

/// One of many instances with equal traffic, at twice the throughput, as it is
/// before the first report of a flood arrives.
struct drawn_fleet : two_engines
{
    static constexpr double usual_tokens = 100000;

    std::size_t instances;
    std::size_t engines;
    std::mt19937_64 random;
    double sent_ms = 0;
    double largest_ms = 0;

    drawn_fleet(std::size_t instance_count, std::size_t engine_count,
                std::uint64_t seed, const mechanism_set& mechanisms = {})
        : two_engines(usual_tokens * static_cast<double>(instance_count) /
                          unseen_work::full_overload,
                      0, mechanisms),
          instances(instance_count), engines(engine_count), random(seed)
    {
        tested_router.set_fleet_size(instances);
        std::vector<std::string> names;
        for (std::size_t i = 0; i < engines; ++i)
            names.push_back("engine-" + std::to_string(i));
        list(names);
        exchange_report report;
        report.sender = "others";
        report.demands = {
            {flooding, usual_tokens * static_cast<double>(instances - 1), 0}};
        static constexpr prefill_cost_model learned{16, 0.02, 0, 100};
        report.figures = {{drafts, learned}};
        tested_router.on_report(start, report);
        exchange_report own;
        tested_router.fill_report(start, own);
        // A request of the usual size at the usual rate.
        request_profile usual = make_profile(
            {{1, 10},
             {2, usual_tokens * to_ms(rate_meter::time_constant) / 1000}});
        usual.account = flooding;
        usual.output_tokens = 0;
        tested_router.admit(start - std::chrono::milliseconds(100), usual);
        tested_router.on_report(start, report);
        usual.prompt_tokens = 0;
        usual.parts = {{1, 0}, {2, 0}};
        tested_router.admit(start, usual);
    }

    /// Sends requests with prompts of drawn lengths, spread over a time.
    void flood(int requests, duration time)
    {
        std::exponential_distribution<double> length(1.0 / 4000);
        for (int i = 0; i < requests; ++i)
        {
            const time_point now = start + time * i / requests;
            request_profile request = make_profile(
                {{random(), 1 + length(random)}, {random(), 100}}, now);
            request.account = flooding;
            tested_router.admit(now, request);
            routing_decision decided =
                tested_router.decide(now, request, drafts, {}, false);
            auto* const placed = std::get_if<placement_decision>(&decided);
            if (placed == nullptr)
                continue;
            tested_router.sent(now, request, *placed);
            sent_ms += placed->request_load.unread_ms;
            largest_ms = std::max(largest_ms, placed->request_load.unread_ms);
        }
    }

    /// Work that the other instances send to each engine if they send as this
    /// one does, in ms.
    [[nodiscard]] double sent_to_each_engine_ms(double ms) const
    {
        return ms * static_cast<double>(instances - 1) /
               static_cast<double>(engines);
    }
    /// What each engine completes in the age of the reports, and the longest
    /// wait that any request may have.
    [[nodiscard]] double room_ms() const
    {
        static constexpr double longest_wait = 0.6;
        return to_ms(unseen_work::max_report_age) +
               longest_wait * to_ms(config->routes.front().objective);
    }
};

/// Numbers of instances and engines of the deployments.
struct fleet_size
{
    std::size_t instances;
    std::size_t engines;
};
constexpr fleet_size fleets[] = {{40, 18}, {83, 60}, {195, 117}, {370, 600}};

} // namespace

// Guards against a flood that takes seconds of all engines' time before its
// first report arrives. The bound: what engines complete within the age of the
// reports, the longest allowed wait, and the last request that was sent.
// Load: at each instance, 10 to 400 requests within 0 to 250 ms.
Test(unseen_work, instances_send_no_more_than_engines_have_room_for)
{
    static constexpr int drawn_floods = 25;
    std::mt19937_64 random(71);
    for (const fleet_size& each : fleets)
    {
        for (int i = 0; i < drawn_floods; ++i)
        {
            drawn_fleet fleet(each.instances, each.engines, random());
            const int requests = 10 + static_cast<int>(random() % 391);
            const auto time = std::chrono::milliseconds(random() % 251);
            fleet.flood(requests, time);
            cr_expect_leq(fleet.sent_to_each_engine_ms(fleet.sent_ms),
                          fleet.room_ms() +
                              fleet.sent_to_each_engine_ms(fleet.largest_ms),
                          "%zu instances, flood %d: %.0f ms of work for each "
                          "engine, room "
                          "for %.0f ms",
                          each.instances, i,
                          fleet.sent_to_each_engine_ms(fleet.sent_ms),
                          fleet.room_ms() +
                              fleet.sent_to_each_engine_ms(fleet.largest_ms));
        }
    }
}

// Guards against a bound that holds whether or not the estimate is used.
// Load: 400 requests at each of 195 instances within 250 ms.
Test(unseen_work,
     without_the_mechanism_engines_get_more_than_they_have_room_for)
{
    mechanism_set mechanisms;
    mechanisms.switch_off(mechanism::unseen_work);
    drawn_fleet fleet(195, 117, 1, mechanisms);
    fleet.flood(400, std::chrono::milliseconds(250));
    cr_expect_gt(fleet.sent_to_each_engine_ms(fleet.sent_ms),
                 fleet.room_ms() +
                     fleet.sent_to_each_engine_ms(fleet.largest_ms));
}

// Guards against refusals beside idle engines: what an instance usually sends
// adds nothing to the predicted waits.
Test(unseen_work, the_usual_work_adds_no_wait)
{
    unseen_work sent;
    // 100 instances keep 50 engines busy for 80 ms in 100.
    for (int i = 0; i < 20; ++i)
        sent.record_sent(start + std::chrono::milliseconds(100) * i, 40);
    cr_expect_eq(sent.excess_ms(start + std::chrono::seconds(2), 100, 50), 0);
}

// Guards against refusals due to the estimate in a fleet near its capacity.
Test(unseen_work, the_estimate_is_used_in_overload_only)
{
    cr_expect_eq(unseen_work::weight(0), 0);
    cr_expect_eq(unseen_work::weight(unseen_work::min_overload), 0);
    cr_expect_float_eq(unseen_work::weight(1.75), 0.5, 1e-9);
    cr_expect_eq(unseen_work::weight(10), 1);
}

Test(unseen_work, work_counts_until_it_is_reported)
{
    unseen_work sent;
    sent.record_sent(start, 500);
    cr_expect_float_eq(sent.excess_ms(start, 101, 100), 250, 1e-9);
    cr_expect_eq(sent.excess_ms(start + unseen_work::max_report_age +
                                    std::chrono::milliseconds(1),
                                101, 100),
                 0);
    // The work of this instance is in its own ledger.
    cr_expect_eq(sent.excess_ms(start, 1, 100), 0);
}
