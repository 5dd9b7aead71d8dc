// What one scheduler does with single messages.
#include "sycamorelock/core/shard_scheduler.hpp"

#include <criterion/criterion.h>

using namespace sycamorelock::core;

namespace
{

constexpr std::chrono::seconds long_wait(60);

/// A scheduler that has just taken over a shard whose accounts are apart.
struct new_owner
{
    new_owner() : scheduler(shard.id, {}, 1, now, out)
    {
        service.id = shard.id.service;
        service.max_queue = 100;
        service.max_queue_per_account = 100;
        endpoint_spec endpoint;
        endpoint.id = endpoint_id::of("e");
        endpoint.slots = 1;
        shard.endpoints.push_back(endpoint);
        scheduler.configure(service, shard, {}, {}, 1);
        scheduler.set_peers(now, {{other, peer}});
        scheduler.tick(now);
        snapshot known;
        known.shard = other;
        known.system = virtual_time(9000);
        known.items = {{waited, virtual_time(1000)},
                       {served, virtual_time(9000)}};
        scheduler.on_message(now, peer, known);
    }

    void enqueue_one(account_id account, std::uint64_t number, bool requeued)
    {
        enqueue wanted;
        wanted.request = {instance_id::of("entry"), 1, number};
        wanted.attempt = 1;
        wanted.shard = shard.id;
        wanted.account = account;
        wanted.estimate = cost(100);
        wanted.time_left = long_wait;
        wanted.requeued = requeued;
        scheduler.on_message(now, wanted.request.entry, wanted);
    }

    account_id waited = account_id::of("waited");
    account_id served = account_id::of("served");
    instance_id peer = instance_id::of("peer");
    time_point now{std::chrono::seconds(100)};
    service_spec service;
    shard_spec shard{{service_id::of("planner"), domain_id::of("a"), 0}, {}};
    shard_id other{service_id::of("planner"), domain_id::of("b"), 0};
    outbox out;
    shard_scheduler scheduler;
};

} // namespace

Test(shard_scheduler, what_waited_at_the_previous_owner_keeps_its_claim)
{
    new_owner owner;
    owner.enqueue_one(owner.waited, 1, true);
    cr_assert_eq(owner.scheduler.queue().at(owner.waited).value(), 1000);
}

Test(shard_scheduler, what_comes_back_from_idling_has_no_claim)
{
    new_owner owner;
    owner.enqueue_one(owner.waited, 1, false);
    cr_assert_eq(owner.scheduler.queue().at(owner.waited).value(), 9000);
}
