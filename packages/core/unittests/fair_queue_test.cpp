// Service order, charges and limits of the fair queue.
#include "sycamorelock/core/fair_queue.hpp"

#include <criterion/criterion.h>

using namespace sycamorelock::core;

namespace
{

const account_id small = account_id::of("small");
const account_id large = account_id::of("large");

waiting_request make_request(account_id account, std::uint64_t number,
                             std::uint8_t urgency = 3,
                             std::int64_t estimate = 100)
{
    waiting_request request;
    request.id = {instance_id::of("entry"), 1, number};
    request.account = account;
    request.urgency = urgency;
    request.estimate = cost(estimate);
    request.deadline = time_point(std::chrono::hours(1));
    return request;
}

/// Pushes requests numbered [first, end).
void push_many(fair_queue& queue, account_id account, std::uint64_t first,
               std::uint64_t end, std::uint8_t urgency = 3)
{
    for (std::uint64_t i = first; i < end; ++i)
        queue.push(make_request(account, i, urgency));
}

/// Serves the next request, charges its estimate and returns its account.
account_id serve_one(fair_queue& queue)
{
    const auto next = queue.remove(queue.front()->id);
    queue.charge(next->account, next->estimate);
    return next->account;
}

} // namespace

Test(fair_queue, backlogged_accounts_share_by_weight)
{
    fair_queue queue({});
    queue.set_weight(large, 3);
    queue.set_weight(small, 1);
    for (std::uint64_t i = 0; i < 400; ++i)
        queue.push(make_request(i % 2 == 0 ? large : small, i));
    int served_large = 0;
    for (int i = 0; i < 200; ++i)
        served_large += serve_one(queue) == large ? 1 : 0;
    cr_assert(served_large >= 148 && served_large <= 152, "%d", served_large);
}

Test(fair_queue, idle_account_earns_no_credit)
{
    fair_queue queue({});
    push_many(queue, large, 0, 200);
    for (int i = 0; i < 100; ++i)
        serve_one(queue);
    push_many(queue, small, 1000, 1100);
    int served_small = 0;
    for (int i = 0; i < 20; ++i)
        served_small += serve_one(queue) == small ? 1 : 0;
    cr_assert(served_small >= 9 && served_small <= 11, "%d", served_small);
}

Test(fair_queue, urgent_requests_exceed_the_fair_share_by_the_credit_only)
{
    fair_queue_options options;
    options.urgent_credit = virtual_time(500);
    fair_queue queue(options);
    push_many(queue, large, 0, 100, 0);
    push_many(queue, small, 100, 200);
    int ahead = 0;
    while (serve_one(queue) == large)
        ++ahead;
    cr_assert(ahead >= 5 && ahead <= 6, "%d", ahead);
    int served_large = 0;
    for (int i = 0; i < 40; ++i)
        served_large += serve_one(queue) == large ? 1 : 0;
    cr_assert(served_large >= 19 && served_large <= 21, "%d", served_large);
}

Test(fair_queue, urgent_requests_go_first_within_an_account)
{
    fair_queue queue({});
    queue.push(make_request(small, 1, 5));
    queue.push(make_request(small, 2, 0));
    queue.push(make_request(small, 3, 3));
    cr_assert_eq(queue.remove(queue.front()->id)->id.number, 2);
    cr_assert_eq(queue.remove(queue.front()->id)->id.number, 3);
    cr_assert_eq(queue.remove(queue.front()->id)->id.number, 1);
}

Test(fair_queue, imported_service_is_capped_to_prevent_starvation)
{
    fair_queue_options options;
    options.max_lag = virtual_time(1000);
    fair_queue queue(options);
    for (std::uint64_t i = 0; i < 100; ++i)
        queue.push(make_request(i % 2 == 0 ? large : small, i));
    queue.charge_remote(large, cost(1000000));
    queue.limit_lag();
    int until_large = 0;
    while (serve_one(queue) != large)
        ++until_large;
    cr_assert(until_large <= 11, "%d", until_large);
}

Test(fair_queue, system_time_never_decreases)
{
    fair_queue queue({});
    for (std::uint64_t i = 0; i < 20; ++i)
        queue.push(make_request(i % 2 == 0 ? large : small, i));
    virtual_time before = queue.system_time();
    for (int i = 0; i < 10; ++i)
    {
        const account_id account = serve_one(queue);
        queue.charge(account, cost(-90));
        cr_assert(queue.system_time() >= before);
        before = queue.system_time();
    }
}

Test(fair_queue, arrival_order_ignores_accounts_and_urgency)
{
    fair_queue_options options;
    options.order = queue_order::arrival;
    fair_queue queue(options);
    queue.push(make_request(large, 1));
    queue.push(make_request(large, 2));
    queue.push(make_request(small, 3, 0));
    cr_assert_eq(queue.remove(queue.front()->id)->id.number, 1);
    cr_assert_eq(queue.remove(queue.front()->id)->id.number, 2);
}

Test(fair_queue, evicts_idle_accounts_above_max_accounts)
{
    fair_queue_options options;
    options.max_accounts = 100;
    fair_queue queue(options);
    for (std::uint64_t i = 0; i < 1000; ++i)
    {
        queue.push(
            make_request(account_id(static_cast<std::uint32_t>(i + 1)), i));
        serve_one(queue);
    }
    cr_assert(queue.virtual_times().size() <= 100);
}

Test(fair_queue, a_request_is_queued_only_once)
{
    fair_queue queue({});
    cr_assert(queue.push(make_request(small, 1)));
    cr_assert_not(queue.push(make_request(small, 1)));
    cr_assert_eq(queue.size(), 1U);
    cr_assert(queue.remove(make_request(small, 1).id).has_value());
    cr_assert_not(queue.remove(make_request(small, 1).id).has_value());
}

Test(fair_queue, requests_expire_at_their_deadline)
{
    fair_queue queue({});
    waiting_request soon = make_request(small, 1);
    soon.deadline = time_point(std::chrono::seconds(1));
    queue.push(soon);
    queue.push(make_request(small, 2));
    const auto late = queue.expire(time_point(std::chrono::seconds(2)));
    cr_assert_eq(late.size(), 1U);
    cr_assert_eq(late.front().id.number, 1U);
    cr_assert_eq(queue.size(), 1U);
}
