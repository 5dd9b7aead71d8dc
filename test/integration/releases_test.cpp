// Streams before engines of several software versions: which engines go on
// with a stream that has begun, at the instance that has it and at others.
#include "direct_checks.hpp"

#include <criterion/criterion.h>

#include <future>
#include <thread>

using namespace standin;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/// Streams that are taken up at the same time.
constexpr std::size_t streams = 12;
/// For this long an instance watches which versions are listed before it tells
/// a stream's version by their being one: the time for which streams of these
/// routes are remembered, and that by which two instances may see a version
/// come and go apart.
constexpr seconds history_time{15};

/// Engines of two versions in turn.
direct_plan mixed_plan(std::size_t instances)
{
    direct_plan plan;
    plan.instances = instances;
    plan.engines = 4;
    plan.plain = 1;
    plan.versions = {"v1", "v2", "v1", "v2"};
    plan.events = 40;
    plan.gap = milliseconds(25);
    return plan;
}

/// Events that a caller has got of a stream that it has from one after `after`
/// on. A torn one does not count.
long last_event_of(const direct_answer& got, long after)
{
    long last = after;
    std::size_t from = 0;
    for (;;)
    {
        const std::size_t end = got.body.find("\n\n", from);
        if (end == std::string::npos)
            return last;
        ++last;
        from = end + 2;
    }
}

/// The call with which a caller takes a stream up.
direct_call resumption(direct_fleet& fleet, std::size_t instance,
                       const std::string& begun_by, long last_event)
{
    direct_call made = fleet.make_call(instance);
    made.fields["Resumes"] = begun_by;
    made.fields["Last-Event-Id"] = std::to_string(last_event);
    return made;
}

/// A stream that a caller has taken up at one instance after the other.
struct taken_up
{
    /// Attempts that brought events, the first one first.
    std::vector<std::string> attempts;
    /// Answer to the last one.
    direct_answer last;
};

/// A caller that begins a stream at the first instance and takes it up at the
/// next ones whenever its connection breaks. If it is refused, it comes back as
/// it is told.
/// \param tries calls to make, by instance.
taken_up follow(std::vector<std::vector<direct_call>> tries)
{
    taken_up result;
    long last_event = 0;
    for (std::vector<direct_call>& at_instance : tries)
    {
        for (direct_call& call : at_instance)
        {
            if (!result.attempts.empty())
            {
                call.fields["Resumes"] = result.attempts.front();
                call.fields["Last-Event-Id"] = std::to_string(last_event);
            }
            result.last = ask(call);
            if (result.last.status == 503)
            {
                std::this_thread::sleep_for(std::chrono::duration<double>(
                    std::strtod(result.last.retry_after.c_str(), nullptr)));
                continue;
            }
            const long before = last_event;
            last_event = last_event_of(result.last, before);
            if (last_event > before)
                result.attempts.push_back(call.id);
            if (result.last.whole)
                return result;
            break;
        }
    }
    return result;
}

std::vector<std::future<taken_up>>
begin_streams(direct_fleet& fleet, const std::vector<std::size_t>& instances)
{
    static constexpr int most_tries = 10;
    std::vector<std::future<taken_up>> begun;
    for (std::size_t i = 0; i < streams; ++i)
    {
        std::vector<std::vector<direct_call>> tries;
        for (const std::size_t instance : instances)
        {
            std::vector<direct_call>& own = tries.emplace_back();
            for (int k = 0; k < most_tries; ++k)
                own.push_back(fleet.make_call(instance));
        }
        begun.push_back(std::async(std::launch::async, follow, tries));
    }
    return begun;
}

/// Versions of the engines that ran the attempts of a stream.
std::set<std::string> versions_of(direct_fleet& fleet, const taken_up& stream)
{
    std::set<std::string> versions;
    for (const std::string& attempt : stream.attempts)
        versions.merge(fleet.versions_of(attempt));
    return versions;
}

/// Begins a stream whose caller leaves after some events. Returns the version
/// that began it, and the last event that the caller has.
std::pair<std::string, long> begin_one(direct_fleet& fleet, direct_call call)
{
    call.leave_after = milliseconds(300);
    const long last_event = last_event_of(ask(call), 0);
    cr_assert_gt(last_event, 0);
    const std::set<std::string> versions = fleet.versions_of(call.id);
    cr_assert_eq(versions.size(), 1U);
    return {*versions.begin(), last_event};
}

