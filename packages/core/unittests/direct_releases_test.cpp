// Tests how instances record and exchange the releases that started streams.
#include "sycamorelock/core/direct/stream_releases.hpp"

#include <criterion/criterion.h>

#include <string>

using namespace sycamorelock::core;
using namespace sycamorelock::core::direct;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr time_point start{seconds(1000)};
/// Exceeds the time after which an instance knows every release that may have
/// started a stream.
constexpr seconds observation_time{20};
const service_id drafts = service_id::of("drafts");
const service_id plans = service_id::of("plans");
const release_id first = release_of(drafts, "v1");
const release_id second = release_of(drafts, "v2");

stream_key key_of(const std::string& attempt)
{
    return stream_key_of(account_id::of("nora"), attempt);
}

stream_note sent_to(release_id release, const std::string& attempt,
                    unsigned number = 1)
{
    return {key_of(attempt), drafts, release, number};
}

/// Stream records of one instance, and its clock.
struct instance_state
{
    stream_releases streams;
    time_point now;
    bool is_partitioned = false;

    explicit instance_state(time_point started = start) : now(started)
    {
        streams.set_max_stream_duration(seconds(5));
        set_listed({first});
    }

    void set_listed(const std::set<release_id>& releases)
    {
        streams.set_listed(now, {{drafts, releases}});
        confirm_listing();
    }

    void confirm_listing()
    {
        if (!is_partitioned)
            streams.set_listing_time(now, now - milliseconds(300));
    }

    void advance(duration time)
    {
        const time_point until = now + time;
        while (now < until)
        {
            now += milliseconds(100);
            confirm_listing();
        }
    }

    [[nodiscard]] stream_source source_of(const std::string& attempt) const
    {
        return streams.find(now, key_of(attempt)).source;
    }
    [[nodiscard]] release_id release_of_stream(const std::string& attempt) const
    {
        return streams.find(now, key_of(attempt)).release;
    }
};

/// Two instances that have observed a single release for `observation_time`.
struct two_instances
{
    instance_state one;
    instance_state other;

    two_instances() { advance(observation_time); }

    void advance(duration time)
    {
        one.advance(time);
        other.advance(time);
    }
    void set_listed(const std::set<release_id>& releases)
    {
        one.set_listed(releases);
        other.set_listed(releases);
    }
    /// Delivers the pending reports of `one` to `other`. Returns the number of
    /// reported streams.
    std::size_t deliver_reports()
    {
        const auto reports = one.streams.take_unreported(one.now);
        other.streams.add_remote(other.now, reports);
        return reports.size();
    }
};

} // namespace

// Guards against a stream that is resumed at another release than the one that
// started it: the release was known only to the instance that sent the stream,
// which has since become unreachable.
Test(direct_releases, a_stream_is_reported_when_a_service_has_two_releases)
{
    two_instances fix;
    fix.set_listed({first, second});
    fix.one.streams.note(fix.one.now, sent_to(second, "a"));
    cr_expect(fix.one.source_of("a") == stream_source::own);
    cr_expect_eq(fix.deliver_reports(), 1U);
    cr_expect(fix.other.source_of("a") == stream_source::reported);
    cr_expect(fix.other.release_of_stream("a") == second);
    cr_expect_eq(fix.deliver_reports(), 0U);
}

// Guards against reports of every stream while a single release serves, which
// is the usual state.
Test(direct_releases, no_stream_is_reported_while_one_release_serves)
{
    two_instances fix;
    fix.one.streams.note(fix.one.now, sent_to(first, "a"));
    cr_expect_not(fix.one.streams.must_report(fix.one.now, drafts));
    cr_expect_eq(fix.deliver_reports(), 0U);
    cr_expect(fix.other.source_of("a") == stream_source::unknown);
    const auto sole = fix.other.streams.sole(fix.other.now, drafts);
    cr_assert(sole.has_value());
    cr_expect(*sole == first);
}

