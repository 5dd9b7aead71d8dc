// Tests of the evidence of requests that crash endpoints: what counts, what is
// withdrawn, and when a quarantined request is tried again.
#include "sycamorelock/core/crash_tracker.hpp"

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

using namespace sycamorelock::core;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr time_point start{seconds(1000)};
constexpr crash_key bad{7};
constexpr crash_key other{8};
const instance_id self = instance_id::of("self");

endpoint_id endpoint_number(int number)
{
    return endpoint_id::of("e" + std::to_string(number));
}

/// An endpoint terminates while it executes a request.
void crash(crash_tracker& at, time_point now, int endpoint, crash_key key)
{
    at.suspect(now, endpoint_number(endpoint), key);
    at.note_terminated(now + milliseconds(2), endpoint_number(endpoint));
}

void crash_to_limit(crash_tracker& at, time_point now, crash_key key = bad)
{
    for (int i = 0; i < static_cast<int>(crash_tracker::max_crashes); ++i)
        crash(at, now + milliseconds(100 * i), i, key);
}

/// Instances that exchange reports after a delay.
struct tracker_group
{
    std::vector<std::unique_ptr<crash_tracker>> instances;

    explicit tracker_group(std::size_t count)
    {
        std::vector<instance_id> all;
        for (std::size_t i = 0; i < count; ++i)
            all.push_back(instance_id::of("i" + std::to_string(i)));
        for (const instance_id each : all)
        {
            instances.push_back(std::make_unique<crash_tracker>(each));
            instances.back()->set_members(all);
        }
    }

    void exchange(time_point now)
    {
        for (auto& from : instances)
        {
            const std::vector<crash_note> notes = from->take_unreported(now);
            for (auto& to : instances)
            {
                if (to != from)
                    to->add_remote(now, notes);
            }
        }
    }

    [[nodiscard]] std::size_t quarantined(crash_key key) const
    {
        std::size_t count = 0;
        for (const auto& each : instances)
            count += each->is_quarantined(key) ? 1 : 0;
        return count;
    }
};

} // namespace

Test(crash_tracker, a_request_is_quarantined_after_three_crashes)
{
    crash_tracker tracker(self);
    cr_expect(tracker.empty());
    crash(tracker, start, 0, bad);
    crash(tracker, start + milliseconds(10), 1, bad);
    cr_expect(tracker.admit(start + seconds(1), bad) ==
              crash_tracker::admission::admitted);
    crash(tracker, start + seconds(1), 2, bad);
    cr_expect(tracker.admit(start + seconds(2), bad) ==
              crash_tracker::admission::refused);
    cr_expect(tracker.admit(start + seconds(2), other) ==
              crash_tracker::admission::admitted);
    cr_expect_eq(tracker.quarantined(), 1U);
}

Test(crash_tracker, a_broken_connection_alone_is_no_crash)
{
    crash_tracker tracker(self);
    for (int i = 0; i < 20; ++i)
        tracker.suspect(start, endpoint_number(i), bad);
    cr_expect_not(tracker.is_quarantined(bad));
    cr_expect(tracker.empty());
}

Test(crash_tracker, a_suspicion_ends_with_a_response_to_a_later_request)
{
    crash_tracker tracker(self);
    tracker.suspect(start, endpoint_number(1), bad);
    // This response was on its way when the connection broke.
    tracker.note_response(start + milliseconds(1), endpoint_number(1),
                          start - milliseconds(50));
    tracker.note_terminated(start + milliseconds(2), endpoint_number(1));
    cr_expect_not(tracker.empty());
    tracker.suspect(start, endpoint_number(2), other);
    tracker.note_response(start + milliseconds(100), endpoint_number(2),
                          start + milliseconds(50));
    tracker.note_terminated(start + milliseconds(200), endpoint_number(2));
    cr_expect_eq(tracker.keys(), 1U);
}

Test(crash_tracker, an_old_suspicion_does_not_count)
{
    crash_tracker tracker(self);
    tracker.suspect(start, endpoint_number(1), bad);
    tracker.note_terminated(start + crash_tracker::suspicion_lifetime +
                                milliseconds(1),
                            endpoint_number(1));
    cr_expect(tracker.empty());
}