void check_refused(direct_fleet& fleet, const direct_call& asked,
                   const char* what)
{
    const direct_answer got = ask(asked);
    cr_expect_eq(got.status, 503U, "%s: status %u", what, got.status);
    cr_expect_not(got.retry_after.empty(), "%s", what);
    cr_expect_lt(got.seconds, 1.0, "%s: %.3f s", what, got.seconds);
    cr_expect_eq(fleet.runs_of(asked.id), 0, "%s", what);
}

} // namespace

// Guards against a stream that goes on at an engine of another version inside
// the instance that has it, after its engine broke off.
Test(releases, a_stream_whose_engine_breaks_goes_on_at_an_engine_of_its_version)
{
    // Beyond half of the stream, so that what is left is not cut again.
    static constexpr long cut_at = 480;
    direct_plan plan = mixed_plan(1);
    plan.events = 20;
    plan.gap = milliseconds(1);
    direct_fleet fleet(plan);
    int repeated = 0;
    for (int i = 0; i < 24; ++i)
    {
        for (std::size_t engine = 0; engine < plan.engines; ++engine)
            fleet.engine(engine).set_fault(answer_fault::cut, cut_at, 1);
        const direct_call asked = fleet.make_call(0);
        check_stream(ask(asked), asked, plan.events);
        repeated += fleet.runs_of(asked.id) - 1;
        cr_expect_eq(fleet.versions_of(asked.id).size(), 1U, "stream %d", i);
    }
    cr_expect_gt(repeated, 0);
}

// Guards against ORDER: a stream is remembered at the version of an engine that
// declined it, though the silent engine before that one began it.
Test(releases, a_stream_that_stayed_with_a_silent_engine_is_of_its_version)
{
    direct_plan plan = mixed_plan(1);
    plan.engines = 2;
    plan.versions = {"v1", "v2"};
    direct_fleet fleet(plan);
    for (std::size_t i = 0; i < 2; ++i)
    {
        fleet.engine(i).set_pause(1, milliseconds(1600));
        fleet.engine(i).set_fault(answer_fault::cut, 600);
    }
    const direct_call asked = fleet.make_call(0);
    std::future<direct_answer> answer =
        std::async(std::launch::async, [&] { return ask(asked); });
    cr_assert(
        eventually([&] { return fleet.runs_of(asked.id) == 1; }, seconds(2)));
    const std::size_t other = fleet.engine(0).runs_of(asked.id) == 0 ? 0 : 1;
    fleet.engine(other).set_fault(answer_fault::declines);
    const direct_answer got = answer.get();
    const long last = last_event_of(got, 0);
    cr_assert_gt(last, 0);
    cr_assert_not(got.whole);
    cr_assert(
        fleet.says(fleet.at(0), "sycamorelock_silent_endpoints_kept_total 1"));
    for (std::size_t i = 0; i < 2; ++i)
    {
        fleet.engine(i).set_pause(0, milliseconds(0));
        fleet.engine(i).set_fault(answer_fault::none);
    }
    const direct_call again = resumption(fleet, 0, asked.id, last);
    ask(again);
    cr_expect_eq(fleet.engine(other).runs_of(again.id), 0);
}

// Guards against a stream that goes on at another version because no engine of
// its own is left.
Test(releases, a_broken_stream_whose_version_has_left_ends_so_that_it_looks_cut)
{
    direct_plan plan = mixed_plan(1);
    plan.engines = 2;
    direct_fleet fleet(plan);
    for (std::size_t engine = 0; engine < plan.engines; ++engine)
        fleet.engine(engine).set_fault(answer_fault::cut, 300);
    for (int i = 0; i < 8; ++i)
    {
        const direct_call asked = fleet.make_call(0);
        const direct_answer got = ask(asked);
        cr_expect_eq(got.status, 200U);
        cr_expect_not(got.whole);
        cr_expect_eq(fleet.runs_of(asked.id), 1, "stream %d", i);
    }
}