// Guards against an assumed release at an instance that has just started:
// another release may have served before its start.
Test(direct_releases, a_just_started_instance_assumes_no_release)
{
    instance_state started;
    cr_expect_not(started.streams.sole(started.now, drafts).has_value());
    cr_expect(started.streams.must_report(started.now, drafts));
    started.advance(stream_releases::min_retention);
    cr_expect_not(started.streams.sole(started.now, drafts).has_value());
    started.advance(observation_time);
    cr_expect(started.streams.sole(started.now, drafts).has_value());
    cr_expect_not(started.streams.sole(started.now, plans).has_value());
}

// Guards against streams that cannot be resumed because they started while a
// single release served, were not reported, and are still open when a second
// release appears.
Test(direct_releases, open_streams_are_reported_when_a_second_release_appears)
{
    two_instances fix;
    fix.one.streams.note(fix.one.now, sent_to(first, "a"));
    fix.one.streams.note(fix.one.now, sent_to(first, "done"));
    fix.one.streams.end(fix.one.now, key_of("done"));
    cr_assert_eq(fix.deliver_reports(), 0U);
    fix.advance(stream_releases::resume_grace_period + milliseconds(100));
    fix.set_listed({first, second});
    cr_expect_not(fix.other.streams.sole(fix.other.now, drafts).has_value());
    cr_expect_eq(fix.deliver_reports(), 1U);
    cr_expect(fix.other.release_of_stream("a") == first);
    cr_expect(fix.other.source_of("done") == stream_source::unknown);
}

// Guards against a stream that cannot be resumed because it had ended at the
// instance while the caller missed its last bytes.
Test(direct_releases, a_stream_that_has_just_ended_is_reported)
{
    two_instances fix;
    fix.one.streams.note(fix.one.now, sent_to(first, "a"));
    fix.one.streams.end(fix.one.now, key_of("a"));
    fix.advance(seconds(1));
    fix.set_listed({first, second});
    cr_expect_eq(fix.deliver_reports(), 1U);
    cr_expect(fix.other.release_of_stream("a") == first);
}

// Guards against an assumed release after a rollback: streams of the release
// that was rolled back may still be resumed.
Test(direct_releases,
     a_rolled_back_release_is_remembered_for_the_retention_time)
{
    two_instances fix;
    fix.set_listed({first, second});
    fix.advance(seconds(2));
    fix.set_listed({first});
    const duration remembered =
        fix.one.streams.retention() + stream_releases::listing_skew;
    fix.advance(remembered - seconds(1));
    cr_expect_not(fix.one.streams.sole(fix.one.now, drafts).has_value());
    cr_expect(fix.one.streams.must_report(fix.one.now, drafts));
    fix.advance(seconds(2));
    cr_expect(fix.one.streams.sole(fix.one.now, drafts).has_value());
}

// Guards against confusion of releases when there are more than two.
Test(direct_releases, three_releases_are_distinguished)
{
    const release_id third = release_of(drafts, "v3");
    two_instances fix;
    fix.set_listed({first, second, third});
    fix.one.streams.note(fix.one.now, sent_to(first, "a"));
    fix.one.streams.note(fix.one.now, sent_to(second, "b"));
    fix.one.streams.note(fix.one.now, sent_to(third, "c"));
    cr_expect_eq(fix.deliver_reports(), 3U);
    cr_expect(fix.other.release_of_stream("a") == first);
    cr_expect(fix.other.release_of_stream("b") == second);
    cr_expect(fix.other.release_of_stream("c") == third);
    fix.set_listed({first});
    cr_expect(fix.other.release_of_stream("c") == third);
}

// Guards against an assumed release at a partitioned instance: a release may
// have appeared since its last endpoint listing.
Test(direct_releases, a_partitioned_instance_assumes_no_release)
{
    two_instances fix;
    fix.one.streams.note(fix.one.now, sent_to(first, "a"));
    fix.one.is_partitioned = true;
    fix.one.advance(stream_releases::max_listing_age + milliseconds(100));
    cr_expect_not(fix.one.streams.sole(fix.one.now, drafts).has_value());
    cr_expect(fix.one.streams.must_report(fix.one.now, drafts));
    cr_expect_eq(fix.one.streams.take_unreported(fix.one.now).size(), 1U);
}