Test(crash_tracker, one_endpoint_counts_once_however_often_it_is_reported)
{
    crash_tracker tracker(self);
    const std::vector<crash_note> notes{
        {crash_evidence::crashed, bad, endpoint_number(1), milliseconds(20)}};
    for (int i = 0; i < 5; ++i)
    {
        crash(tracker, start, 1, bad);
        tracker.add_remote(start + seconds(i), notes);
    }
    cr_expect_not(tracker.is_quarantined(bad));
}

Test(crash_tracker, a_success_clears_earlier_crashes_only)
{
    crash_tracker tracker(self);
    crash(tracker, start, 0, bad);
    crash(tracker, start, 1, bad);
    tracker.note_success(start + seconds(1), bad);
    crash(tracker, start + seconds(2), 2, bad);
    cr_expect_not(tracker.is_quarantined(bad));
    // Reported late: it happened before the success.
    tracker.add_remote(
        start + seconds(3),
        std::vector<crash_note>{{crash_evidence::crashed, bad,
                                 endpoint_number(3), milliseconds(2500)},
                                {crash_evidence::crashed, bad,
                                 endpoint_number(4), milliseconds(2500)}});
    cr_expect_not(tracker.is_quarantined(bad));
}

Test(crash_tracker, an_endpoint_that_responds_later_had_not_crashed)
{
    tracker_group group(2);
    crash_to_limit(*group.instances[0], start);
    group.exchange(start + milliseconds(400));
    cr_expect_eq(group.quarantined(bad), 2U);
    group.instances[1]->note_response(start + seconds(4), endpoint_number(1),
                                      start + seconds(3));
    group.exchange(start + seconds(5));
    cr_expect_eq(group.quarantined(bad), 0U);
    // Nor does its crash count if it is reported once more.
    group.instances[0]->add_remote(
        start + seconds(6),
        std::vector<crash_note>{{crash_evidence::crashed, bad,
                                 endpoint_number(1), milliseconds(5900)}});
    cr_expect_eq(group.quarantined(bad), 0U);
}

Test(crash_tracker, instances_add_up_their_crashes)
{
    tracker_group group(3);
    for (int i = 0; i < 3; ++i)
        crash(*group.instances[static_cast<std::size_t>(i)],
              start + milliseconds(i), i, bad);
    cr_expect_eq(group.quarantined(bad), 0U);
    group.exchange(start + milliseconds(100));
    cr_expect_eq(group.quarantined(bad), 3U);
}

Test(crash_tracker, a_copy_restores_what_an_instance_has_missed)
{
    crash_tracker tracker(self);
    crash_to_limit(tracker, start);
    crash_tracker restarted(instance_id::of("restarted"));
    restarted.add_remote(start + seconds(5), tracker.copy(start + seconds(5)));
    cr_expect(restarted.is_quarantined(bad));
    cr_expect_not(restarted.has_unreported());
    restarted.requeue_reports(start + seconds(5));
    cr_expect_eq(restarted.take_unreported(start + seconds(5)).size(), 3U);
}

// Guards against a wrong quarantine that never ends.
Test(crash_tracker, one_instance_probes_once_a_period)
{
    tracker_group group(8);
    crash_to_limit(*group.instances[0], start);
    group.exchange(start + milliseconds(300));
    std::size_t early = 0;
    for (time_point now = start + seconds(1); now < start + seconds(30);
         now += milliseconds(100))
    {
        for (auto& each : group.instances)
            early += each->admit(now, bad) != crash_tracker::admission::refused;
    }
    cr_expect_eq(early, 0U);
    std::size_t probes = 0;
    for (time_point now = start + seconds(30); now < start + seconds(40);
         now += milliseconds(100))
    {
        for (auto& each : group.instances)
            probes += each->admit(now, bad) == crash_tracker::admission::probe;
    }
    cr_expect_eq(probes, 1U, "%zu", probes);
}

// Guards against probes that keep crashing endpoints at the same rate.
Test(crash_tracker, the_delay_grows_with_each_probe_that_crashes)
{
    crash_tracker tracker(self);
    crash_to_limit(tracker, start);
    std::vector<double> gaps;
    time_point last = start;
    int endpoint = 10;
    for (time_point now = start; now < start + std::chrono::minutes(10);
         now += milliseconds(500))
    {
        if (tracker.admit(now, bad) != crash_tracker::admission::probe)
            continue;
        gaps.push_back(to_ms(now - last));
        last = now;
        crash(tracker, now, ++endpoint, bad);
    }
    cr_assert_geq(gaps.size(), 3U);
    cr_expect_leq(gaps.size(), 4U, "%zu probes in ten minutes", gaps.size());
    for (std::size_t i = 1; i < gaps.size(); ++i)
        cr_expect_geq(gaps[i], 1.9 * gaps[i - 1], "%.0f after %.0f", gaps[i],
                      gaps[i - 1]);
}