// Guards against a stream that a caller takes up at another instance, right
// after the one that began it was killed, and that goes on at another version.
// Also if the second instance is killed as well.
Test(releases, a_stream_taken_up_after_two_kills_goes_on_at_its_version)
{
    direct_fleet fleet(mixed_plan(3));
    auto begun = begin_streams(fleet, {0, 1, 2});
    std::this_thread::sleep_for(milliseconds(250));
    fleet.kill(fleet.at(0));
    std::this_thread::sleep_for(milliseconds(250));
    fleet.kill(fleet.at(1));
    std::size_t whole = 0;
    std::size_t twice = 0;
    for (auto& each : begun)
    {
        const taken_up stream = each.get();
        whole += stream.last.status == 200 && stream.last.whole ? 1 : 0;
        if (stream.last.status != 200 || !stream.last.whole)
            cr_log_error("%s: %u %s", stream.attempts.front().c_str(),
                         stream.last.status, stream.last.body.c_str());
        twice += stream.attempts.size() == 3 ? 1 : 0;
        cr_expect_eq(versions_of(fleet, stream).size(), 1U, "begun by %s",
                     stream.attempts.front().c_str());
    }
    cr_expect_eq(whole, streams, "%zu whole", whole);
    cr_expect_gt(twice, 0U);
}

// Guards against news of a stream's version that comes later than its first
// event: a caller that has one event takes it up elsewhere.
Test(releases, a_stream_taken_up_after_its_first_events_goes_on_at_its_version)
{
    for (int round = 0; round < 4; ++round)
    {
        direct_fleet fleet(mixed_plan(2));
        cr_assert(eventually(
            [&] { return fleet.that_say("sycamorelock_peers_live 1") == 2; },
            seconds(5)));
        auto begun = begin_streams(fleet, {0, 1});
        cr_assert(eventually(
            [&]
            {
                int running = 0;
                for (std::size_t i = 0; i < 4; ++i)
                    running += fleet.engine(i).working();
                return running == static_cast<int>(streams);
            },
            seconds(5)));
        std::this_thread::sleep_for(milliseconds(35));
        fleet.kill(fleet.at(0));
        for (auto& each : begun)
        {
            const taken_up stream = each.get();
            cr_assert_not(stream.attempts.empty());
            cr_expect_eq(stream.last.status, 200U, "%u %s", stream.last.status,
                         stream.last.body.c_str());
            cr_expect(stream.last.whole);
            cr_expect_eq(versions_of(fleet, stream).size(), 1U);
        }
    }
}

// Guards against a stream that goes on at another version at an instance that
// has started after the stream had begun.
Test(releases, an_instance_that_has_started_since_goes_on_at_the_version)
{
    direct_fleet fleet(mixed_plan(2));
    std::map<std::string, std::pair<std::string, long>> begun;
    for (std::size_t i = 0; i < streams; ++i)
    {
        const direct_call call = fleet.make_call(0);
        begun[call.id] = begin_one(fleet, call);
    }
    fleet.kill(fleet.at(1));
    fleet.start(fleet.at(1));
    fleet.wait_ready();
    for (const auto& [id, stream] : begun)
    {
        const direct_call again = resumption(fleet, 1, id, stream.second);
        const direct_answer got = ask(again);
        cr_expect_eq(got.status, 200U, "%u %s", got.status, got.body.c_str());
        cr_expect(fleet.versions_of(again.id) ==
                  std::set<std::string>{stream.first});
    }
}

// Guards against a stream that goes on at another version because its own has
// left the service: the caller is told at once that it was not run.
Test(releases, a_stream_whose_version_has_left_is_refused_and_not_run)
{
    direct_plan plan = mixed_plan(2);
    plan.engines = 2;
    direct_fleet fleet(plan);
    std::map<std::string, std::pair<std::string, long>> begun;
    for (int i = 0; i < 8; ++i)
    {
        const direct_call call = fleet.make_call(0);
        begun[call.id] = begin_one(fleet, call);
    }
    const std::string left = begun.begin()->second.first;
    fleet.unlist_engine(left == plan.versions[0] ? 0 : 1);
    cr_assert(eventually(
        [&]
        {
            return fleet.log_of(fleet.at(0)).find("endpoint_gone") !=
                       std::string::npos &&
                   fleet.log_of(fleet.at(1)).find("endpoint_gone") !=
                       std::string::npos;
        },
        seconds(5)));
    for (const auto& [id, stream] : begun)
    {
        for (std::size_t instance = 0; instance < 2; ++instance)
        {
            const direct_call again =
                resumption(fleet, instance, id, stream.second);
            if (stream.first == left)
                check_refused(fleet, again, "version has left");
            else
                cr_expect_eq(ask(again).status, 200U);
        }
    }
}