// Guards against an assumed release at an instance whose last endpoint listing
// is still within the maximum age but older than a new release. The instance
// was partitioned right before the release appeared, and has received neither
// the release nor its streams.
Test(direct_releases, a_release_that_came_since_the_last_news_is_no_guess)
{
    two_instances fix;
    fix.one.is_partitioned = true;
    fix.advance(milliseconds(200));
    fix.other.set_listed({first, second});
    fix.other.streams.note(fix.other.now, sent_to(second, "a"));
    for (int i = 0; i < 30; ++i)
    {
        fix.advance(milliseconds(100));
        cr_expect(fix.one.source_of("a") == stream_source::unknown);
        cr_expect_not(fix.one.streams.sole(fix.one.now, drafts).has_value(),
                      "%d ms after the stream began", 100 * (i + 1));
    }
}

// Guards against an assumed release after a partition, during which a release
// may have appeared and been removed.
Test(direct_releases, after_a_partition_an_instance_assumes_no_release)
{
    two_instances fix;
    fix.one.is_partitioned = true;
    fix.one.advance(seconds(8));
    fix.one.is_partitioned = false;
    fix.one.advance(seconds(1));
    cr_expect_not(fix.one.streams.sole(fix.one.now, drafts).has_value());
    cr_expect(fix.one.streams.wants_releases(fix.one.now));
    cr_expect_not(fix.one.streams.wants_streams(fix.one.now));
    fix.other.advance(fix.one.now - fix.other.now);
    const auto copy = fix.other.streams.copy(fix.other.now, false);
    cr_assert(copy.has_value());
    fix.one.streams.adopt(fix.one.now, *copy);
    cr_expect(fix.one.streams.sole(fix.one.now, drafts).has_value());
    cr_expect_not(fix.one.streams.wants_releases(fix.one.now));
}

// Guards against refused streams at an instance that has just started while
// other instances know the streams and releases that it lacks.
Test(direct_releases, a_copy_contains_streams_and_releases)
{
    two_instances fix;
    fix.set_listed({first, second});
    fix.one.streams.note(fix.one.now, sent_to(second, "a"));
    fix.deliver_reports();
    fix.other.streams.note(fix.other.now, sent_to(first, "b"));
    instance_state started(fix.other.now);
    started.set_listed({first, second});
    cr_expect(started.streams.wants_streams(started.now));
    cr_expect(started.streams.wants_releases(started.now));
    const auto copy = fix.other.streams.copy(fix.other.now, true);
    cr_assert(copy.has_value());
    started.streams.adopt(started.now, *copy);
    cr_expect_not(started.streams.wants_streams(started.now));
    cr_expect_not(started.streams.wants_releases(started.now));
    cr_expect(started.release_of_stream("a") == second);
    cr_expect(started.release_of_stream("b") == first);
    cr_expect_not(started.streams.sole(started.now, drafts).has_value());
}

// Guards against refused streams at an instance that has just started, has
// received a copy, and could determine the only release from it.
Test(direct_releases, with_a_copy_the_sole_release_is_known_at_once)
{
    two_instances fix;
    instance_state started(fix.other.now);
    started.set_listed({first});
    cr_assert_not(started.streams.sole(started.now, drafts).has_value());
    started.streams.adopt(started.now,
                          *fix.other.streams.copy(fix.other.now, true));
    cr_expect(started.streams.sole(started.now, drafts).has_value());
    cr_expect_not(started.streams.must_report(started.now, drafts));
}

