// Which of two endpoints goes on with a request, over drawn orders of events.
#include "sycamorelock/core/direct/handover.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <array>

using namespace sycamorelock::core::direct;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds limit{1000};

constexpr std::array all_events{
    handover_event::incumbent_sent,     handover_event::incumbent_ended,
    handover_event::candidate_accepted, handover_event::candidate_declined,
    handover_event::overlap_over,
};

} // namespace

// Guards against LOST: a run that would have gone on was given up before
// another endpoint had taken its request.
Test(handover, no_run_that_goes_on_is_given_up_before_another_is_taken)
{
    const bool holds = rc::check(
        []
        {
            handover tested;
            std::uint64_t answered = 1;
            bool has_stayed_silent = false;
            const int rounds = *rc::gen::inRange(1, 12);
            for (int i = 0; i < rounds; ++i)
            {
                if (*rc::gen::arbitrary<bool>())
                {
                    ++answered;
                    has_stayed_silent = false;
                }
                tested.begin(answered);
                const handover_event event = *rc::gen::elementOf(all_events);
                const handover_result result = tested.on(event);
                RC_ASSERT(result != handover_result::undecided);
                if (result == handover_result::candidate)
                {
                    RC_ASSERT(event == handover_event::candidate_accepted ||
                              event == handover_event::incumbent_ended ||
                              (event == handover_event::overlap_over &&
                               has_stayed_silent));
                    return;
                }
                if (event == handover_event::overlap_over)
                    has_stayed_silent = true;
                if (event == handover_event::incumbent_sent)
                    has_stayed_silent = false;
            }
        });
    cr_expect(holds);
}

// Guards against callers held by two silent endpoints, and against two that
// work on one request for longer than the overlap.
Test(handover, an_endpoint_is_left_at_the_end_of_each_overlap)
{
    handover tested;
    tested.begin(7);
    cr_expect(tested.is_open());
    cr_expect(tested.on(handover_event::overlap_over) ==
              handover_result::incumbent);
    cr_expect_not(tested.is_open());
    cr_expect_lt(tested.next_limit(limit).count(), limit.count());
    tested.begin(7);
    cr_expect(tested.on(handover_event::overlap_over) ==
              handover_result::candidate);
}

// Guards against a second pause of a stream that is held against it as if the
// first one had not ended.
Test(handover, an_incumbent_that_went_on_is_in_no_doubt)
{
    handover tested;
    tested.begin(7);
    tested.on(handover_event::overlap_over);
    tested.begin(8);
    cr_expect(tested.on(handover_event::overlap_over) ==
              handover_result::incumbent);
    tested.begin(8);
    cr_expect(tested.on(handover_event::incumbent_sent) ==
              handover_result::incumbent);
    cr_expect_eq(tested.next_limit(limit).count(), limit.count());
    tested.begin(8);
    cr_expect(tested.on(handover_event::overlap_over) ==
              handover_result::incumbent);
}

// Guards against requests that wait for an endpoint that may never have got
// them.
Test(handover, an_incumbent_that_has_not_begun_is_left)
{
    handover tested;
    tested.begin(std::nullopt);
    cr_expect(tested.on(handover_event::overlap_over) ==
              handover_result::candidate);
    tested.begin(std::nullopt);
    cr_expect(tested.on(handover_event::candidate_declined) ==
              handover_result::incumbent);
}

Test(handover, what_comes_after_the_decision_changes_nothing)
{
    for (const handover_event first : all_events)
    {
        for (const handover_event second : all_events)
        {
            handover tested;
            cr_expect(tested.on(first) == handover_result::undecided);
            tested.begin(7);
            tested.on(first);
            cr_expect(tested.on(second) == handover_result::undecided);
        }
    }
}