// Guards against a guess where nobody knows which version began a stream:
// callers that name an attempt that is unknown, absent, malformed, of another
// account, or that brought nothing.
Test(releases, a_stream_that_nobody_knows_is_refused_and_not_run)
{
    direct_fleet fleet(mixed_plan(2));
    fleet.publish(2, {"south"});
    cr_assert(eventually(
        [&] { return fleet.that_say("sycamorelock_config_version 2") == 2; },
        seconds(5)));
    const direct_call begun = fleet.make_call(0);
    begin_one(fleet, begun);
    for (std::size_t instance = 0; instance < 2; ++instance)
    {
        check_refused(fleet, resumption(fleet, instance, "never-sent", 3),
                      "unknown");
        direct_call absent = fleet.make_call(instance);
        absent.fields["Last-Event-Id"] = "3";
        check_refused(fleet, absent, "absent");
        check_refused(fleet,
                      resumption(fleet, instance, std::string(3000, 'x'), 3),
                      "too long");
        check_refused(fleet, resumption(fleet, instance, "a b\tc", 3),
                      "malformed");
        direct_call foreign = resumption(fleet, instance, begun.id, 3);
        foreign.key = "key-south";
        check_refused(fleet, foreign, "of another account");
    }
}

// Guards against a guess by an instance that has just started: that one version
// is listed now says nothing about a moment ago.
Test(releases, an_instance_that_has_just_started_does_not_guess)
{
    direct_plan plan = mixed_plan(1);
    plan.versions.clear();
    direct_fleet fleet(plan);
    check_refused(fleet, resumption(fleet, 0, "never-sent", 3), "just started");
}

// Guards against refusals where no guess is needed: one version has been listed
// for longer than any stream lasts. An instance that starts then learns so from
// the others.
Test(releases, where_one_version_serves_any_stream_goes_on)
{
    direct_plan plan = mixed_plan(2);
    plan.versions.clear();
    direct_fleet fleet(plan);
    std::this_thread::sleep_for(history_time + seconds(1));
    for (std::size_t instance = 0; instance < 2; ++instance)
        cr_expect_eq(ask(resumption(fleet, instance, "never-sent", 3)).status,
                     200U);
    fleet.kill(fleet.at(1));
    fleet.start(fleet.at(1));
    fleet.wait_ready();
    cr_expect(eventually(
        [&]
        { return ask(resumption(fleet, 1, "never-sent", 3)).status == 200; },
        seconds(3)));
}

// Guards against streams that are refused while one version serves: nothing was
// told of them, and the instance that takes them up has to ask the store.
Test(releases, where_one_version_serves_all_streams_go_on_after_a_kill)
{
    direct_plan plan = mixed_plan(2);
    plan.versions.clear();
    direct_fleet fleet(plan);
    std::this_thread::sleep_for(history_time + seconds(1));
    auto begun = begin_streams(fleet, {0, 1});
    std::this_thread::sleep_for(milliseconds(250));
    fleet.kill(fleet.at(0));
    std::size_t whole = 0;
    std::size_t taken = 0;
    for (auto& each : begun)
    {
        const taken_up stream = each.get();
        whole += stream.last.status == 200 && stream.last.whole ? 1 : 0;
        taken += stream.attempts.size() == 2 ? 1 : 0;
    }
    cr_expect_eq(whole, streams, "%zu whole", whole);
    cr_expect_eq(taken, streams, "%zu taken up", taken);
}

// Guards against a guess on old news: while the store is away another version
// may have started. What is known of a stream holds.
Test(releases, while_the_store_is_away_nothing_is_guessed)
{
    direct_plan plan = mixed_plan(2);
    plan.versions.clear();
    direct_fleet fleet(plan);
    std::this_thread::sleep_for(history_time + seconds(1));
    fleet.store().set_mode(store_mode::closed);
    std::this_thread::sleep_for(seconds(3));
    const direct_call call = fleet.make_call(0);
    const auto [version, last_event] = begin_one(fleet, call);
    for (std::size_t instance = 0; instance < 2; ++instance)
    {
        check_refused(fleet, resumption(fleet, instance, "never-sent", 3),
                      "the store is away");
        cr_expect_eq(
            ask(resumption(fleet, instance, call.id, last_event)).status, 200U);
    }
}