// Guards against an assumed release based on a copy alone: without a current
// endpoint listing an instance may lack a release that appeared after the copy.
Test(direct_releases, a_copy_does_not_replace_a_current_endpoint_listing)
{
    two_instances fix;
    stream_releases started;
    started.set_max_stream_duration(seconds(5));
    started.set_listing_time(fix.other.now, time_point());
    started.adopt(fix.other.now, *fix.other.streams.copy(fix.other.now, true));
    cr_expect_not(started.sole(fix.other.now, drafts).has_value());
    started.set_listing_time(fix.other.now, fix.other.now);
    cr_expect(started.wants_releases(fix.other.now));
}

// Guards against an assumed release when no instance has observed releases for
// long enough, including the sender of the copy.
Test(direct_releases, a_copy_covers_only_the_time_its_sender_observed)
{
    instance_state older;
    cr_expect_not(older.streams.copy(older.now, true).has_value());
    older.advance(stream_releases::min_observation_time + milliseconds(400));
    older.streams.note(older.now, sent_to(first, "a"));
    const auto copy = older.streams.copy(older.now, true);
    cr_assert(copy.has_value());
    instance_state started(older.now);
    started.set_listed({first});
    started.streams.adopt(started.now, *copy);
    cr_expect(started.release_of_stream("a") == first);
    cr_expect_not(started.streams.sole(started.now, drafts).has_value());
    const duration left = older.streams.retention() +
                          stream_releases::listing_skew -
                          stream_releases::min_observation_time;
    started.advance(left);
    cr_expect(started.streams.sole(started.now, drafts).has_value());
}

// Guards against assumed releases and a flood of copies when all instances
// start at the same time.
Test(direct_releases,
     when_all_instances_start_none_assumes_a_release_or_sends_copies)
{
    two_instances fix;
    fix.one.streams.note(fix.one.now, sent_to(first, "a"));
    fix.one = instance_state();
    fix.other = instance_state();
    for (duration passed{0}; passed < stream_releases::copy_request_period;
         passed += milliseconds(200))
    {
        cr_expect_not(fix.one.streams.copy(fix.one.now, true).has_value());
        cr_expect(fix.other.source_of("a") == stream_source::unknown);
        cr_expect_not(
            fix.other.streams.sole(fix.other.now, drafts).has_value());
        fix.advance(milliseconds(200));
    }
    cr_expect_not(fix.other.streams.wants_streams(fix.other.now));
}

// Guards against refused streams at an instance that starts after an outage of
// the store: the others may have missed releases, but have all streams.
Test(direct_releases, after_an_outage_streams_are_still_copied)
{
    two_instances fix;
    fix.set_listed({first, second});
    fix.one.streams.note(fix.one.now, sent_to(second, "a"));
    fix.deliver_reports();
    fix.other.is_partitioned = true;
    fix.other.advance(seconds(4));
    fix.other.is_partitioned = false;
    fix.other.advance(seconds(1));
    cr_expect(fix.other.streams.wants_releases(fix.other.now));
    cr_expect_not(fix.other.streams.copy(fix.other.now, false).has_value());
    const auto copy = fix.other.streams.copy(fix.other.now, true);
    cr_assert(copy.has_value());
    instance_state started(fix.other.now);
    started.set_listed({first, second});
    started.streams.adopt(started.now, *copy);
    cr_expect(started.release_of_stream("a") == second);
    cr_expect_not(started.streams.wants_streams(started.now));
    cr_expect(started.streams.wants_releases(started.now));
}

