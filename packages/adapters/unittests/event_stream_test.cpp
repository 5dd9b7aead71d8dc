// What of a stream's bytes is passed on.
#include "drawn_bytes.hpp"

#include "sycamorelock/adapters/event_stream.hpp"

#include <criterion/criterion.h>

#include <limits>
#include <string>
#include <vector>

using namespace sycamorelock::adapters;

namespace
{

constexpr event_dialect numbered{.leading_field = "release",
                                 .ids = id_order::consecutive};
constexpr event_dialect growing{};
constexpr event_dialect without_ids{.ids = id_order::any,
                                    .allows_carriage_returns = true};

struct block_case
{
    const char* text;
    event_fault fault;
};

std::string stream_of(int events)
{
    std::string body;
    for (int id = 1; id <= events; ++id)
        body += "id: " + std::to_string(id) + "\ndata: part " +
                std::to_string(id) + "\n\n";
    return body;
}

/// Feeds in pieces of drawn sizes, up to the first fault.
std::string feed_in_pieces(event_splitter& events, std::string_view bytes,
                           std::mt19937_64& random)
{
    static constexpr std::size_t longest = 64;
    std::string out;
    while (!bytes.empty() && events.fault() == event_fault::none)
    {
        const std::string_view piece = bytes.substr(0, 1 + random() % longest);
        bytes.remove_prefix(piece.size());
        out += events.feed(piece);
    }
    return out;
}

} // namespace

// Guards against garbage that is taken for an event.
Test(event_block, only_fields_of_an_event_are_read)
{
    using enum event_fault;
    const std::vector<block_case> cases{
        {"id: 6\ndata: x", none},
        {"id:6\ndata:x", none},
        {"data: x\nid: 6", none},
        {"id: 6\ndata: x\ndata: y", none},
        {"id: 6\ndata:", none},
        {"id: 6\nevent: part\nretry: 10\ndata: \xc3\xa4\tb", none},
        {": a comment\nid: 6\ndata: x", none},
        {": a comment", none},
        {"release: 7\nid: 6\ndata: x", none},
        {"", empty},
        {"garbage", unknown_field},
        {"HTTP/1.1 200 OK", unknown_field},
        {"id: 6\ndata: x\nrelease: 7", unknown_field},
        {"release: a\nid: 6\ndata: x", unknown_field},
        {"retry: soon\nid: 6\ndata: x", unknown_field},
        {"id: 6\n\ndata: x", unknown_field},
        {"id 6\ndata: x", unknown_field},
        {"data\nid: 6", unknown_field},
        {"Id: 6\ndata: x", unknown_field},
        {"id: 6\r\ndata: x", not_text},
        {"id: 6\ndata: \x01", not_text},
        {"id: 6\ndata: \x7f", not_text},
        {"id: 6\ndata: \xff", not_text},
        {"id: 6\ndata: \xc3", not_text},
        {"id: 6\ndata: \xc0\xaf", not_text},
        {"id: 6\ndata: \xed\xa0\x80", not_text},
        {"id: 6\ndata: \xf4\x90\x80\x80", not_text},
        {"id: 6", no_data},
        {"id:\ndata: x", malformed_id},
        {"id: 6zz\ndata: x", malformed_id},
        {"id: -6\ndata: x", malformed_id},
        {"id: +6\ndata: x", malformed_id},
        {"id: 06\ndata: x", malformed_id},
        {"id:  6\ndata: x", malformed_id},
        {"id: 6 \ndata: x", malformed_id},
        {"id: 18446744073709551616\ndata: x", malformed_id},
        {"id: 6\ndata: x\nid: 7\ndata: y", second_id},
    };
    for (const block_case& each : cases)
    {
        const event_block read = read_event_block(each.text, numbered);
        cr_expect_eq(read.fault, each.fault, "%s: %s", each.text,
                     std::string(to_string(read.fault)).c_str());
    }
}

// Guards against sound events of endpoints that number none, or end lines as
// HTTP does, that are taken for garbage, and garbage that is not.
Test(event_stream, events_without_ids_are_read_where_endpoints_number_none)
{
    using enum event_fault;
    const std::vector<block_case> cases{
        {"data: x\n\n", none},
        {"data: x\r\n\r\n", none},
        {"data: x\r\n\n", none},
        {"data: x\n\r\n", none},
        {"id: any\ndata: x\n\n", none},
        {"data: x\ry\n\n", not_text},
        {"\r\n\r\n", unknown_field},
        {"\n\n", empty},
        {"garbage\r\n\r\n", unknown_field},
        {"id: 1\n\n", no_data},
    };
    for (const block_case& each : cases)
    {
        // Also if each byte comes alone.
        event_splitter at_once(without_ids, std::nullopt);
        event_splitter one_by_one(without_ids, std::nullopt);
        std::string out;
        for (const char& byte : std::string_view(each.text))
            out += one_by_one.feed({&byte, 1});
        const std::string all(at_once.feed(each.text));
        cr_expect_eq(at_once.fault(), each.fault, "%s", each.text);
        cr_expect_eq(one_by_one.fault(), each.fault, "%s", each.text);
        cr_expect(all == out && all == (each.fault == none ? each.text : ""),
                  "%s", each.text);
        cr_expect_eq(at_once.count(), each.fault == none ? 1U : 0U);
    }
}