// Guards against a stream that goes on at an engine of its version's address
// that has started anew with another version.
Test(releases, an_engine_that_starts_with_another_version_takes_up_no_stream)
{
    direct_plan plan = mixed_plan(2);
    plan.engines = 1;
    direct_fleet fleet(plan);
    const direct_call call = fleet.make_call(0);
    const auto [version, last_event] = begin_one(fleet, call);
    fleet.engine(0).set_version("v3");
    fleet.list_engine(0, "ready", 2);
    cr_assert(eventually(
        [&]
        {
            return fleet.log_of(fleet.at(0)).find(R"("started_ms":"2")") !=
                       std::string::npos &&
                   fleet.log_of(fleet.at(1)).find(R"("started_ms":"2")") !=
                       std::string::npos;
        },
        seconds(5)));
    for (std::size_t instance = 0; instance < 2; ++instance)
        check_refused(fleet, resumption(fleet, instance, call.id, last_event),
                      "started anew");
}

namespace
{

/// What became of streams that were taken up after all instances had been
/// killed at once.
struct after_kill
{
    std::size_t gone_on = 0;
    std::size_t refused = 0;
    /// Went on at another version than began them.
    std::size_t joined = 0;
    /// Streams that began after the kill and were answered.
    std::size_t begun_since = 0;
};

/// Begins streams at all instances, kills all of these at once, and takes the
/// streams up as soon as the instances are ready again, each once at least and
/// until 3 s have passed.
/// \param at_kill called between the kill and the start.
template <class AtKill>
after_kill take_up_after_kill_of_all(direct_fleet& fleet, std::size_t instances,
                                     AtKill at_kill)
{
    static constexpr seconds patience{3};
    std::map<std::string, std::pair<std::string, long>> begun;
    for (std::size_t i = 0; i < streams; ++i)
    {
        const direct_call call = fleet.make_call(i % instances);
        begun[call.id] = begin_one(fleet, call);
    }
    for (std::size_t i = 0; i < instances; ++i)
        fleet.kill(fleet.at(i));
    at_kill();
    for (std::size_t i = 0; i < instances; ++i)
        fleet.start(fleet.at(i));
    fleet.wait_ready();
    after_kill result;
    const auto until = std::chrono::steady_clock::now() + patience;
    for (const auto& [id, stream] : begun)
    {
        direct_call again;
        direct_answer got;
        do
        {
            again = resumption(fleet, result.refused % instances, id,
                               stream.second);
            got = ask(again);
        } while (got.status == 503 && std::chrono::steady_clock::now() < until);
        result.gone_on += got.status == 200 ? 1 : 0;
        result.refused += got.status == 503 ? 1 : 0;
        const std::set<std::string> ran = fleet.versions_of(again.id);
        result.joined += !ran.empty() && !ran.contains(stream.first) ? 1 : 0;
    }
    for (std::size_t i = 0; i < streams; ++i)
        result.begun_since += ask(fleet.make_call(0)).status == 200 ? 1 : 0;
    return result;
}

void expect_half_goes_on(const after_kill& result)
{
    cr_expect_geq(2 * result.gone_on, result.begun_since,
                  "%zu of %zu went on, %zu new ones were answered",
                  result.gone_on, streams, result.begun_since);
}

} // namespace

// Guards against answers joined from two versions after a kill of all
// instances.
Test(releases, no_stream_is_joined_from_two_versions_after_a_kill_of_all)
{
    direct_fleet fleet(mixed_plan(3));
    const after_kill both = take_up_after_kill_of_all(fleet, 3, [] {});
    cr_expect_eq(both.joined, 0U, "%zu with both versions", both.joined);
    // The engines of the first version leave while no instance runs.
    const after_kill newer =
        take_up_after_kill_of_all(fleet, 3,
                                  [&]
                                  {
                                      fleet.unlist_engine(0);
                                      fleet.unlist_engine(2);
                                  });
    cr_expect_eq(newer.joined, 0U, "%zu as one had just left", newer.joined);
    cr_expect_gt(newer.begun_since, 0U);
}

// Guards against refusing all streams of known versions after a kill of all.
Test(releases, half_of_the_streams_go_on_after_a_kill_of_all_with_two_versions)
{
    direct_fleet fleet(mixed_plan(3));
    expect_half_goes_on(take_up_after_kill_of_all(fleet, 3, [] {}));
}

// The same where one version has served all the time.
Test(releases, half_of_the_streams_go_on_after_a_kill_of_all_with_one_version)
{
    direct_plan plan = mixed_plan(3);
    plan.versions.clear();
    direct_fleet fleet(plan);
    expect_half_goes_on(take_up_after_kill_of_all(fleet, 3, [] {}));
}