// Guards against unknown streams and assumed releases when most instances
// restart at the same moment during a rollout, before any instance has observed
// releases for long.
Test(direct_releases, restarted_instances_learn_streams_from_a_copy)
{
    constexpr std::size_t instances = 8;
    constexpr std::size_t restarted = 5;
    std::vector<instance_state> all(instances);
    for (instance_state& each : all)
        each.set_listed({first, second});
    for (instance_state& each : all)
        each.advance(seconds(8));
    std::vector<stream_note> sent;
    for (std::size_t i = 0; i < instances; ++i)
        sent.push_back(
            sent_to(i % 2 == 0 ? first : second, "by " + std::to_string(i)));
    for (std::size_t i = 0; i < instances; ++i)
    {
        all[i].streams.note(all[i].now, sent[i]);
        const auto reports = all[i].streams.take_unreported(all[i].now);
        for (instance_state& each : all)
            each.streams.add_remote(each.now, reports);
    }
    const auto copy = all.back().streams.copy(all.back().now, true);
    cr_assert(copy.has_value());
    for (std::size_t i = 0; i < restarted; ++i)
    {
        all[i] = instance_state(all.back().now);
        all[i].set_listed({first, second});
        cr_expect(all[i].streams.wants_streams(all[i].now));
        all[i].streams.adopt(all[i].now, *copy);
    }
    for (const instance_state& each : all)
    {
        for (const stream_note& stream : sent)
            cr_expect(each.streams.find(each.now, stream.key).release ==
                      stream.release);
        cr_expect(each.source_of("never reported") == stream_source::unknown);
        cr_expect_not(each.streams.sole(each.now, drafts).has_value());
    }
}

// Guards against using the release of an attempt that returned no data, when
// the request was repeated at another release and the reports of both attempts
// arrive out of order.
Test(direct_releases, the_release_of_the_later_attempt_is_valid)
{
    two_instances fix;
    fix.set_listed({first, second});
    cr_expect_not(fix.one.streams.note(fix.one.now, sent_to(first, "a", 1)));
    const auto before = fix.one.streams.take_unreported(fix.one.now);
    cr_expect(fix.one.streams.note(fix.one.now, sent_to(second, "a", 2)));
    const auto after = fix.one.streams.take_unreported(fix.one.now);
    cr_assert_eq(after.size(), 1U);
    fix.other.streams.add_remote(fix.other.now, after);
    fix.other.streams.add_remote(fix.other.now, before);
    cr_expect(fix.other.release_of_stream("a") == second);
    cr_expect(fix.one.release_of_stream("a") == second);
}

// Guards against the same fault when the first attempt was withheld, so that
// the second one has the same number.
Test(direct_releases, an_attempt_with_the_number_of_a_withheld_one_is_valid)
{
    two_instances fix;
    fix.set_listed({first, second});
    fix.one.streams.note(fix.one.now, sent_to(first, "a", 1));
    const auto before = fix.one.streams.take_unreported(fix.one.now);
    fix.one.streams.note(fix.one.now, sent_to(second, "a", 1));
    const auto after = fix.one.streams.take_unreported(fix.one.now);
    fix.other.streams.add_remote(fix.other.now, after);
    fix.other.streams.add_remote(fix.other.now, before);
    cr_expect(fix.other.release_of_stream("a") == second);
}

// Guards against streams unknown to an instance because it was partitioned when
// they were reported.
Test(direct_releases, streams_are_reported_again_to_a_returning_instance)
{
    two_instances fix;
    fix.set_listed({first, second});
    fix.one.streams.note(fix.one.now, sent_to(second, "a"));
    fix.one.streams.note(fix.one.now, sent_to(second, "done"));
    fix.one.streams.end(fix.one.now, key_of("done"));
    cr_assert_eq(fix.one.streams.take_unreported(fix.one.now).size(), 2U);
    fix.advance(stream_releases::resume_grace_period + milliseconds(100));
    fix.one.streams.requeue_reports();
    cr_expect_eq(fix.deliver_reports(), 1U);
    cr_expect(fix.other.release_of_stream("a") == second);
}

