// Whether a request is admitted, by its predicted wait and the standing of its
// client account, without a router.
#include "sycamorelock/core/direct/admission_control.hpp"

#include <criterion/criterion.h>

#include <optional>

using namespace sycamorelock::core;
using namespace sycamorelock::core::direct;

namespace
{

constexpr time_point start{std::chrono::seconds(1000)};
constexpr double infinite_ms = 1e12;

/// A service of engines with an objective of 800 ms, and a request to it that
/// its caller gives up after 10 s.
struct one_service
{
    catalogue config;
    return_promises promises;
    mechanism_set mechanisms;
    request_profile request;
    admission_control::service_conditions conditions{engines()};

    one_service()
    {
        route stream_route;
        stream_route.kind = route_kind::stream;
        stream_route.objective = milliseconds(800);
        stream_route.targets = {{engines().id, 1}};
        config.services[engines().id] = engines();
        config.routes = {stream_route};
        config.index();
        request.route_config = &config.routes.front();
        request.arrived = start;
        request.deadline = start + std::chrono::seconds(10);
    }

    static const service& engines()
    {
        static const service result = []
        {
            service made;
            made.id = service_id::of("drafts");
            made.kv_capacity_tokens = 600000;
            return made;
        }();
        return result;
    }

    [[nodiscard]] double limit_at(time_point now, double service_ms = 0) const
    {
        return admission_control(config, promises, mechanisms)
            .max_wait_ms(now, request, conditions, service_ms);
    }
};

} // namespace

// Overload: callers of a service with a short objective are refused rather than
// served late, and nobody waits beyond the own deadline.
Test(admission_control, a_wait_is_limited_by_objective_and_deadline)
{
    one_service fixture;
    const double limit = fixture.limit_at(start);
    cr_expect_gt(limit, 0);
    cr_expect_lt(limit, 800);
    fixture.request.deadline = start + milliseconds(50);
    cr_expect_float_eq(fixture.limit_at(start), 50, 1e-6);
}

// An account that floods the fleet is refused before endpoints are evaluated,
// which takes processor time from others.
Test(admission_control, a_flooding_account_is_refused_whatever_the_wait)
{
    one_service fixture;
    const double within_share = fixture.limit_at(start);
    fixture.request.standing = {2, 1};
    const double beyond_share = fixture.limit_at(start);
    cr_expect_lt(beyond_share, within_share);
    fixture.request.standing = {4, 4};
    cr_expect_lt(fixture.limit_at(start), 0);
    fixture.mechanisms.switch_off(mechanism::fair_shares);
    cr_expect_float_eq(fixture.limit_at(start), within_share, 1e-6);
}

// A burst at a plain service: its limit is in requests, whatever the routes'
// objectives are.
Test(admission_control, a_plain_service_queues_a_multiple_of_its_slots)
{
    one_service fixture;
    service plain;
    plain.id = service_id::of("lookups");
    const admission_control admission(fixture.config, fixture.promises,
                                      fixture.mechanisms);
    const auto limit = [&](double work_ms)
    {
        return admission.max_wait_ms(start, fixture.request,
                                     {plain, false, work_ms, 1}, 0);
    };
    cr_expect_float_eq(limit(60), 2 * limit(30), 1e-6);
    cr_expect_float_eq(limit(infinite_ms), 10000, 1e-6);
}

// Admission by objective: time that the caller has lost, a long prefill and
// predictions that are too short leave less time to wait.
Test(admission_control, time_lost_before_leaves_less_to_wait)
{
    one_service fixture;
    fixture.conditions.by_objective = true;
    fixture.request.standing = {0.5, 0.5};
    const double fresh = fixture.limit_at(start, 400);
    cr_expect_float_eq(fixture.limit_at(start + milliseconds(100), 400),
                       fresh - 100, 1e-6);
    fixture.request.since_first_attempt = milliseconds(150);
    cr_expect_float_eq(fixture.limit_at(start, 400), fresh - 150, 1e-6);
    fixture.request.since_first_attempt = duration(0);
    cr_expect_float_eq(fixture.limit_at(start, 500), fresh - 100, 1e-6);
    fixture.conditions.error_factor = 1.25;
    cr_expect_float_eq(fixture.limit_at(start, 400), fresh - 160, 1e-6);
}

// A caller that returns as it was told goes before new requests.
Test(admission_control, a_promised_return_may_wait_longer)
{
    one_service fixture;
    fixture.conditions.by_objective = true;
    const double fresh = fixture.limit_at(start, 400);
    fixture.request.is_return = true;
    cr_expect_gt(fixture.limit_at(start, 400), fresh);
}

// Overload, by an account within its share and by one beyond it.
Test(admission_control, the_reason_of_a_refusal_names_who_caused_the_load)
{
    one_service fixture;
    const auto verdict = [&fixture](double wait_ms, double allowed_ms)
    {
        return admission_control::verdict(start, fixture.request,
                                          {wait_ms, false}, allowed_ms);
    };
    cr_expect_not(verdict(100, 100).has_value());
    cr_expect(verdict(101, 100) == refusal::overloaded);
    fixture.request.standing.owed = 1.2;
    cr_expect(verdict(101, 100) == refusal::beyond_share);
}

// The first prompt at an engine of which nothing was observed: a wait that is a
// guess refuses only a request whose caller would not live to see its end.
Test(admission_control, a_guessed_wait_refuses_nothing_before_the_deadline)
{
    one_service fixture;
    const auto verdict = [&fixture](double wait_ms)
    {
        return admission_control::verdict(start, fixture.request,
                                          {wait_ms, true}, 100);
    };
    cr_expect_not(verdict(9999).has_value());
    cr_expect(verdict(10000) == refusal::overloaded);
}