Test(crash_tracker, a_probe_that_succeeds_ends_the_quarantine_everywhere)
{
    tracker_group group(3);
    crash_to_limit(*group.instances[0], start);
    group.exchange(start + milliseconds(300));
    group.instances[1]->note_success(start + seconds(32), bad);
    group.exchange(start + seconds(33));
    cr_expect_eq(group.quarantined(bad), 0U);
}

Test(crash_tracker, crashes_long_apart_do_not_add_up)
{
    crash_tracker tracker(self);
    for (int i = 0; i < 6; ++i)
        crash(tracker, start + std::chrono::minutes(11 * i), i, bad);
    cr_expect_not(tracker.is_quarantined(bad));
}

Test(crash_tracker, memory_is_bounded)
{
    crash_tracker tracker(self);
    for (std::uint64_t i = 0; i < 2 * crash_tracker::max_keys; ++i)
        crash(tracker, start + milliseconds(i), static_cast<int>(i),
              crash_key(i));
    cr_expect_eq(tracker.keys(), crash_tracker::max_keys);
    cr_expect_eq(tracker.dropped(), crash_tracker::max_keys);
    cr_expect_lt(tracker.take_unreported(start + std::chrono::hours(3)).size(),
                 3 * crash_tracker::max_keys);
    cr_expect(tracker.empty());
}

// Guards against the quarantine of a part that sound requests share, because it
// is open at every engine that crashes under another part.
Test(crash_tracker, a_key_whose_crashes_another_one_explains_is_not_quarantined)
{
    crash_tracker tracker(self);
    for (int i = 0; i < 4; ++i)
    {
        const time_point now = start + milliseconds(100 * i);
        tracker.suspect(now, endpoint_number(i), bad);
        if (i > 0)
            tracker.suspect(now, endpoint_number(i), other);
        tracker.note_terminated(now, endpoint_number(i));
    }
    cr_expect(tracker.is_quarantined(bad));
    cr_expect_not(tracker.is_quarantined(other));
    // A crash of its own is not explained.
    crash(tracker, start + seconds(1), 9, other);
    cr_expect(tracker.is_quarantined(other));
}

// Guards against a sound part that stays quarantined because it was open at the
// same engines as the bad one: a success shows which of them is sound.
Test(crash_tracker, equal_crashes_count_for_the_key_without_a_success)
{
    crash_tracker tracker(self);
    crash(tracker, start, 20, other);
    tracker.note_success(start + milliseconds(10), other);
    for (int i = 0; i < 3; ++i)
    {
        const time_point now = start + milliseconds(100 * (i + 1));
        tracker.suspect(now, endpoint_number(i), bad);
        tracker.suspect(now, endpoint_number(i), other);
        tracker.note_terminated(now, endpoint_number(i));
    }
    cr_expect(tracker.is_quarantined(bad));
    cr_expect_not(tracker.is_quarantined(other));
}

// Guards against half a minute without service for a sound part that only
// requests with the bad one had used.
Test(crash_tracker, ambiguous_keys_are_probed_earlier_one_at_a_time)
{
    crash_tracker tracker(self);
    for (int i = 0; i < 3; ++i)
    {
        const time_point now = start + milliseconds(100 * i);
        tracker.suspect(now, endpoint_number(i), bad);
        tracker.suspect(now, endpoint_number(i), other);
        tracker.note_terminated(now, endpoint_number(i));
    }
    const std::vector<crash_key> both{bad, other};
    const std::vector<crash_key> sound{other};
    const time_point later = start + seconds(7);
    cr_expect(tracker.admit(later, both) == crash_tracker::admission::refused);
    cr_expect(tracker.admit(later, sound) == crash_tracker::admission::probe);
    tracker.note_success(later + milliseconds(100), other);
    cr_expect(tracker.is_quarantined(bad));
    cr_expect_not(tracker.is_quarantined(other));
}
