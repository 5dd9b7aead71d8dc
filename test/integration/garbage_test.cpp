// Endpoints that send garbage inside the body of a stream, as real processes:
// what a caller gets is a prefix of its run's events, and goes on only at the
// next one.
#include "direct_checks.hpp"
#include "drawn_bytes.hpp"
#include "plans.hpp"

#include <atomic>
#include <random>

using namespace standin;
using std::chrono::milliseconds;

namespace
{

constexpr int events = 10;
constexpr int sound_events = 5;

direct_plan two_engines()
{
    direct_plan plan;
    plan.instances = 1;
    plan.engines = 2;
    plan.plain = 1;
    plan.events = events;
    plan.gap = milliseconds(2);
    return plan;
}

/// Position behind that many events of a body.
std::size_t end_of_event(const std::string& body, int number)
{
    std::size_t at = 0;
    for (int i = 0; i < number; ++i)
        at = body.find("\n\n", at) + 2;
    return at;
}

/// Bytes that take the place of what follows some sound events.
struct garbage
{
    const char* name;
    std::string bytes;
    int after = sound_events;
    bool framed = true;
};

std::string repeated(const std::string& text, int times)
{
    std::string all;
    for (int i = 0; i < times; ++i)
        all += text;
    return all;
}

std::vector<garbage> shapes()
{
    const std::string next = "\ndata: x\n\n";
    return {
        {"text", "garbage\n\n"},
        {"bytes above 127", "\xff\xfe\x80\x81\xc3\n\n"},
        {"400 blocks", repeated("garbage\n\n", 400)},
        {"an answer",
         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok\n\nmore\n\n"},
        {"an answer with line feeds",
         "HTTP/1.1 200 OK\nContent-Length: 2\n\nok\n\n"},
        {"no id", "data: x\n\n"},
        {"an id without a number", "id: abc" + next},
        {"an empty id", "id:" + next},
        {"empty lines", "\n\n\n\n"},
        {"the last id again", "id: 5" + next},
        {"an id below the last", "id: 2" + next},
        {"an id that leaves out events", "id: 8" + next},
        {"a number with letters behind", "id: 6zz" + next},
        {"a number below zero", "id: -6" + next},
        {"a number beyond 64 bits", "id: 18446744073709551622" + next},
        {"a number that begins with zeros", "id: 006" + next},
        {"noise before the id", "noiseid: 6" + next},
        {"an event without data", "id: 6\n\n"},
        {"two events run together", "id: 6\ndata: x\nid: 7" + next},
        {"control characters", std::string("id: 6\ndata: \0\1\2\n\n", 17)},
        {"text at the first event", "garbage\n\n", 0},
        {"text without a length", "garbage\n\n", sound_events, false},
    };
}

spoiled_stream spoiled_by(const garbage& what)
{
    return {
        [what](const std::string& body)
        { return body.substr(0, end_of_event(body, what.after)) + what.bytes; },
        what.framed};
}

/// The engine that is asked first spoils its stream, the other one does not.
void spoil_first(direct_fleet& fleet, const spoiled_stream& what)
{
    const auto is_first = std::make_shared<std::atomic<bool>>(true);
    spoiled_stream once = what;
    once.spoil = [what, is_first](const std::string& body)
    { return is_first->exchange(false) ? what.spoil(body) : body; };
    for (std::size_t i = 0; i < 2; ++i)
        fleet.engine(i).set_spoiled(once, -1);
}

} // namespace

// Guards against ORDER: callers got pieces that no run had made, as whatever
// ended with an empty line was taken for an event.
Test(garbage, a_stream_goes_on_elsewhere_at_the_event_before_garbage)
{
    direct_fleet fleet(two_engines());
    for (const garbage& each : shapes())
    {
        spoil_first(fleet, spoiled_by(each));
        const direct_call asked = fleet.make_call(0);
        const direct_answer got = ask(asked);
        cr_expect(got.status == 200 && got.whole, "%s: status %u", each.name,
                  got.status);
        cr_expect(got.body == stream_body(asked.id, events, 0), "%s: %s",
                  each.name, got.body.c_str());
        cr_expect_eq(fleet.runs_of(asked.id), 2, "%s", each.name);
    }
}

// Guards against ORDER on routes whose streams may not be resumed: the garbage
// was passed on and the answer looked complete.
Test(garbage, a_stream_that_may_not_be_resumed_is_cut_before_garbage)
{
    direct_fleet fleet(two_engines());
    for (const garbage& each : shapes())
    {
        spoil_first(fleet, spoiled_by(each));
        const direct_call asked = fleet.make_call(0, "/draft/x");
        const direct_answer got = ask(asked);
        const bool has_begun = each.after > 0;
        cr_expect_eq(got.status, has_begun ? 200U : 502U, "%s: status %u",
                     each.name, got.status);
        cr_expect(!has_begun || !got.whole, "%s", each.name);
        const std::string sound = stream_body(asked.id, each.after, 0);
        cr_expect(!has_begun || got.body == sound, "%s: %s", each.name,
                  got.body.c_str());
        cr_expect_eq(fleet.runs_of(asked.id), 1, "%s", each.name);
    }
}

// Guards against ORDER after a caller has taken a stream up: an endpoint that
// does not go on after the caller's last event was believed.
Test(garbage, a_stream_that_a_caller_takes_up_begins_after_its_last_event)
{
    direct_fleet fleet(two_engines());
    static constexpr int had = 4;
    const spoiled_stream cut{
        [](const std::string& body)
        {
            const bool begins = body.starts_with("id: 1\n");
            const int sound = begins ? had : 0;
            return body.substr(0, end_of_event(body, sound)) + "garbage\n\n";
        },
        true};
    for (std::size_t i = 0; i < 2; ++i)
        fleet.engine(i).set_spoiled(cut, -1);
    const direct_call begun = fleet.make_call(0);
    const direct_answer first = ask(begun);
    cr_expect_not(first.whole);
    cr_expect(first.body == stream_body(begun.id, had, 0), "%s",
              first.body.c_str());

    direct_call asked = fleet.make_call(0);
    asked.fields["Resumes"] = begun.id;
    asked.fields["Last-Event-Id"] = std::to_string(had);
    spoil_first(fleet, {[&asked](const std::string&)
                        { return stream_body(asked.id, events, 0); },
                        true});
    const direct_answer got = ask(asked);
    cr_expect(got.status == 200 && got.whole, "status %u", got.status);
    cr_expect(got.body == stream_body(asked.id, events, had), "%s",
              got.body.c_str());
    cr_expect_eq(fleet.runs_of(asked.id), 2);
}

// Guards against garbage in a stream that its endpoint does not call one.
Test(garbage, a_stream_is_checked_whatever_its_endpoint_calls_it)
{
    direct_fleet fleet(two_engines());
    for (const char* type : {"", "text/plain", "application/json"})
    {
        spoiled_stream what = spoiled_by(shapes().front());
        what.content_type = type;
        for (std::size_t i = 0; i < 2; ++i)
            fleet.engine(i).set_spoiled(what, -1);
        const direct_call asked = fleet.make_call(0);
        const direct_answer got = ask(asked);
        cr_expect_eq(got.status, 502U, "%s: status %u", type, got.status);
    }
    spoiled_stream what = spoiled_by(shapes().front());
    what.content_type = "Text/Event-Stream; charset=utf-8";
    spoil_first(fleet, what);
    const direct_call asked = fleet.make_call(0);
    check_stream(ask(asked), asked, events);
}

// Guards against the end of a stream that an endpoint without a length never
// continued.
Test(garbage, a_stream_without_a_length_does_not_end_before_its_first_event)
{
    direct_fleet fleet(two_engines());
    const auto calls = std::make_shared<std::atomic<int>>(0);
    const garbage after_five = shapes().front();
    const spoiled_stream what{
        [calls, after_five](const std::string& body)
        {
            return calls->fetch_add(1) == 0 ? spoiled_by(after_five).spoil(body)
                                            : std::string();
        },
        false};
    for (std::size_t i = 0; i < 2; ++i)
        fleet.engine(i).set_spoiled(what, -1);
    const direct_call asked = fleet.make_call(0);
    const direct_answer got = ask(asked);
    cr_expect_not(got.whole);
    cr_expect(got.body == stream_body(asked.id, sound_events, 0), "%s",
              got.body.c_str());
}

// Guards against two answers joined: a stream went on behind the beginning of
// a long answer that was none.
Test(garbage, a_stream_does_not_follow_an_answer_that_is_none)
{
    direct_fleet fleet(two_engines());
    static constexpr std::size_t longer_than_held = 300UL * 1024;
    for (std::size_t i = 0; i < 2; ++i)
        fleet.engine(i).set_spoiled(
            {.spoil = [](const std::string&)
             { return std::string(longer_than_held, 'x'); },
             .cut = true,
             .status = "404 Not Found",
             .content_type = "text/plain"},
            -1);
    const direct_call asked = fleet.make_call(0);
    const direct_answer got = ask(asked);
    cr_expect_eq(got.status, 404U);
    cr_expect_not(got.whole);
    cr_expect_eq(fleet.runs_of(asked.id), 1);
}

// Guards against a check that a sound stream breaks: the version of the weights
// stands before an event at which it changes.
Test(garbage, a_stream_with_a_change_of_weights_is_passed_on)
{
    direct_fleet fleet(two_engines());
    spoil_first(fleet, {[](const std::string& body)
                        { return "weight-versions: 7\n" + body; },
                        true});
    const direct_call asked = fleet.make_call(0);
    const direct_answer got = ask(asked);
    cr_expect(got.status == 200 && got.whole, "status %u", got.status);
    cr_expect(got.body ==
              "weight-versions: 7\n" + stream_body(asked.id, events, 0));
    cr_expect_eq(fleet.runs_of(asked.id), 1);
}

// Guards against a connection that is used again after garbage.
Test(garbage, a_connection_is_not_used_again_after_garbage)
{
    direct_plan plan = two_engines();
    plan.engines = 1;
    direct_fleet fleet(plan);
    fleet.engine(0).set_spoiled(spoiled_by(shapes().front()), 1);
    ask(fleet.make_call(0));
    const auto connects = [&fleet](const char* count)
    {
        return fleet.says(fleet.at(0),
                          std::string("sycamorelock_endpoint_connects_total ") +
                              count);
    };
    cr_expect(connects("1"));
    const direct_call asked = fleet.make_call(0);
    check_stream(ask(asked), asked, events);
    cr_expect(connects("2"));
}

// Guards against ORDER, pieces that are missing: events that came together with
// the beginning of another were not passed on, and the stream went on after
// them.
Test(garbage, events_that_come_with_the_beginning_of_one_are_passed_on)
{
    direct_fleet fleet(two_engines());
    spoil_first(fleet, spoiled_by({"", "id: 6\nda"}));
    const direct_call asked = fleet.make_call(0);
    check_stream(ask(asked), asked, events);
}

// Guards against blame of a request for the bytes of its endpoint.
Test(garbage, garbage_says_nothing_of_the_request)
{
    direct_fleet fleet(two_engines());
    static constexpr int requests = 8;
    for (int i = 0; i < requests; ++i)
    {
        spoil_first(fleet, spoiled_by(shapes().front()));
        const direct_call asked = fleet.make_call(0);
        check_stream(ask(asked), asked, events);
    }
    const auto is_logged = [&fleet](const char* event)
    {
        return fleet.log_of(fleet.at(0))
                   .find(std::string("\"") + event + '"') != std::string::npos;
    };
    cr_expect(eventually([&] { return is_logged("event_malformed"); },
                         std::chrono::seconds(2)));
    cr_expect(
        fleet.says(fleet.at(0), "sycamorelock_termination_checks_total 0"));
    cr_expect(fleet.says(fleet.at(0),
                         "sycamorelock_malformed_events_total{fault=\"unknown_"
                         "field\"} 8"));
}

// Load: bytes drawn by seed, put in, taken out, repeated or exchanged at any
// place of a body. Guards against ORDER for unforeseen bytes.
Test(garbage, drawn_bytes_never_bring_an_event_that_is_not_the_next)
{
    static constexpr std::uint64_t seed = 68;
    static constexpr int draws = 60;
    direct_fleet fleet(two_engines());
    std::mt19937_64 random(seed);
    for (int draw = 0; draw < draws; ++draw)
    {
        const std::uint64_t how = random();
        spoil_first(fleet, {[how](const std::string& body)
                            { return spoil_by_seed(body, how); },
                            true});
        const direct_call asked =
            fleet.make_call(0, draw % 3 == 0 ? "/draft/x" : "/plan/x");
        const direct_answer got = ask(asked);
        // The other engine is sound.
        const bool is_served = got.status == 200 && got.whole;
        cr_expect(is_served || asked.path != "/plan/x", "draw %d, seed %lu",
                  draw, how);
        if (got.status != 200)
            continue;
        cr_expect(has_ids_in_order(got.body, 0), "draw %d, seed %lu: %s", draw,
                  how, got.body.c_str());
    }
}

// Guards against garbage that scheduled routing passed on and charged as
// tokens.
Test(garbage, a_scheduled_stream_is_cut_before_garbage)
{
    const std::vector<std::pair<const char*, std::string>> shapes{
        {"text", "garbage\n\n"},
        {"bytes above 127", "\xff\xfe\x80\x81\xc3\n\n"},
        {"an answer", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok\n\n"},
        {"empty lines", "\n\n\n\n"},
        {"a name without a colon", "data\n\n"},
        {"no data", "id: 3\n\n"},
        {"the beginning of an event", "data: x\n"},
    };
    for (const auto& [name, bytes] : shapes)
    {
        // Of its own, as endpoints that fail are ejected.
        fleet running(usual_plan(1));
        const call made = running.make_call(0, "north", "planner");
        const std::string sound =
            "data: " + made.mark + " 0\n\ndata: " + made.mark + " 1\n\n";
        std::ostringstream answer_text;
        answer_text << "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n"
                    << std::hex << sound.size() + bytes.size() << "\r\n"
                    << sound << bytes << "\r\n0\r\n\r\n";
        for (const auto& each : running.endpoints("planner"))
            each->set_endless({answer_text.str(), "z"});
        const answer got = ask_now(made);
        cr_expect_eq(got.status, 200U, "%s: status %u", name, got.status);
        cr_expect(got.body == sound, "%s: %s", name, got.body.c_str());
        cr_expect_not(got.ended, "%s", name);
    }
}
