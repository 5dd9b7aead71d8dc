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

    void enqueue_one(account_id account, std::uint64_t number, bool requeued,
                     bool moved = false)
    {
        enqueue wanted;
        wanted.request = {instance_id::of("entry"), 1, number};
        wanted.attempt = 1;
        wanted.shard = shard.id;
        wanted.account = account;
        wanted.estimate = cost(100);
        wanted.time_left = time_left;
        wanted.requeued = requeued;
        wanted.moved = moved;
        scheduler.on_message(now, wanted.request.entry, wanted);
    }

    void peer_tells(std::uint32_t wanted, std::uint32_t backlog,
                    virtual_time next)
    {
        scheduler.on_message(now, peer, advert{other, wanted, backlog, next});
    }

    /// Requests that were sent to an instance since the last call.
    std::size_t enqueued_at(instance_id where)
    {
        std::size_t count = 0;
        const auto sent = out.take_messages();
        const auto found = sent.find(where);
        if (found == sent.end())
            return count;
        for (const peer_message& each : found->second)
            count += std::holds_alternative<enqueue>(each) ? 1 : 0;
        return count;
    }

    account_id waited = account_id::of("waited");
    account_id served = account_id::of("served");
    instance_id peer = instance_id::of("peer");
    time_point now{std::chrono::seconds(100)};
    std::chrono::milliseconds time_left = long_wait;
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

// Guards against a debt that is forgiven because all requests of the account
// have just been moved to a peer, whose reports do not say yet that they wait.
Test(shard_scheduler, what_was_moved_to_a_peer_keeps_its_claim)
{
    new_owner owner;
    owner.enqueue_one(owner.waited, 1, true);
    owner.peer_tells(1, 0, virtual_time(9000));
    cr_assert_eq(owner.enqueued_at(owner.peer), 1);
    owner.enqueue_one(owner.waited, 2, false);
    cr_expect_eq(owner.scheduler.queue().at(owner.waited).value(), 1000);
}

// Guards against an account that is charged for service that peers gave it: it
// was lifted to their level before their reports were counted.
Test(shard_scheduler, what_is_served_here_follows_no_peer_before_a_resync)
{
    new_owner owner;
    owner.enqueue_one(owner.served, 1, false);
    owner.now += std::chrono::seconds(1);
    owner.scheduler.tick(owner.now);
    cr_assert(owner.scheduler.queue().empty());
    const double before = owner.scheduler.queue().at(owner.served).value();
    owner.peer_tells(0, 5, virtual_time(20000));
    owner.enqueue_one(owner.served, 2, false);
    cr_expect_eq(owner.scheduler.queue().at(owner.served).value(), before);
}

// Guards against requests that wait until their entries ask again, seconds
// later: their entries follow only the owner of the shard that moved them.
Test(shard_scheduler, what_was_moved_here_goes_to_the_next_owner)
{
    new_owner owner;
    owner.enqueue_one(owner.waited, 1, false, true);
    owner.enqueue_one(owner.waited, 2, false);
    const instance_id next = instance_id::of("next");
    owner.scheduler.hand_over(owner.now, {{owner.shard.id, next}});
    cr_expect_eq(owner.enqueued_at(next), 1);
}

// Found by a rolling restart beside load: the rate fell while nobody asked, so
// the first requests after a pause were refused as too late.
Test(shard_scheduler, a_pause_does_not_make_the_endpoints_seem_slow)
{
    new_owner owner;
    const cost size(100);
    const auto pass = [&](int ms)
    {
        for (int i = 0; i < ms / 100; ++i)
        {
            owner.now += std::chrono::milliseconds(100);
            owner.scheduler.tick(owner.now);
        }
    };
    pass(10000);
    // Ten requests a second.
    std::uint64_t number = 0;
    while (number < 100)
    {
        owner.enqueue_one(owner.waited, ++number, false);
        pass(100);
        release done;
        done.request = {instance_id::of("entry"), 1, number};
        done.attempt = 1;
        done.shard = owner.shard.id;
        done.total = size;
        owner.scheduler.on_message(owner.now, done.request.entry, done);
    }
    pass(20000);
    static_cast<void>(owner.out.take_messages());
    // Each has five seconds, and all together take one.
    owner.time_left = std::chrono::seconds(5);
    for (int i = 0; i < 10; ++i)
        owner.enqueue_one(owner.waited, ++number, false);
    for (const auto& [to, sent] : owner.out.take_messages())
    {
        for (const peer_message& each : sent)
            cr_expect_not(std::holds_alternative<reject>(each));
    }
    cr_expect_eq(owner.scheduler.queue().size(), 9U);
}
