// A request whose endpoint pauses while another one is asked, as real
// processes.
#include "direct_checks.hpp"

#include <criterion/criterion.h>

#include <csignal>
#include <thread>

using namespace standin;
using std::chrono::milliseconds;

namespace
{

constexpr int events = 10;
/// An instance asks another engine after four times the objective of pauses,
/// which is 100 ms, and another plain service after 2.5 times the objective,
/// which is 150 ms.
constexpr milliseconds asks_after{400};
constexpr milliseconds plain_asks_after{375};
/// Longer than that, and than two endpoints may work on a request.
constexpr milliseconds long_pause{850};
/// For how long two endpoints may work on one request.
constexpr milliseconds allowed_overlap{400};

direct_plan two_of_each()
{
    direct_plan plan;
    plan.instances = 1;
    plan.events = events;
    plan.gap = milliseconds(20);
    return plan;
}

/// A request at one of two endpoints of a kind.
class paused_request
{
  public:
    /// Asks for a stream that pauses before its fifth event.
    explicit paused_request(milliseconds pause) : paused_request("/plan/x")
    {
        for (std::size_t i = 0; i < 2; ++i)
            at(i).set_pause(5, pause);
        begin();
    }
    /// \param path route of an engine or a plain service.
    explicit paused_request(const std::string& path)
        : fleet_(two_of_each()), is_plain_(!path.starts_with("/plan")),
          asked_(fleet_.make_call(0, path))
    {
    }
    ~paused_request()
    {
        if (caller_.joinable())
            caller_.join();
    }
    paused_request(const paused_request&) = delete;
    paused_request& operator=(const paused_request&) = delete;

    direct_engine& at(std::size_t index)
    {
        return is_plain_ ? fleet_.plain(index) : fleet_.engine(index);
    }
    /// Asks, and waits until an endpoint runs the request.
    void begin()
    {
        caller_ = std::thread([this] { got_ = ask(asked_); });
        const bool begun =
            eventually([this] { return fleet_.runs_of(asked_.id) == 1; },
                       std::chrono::seconds(2));
        cr_assert(begun);
        first_ = at(0).runs_of(asked_.id) == 1 ? 0 : 1;
    }
    direct_engine& first() { return at(first_); }
    direct_engine& other() { return at(1 - first_); }
    direct_fleet& fleet() { return fleet_; }
    [[nodiscard]] const direct_call& asked() const { return asked_; }
    /// Waits for the answer.
    const direct_answer& finish()
    {
        caller_.join();
        return got_;
    }
    void expect_whole_stream() { check_stream(finish(), asked_, events); }

  private:
    direct_fleet fleet_;
    bool is_plain_;
    direct_call asked_;
    direct_answer got_;
    std::size_t first_ = 0;
    std::thread caller_;
};

/// What happens to the instance while the stream pauses.
enum class surroundings
{
    calm,
    sigterm,
    sighup,
    configuration,
};

void surround(direct_fleet& fleet, surroundings what)
{
    switch (what)
    {
    case surroundings::calm:
        break;
    case surroundings::sigterm:
        ::kill(fleet.at(0).pid, SIGTERM);
        break;
    case surroundings::sighup:
        ::kill(fleet.at(0).pid, SIGHUP);
        break;
    case surroundings::configuration:
        fleet.publish(2);
        break;
    }
}

void decline_late(surroundings what, milliseconds delay)
{
    paused_request stream(long_pause);
    stream.other().set_delay(delay);
    stream.other().set_fault(answer_fault::declines);
    surround(stream.fleet(), what);
    stream.expect_whole_stream();
    cr_expect_eq(stream.fleet().runs_of(stream.asked().id), 1);
    cr_expect_geq(stream.other().arrivals().size(), 1U);
}

} // namespace

// Guards against LOST: a stream whose endpoint paused was cut because another
// endpoint took over 100 ms to decline it, on a calm day too.
Test(handover, a_paused_stream_survives_a_late_refusal)
{
    for (const int delay : {0, 110, 250, 600})
        decline_late(surroundings::calm, milliseconds(delay));
}

// Guards against LOST around a SIGTERM, a SIGHUP or a new configuration: the
// stream was cut because another endpoint took over 100 ms to decline it.
Test(handover, a_paused_stream_survives_a_late_refusal_around_planned_work)
{
    for (const surroundings what : {surroundings::sigterm, surroundings::sighup,
                                    surroundings::configuration})
        decline_late(what, milliseconds(250));
}

// Guards against LOST: a paused stream was cut because another endpoint
// answered late that it is a different instance.
Test(handover, a_paused_stream_survives_a_late_misdirection)
{
    paused_request stream(long_pause);
    stream.other().set_delay(milliseconds(250));
    stream.other().restart_as("another");
    stream.expect_whole_stream();
}

// Guards against LOST: a paused stream was cut because another endpoint closed
// the connection late and without an answer.
Test(handover, a_paused_stream_survives_a_late_close)
{
    paused_request stream(long_pause);
    stream.other().set_delay(milliseconds(250));
    stream.other().set_fault(answer_fault::lost);
    stream.expect_whole_stream();
}

