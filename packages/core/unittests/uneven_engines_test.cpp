// Tests of direct routing to engines that differ for good and are disturbed
// for parts of a second, as they report themselves.
#include "uneven_engines.hpp"

#include <criterion/criterion.h>

using namespace model;
using direct::mechanism;

namespace
{

struct outcome
{
    double median_error = 0;
    double high_error = 0;
    double late = 0;
    double on_time = 0;
    /// Requests per engine of lasting slowdown 0.7 and 1.7.
    double sent_fast = 0;
    double sent_slow = 0;
};

outcome play(const simulation_config& plan,
             uneven_engines::report reported = {})
{
    uneven_engines world(plan, std::move(reported));
    // A third to a half of what the engines could prefill.
    world.fleet().set_traffic_factor(0.4);
    world.run(6);
    world.fleet().reset_results();
    world.run(12);
    const request_counts sum = world.fleet().total_counts();
    outcome result;
    result.median_error = world.fleet().log_error_quantile(0.5);
    result.high_error = world.fleet().log_error_quantile(0.95);
    result.late = world.fleet().late_of_predicted_on_time();
    result.on_time = static_cast<double>(sum.on_time) / sum.offered_requests;
    result.sent_fast = world.sent_to(0.7) / 2.0;
    result.sent_slow = world.sent_to(1.7);
    return result;
}

simulation_config without_reports(simulation_config plan)
{
    plan.mechanisms.switch_off(mechanism::reported_slowdown);
    plan.mechanisms.switch_off(mechanism::slowdown_news);
    return plan;
}

simulation_config mesh_config()
{
    simulation_config plan = atlas_config();
    plan.report_delay_ms = 20;
    return plan;
}

simulation_config large_config()
{
    simulation_config plan = atlas_config();
    plan.routers = 83;
    plan.report_delay_ms = 100;
    plan.report_delay_spread_ms = 300;
    return plan;
}

} // namespace

// An instance that predicts with half the error makes half as many wrong
// choices between endpoints.
Test(uneven_engines, a_mesh_predicts_with_half_the_error)
{
    const outcome with = play(mesh_config());
    const outcome without = play(without_reports(mesh_config()));
    cr_expect_leq(with.median_error, without.median_error / 2, "%.3f %.3f",
                  with.median_error, without.median_error);
}

Test(uneven_engines, a_large_fleet_predicts_with_half_the_error)
{
    const outcome with = play(large_config());
    const outcome without = play(without_reports(large_config()));
    cr_expect_leq(with.median_error, without.median_error / 2, "%.3f %.3f",
                  with.median_error, without.median_error);
}

// Callers are promised a first token in time by a prediction that is right, so
// half as many promises may be broken, and no fewer requests be on time.
Test(uneven_engines, a_mesh_keeps_twice_as_many_predictions)
{
    const outcome with = play(mesh_config());
    const outcome without = play(without_reports(mesh_config()));
    cr_expect_leq(with.late, without.late / 2, "%.4f %.4f", with.late,
                  without.late);
    cr_expect_geq(with.on_time, without.on_time);
    cr_expect_gt(with.sent_slow, 0);
}

Test(uneven_engines, a_large_fleet_keeps_twice_as_many_predictions)
{
    const outcome with = play(large_config());
    const outcome without = play(without_reports(large_config()));
    cr_expect_leq(with.late, without.late / 2, "%.4f %.4f", with.late,
                  without.late);
    cr_expect_geq(with.on_time, without.on_time);
    cr_expect_gt(with.sent_slow, 0);
}

// The service's engines say that they are fast; a third of them take more than
// twice as long. Observed times correct the reports.
Test(uneven_engines, reports_that_are_wrong_are_corrected)
{
    const uneven_engines::report lie = [](std::size_t engine, double truth)
    { return engine % 3 == 2 ? 0.7 : truth; };
    const outcome truth = play(mesh_config());
    const outcome lies = play(mesh_config(), lie);
    const outcome without = play(without_reports(mesh_config()));
    cr_expect_geq(lies.on_time, without.on_time);
    cr_expect_lt(lies.sent_slow, lies.sent_fast);
    cr_expect_geq(truth.on_time, lies.on_time);
}

// Engines that report nothing are judged as without the mechanisms.
Test(uneven_engines, engines_that_report_nothing_are_served_as_before)
{
    const uneven_engines::report nothing = [](std::size_t, double)
    { return std::nullopt; };
    const outcome with = play(mesh_config(), nothing);
    const outcome without = play(without_reports(mesh_config()), nothing);
    cr_expect_eq(with.median_error, without.median_error);
    cr_expect_eq(with.high_error, without.high_error);
    cr_expect_eq(with.sent_fast, without.sent_fast);
    cr_expect_eq(with.on_time, without.on_time);
}