// Guards against refusal of a stream that is resumed twice: the caller names
// the first attempt each time, so its record must not expire in between.
Test(direct_releases, a_resumed_stream_is_remembered_for_longer)
{
    two_instances fix;
    fix.set_listed({first, second});
    fix.other.streams.note(fix.other.now, sent_to(second, "a", 2));
    fix.one.streams.add_remote(
        fix.one.now, fix.other.streams.take_unreported(fix.other.now));
    fix.advance(seconds(8));
    fix.one.streams.note_resumed(fix.one.now, key_of("a"), drafts, second);
    cr_expect_eq(fix.deliver_reports(), 1U);
    fix.advance(seconds(8));
    cr_expect(fix.one.release_of_stream("a") == second);
    cr_expect(fix.other.release_of_stream("a") == second);
    instance_state third(fix.one.now);
    fix.one.streams.note_resumed(fix.one.now, key_of("a"), drafts, second);
    third.streams.add_remote(third.now,
                             fix.one.streams.take_unreported(fix.one.now));
    cr_expect(third.release_of_stream("a") == second);
}

// Guards against a resumed attempt that overwrites the release of its stream.
Test(direct_releases, a_resumed_attempt_changes_no_release)
{
    two_instances fix;
    fix.set_listed({first, second});
    fix.one.streams.note(fix.one.now, sent_to(second, "a"));
    fix.deliver_reports();
    fix.one.streams.note_resumed(fix.one.now, key_of("a"), drafts, first);
    cr_expect(fix.one.release_of_stream("a") == second);
    const stream_note outdated = sent_to(first, "a", 0);
    fix.other.streams.add_remote(fix.other.now, {&outdated, 1});
    cr_expect(fix.other.release_of_stream("a") == second);
}

// Guards against an assumed release at an instance that knows a second release
// only from a reported stream and not yet from its endpoint listing.
Test(direct_releases, a_reported_stream_reveals_its_release)
{
    two_instances fix;
    cr_assert(fix.other.streams.sole(fix.other.now, drafts).has_value());
    const stream_note report = sent_to(second, "a");
    fix.other.streams.add_remote(fix.other.now, {&report, 1});
    cr_expect_not(fix.other.streams.sole(fix.other.now, drafts).has_value());
    cr_expect(fix.other.streams.must_report(fix.other.now, drafts));
}

// Guards against an assumed release for a stream that was started by another
// service, before a configuration change moved its route.
Test(direct_releases, after_a_route_change_no_release_is_assumed)
{
    two_instances fix;
    fix.one.streams.note_route_moved(fix.one.now, drafts);
    cr_expect_not(fix.one.streams.sole(fix.one.now, drafts).has_value());
    cr_expect(fix.one.streams.must_report(fix.one.now, drafts));
    fix.advance(observation_time);
    cr_expect(fix.one.streams.sole(fix.one.now, drafts).has_value());
    fix.one.streams.set_shared({drafts});
    cr_expect(fix.one.streams.must_report(fix.one.now, drafts));
}

Test(direct_releases, a_stream_expires_after_the_retention_time)
{
    two_instances fix;
    fix.set_listed({first, second});
    fix.one.streams.note(fix.one.now, sent_to(second, "a"));
    fix.deliver_reports();
    fix.advance(fix.one.streams.retention());
    cr_expect(fix.other.source_of("a") == stream_source::reported);
    fix.advance(milliseconds(200));
    cr_expect(fix.one.source_of("a") == stream_source::unknown);
    cr_expect(fix.other.source_of("a") == stream_source::unknown);
    fix.deliver_reports();
    fix.other.streams.add_remote(fix.other.now, {});
    cr_expect_eq(fix.one.streams.kept(), 0U);
    cr_expect_eq(fix.other.streams.kept(), 0U);
    cr_expect_eq(fix.other.streams.dropped(), 0U);
}

Test(direct_releases, the_longest_stream_determines_the_retention_time)
{
    stream_releases streams;
    streams.set_max_stream_duration(seconds(1));
    cr_expect(streams.retention() == stream_releases::min_retention);
    streams.set_max_stream_duration(seconds(20));
    cr_expect(streams.retention() == seconds(40));
    streams.set_max_stream_duration(seconds(1000));
    cr_expect(streams.retention() == stream_releases::max_retention);
}