// Guards against LOST: a paused stream was cut because another endpoint took
// the request and never answered. Both may not work on it for longer than
// allowed.
Test(handover, a_paused_stream_survives_an_endpoint_that_never_answers)
{
    paused_request stream(long_pause);
    stream.other().set_fault(answer_fault::silent);
    const bool taken =
        eventually([&] { return stream.other().working() == 1; }, long_pause);
    const bool left = eventually([&] { return stream.other().working() == 0; },
                                 allowed_overlap);
    stream.expect_whole_stream();
    cr_expect(taken);
    cr_expect(left);
}

// Guards against LOST: a stream was cut although its endpoint sent an event
// while another one was asked.
Test(handover, an_event_that_comes_meanwhile_keeps_the_stream)
{
    for (const int after : {80, 200})
    {
        paused_request stream(asks_after + milliseconds(after));
        stream.other().set_delay(milliseconds(250));
        stream.other().set_fault(answer_fault::declines);
        stream.expect_whole_stream();
        cr_expect_eq(stream.fleet().runs_of(stream.asked().id), 1);
    }
}

// Guards against LOST in the second pause of a stream, after the only other
// endpoint has declined it in the first one.
Test(handover, a_stream_survives_a_second_pause)
{
    paused_request stream(long_pause);
    stream.other().set_delay(milliseconds(250));
    stream.other().set_fault(answer_fault::declines);
    const bool asked = eventually(
        [&] { return !stream.other().arrivals().empty(); }, long_pause);
    cr_assert(asked);
    std::this_thread::sleep_for(long_pause - asks_after);
    stream.first().set_pause(9, long_pause);
    stream.expect_whole_stream();
    cr_expect_eq(stream.fleet().runs_of(stream.asked().id), 1);
}

// Guards against streams that wait for an endpoint that never goes on, though
// another one would take them.
Test(handover, a_stream_leaves_an_endpoint_that_hangs)
{
    for (const int delay : {0, 150, 600})
    {
        paused_request stream(std::chrono::seconds(20));
        stream.other().set_pause(0, milliseconds(0));
        stream.other().set_delay(milliseconds(delay));
        const bool taken =
            eventually([&] { return stream.other().working() == 1; },
                       std::chrono::seconds(3));
        const bool left = eventually(
            [&] { return stream.first().working() == 0; }, allowed_overlap);
        stream.expect_whole_stream();
        cr_expect(taken);
        cr_expect(left);
    }
}

// Guards against LOST: a stream whose pause is so long that the other endpoint
// is asked twice, and declines after the first one has been left, is cut.
Test(handover, a_stream_survives_two_limits_of_silence_and_a_late_refusal)
{
    paused_request stream(milliseconds(1500));
    stream.other().set_delay(milliseconds(600));
    stream.other().set_fault(answer_fault::declines);
    stream.first().set_fault(answer_fault::declines);
    stream.expect_whole_stream();
}

// Guards against a 502 for an answer without events of which a part had arrived
// when another endpoint was asked, and declined.
Test(handover, a_paused_answer_survives_a_late_refusal)
{
    paused_request request("/look/1");
    for (std::size_t i = 0; i < 2; ++i)
    {
        request.at(i).set_padding(200);
        request.at(i).set_pieces(200, plain_asks_after + milliseconds(350));
    }
    request.begin();
    request.other().set_delay(milliseconds(250));
    request.other().set_fault(answer_fault::declines);
    const direct_answer& got = request.finish();
    cr_expect_eq(got.status, 200U, "%u", got.status);
    cr_expect(got.whole);
    cr_expect_eq(request.fleet().runs_of(request.asked().id), 1);
}

// Guards against a 502 for an answer that had not begun when another endpoint
// was asked, and declined.
Test(handover, a_late_answer_survives_a_late_refusal)
{
    paused_request request("/look/1");
    for (std::size_t i = 0; i < 2; ++i)
        request.at(i).set_pause(0, plain_asks_after + milliseconds(270));
    request.begin();
    request.other().set_delay(milliseconds(250));
    request.other().set_fault(answer_fault::declines);
    const direct_answer& got = request.finish();
    cr_expect_eq(got.status, 200U, "%u", got.status);
    cr_expect_eq(request.fleet().runs_of(request.asked().id), 1);
}

// Guards against a 502 because another endpoint declined after the first one
// had been left for it.
Test(handover, an_endpoint_that_was_left_is_asked_again_after_a_refusal)
{
    paused_request request("/look/1");
    for (std::size_t i = 0; i < 2; ++i)
        request.at(i).set_pause(0, milliseconds(1200));
    request.begin();
    request.first().set_pause(0, milliseconds(0));
    request.other().set_delay(milliseconds(500));
    request.other().set_fault(answer_fault::declines);
    const direct_answer& got = request.finish();
    cr_expect_eq(got.status, 200U, "%u", got.status);
}
