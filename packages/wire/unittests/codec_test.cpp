// Round trips and hostile bytes.
#include "sycamorelock/wire/codec.hpp"

#include <criterion/criterion.h>

#include <random>

using namespace sycamorelock;
using namespace sycamorelock::wire;

namespace
{

constexpr const char* key = "a-key-for-tests-only";

envelope sample()
{
    envelope content;
    content.sender = core::instance_id::of("a1");
    content.receiver = core::instance_id::of("a2");
    content.incarnation = 77;
    content.sequence = 5;
    core::enqueue wanted;
    wanted.request = {content.sender, 77, 123};
    wanted.attempt = 2;
    wanted.account = core::account_id::of("north");
    wanted.urgency = 1;
    wanted.estimate = core::cost(250);
    wanted.time_left = std::chrono::milliseconds(5000);
    wanted.moved = true;
    wanted.tried = core::endpoint_id::of("e");
    core::gossip news;
    news.heartbeats.push_back({content.sender, 77, 9, true});
    news.config = {4, 99};
    core::service_report report;
    report.items.push_back(
        {core::account_id::of("north"), -5, true, core::virtual_time(2.5)});
    core::claim asked;
    asked.request = wanted.request;
    asked.key.bytes[3] = 200;
    core::snapshot known;
    known.included.push_back(
        {wanted.shard, 12, {{core::account_id::of("north"), -5}}});
    content.messages = {wanted,
                        news,
                        report,
                        asked,
                        core::config_document{3, std::string(5000, 'x')},
                        known};
    return content;
}

bool is_dropped(const std::string& bytes,
                core::instance_id self = core::instance_id::of("a2"))
{
    try
    {
        decode(bytes, self, key);
    }
    catch (const decode_error&)
    {
        return true;
    }
    return false;
}

} // namespace

Test(codec, messages_survive_the_way)
{
    const envelope back =
        decode(encode(sample(), key), core::instance_id::of("a2"), key);
    cr_assert_eq(back.sequence, 5U);
    cr_assert_eq(back.messages.size(), 6U);
    const auto& wanted = std::get<core::enqueue>(back.messages[0]);
    cr_assert_eq(wanted.request.number, 123U);
    cr_assert_eq(wanted.estimate.value(), 250);
    cr_assert(wanted.moved);
    cr_assert(wanted.tried == core::endpoint_id::of("e"));
    const auto& report = std::get<core::service_report>(back.messages[2]);
    cr_assert_eq(report.items[0].total, -5);
    cr_assert(report.items[0].waiting);
    const auto& asked = std::get<core::claim>(back.messages[3]);
    cr_assert_eq(asked.key.bytes[3], 200);
    const auto& document = std::get<core::config_document>(back.messages[4]);
    cr_assert_eq(document.text.size(), 5000U);
    const auto& known = std::get<core::snapshot>(back.messages[5]);
    cr_assert_eq(known.included[0].epoch, 12U);
    cr_assert_eq(known.included[0].items[0].total, -5);
}

Test(codec, another_receiver_drops_it_and_a_seed_takes_it)
{
    cr_assert(is_dropped(encode(sample(), key), core::instance_id::of("a3")));
    envelope for_seed = sample();
    for_seed.receiver = {};
    const envelope back =
        decode(encode(for_seed, key), core::instance_id::of("a3"), key);
    cr_assert(back.receiver == core::instance_id{});
}

Test(codec, request_ids_of_sender_receiver_and_others_survive)
{
    envelope content = sample();
    const core::request_id of_sender{content.sender, content.incarnation, 1};
    const core::request_id of_earlier_sender{content.sender, 5, 2};
    const core::request_id of_receiver{content.receiver, 9, 3};
    const core::request_id of_other{core::instance_id::of("b1"), 3, 4};
    content.messages.clear();
    for (const auto& id : {of_sender, of_earlier_sender, of_receiver, of_other})
        content.messages.emplace_back(core::withdraw{id, 1, {}});
    core::renew running;
    running.items.push_back({of_sender, 2, core::cost(70)});
    content.messages.emplace_back(running);
    const envelope back = decode(encode(content, key), content.receiver, key);
    const auto id_at = [&](std::size_t i)
    { return std::get<core::withdraw>(back.messages.at(i)).request; };
    cr_assert(id_at(0) == of_sender);
    cr_assert(id_at(1) == of_earlier_sender);
    cr_assert(id_at(2) == of_receiver);
    cr_assert(id_at(3) == of_other);
    const auto& renewed = std::get<core::renew>(back.messages.at(4));
    cr_assert(renewed.items.at(0).request == of_sender);
    cr_assert_eq(renewed.items.at(0).so_far.value(), 70);
}

Test(codec, columns_and_flags_survive)
{
    envelope content = sample();
    core::gossip news;
    news.heartbeats = {{core::instance_id::of("a"), 1, 5, false},
                       {core::instance_id::of("b"), 2, 6, true}};
    core::service_report report;
    report.items = {
        {core::account_id::of("x"), 5, false, {}},
        {core::account_id::of("y"), 6, true, core::virtual_time(-7.5)}};
    content.messages = {news, report};
    const envelope back = decode(encode(content, key), content.receiver, key);
    const auto& beats = std::get<core::gossip>(back.messages[0]).heartbeats;
    cr_assert_not(beats.at(0).leaving);
    cr_assert(beats.at(1).leaving);
    cr_assert_eq(beats.at(1).counter, 6U);
    const auto& items = std::get<core::service_report>(back.messages[1]).items;
    cr_assert_not(items.at(0).lifted_to.has_value());
    cr_assert_eq(items.at(1).lifted_to->value(), -7.5);
    cr_assert(items.at(1).waiting);
}

Test(codec, a_stranger_without_the_key_is_dropped)
{
    cr_assert(is_dropped(encode(sample(), "another key of the same size")));
}

Test(codec, every_truncation_and_bit_flip_is_dropped)
{
    const std::string good = encode(sample(), key);
    for (std::size_t i = 0; i < good.size(); ++i)
    {
        cr_assert(is_dropped(good.substr(0, i)));
        std::string flipped = good;
        flipped[i] = static_cast<char>(flipped[i] ^ 0x10);
        cr_assert(is_dropped(flipped));
    }
}

Test(codec, random_bytes_are_dropped)
{
    std::mt19937 random(7);
    for (int i = 0; i < 2000; ++i)
    {
        std::string bytes(random() % 300, '\0');
        for (char& byte : bytes)
            byte = static_cast<char>(random());
        cr_assert(is_dropped(bytes));
    }
}

Test(codec, repeated_and_older_datagrams_are_dropped)
{
    replay_filter filter;
    envelope content = sample();
    cr_assert(filter.accept(content));
    cr_assert_not(filter.accept(content));
    content.sequence = 4;
    cr_assert_not(filter.accept(content));
    // A restarted sender begins again; its old incarnation is over.
    content.incarnation = 78;
    content.sequence = 1;
    cr_assert(filter.accept(content));
    content.incarnation = 77;
    content.sequence = 99;
    cr_assert_not(filter.accept(content));
}