// Guards against memory that callers can exhaust, and against dropped streams
// that are not counted.
Test(direct_releases,
     the_oldest_streams_beyond_the_limits_are_dropped_and_counted)
{
    two_instances fix;
    fix.set_listed({first, second});
    constexpr std::size_t excess = 10;
    std::vector<stream_note> reports;
    for (std::size_t i = 0; i < stream_releases::max_remote_streams + excess;
         ++i)
    {
        reports.push_back({stream_key(i + 1), drafts, second, 1});
        if (i < stream_releases::max_own_streams + excess)
            fix.one.streams.note(fix.one.now, reports.back());
    }
    fix.other.streams.add_remote(fix.other.now, reports);
    cr_expect_eq(fix.other.streams.kept(), stream_releases::max_remote_streams);
    cr_expect_eq(fix.other.streams.dropped(), excess);
    cr_expect(
        fix.other.streams.find(fix.other.now, stream_key(excess)).source ==
        stream_source::unknown);
    cr_expect(
        fix.other.streams.find(fix.other.now, stream_key(excess + 1)).source ==
        stream_source::reported);
    cr_expect_eq(fix.one.streams.take_unreported(fix.one.now).size(),
                 stream_releases::max_own_streams);
    cr_expect_eq(fix.one.streams.dropped(), excess);
    const auto copy = fix.other.streams.copy(fix.other.now, true);
    cr_expect_eq(copy->streams.size(), stream_releases::max_copied_streams);
}

// Guards against memory that grows each time the same stream is resumed.
Test(direct_releases, repeated_resumption_does_not_grow_memory)
{
    two_instances fix;
    constexpr int times = 100'000;
    for (int i = 0; i < times; ++i)
    {
        fix.one.now += milliseconds(1);
        fix.one.confirm_listing();
        fix.one.streams.note_resumed(fix.one.now, key_of("a"), drafts, first);
        if (i % 100 == 0)
            cr_assert(fix.one.streams.take_unreported(fix.one.now).empty());
    }
    cr_expect_eq(fix.one.streams.kept(), 1U);
    fix.one.set_listed({first, second});
    cr_expect_eq(fix.one.streams.take_unreported(fix.one.now).size(), 1U);
}

// Guards against an assumed release after so many releases that one was dropped
// from the history.
Test(direct_releases, with_too_many_releases_none_is_assumed)
{
    two_instances fix;
    for (std::size_t i = 0; i <= stream_releases::max_releases_per_service; ++i)
        fix.one.set_listed({release_of(drafts, "n" + std::to_string(i))});
    fix.one.set_listed({first});
    cr_expect_not(fix.one.streams.sole(fix.one.now, drafts).has_value());
}

// Guards against a caller that resumes the stream of another client account.
Test(direct_releases, a_key_is_bound_to_its_account)
{
    const std::string attempt = "0123456789abcdef";
    const stream_key own = stream_key_of(account_id::of("nora"), attempt);
    cr_expect(own == stream_key_of(account_id::of("nora"), attempt));
    cr_expect(own != stream_key_of(account_id::of("omar"), attempt));
    cr_expect(own != stream_key_of(std::nullopt, attempt));
    cr_expect(own != stream_key_of(account_id::of("nora"), attempt + "0"));
}

Test(direct_releases, a_release_is_one_version_of_one_service)
{
    cr_expect(release_of(drafts, "v1") == first);
    cr_expect(release_of(drafts, "v1.1") != first);
    cr_expect(release_of(plans, "v1") != first);
    cr_expect(release_of(drafts, "") != first);
}

Test(direct_releases, long_versions_are_truncated_and_remain_distinct)
{
    const std::string exact(max_version_bytes, 'x');
    cr_expect(bounded_version(exact) == exact);
    const std::string one = bounded_version(exact + "1");
    const std::string two = bounded_version(exact + "2");
    cr_expect_eq(one.size(), max_version_bytes);
    cr_expect_eq(two.size(), max_version_bytes);
    cr_expect(one != two);
}