// Guards against pieces that come twice or are left out: an id was believed
// whatever it was.
Test(event_stream, an_event_has_the_id_that_follows)
{
    const auto fault_of = [](const event_dialect& dialect,
                             std::optional<event_id> after, const char* id)
    {
        event_splitter events(dialect, after);
        events.feed(std::string("id: ") + id + "\ndata: x\n\n");
        return events.fault();
    };
    using enum event_fault;
    const event_id last{5};
    const event_id greatest{std::numeric_limits<std::uint64_t>::max()};
    cr_expect_eq(fault_of(numbered, {}, "1"), none);
    cr_expect_eq(fault_of(numbered, {}, "2"), unexpected_id);
    cr_expect_eq(fault_of(numbered, {}, "0"), unexpected_id);
    cr_expect_eq(fault_of(numbered, last, "6"), none);
    cr_expect_eq(fault_of(numbered, last, "5"), unexpected_id);
    cr_expect_eq(fault_of(numbered, last, "7"), unexpected_id);
    cr_expect_eq(fault_of(numbered, last, "1"), unexpected_id);
    cr_expect_eq(fault_of(numbered, greatest, "0"), unexpected_id);
    cr_expect_eq(fault_of(growing, {}, "9"), none);
    cr_expect_eq(fault_of(growing, last, "9"), none);
    cr_expect_eq(fault_of(growing, last, "5"), unexpected_id);
}

// Guards against sound events that are lost with the garbage behind them, and
// against a stream that goes on after an id of the garbage.
Test(event_stream, what_precedes_a_fault_is_passed_on_and_nothing_after_it)
{
    event_splitter events(numbered, std::nullopt);
    const std::string sound = stream_of(2);
    const std::string bytes = sound + "id: 2\ndata: again\n\n" + stream_of(4);
    cr_expect(events.feed(bytes) == sound);
    cr_expect_eq(events.fault(), event_fault::unexpected_id);
    cr_expect_eq(*events.last_id(), event_id(2));
    cr_expect_eq(events.count(), 2U);
    cr_expect(events.feed("id: 3\ndata: part 3\n\n").empty());

    events.drop_rest();
    cr_expect_eq(events.fault(), event_fault::none);
    const std::string next = "id: 3\ndata: part 3\n\n";
    cr_expect(events.feed(next) == next);
}

Test(event_stream, comments_between_events_are_left_out)
{
    event_splitter events(numbered, std::nullopt);
    const std::string sound = stream_of(1);
    const std::string out(events.feed(": wait\n\n" + sound + ": wait\n\n"));
    cr_expect_str_eq(out.c_str(), sound.c_str());
    cr_expect_eq(events.fault(), event_fault::none);
    cr_expect_eq(events.count(), 1U);
}

// Load: streams of ten events, changed and cut to pieces by seed. Guards
// against unforeseen bytes; what has the form of the next event cannot be told
// from it.
Test(event_stream, drawn_bytes_never_bring_an_event_that_is_not_the_next)
{
    static constexpr std::uint64_t seeds = 50;
    static constexpr int draws = 1000;
    const std::string sound = stream_of(10);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        std::mt19937_64 random(seed);
        for (int draw = 0; draw < draws; ++draw)
        {
            const std::string bytes = standin::spoil_by_seed(sound, random());
            event_splitter events(numbered, std::nullopt);
            const std::string out = feed_in_pieces(events, bytes, random);
            cr_assert(standin::has_ids_in_order(out, 0), "seed %lu: %s", seed,
                      out.c_str());
            // Events from before the change come out unchanged.
            const std::size_t same = std::mismatch(sound.begin(), sound.end(),
                                                   bytes.begin(), bytes.end())
                                         .first -
                                     sound.begin();
            const std::size_t whole = sound.substr(0, same).rfind("\n\n");
            if (whole == std::string::npos)
                continue;
            cr_assert(out.starts_with(sound.substr(0, whole + 2)), "seed %lu",
                      seed);
        }
    }
}

// Load: a sound stream in pieces of every size that a seed draws. Guards
// against a check that a sound stream breaks.
Test(event_stream, sound_streams_come_out_whole_in_any_pieces)
{
    static constexpr std::uint64_t seeds = 50;
    const std::string sound = "release: 3\n" + stream_of(40);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        std::mt19937_64 random(seed);
        event_splitter events(numbered, std::nullopt);
        const std::string out = feed_in_pieces(events, sound, random);
        cr_assert_str_eq(out.c_str(), sound.c_str());
        cr_assert_not(events.torn());
    }
}
