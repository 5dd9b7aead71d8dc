// Costs of the core and the wire codec over growing sizes: processor time of a
// decision, memory of the state, and bytes of each message. The input of
// docs/CAPACITY.md.
#include "sycamorelock/core/control_state.hpp"
#include "sycamorelock/wire/codec.hpp"

#include <malloc.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <chrono>
#include <iostream>

namespace measurement
{

int run_slopes();

namespace
{

using namespace sycamorelock;
using namespace sycamorelock::core;
using clock = std::chrono::steady_clock;

constexpr const char* key = "a-key-for-measuring";
/// Bytes of a message's length, and of the TCP and IP headers of a segment.
constexpr std::size_t length_framing = 8;
constexpr std::size_t tcp_framing = 52;

double microseconds_since(clock::time_point from)
{
    return std::chrono::duration<double, std::micro>(clock::now() - from)
        .count();
}

std::size_t heap_bytes()
{
    return mallinfo2().uordblks;
}

void print(boost::json::object line)
{
    std::cout << boost::json::serialize(line) << std::endl;
}

account_id nth_account(std::size_t i)
{
    return account_id(static_cast<std::uint32_t>(i + 1));
}

waiting_request nth_request(std::size_t i, std::size_t accounts)
{
    waiting_request request;
    request.id = {instance_id(1), 1, i};
    request.account = nth_account(i % accounts);
    request.estimate = cost(200);
    request.deadline = time_point(std::chrono::hours(1));
    return request;
}

/// Time of one decision: the next request leaves, is charged, another comes.
void fair_queue_slope(std::size_t accounts)
{
    fair_queue_options options;
    options.max_accounts = accounts + 1;
    const std::size_t before = heap_bytes();
    fair_queue queue(options);
    const std::size_t depth = 4;
    for (std::size_t i = 0; i < accounts * depth; ++i)
        queue.push(nth_request(i, accounts));
    const std::size_t bytes = heap_bytes() - before;
    static constexpr std::size_t decisions = 100000;
    const auto start = clock::now();
    for (std::size_t i = 0; i < decisions; ++i)
    {
        const auto next = queue.remove(queue.front()->id);
        queue.charge(next->account, next->estimate);
        queue.push(nth_request(accounts * depth + i, accounts));
    }
    print({{"what", "fair_queue"},
           {"backlogged_accounts", accounts},
           {"microseconds_per_decision",
            microseconds_since(start) / static_cast<double>(decisions)},
           {"bytes_per_account", bytes / accounts}});
}

std::size_t size_of(std::vector<peer_message> messages)
{
    wire::envelope content;
    content.sender = instance_id::of("sender");
    content.receiver = instance_id::of("receiver");
    content.incarnation = 0x12345678;
    content.sequence = 100000;
    content.messages = std::move(messages);
    return wire::encode(content, key).size() + length_framing;
}

enqueue usual_enqueue()
{
    enqueue wanted;
    wanted.request = {instance_id::of("sender"), 0x12345678, 100000};
    wanted.attempt = 1;
    wanted.shard = {service_id::of("planner"), domain_id::of("a"), 0};
    wanted.account = account_id::of("north");
    wanted.estimate = cost(230);
    wanted.time_left = std::chrono::milliseconds(60000);
    wanted.prefix = 0x12345678;
    wanted.entry_clock = std::chrono::milliseconds(1000000000);
    return wanted;
}

void request_messages()
{
    const enqueue wanted = usual_enqueue();
    grant given{wanted.request, 1, wanted.shard, endpoint_id::of("e"),
                wanted.entry_clock};
    release ended{wanted.request,
                  1,
                  wanted.shard,
                  cost(230),
                  attempt_outcome::completed,
                  std::chrono::milliseconds(25)};
    renew one;
    one.shard = wanted.shard;
    one.entry_clock = wanted.entry_clock;
    one.items.push_back({wanted.request, 1, cost(100)});
    renew two = one;
    two.items.push_back(one.items.front());
    claim asked;
    asked.request = wanted.request;
    asked.membership_version = 1000;
    const std::size_t enqueue_bytes = size_of({wanted});
    const std::size_t grant_bytes = size_of({given});
    const std::size_t release_bytes = size_of({ended});
    print({{"what", "messages"},
           {"enqueue_bytes", enqueue_bytes},
           {"grant_bytes", grant_bytes},
           {"release_bytes", release_bytes},
           {"request_bytes", enqueue_bytes + grant_bytes + release_bytes},
           {"renew_bytes", size_of({one})},
           {"renew_bytes_per_further_request", size_of({two}) - size_of({one})},
           {"claim_bytes", size_of({asked})},
           {"advert_bytes", size_of({advert{wanted.shard, 3, 50, {}}})},
           {"tcp_framing_bytes_not_included", tcp_framing}});
}

void report_slope(std::size_t accounts)
{
    service_report report;
    for (std::size_t i = 0; i < accounts; ++i)
        report.items.push_back(
            {account_id::of(std::to_string(i)), 1000000, true, {}});
    print({{"what", "service_report"},
           {"accounts", accounts},
           {"bytes", size_of({report})}});
}

/// What a scheduler that joins, or follows a change of owners, is sent.
void snapshot_slope(std::size_t accounts, std::size_t schedulers)
{
    snapshot known;
    for (std::size_t i = 0; i < accounts; ++i)
        known.items.push_back(
            {account_id::of(std::to_string(i)), virtual_time(1e6)});
    for (std::uint32_t epoch = 1; epoch <= schedulers; ++epoch)
    {
        snapshot::included_totals each{{}, epoch, {}};
        for (std::size_t i = 0; i < accounts; ++i)
            each.items.push_back({account_id::of(std::to_string(i)), 1000000});
        known.included.push_back(std::move(each));
    }
    print({{"what", "snapshot"},
           {"accounts", accounts},
           {"schedulers", schedulers},
           {"bytes", size_of({known})}});
}

membership members(std::size_t count)
{
    membership list;
    list.version = 1;
    for (std::size_t i = 0; i < count; ++i)
    {
        member item;
        item.name = "instance" + std::to_string(i);
        item.id = instance_id::of(item.name);
        item.domain = domain_id::of("d" + std::to_string(i % 7));
        list.members[item.id] = item;
    }
    return list;
}

/// Gossip bytes a second sent by one instance, and the time of its tick.
void gossip_slope(std::size_t instances)
{
    outbox out;
    const membership list = members(instances);
    const instance_id self = list.members.begin()->first;
    placement where(self, list.members.begin()->second.domain, 1, {}, 1, out);
    time_point now(std::chrono::seconds(1));
    where.install(now, wall_time(0), list);
    gossip all;
    std::uint32_t counter = 0;
    std::size_t bytes = 0;
    double spent = 0;
    static constexpr int seconds = 60;
    for (int i = 0; i < seconds * 20; ++i)
    {
        now += std::chrono::milliseconds(50);
        if (i % 20 == 0)
        {
            all.heartbeats.clear();
            ++counter;
            for (const auto& [id, info] : list.members)
                all.heartbeats.push_back({id, 7, counter, false});
            where.on_gossip(now, all);
        }
        const auto start = clock::now();
        where.tick(now, {1, 1});
        spent += microseconds_since(start);
        for (auto& [to, content] : out.take_messages())
            bytes += size_of(std::move(content));
    }
    const auto start = clock::now();
    static constexpr int owners = 200;
    for (std::uint32_t i = 0; i < owners; ++i)
        (void)where.owner_of({service_id(i), domain_id::of("d0"), 0});
    print({{"what", "placement"},
           {"instances", instances},
           {"gossip_bytes_per_second", bytes / seconds},
           {"tick_microseconds_per_second", spent / seconds},
           {"microseconds_per_owner_lookup",
            microseconds_since(start) / owners}});
}

topology tree_of(std::size_t accounts, std::size_t endpoints)
{
    topology tree;
    tree.version = {1, 1};
    for (std::size_t i = 0; i < accounts; ++i)
    {
        account_spec spec;
        spec.name = "account" + std::to_string(i);
        spec.id = account_id::of(spec.name);
        spec.key_digests = {std::string(64, 'a')};
        tree.accounts[spec.id] = spec;
    }
    service_spec service;
    service.id = service_id::of("planner");
    service.name = "planner";
    for (std::size_t i = 0; i < endpoints; ++i)
    {
        endpoint_spec spec;
        spec.name = "planner/e" + std::to_string(i);
        spec.id = endpoint_id::of(spec.name);
        spec.domain = domain_id::of("d0");
        spec.slots = 19;
        spec.address = "127.0.0.1:9000";
        service.endpoints.push_back(spec);
    }
    tree.services[service.id] = service;
    return tree;
}

/// Memory and processor time of one instance that is entry and scheduler.
void instance_slope(std::size_t accounts, std::size_t instances,
                    std::size_t requests)
{
    const std::size_t before = heap_bytes();
    node_options options;
    const membership list = members(instances);
    options.self = list.members.begin()->first;
    options.domain = domain_id::of("d0");
    moment at{time_point(std::chrono::seconds(1)), wall_time(1)};
    control_state state(options, at);
    state.install_membership(at, list, std::string(instances * 80, 'x'));
    state.install_config(at, tree_of(accounts, 8), std::string(100000, 'x'));
    (void)state.out().take_messages();
    const std::size_t empty = heap_bytes();
    const auto start = clock::now();
    for (std::size_t i = 0; i < requests; ++i)
    {
        submission wanted;
        wanted.id = {options.self, 1, i + 1};
        wanted.account =
            account_id::of("account" + std::to_string(i % accounts));
        wanted.service = service_id::of("planner");
        state.submit(at, wanted);
    }
    const double spent = microseconds_since(start);
    const std::size_t full = heap_bytes();
    print({{"what", "instance"},
           {"accounts", accounts},
           {"instances", instances},
           {"open_requests", requests},
           {"state_bytes", empty - before},
           {"bytes_per_open_request", (full - empty) / requests},
           {"microseconds_per_submit", spent / static_cast<double>(requests)}});
}

void codec_cost()
{
    wire::envelope content;
    content.messages = {usual_enqueue()};
    static constexpr int rounds = 20000;
    const auto start = clock::now();
    for (int i = 0; i < rounds; ++i)
        wire::decode(wire::encode(content, key), content.receiver, key);
    print({{"what", "codec"},
           {"microseconds_per_message", microseconds_since(start) / rounds}});
}

} // namespace

int run_slopes()
{
    for (const std::size_t accounts : {10U, 100U, 1000U, 10000U})
        fair_queue_slope(accounts);
    request_messages();
    for (const std::size_t accounts : {1U, 10U, 72U, 256U})
        report_slope(accounts);
    snapshot_slope(720, 8);
    for (const std::size_t instances : {6U, 50U, 370U, 1000U})
        gossip_slope(instances);
    for (const std::size_t accounts : {16U, 720U, 5000U})
        instance_slope(accounts, 370, 1000);
    for (const std::size_t instances : {6U, 370U, 1000U})
        instance_slope(720, instances, 1000);
    codec_cost();
    return 0;
}

} // namespace measurement
