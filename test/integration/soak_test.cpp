// Rounds of the soak with fixed seeds. A seed that ever broke a promise stays
// here, with a line on the cause.
#include "soak_run.hpp"

#include <criterion/criterion.h>

namespace
{

void play_seed(std::uint64_t seed, bool notices = false)
{
    soak::round_plan plan;
    plan.seed = seed;
    plan.notices = notices;
    const soak::round_result got = soak::play(plan);
    for (const std::string& each : got.broken)
        cr_log_error("seed %llu: %s", static_cast<unsigned long long>(seed),
                     each.c_str());
    cr_expect(got.broken.empty(), "seed %llu",
              static_cast<unsigned long long>(seed));
    // A round in which nothing was asked or served proves nothing.
    cr_expect_gt(got.served, 500U);
    cr_expect_gt(got.actions.size(), 5U);
}

} // namespace

Test(soak, planned_work_fails_no_request)
{
    play_seed(4);
}

Test(soak, faults_break_no_promise)
{
    play_seed(1);
    play_seed(2);
}

// Two of four engines leave, and short streams fill most slots of the others.
// Requests were refused again and again though a slot is free within 25 ms.
Test(soak, seed_7004_short_streams_do_not_count_as_overload)
{
    play_seed(7004);
}

// An instance hung in the close of its inbox when it ended. Later, requests
// were refused as those of seed 7004.
Test(soak, seed_308_instances_end_in_time)
{
    play_seed(308);
}

Test(soak, endpoints_that_leave_or_rest_get_no_request_among_faults)
{
    play_seed(5, true);
}

Test(soak, a_seed_gives_the_same_script)
{
    using std::chrono::seconds;
    const soak::script one = soak::draw_script(7, seconds(8));
    const soak::script again = soak::draw_script(7, seconds(8));
    cr_assert_eq(one.actions.size(), again.actions.size());
    for (std::size_t i = 0; i < one.actions.size(); ++i)
    {
        cr_expect(one.actions[i].what == again.actions[i].what);
        cr_expect(one.actions[i].at == again.actions[i].at);
    }
    for (const soak::action& each : soak::draw_script(8, seconds(8)).actions)
        cr_expect_lt(static_cast<std::size_t>(each.what), soak::planned_harms);
}
