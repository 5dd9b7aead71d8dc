// Tests of decisions about leaving the failure domain: single decisions of one
// router in front of engines in several failure domains.
#include "sycamorelock/core/direct/router.hpp"

#include <criterion/criterion.h>

using namespace sycamorelock::core;
using namespace sycamorelock::core::direct;

namespace
{

constexpr time_point start{std::chrono::seconds(1000)};
const service_id drafts = service_id::of("drafts");
const domain_id home = domain_id::of("home");
const domain_id away = domain_id::of("away");

/// A router in the failure domain `home` of a large fleet, and engines there
/// and in `away`.
struct two_domains
{
    struct setup
    {
        double ms_per_kb = 4;
        bool reports_slowdown = true;
        unsigned engines_at_home = 15;
        unsigned engines_away = 45;
        /// KV cache size of a token; engines cannot fetch if it is 0.
        double token_bytes = 0;
        mechanism_set mechanisms;
    };

    std::shared_ptr<catalogue> config = std::make_shared<catalogue>();
    router tested_router;
    std::map<std::string, endpoint_record> engines;

    explicit two_domains(const setup& use) : tested_router(options_of(use))
    {
        config->version = 1;
        service engine_service;
        engine_service.id = drafts;
        engine_service.kv_capacity_tokens = 600000;
        engine_service.token_bytes = use.token_bytes;
        engine_service.link_bytes_per_ms = 50e6;
        config->services[drafts] = engine_service;
        route stream_route;
        stream_route.name = "draft";
        stream_route.kind = route_kind::stream;
        stream_route.objective = milliseconds(800);
        stream_route.targets = {{drafts, 1}};
        config->routes = {stream_route};
        config->limits.tokens_per_second = 3e6;
        config->index();
        tested_router.install(start, config);
        tested_router.set_fleet_size(80);
        add_engines("home-", home, use.engines_at_home);
        add_engines("away-", away, use.engines_away);
        tested_router.set_endpoints(start, engines);
        endpoint_load load;
        load.slots = 64;
        if (use.reports_slowdown)
            load.slowdown = 1;
        for (const auto& [name, record] : engines)
            tested_router.note_load(start, record, load);
    }

    static router_options options_of(const setup& use)
    {
        router_options options;
        options.domain = home;
        options.remote_price = domain_price(use.ms_per_kb);
        options.mechanisms = use.mechanisms;
        return options;
    }

    void add_engines(const std::string& prefix, domain_id domain,
                     unsigned count)
    {
        for (unsigned i = 0; i < count; ++i)
        {
            endpoint_record record;
            record.boot = prefix + std::to_string(i);
            record.address = record.boot + ":1";
            record.service = drafts;
            record.domain = domain;
            record.slots = 64;
            engines[record.boot] = record;
        }
    }

    /// A request of 17 KB with a prompt that shares `shared_tokens` tokens with
    /// the other requests of the same name.
    [[nodiscard]] request_profile make_profile(time_point now,
                                               const std::string& name,
                                               double shared_tokens,
                                               unsigned number) const
    {
        request_profile request;
        request.route_config = &config->routes.front();
        const std::uint64_t key = extend_key(0, name);
        request.parts = {{key, shared_tokens},
                         {extend_key(key, std::to_string(number)), 500}};
        request.prompt_tokens = shared_tokens + 500;
        request.output_tokens = 30;
        request.body_bytes = 17000;
        request.arrived = now;
        request.deadline = now + std::chrono::seconds(10);
        return request;
    }

    /// Decides on one request, which completes at once, and returns the
    /// failure domain that it is sent to.
    std::optional<domain_id> send(time_point now, request_profile request)
    {
        tested_router.admit(now, request);
        auto decided = tested_router.decide(now, request, drafts, {}, false);
        auto* placed = std::get_if<placement_decision>(&decided);
        if (placed == nullptr)
            return std::nullopt;
        tested_router.sent(now, request, *placed);
        tested_router.first_token(now, request, *placed, now);
        tested_router.finished(now, *placed, attempt_outcome::succeeded);
        return placed->endpoint.domain;
    }

    /// Number of requests, of `count` with different short prompts, that leave
    /// the failure domain.
    unsigned leave_of(unsigned count)
    {
        unsigned left = 0;
        for (unsigned i = 0; i < count; ++i)
        {
            const auto domain = send(
                start, make_profile(start, "p" + std::to_string(i), 100, i));
            left += domain == away ? 1 : 0;
        }
        return left;
    }
};

} // namespace

