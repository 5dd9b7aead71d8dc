// Reactions of one shard scheduler to single messages.
#include "sycamorelock/core/shard_scheduler.hpp"

#include <criterion/criterion.h>

using namespace sycamorelock::core;

namespace
{

constexpr std::chrono::seconds default_time_left(60);

/// A scheduler that has just taken over a shard. According to a snapshot of a
/// peer, one account lags behind the other and behind the system time.
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
        snapshot virtual_times;
        virtual_times.shard = other;
        virtual_times.system = virtual_time(9000);
        virtual_times.items = {{lagging, virtual_time(1000)},
                               {leading, virtual_time(9000)}};
        scheduler.on_message(now, peer, virtual_times);
    }

    void enqueue_one(account_id account, std::uint64_t number, bool requeued,
                     bool moved = false)
    {
        enqueue message;
        message.request = {instance_id::of("entry"), 1, number};
        message.attempt = 1;
        message.shard = shard.id;
        message.account = account;
        message.estimate = cost(100);
        message.time_left = time_left;
        message.requeued = requeued;
        message.moved = moved;
        scheduler.on_message(now, message.request.entry, message);
    }

    void receive_advert(std::uint32_t wanted, std::uint32_t backlog,
                        virtual_time next)
    {
        scheduler.on_message(now, peer, advert{other, wanted, backlog, next});
    }

    /// Number of enqueue messages sent to an instance since the last call.
    std::size_t enqueues_sent_to(instance_id receiver)
    {
        std::size_t count = 0;
        const auto sent = out.take_messages();
        const auto found = sent.find(receiver);
        if (found == sent.end())
            return count;
        for (const peer_message& each : found->second)
            count += std::holds_alternative<enqueue>(each) ? 1 : 0;
        return count;
    }

    account_id lagging = account_id::of("lagging");
    account_id leading = account_id::of("leading");
    instance_id peer = instance_id::of("peer");
    time_point now{std::chrono::seconds(100)};
    std::chrono::milliseconds time_left = default_time_left;
    service_spec service;
    shard_spec shard{{service_id::of("planner"), domain_id::of("a"), 0}, {}};
    shard_id other{service_id::of("planner"), domain_id::of("b"), 0};
    outbox out;
    shard_scheduler scheduler;
};

} // namespace

Test(shard_scheduler, requeued_request_keeps_the_virtual_time_of_its_account)
{
    new_owner owner;
    owner.enqueue_one(owner.lagging, 1, true);
    cr_assert_eq(owner.scheduler.queue().virtual_time_of(owner.lagging).value(),
                 1000);
}

Test(shard_scheduler, account_that_was_idle_starts_at_the_system_time)
{
    new_owner owner;
    owner.enqueue_one(owner.lagging, 1, false);
    cr_assert_eq(owner.scheduler.queue().virtual_time_of(owner.lagging).value(),
                 9000);
}

// Guards against cancelling the lag of an account because all its requests have
// just been moved to a peer whose reports do not show them yet.
Test(shard_scheduler, account_with_moved_requests_keeps_its_virtual_time)
{
    new_owner owner;
    owner.enqueue_one(owner.lagging, 1, true);
    owner.receive_advert(1, 0, virtual_time(9000));
    cr_assert_eq(owner.enqueues_sent_to(owner.peer), 1);
    owner.enqueue_one(owner.lagging, 2, false);
    cr_expect_eq(owner.scheduler.queue().virtual_time_of(owner.lagging).value(),
                 1000);
}

// Guards against charging an account twice for service granted by peers: it was
// raised to their virtual time before their reports were counted.
Test(shard_scheduler,
     account_with_a_slot_is_not_raised_to_peers_before_a_resync)
{
    new_owner owner;
    owner.enqueue_one(owner.leading, 1, false);
    owner.now += std::chrono::seconds(1);
    owner.scheduler.tick(owner.now);
    cr_assert(owner.scheduler.queue().empty());
    const double before =
        owner.scheduler.queue().virtual_time_of(owner.leading).value();
    owner.receive_advert(0, 5, virtual_time(20000));
    owner.enqueue_one(owner.leading, 2, false);
    cr_expect_eq(owner.scheduler.queue().virtual_time_of(owner.leading).value(),
                 before);
}

// Guards against moved requests that stay unqueued until their entries resend
// them, seconds later. Entries track only the owner of the shard that moved the
// requests, so they do not notice the change.
Test(shard_scheduler, requests_moved_here_are_forwarded_to_the_next_owner)
{
    new_owner owner;
    owner.enqueue_one(owner.lagging, 1, false, true);
    owner.enqueue_one(owner.lagging, 2, false);
    const instance_id next = instance_id::of("next");
    owner.scheduler.hand_over(owner.now, {{owner.shard.id, next}});
    cr_expect_eq(owner.enqueues_sent_to(next), 1);
}

// Guards against a service rate that falls while there are no requests, so that
// the first ones after a pause are rejected because of their deadline. Found by
// a rolling restart under load.
Test(shard_scheduler, idle_windows_do_not_lower_the_service_rate)
{
    new_owner owner;
    const cost request_cost(100);
    const auto advance = [&](int ms)
    {
        for (int i = 0; i < ms / 100; ++i)
        {
            owner.now += std::chrono::milliseconds(100);
            owner.scheduler.tick(owner.now);
        }
    };
    advance(10000);
    // Ten requests per second.
    std::uint64_t number = 0;
    while (number < 100)
    {
        owner.enqueue_one(owner.lagging, ++number, false);
        advance(100);
        release done;
        done.request = {instance_id::of("entry"), 1, number};
        done.attempt = 1;
        done.shard = owner.shard.id;
        done.total = request_cost;
        owner.scheduler.on_message(owner.now, done.request.entry, done);
    }
    advance(20000);
    static_cast<void>(owner.out.take_messages());
    // Each has five seconds left, and all ten together take one second.
    owner.time_left = std::chrono::seconds(5);
    for (int i = 0; i < 10; ++i)
        owner.enqueue_one(owner.lagging, ++number, false);
    for (const auto& [to, sent] : owner.out.take_messages())
    {
        for (const peer_message& each : sent)
            cr_expect_not(std::holds_alternative<reject>(each));
    }
    cr_expect_eq(owner.scheduler.queue().size(), 9U);
}
