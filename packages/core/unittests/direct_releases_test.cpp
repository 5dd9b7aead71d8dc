// What instances know of the releases that began streams.
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
/// Long enough to know every release that may have begun a stream.
constexpr seconds long_enough{20};
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

/// What one instance knows, with its clock.
struct watcher
{
    stream_releases streams;
    time_point now;
    bool is_cut_off = false;

    explicit watcher(time_point started = start) : now(started)
    {
        streams.set_longest(seconds(5));
        list({first});
    }

    void list(const std::set<release_id>& releases)
    {
        streams.set_listed(now, {{drafts, releases}});
        tick();
    }

    void tick()
    {
        if (!is_cut_off)
            streams.set_current(now, now - milliseconds(300));
    }

    void pass(duration time)
    {
        const time_point until = now + time;
        while (now < until)
        {
            now += milliseconds(100);
            tick();
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

/// Two instances that have watched one release for long.
struct two_watchers
{
    watcher one;
    watcher other;

    two_watchers() { pass(long_enough); }

    void pass(duration time)
    {
        one.pass(time);
        other.pass(time);
    }
    void list(const std::set<release_id>& releases)
    {
        one.list(releases);
        other.list(releases);
    }
    /// Returns how many streams one has told the other.
    std::size_t tell()
    {
        const auto told = one.streams.take_untold(one.now);
        other.streams.hear(other.now, told);
        return told.size();
    }
};

} // namespace

// Guards against streams that go on at another release than the one that began
// them, as only the instance that sent them knew it and is gone.
Test(direct_releases, a_stream_is_told_when_a_service_has_two_releases)
{
    two_watchers fix;
    fix.list({first, second});
    fix.one.streams.note(fix.one.now, sent_to(second, "a"));
    cr_expect(fix.one.source_of("a") == stream_source::own);
    cr_expect_eq(fix.tell(), 1U);
    cr_expect(fix.other.source_of("a") == stream_source::reported);
    cr_expect(fix.other.release_of_stream("a") == second);
    cr_expect_eq(fix.tell(), 0U);
}

// Guards against news of every stream while one release serves, which is most
// of the time.
Test(direct_releases, with_one_release_for_long_nothing_is_told)
{
    two_watchers fix;
    fix.one.streams.note(fix.one.now, sent_to(first, "a"));
    cr_expect_not(fix.one.streams.must_tell(fix.one.now, drafts));
    cr_expect_eq(fix.tell(), 0U);
    cr_expect(fix.other.source_of("a") == stream_source::unknown);
    const auto sole = fix.other.streams.sole(fix.other.now, drafts);
    cr_assert(sole.has_value());
    cr_expect(*sole == first);
}

// Guards against a guess by an instance that has just started: another release
// may have served until then.
Test(direct_releases, an_instance_that_has_just_started_does_not_guess)
{
    watcher started;
    cr_expect_not(started.streams.sole(started.now, drafts).has_value());
    cr_expect(started.streams.must_tell(started.now, drafts));
    started.pass(stream_releases::min_retention);
    cr_expect_not(started.streams.sole(started.now, drafts).has_value());
    started.pass(long_enough);
    cr_expect(started.streams.sole(started.now, drafts).has_value());
    cr_expect_not(started.streams.sole(started.now, plans).has_value());
}

// Guards against streams that began while one release served and were told to
// nobody, when a second one comes in their middle.
Test(direct_releases, open_streams_are_told_when_a_second_release_comes)
{
    two_watchers fix;
    fix.one.streams.note(fix.one.now, sent_to(first, "a"));
    fix.one.streams.note(fix.one.now, sent_to(first, "done"));
    fix.one.streams.end(fix.one.now, key_of("done"));
    cr_assert_eq(fix.tell(), 0U);
    fix.pass(stream_releases::resume_grace_period + milliseconds(100));
    fix.list({first, second});
    cr_expect_not(fix.other.streams.sole(fix.other.now, drafts).has_value());
    cr_expect_eq(fix.tell(), 1U);
    cr_expect(fix.other.release_of_stream("a") == first);
    cr_expect(fix.other.source_of("done") == stream_source::unknown);
}

// Guards against callers that lost the last bytes of a stream which had ended
// for the instance.
Test(direct_releases, a_stream_that_has_just_ended_is_told_too)
{
    two_watchers fix;
    fix.one.streams.note(fix.one.now, sent_to(first, "a"));
    fix.one.streams.end(fix.one.now, key_of("a"));
    fix.pass(seconds(1));
    fix.list({first, second});
    cr_expect_eq(fix.tell(), 1U);
    cr_expect(fix.other.release_of_stream("a") == first);
}

// Guards against a guess after a rollback: streams of the release that was
// taken back may still be resumed.
Test(direct_releases, a_release_that_was_taken_back_counts_for_a_while)
{
    two_watchers fix;
    fix.list({first, second});
    fix.pass(seconds(2));
    fix.list({first});
    const duration remembered =
        fix.one.streams.retention() + stream_releases::listing_skew;
    fix.pass(remembered - seconds(1));
    cr_expect_not(fix.one.streams.sole(fix.one.now, drafts).has_value());
    cr_expect(fix.one.streams.must_tell(fix.one.now, drafts));
    fix.pass(seconds(2));
    cr_expect(fix.one.streams.sole(fix.one.now, drafts).has_value());
}

// Guards against mixing up more than two releases.
Test(direct_releases, three_releases_are_told_apart)
{
    const release_id third = release_of(drafts, "v3");
    two_watchers fix;
    fix.list({first, second, third});
    fix.one.streams.note(fix.one.now, sent_to(first, "a"));
    fix.one.streams.note(fix.one.now, sent_to(second, "b"));
    fix.one.streams.note(fix.one.now, sent_to(third, "c"));
    cr_expect_eq(fix.tell(), 3U);
    cr_expect(fix.other.release_of_stream("a") == first);
    cr_expect(fix.other.release_of_stream("b") == second);
    cr_expect(fix.other.release_of_stream("c") == third);
    fix.list({first});
    cr_expect(fix.other.release_of_stream("c") == third);
}

// Guards against a guess by an instance that is cut off: a release may have
// come since its last news.
Test(direct_releases, an_instance_that_is_cut_off_does_not_guess)
{
    two_watchers fix;
    fix.one.streams.note(fix.one.now, sent_to(first, "a"));
    fix.one.is_cut_off = true;
    fix.one.pass(stream_releases::max_listing_age + milliseconds(100));
    cr_expect_not(fix.one.streams.sole(fix.one.now, drafts).has_value());
    cr_expect(fix.one.streams.must_tell(fix.one.now, drafts));
    cr_expect_eq(fix.one.streams.take_untold(fix.one.now).size(), 1U);
}

// Guards against a guess by an instance whose last news is fresh and older than
// a release: it was cut off right before, and has heard neither of the release
// nor of its streams.
Test(direct_releases, a_release_that_came_since_the_last_news_is_no_guess)
{
    two_watchers fix;
    fix.one.is_cut_off = true;
    fix.pass(milliseconds(200));
    fix.other.list({first, second});
    fix.other.streams.note(fix.other.now, sent_to(second, "a"));
    for (int i = 0; i < 30; ++i)
    {
        fix.pass(milliseconds(100));
        cr_expect(fix.one.source_of("a") == stream_source::unknown);
        cr_expect_not(fix.one.streams.sole(fix.one.now, drafts).has_value(),
                      "%d ms after the stream began", 100 * (i + 1));
    }
}

// Guards against a guess after a cut: a release may have come and gone in it.
Test(direct_releases, after_a_cut_an_instance_does_not_guess)
{
    two_watchers fix;
    fix.one.is_cut_off = true;
    fix.one.pass(seconds(8));
    fix.one.is_cut_off = false;
    fix.one.pass(seconds(1));
    cr_expect_not(fix.one.streams.sole(fix.one.now, drafts).has_value());
    cr_expect(fix.one.streams.wants_releases(fix.one.now));
    cr_expect_not(fix.one.streams.wants_streams(fix.one.now));
    fix.other.pass(fix.one.now - fix.other.now);
    const auto copy = fix.other.streams.copy(fix.other.now, false);
    cr_assert(copy.has_value());
    fix.one.streams.adopt(fix.one.now, *copy);
    cr_expect(fix.one.streams.sole(fix.one.now, drafts).has_value());
    cr_expect_not(fix.one.streams.wants_releases(fix.one.now));
}

// Guards against refusals at an instance that has just started while others
// know what it lacks.
Test(direct_releases, a_copy_tells_of_streams_and_of_releases)
{
    two_watchers fix;
    fix.list({first, second});
    fix.one.streams.note(fix.one.now, sent_to(second, "a"));
    fix.tell();
    fix.other.streams.note(fix.other.now, sent_to(first, "b"));
    watcher started(fix.other.now);
    started.list({first, second});
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

Test(direct_releases, with_a_copy_the_sole_release_is_known_at_once)
{
    two_watchers fix;
    watcher started(fix.other.now);
    started.list({first});
    cr_assert_not(started.streams.sole(started.now, drafts).has_value());
    started.streams.adopt(started.now,
                          *fix.other.streams.copy(fix.other.now, true));
    cr_expect(started.streams.sole(started.now, drafts).has_value());
    cr_expect_not(started.streams.must_tell(started.now, drafts));
}

// Guards against a guess from a copy alone: without news of its own an
// instance may lack a release that came after the copy.
Test(direct_releases, a_copy_replaces_no_news_of_endpoints)
{
    two_watchers fix;
    stream_releases started;
    started.set_longest(seconds(5));
    started.set_current(fix.other.now, time_point());
    started.adopt(fix.other.now, *fix.other.streams.copy(fix.other.now, true));
    cr_expect_not(started.sole(fix.other.now, drafts).has_value());
    started.set_current(fix.other.now, fix.other.now);
    cr_expect(started.wants_releases(fix.other.now));
}

// Guards against a guess when nobody has watched for long enough, also not the
// one who gave the copy.
Test(direct_releases, a_copy_is_worth_what_its_sender_knew)
{
    watcher older;
    cr_expect_not(older.streams.copy(older.now, true).has_value());
    older.pass(stream_releases::min_observation_time + milliseconds(400));
    older.streams.note(older.now, sent_to(first, "a"));
    const auto copy = older.streams.copy(older.now, true);
    cr_assert(copy.has_value());
    watcher started(older.now);
    started.list({first});
    started.streams.adopt(started.now, *copy);
    cr_expect(started.release_of_stream("a") == first);
    cr_expect_not(started.streams.sole(started.now, drafts).has_value());
    const duration left = older.streams.retention() +
                          stream_releases::listing_skew -
                          stream_releases::min_observation_time;
    started.pass(left);
    cr_expect(started.streams.sole(started.now, drafts).has_value());
}

// Guards against guesses and storms of copies when all start at once.
Test(direct_releases, when_all_have_started_nobody_guesses_or_gives)
{
    two_watchers fix;
    fix.one.streams.note(fix.one.now, sent_to(first, "a"));
    fix.one = watcher();
    fix.other = watcher();
    for (duration passed{0}; passed < stream_releases::copy_request_period;
         passed += milliseconds(200))
    {
        cr_expect_not(fix.one.streams.copy(fix.one.now, true).has_value());
        cr_expect(fix.other.source_of("a") == stream_source::unknown);
        cr_expect_not(
            fix.other.streams.sole(fix.other.now, drafts).has_value());
        fix.pass(milliseconds(200));
    }
    cr_expect_not(fix.other.streams.wants_streams(fix.other.now));
}

// Guards against refusals at an instance that starts after an outage of the
// store: others have missed releases, but no streams.
Test(direct_releases, after_an_outage_streams_are_still_copied)
{
    two_watchers fix;
    fix.list({first, second});
    fix.one.streams.note(fix.one.now, sent_to(second, "a"));
    fix.tell();
    fix.other.is_cut_off = true;
    fix.other.pass(seconds(4));
    fix.other.is_cut_off = false;
    fix.other.pass(seconds(1));
    cr_expect(fix.other.streams.wants_releases(fix.other.now));
    cr_expect_not(fix.other.streams.copy(fix.other.now, false).has_value());
    const auto copy = fix.other.streams.copy(fix.other.now, true);
    cr_assert(copy.has_value());
    watcher started(fix.other.now);
    started.list({first, second});
    started.streams.adopt(started.now, *copy);
    cr_expect(started.release_of_stream("a") == second);
    cr_expect_not(started.streams.wants_streams(started.now));
    cr_expect(started.streams.wants_releases(started.now));
}

// Guards against lost and guessed streams when most instances start anew at the
// same moment in the middle of a release, before anyone has watched for long.
Test(direct_releases, most_that_start_anew_in_a_release_learn_from_the_rest)
{
    constexpr std::size_t instances = 8;
    constexpr std::size_t restarted = 5;
    std::vector<watcher> all(instances);
    for (watcher& each : all)
        each.list({first, second});
    for (watcher& each : all)
        each.pass(seconds(8));
    std::vector<stream_note> sent;
    for (std::size_t i = 0; i < instances; ++i)
        sent.push_back(
            sent_to(i % 2 == 0 ? first : second, "by " + std::to_string(i)));
    for (std::size_t i = 0; i < instances; ++i)
    {
        all[i].streams.note(all[i].now, sent[i]);
        const auto told = all[i].streams.take_untold(all[i].now);
        for (watcher& each : all)
            each.streams.hear(each.now, told);
    }
    const auto copy = all.back().streams.copy(all.back().now, true);
    cr_assert(copy.has_value());
    for (std::size_t i = 0; i < restarted; ++i)
    {
        all[i] = watcher(all.back().now);
        all[i].list({first, second});
        cr_expect(all[i].streams.wants_streams(all[i].now));
        all[i].streams.adopt(all[i].now, *copy);
    }
    for (const watcher& each : all)
    {
        for (const stream_note& stream : sent)
            cr_expect(each.streams.find(each.now, stream.key).release ==
                      stream.release);
        cr_expect(each.source_of("never told") == stream_source::unknown);
        cr_expect_not(each.streams.sole(each.now, drafts).has_value());
    }
}

// Guards against the release of an attempt that brought nothing, when the
// request was repeated at another one and news of both arrive out of order.
Test(direct_releases, of_two_attempts_the_later_one_holds)
{
    two_watchers fix;
    fix.list({first, second});
    cr_expect_not(fix.one.streams.note(fix.one.now, sent_to(first, "a", 1)));
    const auto before = fix.one.streams.take_untold(fix.one.now);
    cr_expect(fix.one.streams.note(fix.one.now, sent_to(second, "a", 2)));
    const auto after = fix.one.streams.take_untold(fix.one.now);
    cr_assert_eq(after.size(), 1U);
    fix.other.streams.hear(fix.other.now, after);
    fix.other.streams.hear(fix.other.now, before);
    cr_expect(fix.other.release_of_stream("a") == second);
    cr_expect(fix.one.release_of_stream("a") == second);
}

// Guards against the same where the first attempt was withheld: the second has
// its number.
Test(direct_releases, an_attempt_with_the_number_of_a_withheld_one_holds)
{
    two_watchers fix;
    fix.list({first, second});
    fix.one.streams.note(fix.one.now, sent_to(first, "a", 1));
    const auto before = fix.one.streams.take_untold(fix.one.now);
    fix.one.streams.note(fix.one.now, sent_to(second, "a", 1));
    const auto after = fix.one.streams.take_untold(fix.one.now);
    fix.other.streams.hear(fix.other.now, after);
    fix.other.streams.hear(fix.other.now, before);
    cr_expect(fix.other.release_of_stream("a") == second);
}

// Guards against streams that an instance did not hear of, as it was cut off.
Test(direct_releases, streams_are_told_again_to_an_instance_that_returns)
{
    two_watchers fix;
    fix.list({first, second});
    fix.one.streams.note(fix.one.now, sent_to(second, "a"));
    fix.one.streams.note(fix.one.now, sent_to(second, "done"));
    fix.one.streams.end(fix.one.now, key_of("done"));
    cr_assert_eq(fix.one.streams.take_untold(fix.one.now).size(), 2U);
    fix.pass(stream_releases::resume_grace_period + milliseconds(100));
    fix.one.streams.retell();
    cr_expect_eq(fix.tell(), 1U);
    cr_expect(fix.other.release_of_stream("a") == second);
}

// Guards against streams that are resumed twice: the caller names the first
// attempt each time, and it must not be forgotten meanwhile.
Test(direct_releases, a_stream_that_was_resumed_is_remembered_for_longer)
{
    two_watchers fix;
    fix.list({first, second});
    fix.other.streams.note(fix.other.now, sent_to(second, "a", 2));
    fix.one.streams.hear(fix.one.now,
                         fix.other.streams.take_untold(fix.other.now));
    fix.pass(seconds(8));
    fix.one.streams.note_resumed(fix.one.now, key_of("a"), drafts, second);
    cr_expect_eq(fix.tell(), 1U);
    fix.pass(seconds(8));
    cr_expect(fix.one.release_of_stream("a") == second);
    cr_expect(fix.other.release_of_stream("a") == second);
    watcher third(fix.one.now);
    fix.one.streams.note_resumed(fix.one.now, key_of("a"), drafts, second);
    third.streams.hear(third.now, fix.one.streams.take_untold(fix.one.now));
    cr_expect(third.release_of_stream("a") == second);
}

// Guards against a resumed attempt that changes what is known of its stream.
Test(direct_releases, a_resumed_attempt_changes_no_release)
{
    two_watchers fix;
    fix.list({first, second});
    fix.one.streams.note(fix.one.now, sent_to(second, "a"));
    fix.tell();
    fix.one.streams.note_resumed(fix.one.now, key_of("a"), drafts, first);
    cr_expect(fix.one.release_of_stream("a") == second);
    const stream_note wrong = sent_to(first, "a", 0);
    fix.other.streams.hear(fix.other.now, {&wrong, 1});
    cr_expect(fix.other.release_of_stream("a") == second);
}

// Guards against a guess by an instance that has not yet read of a release of
// which others tell.
Test(direct_releases, news_of_a_stream_tells_of_its_release)
{
    two_watchers fix;
    cr_assert(fix.other.streams.sole(fix.other.now, drafts).has_value());
    const stream_note told = sent_to(second, "a");
    fix.other.streams.hear(fix.other.now, {&told, 1});
    cr_expect_not(fix.other.streams.sole(fix.other.now, drafts).has_value());
    cr_expect(fix.other.streams.must_tell(fix.other.now, drafts));
}

// Guards against a stream that began at another service, as a configuration has
// moved its route since.
Test(direct_releases, after_a_route_has_moved_nobody_guesses)
{
    two_watchers fix;
    fix.one.streams.note_moved(fix.one.now, drafts);
    cr_expect_not(fix.one.streams.sole(fix.one.now, drafts).has_value());
    cr_expect(fix.one.streams.must_tell(fix.one.now, drafts));
    fix.pass(long_enough);
    cr_expect(fix.one.streams.sole(fix.one.now, drafts).has_value());
    fix.one.streams.set_shared({drafts});
    cr_expect(fix.one.streams.must_tell(fix.one.now, drafts));
}

Test(direct_releases, a_stream_is_forgotten_in_time)
{
    two_watchers fix;
    fix.list({first, second});
    fix.one.streams.note(fix.one.now, sent_to(second, "a"));
    fix.tell();
    fix.pass(fix.one.streams.retention());
    cr_expect(fix.other.source_of("a") == stream_source::reported);
    fix.pass(milliseconds(200));
    cr_expect(fix.one.source_of("a") == stream_source::unknown);
    cr_expect(fix.other.source_of("a") == stream_source::unknown);
    fix.tell();
    fix.other.streams.hear(fix.other.now, {});
    cr_expect_eq(fix.one.streams.kept(), 0U);
    cr_expect_eq(fix.other.streams.kept(), 0U);
    cr_expect_eq(fix.other.streams.dropped(), 0U);
}

Test(direct_releases, the_longest_stream_bounds_the_memory)
{
    stream_releases streams;
    streams.set_longest(seconds(1));
    cr_expect(streams.retention() == stream_releases::min_retention);
    streams.set_longest(seconds(20));
    cr_expect(streams.retention() == seconds(40));
    streams.set_longest(seconds(1000));
    cr_expect(streams.retention() == stream_releases::max_retention);
}

// Guards against memory that callers can fill, and against drops that nobody
// sees.
Test(direct_releases, the_oldest_are_dropped_and_counted_beyond_the_bounds)
{
    two_watchers fix;
    fix.list({first, second});
    constexpr std::size_t excess = 10;
    std::vector<stream_note> told;
    for (std::size_t i = 0; i < stream_releases::max_remote_streams + excess; ++i)
    {
        told.push_back({stream_key(i + 1), drafts, second, 1});
        if (i < stream_releases::max_own_streams + excess)
            fix.one.streams.note(fix.one.now, told.back());
    }
    fix.other.streams.hear(fix.other.now, told);
    cr_expect_eq(fix.other.streams.kept(), stream_releases::max_remote_streams);
    cr_expect_eq(fix.other.streams.dropped(), excess);
    cr_expect(
        fix.other.streams.find(fix.other.now, stream_key(excess)).source ==
        stream_source::unknown);
    cr_expect(
        fix.other.streams.find(fix.other.now, stream_key(excess + 1)).source ==
        stream_source::reported);
    cr_expect_eq(fix.one.streams.take_untold(fix.one.now).size(),
                 stream_releases::max_own_streams);
    cr_expect_eq(fix.one.streams.dropped(), excess);
    const auto copy = fix.other.streams.copy(fix.other.now, true);
    cr_expect_eq(copy->streams.size(), stream_releases::max_copied_streams);
}

// Guards against memory that grows with each time that one stream is resumed.
Test(direct_releases, one_stream_resumed_for_ever_takes_no_room)
{
    two_watchers fix;
    constexpr int times = 100'000;
    for (int i = 0; i < times; ++i)
    {
        fix.one.now += milliseconds(1);
        fix.one.tick();
        fix.one.streams.note_resumed(fix.one.now, key_of("a"), drafts, first);
        if (i % 100 == 0)
            cr_assert(fix.one.streams.take_untold(fix.one.now).empty());
    }
    cr_expect_eq(fix.one.streams.kept(), 1U);
    fix.one.list({first, second});
    cr_expect_eq(fix.one.streams.take_untold(fix.one.now).size(), 1U);
}

// Guards against a guess where so many releases came that one was forgotten.
Test(direct_releases, with_too_many_releases_nobody_guesses)
{
    two_watchers fix;
    for (std::size_t i = 0; i <= stream_releases::max_releases_per_service; ++i)
        fix.one.list({release_of(drafts, "n" + std::to_string(i))});
    fix.one.list({first});
    cr_expect_not(fix.one.streams.sole(fix.one.now, drafts).has_value());
}

// Guards against a caller that takes up the stream of another account.
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

Test(direct_releases, long_versions_are_cut_and_still_differ)
{
    const std::string exact(most_version_bytes, 'x');
    cr_expect(bounded_version(exact) == exact);
    const std::string one = bounded_version(exact + "1");
    const std::string two = bounded_version(exact + "2");
    cr_expect_eq(one.size(), most_version_bytes);
    cr_expect_eq(two.size(), most_version_bytes);
    cr_expect(one != two);
}