Test(direct_domains, answers_are_averaged_by_route)
{
    domain_traffic traffic(domain_price(2));
    const double before = traffic.price_ms("draft", 1000);
    for (int i = 0; i < 1000; ++i)
        traffic.note_answer("draft", 5000);
    cr_expect_float_eq(traffic.price_ms("draft", 1000), 12, 0.1);
    cr_expect_float_eq(traffic.price_ms("other", 1000), before, 1e-9);
    traffic.keep_routes([](const std::string& name)
                        { return name != "draft"; });
    cr_expect_float_eq(traffic.price_ms("draft", 1000), before, 1e-9);
}

// Load: idle engines, and a different short prompt in each request. Three of
// four engines are in the other failure domain.
Test(direct_domains, a_price_counts_only_where_it_is_called_for)
{
    two_domains::setup unpriced;
    unpriced.ms_per_kb = 0;
    two_domains::setup unreported;
    unreported.reports_slowdown = false;
    two_domains::setup switched_off;
    switched_off.mechanisms.switch_off(mechanism::domain_price);
    const unsigned left = two_domains(unpriced).leave_of(100);
    cr_expect_gt(left, 30U, "%u of 100", left);
    cr_expect_eq(two_domains(unreported).leave_of(100), left);
    cr_expect_eq(two_domains(switched_off).leave_of(100), left);
}

// Load: the same, at engines that report no slowdown.
Test(direct_domains, a_price_counts_where_prefixes_move_quickly)
{
    two_domains::setup quick;
    quick.reports_slowdown = false;
    // 10,000 tokens take 8 ms.
    quick.token_bytes = 40000;
    cr_expect_eq(two_domains(quick).leave_of(100), 0U);
    // 12 ms.
    two_domains::setup slow = quick;
    slow.token_bytes = 60000;
    two_domains::setup unpriced = slow;
    unpriced.ms_per_kb = 0;
    cr_expect_eq(two_domains(slow).leave_of(100),
                 two_domains(unpriced).leave_of(100));
}

Test(direct_domains, prefixes_move_quickly_if_no_caller_notices)
{
    service engines;
    cr_expect_not(engines.moves_prefixes_quickly());
    engines.token_bytes = 50000;
    engines.link_bytes_per_ms = 50e6;
    cr_expect(engines.moves_prefixes_quickly());
    engines.token_bytes = 50001;
    cr_expect_not(engines.moves_prefixes_quickly());
}

// Load: idle engines, and requests whose prompts are not described.
Test(direct_domains, requests_stay_if_engines_at_home_are_idle)
{
    two_domains fleet({});
    for (unsigned i = 0; i < 100; ++i)
    {
        request_profile request = fleet.make_profile(start, "p", 100, i);
        request.parts.clear();
        cr_assert(fleet.send(start, request) == home, "request %u", i);
    }
}

// Load: idle engines, all of them in the other failure domain.
Test(direct_domains, a_domain_without_engines_sends_everything_away)
{
    two_domains::setup use;
    use.engines_at_home = 0;
    cr_expect_eq(two_domains(use).leave_of(100), 100U);
}

Test(direct_domains, demand_of_a_prefix_is_divided_by_domain)
{
    domain_demand demand;
    demand.set_instances(20, 80);
    time_point now = start;
    // Load: 100 requests a second, one in 50 with the prefix; this domain sends
    // half of them.
    for (unsigned i = 0; i < 6000; ++i)
    {
        now += milliseconds(10);
        demand.note(now, i % 50);
        if (i % 40 == 0)
            demand.note_own(now);
    }
    cr_expect_float_eq(demand.part_of_domain(now), 0.5, 0.1);
    const double expected =
        demand.expected_requests(now, 7, std::chrono::seconds(10));
    cr_expect_float_eq(expected, 10, 3, "%f", expected);
    cr_expect_eq(demand.expected_requests(now, 50, std::chrono::seconds(10)),
                 0);
    now += std::chrono::seconds(100);
    demand.sweep(now);
    cr_expect_eq(demand.expected_requests(now, 7, std::chrono::seconds(10)), 0);
}

// Load: one prompt of 13,300 tokens, asked for at home 20 times a second.
Test(direct_domains, a_prompt_that_is_requested_often_is_read_at_home)
{
    two_domains fleet({});
    time_point now = start;
    unsigned left = 0;
    for (unsigned i = 0; i < 100; ++i)
    {
        now += milliseconds(50);
        left +=
            fleet.send(now, fleet.make_profile(now, "often", 13300, i)) == away
                ? 1
                : 0;
    }
    cr_expect_leq(left, 20U, "%u of 100", left);
}

// Load: prompts of 100 shared tokens, each requested once, on idle engines.
Test(direct_domains, short_prompts_stay_at_home)
{
    const unsigned left = two_domains({}).leave_of(100);
    cr_expect_eq(left, 0U, "%u of 100", left);
}
