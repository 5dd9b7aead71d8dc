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

bool is_dropped(const std::string& bytes)
{
    try
    {
        decode(bytes, key);
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
    const envelope back = decode(encode(sample(), key), key);
    cr_assert_eq(back.sequence, 5U);
    cr_assert_eq(back.messages.size(), 6U);
    const auto& wanted = std::get<core::enqueue>(back.messages[0]);
    cr_assert_eq(wanted.request.number, 123U);
    cr_assert_eq(wanted.estimate.value(), 250);
    cr_assert(wanted.moved);
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
