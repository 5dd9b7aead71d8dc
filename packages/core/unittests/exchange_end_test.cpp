// Whether an answer that ends with its connection is complete, from what the
// connection told in any order.
#include "sycamorelock/core/exchange_end.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace sycamorelock::core;

namespace
{

enum class told : std::uint8_t
{
    written,
    write_failed,
    read_failed,
    ended,
    ended_undelivered,
    ended_without_peer,
    reset_overdue,
};

void tell(exchange_end& end, told what)
{
    switch (what)
    {
    case told::written:
        return end.on_write(true);
    case told::write_failed:
        return end.on_write(false);
    case told::read_failed:
        return end.on_read_error();
    case told::ended:
        return end.on_end({});
    case told::ended_undelivered:
        return end.on_end({.has_peer = true, .is_delivered = false});
    case told::ended_without_peer:
        return end.on_end({.has_peer = false, .is_delivered = true});
    case told::reset_overdue:
        return end.on_reset_overdue();
    }
}

exchange_end after(std::initializer_list<told> events)
{
    exchange_end end;
    for (const told each : events)
        tell(end, each);
    return end;
}

bool is_complete(std::initializer_list<told> events)
{
    return after(events).completion() == answer_completion::complete;
}

} // namespace

Test(exchange_end, an_end_in_order_completes_the_answer)
{
    cr_expect(is_complete({told::written, told::ended}));
    // The request is read on behind the answer.
    cr_expect(is_complete({told::ended, told::written, told::ended}));
    cr_expect(
        is_complete({told::written, told::ended_undelivered, told::ended}));
    // It is not, and the connection stays.
    cr_expect(is_complete({told::ended_undelivered, told::reset_overdue}));
}

Test(exchange_end, an_answer_without_an_end_is_open)
{
    cr_expect(after({}).completion() == answer_completion::open);
    cr_expect(after({told::written}).completion() == answer_completion::open);
    cr_expect(after({told::written, told::reset_overdue}).completion() ==
              answer_completion::open);
}

Test(exchange_end, it_waits_while_a_part_of_the_request_is_on_its_way)
{
    using enum answer_completion;
    cr_expect(after({told::ended}).completion() == undecided);
    cr_expect(after({told::written, told::ended_undelivered}).completion() ==
              undecided);
    cr_expect(after({told::ended, told::write_failed}).completion() ==
              write_failed);
    cr_expect(after({told::ended, told::ended_without_peer}).completion() ==
              reset_unseen);
}

// Guards against MIXED: parts of answers that looked whole after the error of a
// reset had gone to another operation than the read.
Test(exchange_end, no_order_of_events_with_a_reset_completes_the_answer)
{
    static constexpr int event_kinds = 7;
    static constexpr int rounds = 20'000;
    int resets = 0;
    int complete = 0;
    std::mt19937_64 random(84);
    for (int round = 0; round < rounds; ++round)
    {
        exchange_end end;
        bool wrote = false;
        bool has_reset = false;
        bool has_ended = false;
        for (std::size_t left = 1 + random() % 8; left > 0; --left)
        {
            const auto what = static_cast<told>(random() % event_kinds);
            const bool fails_write = what == told::write_failed && !wrote;
            wrote = wrote || what == told::written || fails_write;
            has_reset = has_reset || fails_write || what == told::read_failed ||
                        what == told::ended_without_peer;
            has_ended = has_ended || what == told::ended ||
                        what == told::ended_undelivered ||
                        what == told::ended_without_peer;
            tell(end, what);
            const answer_completion found = end.completion();
            cr_assert(!has_reset || (found != answer_completion::complete &&
                                     found != answer_completion::undecided));
            cr_assert(has_ended || found != answer_completion::complete);
            cr_assert_eq(has_reset, found != answer_completion::open &&
                                        found != answer_completion::undecided &&
                                        found != answer_completion::complete);
        }
        resets += has_reset ? 1 : 0;
        complete += end.completion() == answer_completion::complete ? 1 : 0;
    }
    cr_expect_gt(resets, rounds / 10);
    cr_expect_gt(complete, rounds / 100);
}
