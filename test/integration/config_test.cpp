// Promise: an accepted configuration is in force everywhere within seconds and
// never reverts.
#include "plans.hpp"

#include <criterion/criterion.h>

using namespace standin;

namespace
{

constexpr std::chrono::seconds in_force_within(17);

double version_at(fleet& running, std::size_t index)
{
    return running.metric(running.at(index), "sycamorelock_config_version");
}

bool all_have(fleet& running, double version)
{
    for (std::size_t i = 0; i < running.instances().size(); ++i)
    {
        if (running.at(i).pid > 0 && version_at(running, i) != version)
            return false;
    }
    return true;
}

void wait_for_version(fleet& running, double version)
{
    cr_assert(eventually([&] { return all_have(running, version); },
                         in_force_within));
}

double seconds_until(const std::function<bool()>& holds)
{
    const auto start = std::chrono::steady_clock::now();
    if (!eventually(holds, in_force_within))
        return 1e9;
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         start)
        .count();
}

std::vector<account_plan> more_accounts()
{
    return {{"north"}, {"south"}, {"flood"}, {"small"}, {"new"}};
}

/// Kills the configuration readers of a failure domain; returns how many.
int kill_readers(fleet& running)
{
    int killed = 0;
    for (instance& which : running.instances())
    {
        const std::string status = running.operator_get(which, "/status");
        const bool reader =
            status.find("\"config_reader\":true") != std::string::npos;
        if (!reader || killed >= 4)
            continue;
        running.kill_and_wait(which);
        ++killed;
    }
    return killed;
}

fleet_plan wide_plan()
{
    fleet_plan plan = usual_plan();
    plan.instances_per_domain = 4;
    return plan;
}

} // namespace

Test(config, a_change_is_in_force_everywhere_within_seconds)
{
    fleet running(wide_plan());
    const auto version =
        static_cast<double>(running.publish_tree(more_accounts()));
    const double took =
        seconds_until([&] { return all_have(running, version); });
    cr_log_warn("in force on 12 instances after %.2f s", took);
    cr_assert(took < 17);
    for (std::size_t i = 0; i < running.instances().size(); ++i)
        cr_assert(ask_now(running.make_call(i, "new", "desk")).completed());
}

Test(config, it_spreads_also_when_readers_are_killed_meanwhile)
{
    fleet running(wide_plan());
    const auto version =
        static_cast<double>(running.publish_tree(more_accounts()));
    const int killed = kill_readers(running);
    const double took =
        seconds_until([&] { return all_have(running, version); });
    cr_log_warn("in force after %.2f s with %d readers killed", took, killed);
    cr_assert(killed >= 2);
    cr_assert(took < 17);
}

Test(config, a_stale_platform_reverts_nothing)
{
    fleet running(usual_plan());
    running.platform().set_mode(platform_mode::stale);
    running.publish_tree(more_accounts());
    running.platform().set_mode(platform_mode::up);
    wait_for_version(running, 2);
    // From here on the platform offers version 1 to those who have 2.
    running.platform().publish_config(1, running.tree_text({{"north"}}));
    running.platform().set_mode(platform_mode::stale);
    std::this_thread::sleep_for(std::chrono::seconds(3));
    cr_assert(all_have(running, 2));
    cr_assert(ask_now(running.make_call(0, "new", "desk")).completed());
}

Test(config, a_restarted_instance_takes_the_newest_from_its_peers)
{
    fleet running(usual_plan());
    running.publish_tree(more_accounts());
    wait_for_version(running, 2);
    running.platform().publish_config(1, running.tree_text({{"north"}}));
    running.platform().set_mode(platform_mode::stale);
    for (std::size_t i : {0U, 3U})
    {
        running.kill_and_wait(running.at(i));
        running.start_and_wait(running.at(i));
        cr_assert_eq(version_at(running, i), 2);
    }
}

Test(config, a_restart_while_the_platform_is_down_is_served_by_peers)
{
    fleet running(usual_plan());
    running.platform().set_mode(platform_mode::down);
    running.kill_and_wait(running.at(1));
    running.start_and_wait(running.at(1));
    cr_assert(ask_now(running.make_call(1, "north", "desk")).completed());
}

Test(config, a_restart_of_all_instances_at_once_comes_back)
{
    fleet running(usual_plan());
    running.publish_tree(more_accounts());
    wait_for_version(running, 2);
    for (instance& which : running.instances())
        running.kill_and_wait(which);
    for (instance& which : running.instances())
        running.start(which);
    running.wait_all_ready();
    cr_assert(all_have(running, 2));
}

Test(config, two_changes_racing_under_one_version_settle_on_one)
{
    fleet running(usual_plan());
    // Readers on the two sides of a partition are given different texts.
    running.partition("c", false);
    running.platform().publish_config(2, running.tree_text(more_accounts()));
    wait_for_version(running, 2);
    running.kill_and_wait(running.at(0));
    running.platform().publish_config(
        2, running.tree_text({{"north"}, {"south"}, {"other"}}));
    running.start_and_wait(running.at(0));
    running.faults().heal();
    const auto agreed = [&]
    {
        unsigned first = 0;
        for (std::size_t i = 0; i < running.instances().size(); ++i)
        {
            const unsigned status =
                ask_now(running.make_call(i, "new", "desk")).status;
            first = i == 0 ? status : first;
            if (status != first)
                return false;
        }
        return true;
    };
    cr_assert(eventually(agreed, in_force_within));
}

Test(config, an_invalid_tree_is_refused_and_the_last_good_one_stays)
{
    fleet running(usual_plan(1));
    running.platform().publish_config(2, "accounts: 7\nservices: [1\n");
    std::this_thread::sleep_for(std::chrono::seconds(2));
    cr_assert(all_have(running, 1));
    running.platform().publish_config(3, "accounts:\n  children: {a: {wight: "
                                         "2}}\nservices: {children: {}}\n");
    std::this_thread::sleep_for(std::chrono::seconds(2));
    cr_assert(all_have(running, 1));
    cr_assert(ask_now(running.make_call(0, "north", "desk")).completed());
    running.platform().publish_config(4, running.tree_text(more_accounts()));
    wait_for_version(running, 4);
}
