// Settings of an instance that routes directly.
#include "sycamorelock/settings/direct_settings.hpp"

#include <criterion/criterion.h>

using namespace sycamorelock::settings;

namespace
{

constexpr const char* good = R"(routing: direct
name: "edge-1"
domain: "a"
caller_address: "10.0.0.1:80"
ready_address: "10.0.0.1:81"
peer_address: "10.0.0.1:82"
metrics_address: "10.0.0.1:83"
fleet_key: "a-key-of-sixteen-characters"
store: "10.0.0.9:84"
seeds: ["10.0.0.2:82"]
)";

std::vector<finding> findings_of(const std::string& text)
{
    try
    {
        read_direct(text, "edge.yaml");
    }
    catch (const settings_error& error)
    {
        return error.findings();
    }
    return {};
}

} // namespace

Test(direct_settings, a_good_file_is_read_with_defaults)
{
    const direct_settings read = read_direct(good, "edge.yaml");
    cr_expect(is_direct(good));
    cr_expect_str_eq(read.store.c_str(), "10.0.0.9:84");
    cr_expect_eq(read.seeds.size(), 1U);
    cr_expect_eq(read.linger.count(), 3000);
    cr_expect_float_eq(read.retry_ratio, 0.2, 1e-9);
    cr_expect_eq(read.max_descriptors, 4096U);
}

Test(direct_settings, all_findings_come_together_with_their_place)
{
    const auto found = findings_of("routing: direct\n"
                                   "name: x\n"
                                   "store: nowhere\n"
                                   "linger_ms: 9000\n"
                                   "seeds: [5]\n"
                                   "shutdwn_ms: 1\n");
    // Six required fields, two malformed values, one bad pair of times, one
    // unknown name.
    cr_expect_geq(found.size(), 10U, "%zu findings", found.size());
    bool store = false;
    for (const finding& each : found)
        store = store || (each.path == "process.store" && each.line == 3);
    cr_expect(store);
}

Test(direct_settings, the_other_kind_of_file_is_told_apart)
{
    cr_expect_not(is_direct("name: x\ndomain: routing\n"));
}

Test(direct_settings, mechanisms_are_switched_off_by_name)
{
    namespace direct = sycamorelock::core::direct;
    const direct_settings all = read_direct(good, "edge.yaml");
    for (const direct::mechanism_name& each : direct::mechanism_names)
        cr_expect(all.mechanisms.is_enabled(each.which));
    const direct_settings some = read_direct(
        std::string(good) + "switched_off: [prompt_fetch]\n", "edge.yaml");
    cr_expect_not(some.mechanisms.is_enabled(direct::mechanism::prompt_fetch));
    cr_expect(some.mechanisms.is_enabled(direct::mechanism::fair_shares));
    const auto found =
        findings_of(std::string(good) + "switched_off: [prompt_fetsch]\n");
    cr_assert_eq(found.size(), 1U);
    cr_expect_str_eq(found.front().path.c_str(), "process.switched_off");
}

Test(direct_settings, the_price_of_leaving_the_failure_domain_is_checked)
{
    cr_expect_float_eq(read_direct(good, "edge.yaml").remote_ms_per_kb, 0,
                       1e-9);
    const direct_settings priced =
        read_direct(std::string(good) + "remote_ms_per_kb: 2.5\n", "edge.yaml");
    cr_expect_float_eq(priced.remote_ms_per_kb, 2.5, 1e-9);
    for (const char* wrong : {"-1", "1e9", "dear", "[1]"})
    {
        const auto found = findings_of(std::string(good) +
                                       "remote_ms_per_kb: " + wrong + '\n');
        cr_assert_eq(found.size(), 1U, "%s", wrong);
        cr_expect_str_eq(found.front().path.c_str(),
                         "process.remote_ms_per_kb");
    }
}
