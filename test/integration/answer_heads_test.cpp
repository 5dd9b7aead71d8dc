// Heads of answers that HTTP/1.1 forbids, at each place that reads answers, as
// real processes: no caller gets such an answer, and nothing in it is believed.
#include "direct_checks.hpp"
#include "forbidden_heads.hpp"
#include "plans.hpp"
#include "raw_endpoint.hpp"

#include <atomic>
#include <cstdlib>

using namespace standin;

namespace
{

constexpr int event_count = 3;

std::string own_fields(const raw_request& asked, bool lacks_seal)
{
    const std::string fields = "Attempt-Id: " + asked.attempt_id + "\r\n";
    return lacks_seal
               ? fields
               : fields + "Server-Seal: seal-" + asked.attempt_id + "\r\n";
}

/// The whole answer of a sound endpoint, with or without a fault in its head.
std::string answer_of(const raw_request& asked, bool is_stream,
                      const forbidden_head* fault)
{
    forbidden_head head = fault == nullptr ? forbidden_head() : *fault;
    std::string fields = own_fields(asked, head.lacks_seal);
    if (is_stream)
        fields += "Content-Type: text/event-stream\r\n";
    const bool replaces_body = fault == nullptr || is_stream;
    if (!replaces_body)
        return head.bytes(fields);
    const std::string body =
        is_stream ? stream_body(asked.attempt_id, event_count, asked.last_event)
                  : "sound";
    const bool has_plain_length = head.length == "Content-Length: 2\r\n";
    if (has_plain_length)
    {
        head.length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
        head.body = body;
    }
    return head.bytes(fields);
}

/// The first request meets the fault, at either endpoint.
class service_with_fault
{
  public:
    explicit service_with_fault(bool is_stream)
        : is_stream_(is_stream),
          endpoints_(is_stream ? "planner" : "desk",
                     [this](const raw_request& asked) { return answer(asked); })
    {
    }
    void arm(const forbidden_head& fault) { fault_ = &fault; }
    [[nodiscard]] const raw_service& endpoints() const { return endpoints_; }

  private:
    raw_answer answer(const raw_request& asked)
    {
        const forbidden_head* fault = fault_.exchange(nullptr);
        raw_answer made;
        made.bytes = answer_of(asked, is_stream_, fault);
        made.fate =
            fault == nullptr ? connection_fate::kept : connection_fate::closed;
        return made;
    }

    bool is_stream_;
    std::atomic<const forbidden_head*> fault_{nullptr};
    raw_service endpoints_;
};

void check_callers(direct_fleet& fleet, const forbidden_head& head,
                   service_with_fault& desk, service_with_fault& planner)
{
    desk.arm(head);
    const direct_answer order = ask(fleet.make_call(0, "/order/x"));
    cr_expect_eq(order.status, 502U, "%s: status %u to an order",
                 head.name.c_str(), order.status);
    desk.arm(head);
    const direct_answer look = ask(fleet.make_call(0, "/look/x"));
    cr_expect(look.status == 200 && look.whole && look.body == "sound",
              "%s: status %u, body '%s'", head.name.c_str(), look.status,
              look.body.c_str());
    planner.arm(head);
    const direct_call asked = fleet.make_call(0);
    const direct_answer stream = ask(asked);
    cr_expect(stream.status == 200 && stream.whole &&
                  stream.body == stream_body(asked.id, event_count, 0),
              "%s: status %u, stream '%s'", head.name.c_str(), stream.status,
              stream.body.c_str());
    cr_expect(stream.seal == "seal-" + asked.id, "%s: seal '%s'",
              head.name.c_str(), stream.seal.c_str());
}

} // namespace

// Guards against MIXED in direct routing: lines were joined to the value before
// them, and bodies in unknown codings passed on as they were.
Test(answer_heads, no_forbidden_head_reaches_a_caller)
{
    // The budget of retries of one fleet does not suffice for all.
    static constexpr std::size_t at_once = 20;
    const std::vector<forbidden_head> all = forbidden_heads();
    for (std::size_t begin = 0; begin < all.size(); begin += at_once)
    {
        service_with_fault desk(false);
        service_with_fault planner(true);
        direct_fleet fleet(
            raw_service::plan_of({&desk.endpoints(), &planner.endpoints()}));
        const std::size_t end = std::min(begin + at_once, all.size());
        for (std::size_t i = begin; i < end; ++i)
            check_callers(fleet, all[i], desk, planner);
    }
}

// Guards against MIXED: a success without the replica's seal was passed on.
Test(answer_heads, no_unsigned_success_reaches_a_caller)
{
    service_with_fault desk(false);
    service_with_fault planner(true);
    direct_fleet fleet(
        raw_service::plan_of({&desk.endpoints(), &planner.endpoints()}));
    const std::vector<forbidden_head> heads{
        {.name = "no seal", .lacks_seal = true},
        {.name = "empty seal",
         .before = "Server-Seal:\r\n",
         .lacks_seal = true}};
    for (const forbidden_head& each : heads)
        check_callers(fleet, each, desk, planner);
    cr_expect(fleet.says(
        fleet.at(0),
        "sycamorelock_answers_refused_total{reason=\"unsigned_success\"} 6"));
}

// Guards against MIXED in scheduled routing.
Test(answer_heads, no_forbidden_head_reaches_a_scheduled_caller)
{
    fleet running(usual_plan(1));
    const auto ask_once = [&running](const forbidden_head& head)
    {
        for (const auto& each : running.endpoints("desk"))
            each->set_endless({head.bytes("")});
        call made = running.make_call(0, "north", "desk");
        made.fields["X-Idempotent"] = "false";
        return ask_now(made);
    };
    cr_expect_eq(ask_once({"sound"}).status, 200U);
    for (const forbidden_head& each : forbidden_heads())
    {
        // Endpoints that fail repeatedly are not asked.
        for (int sound = 0; sound < 4; ++sound)
            cr_expect_eq(ask_once({"sound"}).status, 200U);
        const answer got = ask_once(each);
        cr_expect_eq(got.status, 502U, "%s: status %u", each.name.c_str(),
                     got.status);
        cr_expect(got.executed != "no", "%s", each.name.c_str());
    }
}

// Guards the client of the store: an answer with such a head was believed.
Test(answer_heads, no_forbidden_head_of_the_store_is_believed)
{
    direct_plan plan = raw_service::plan_of({});
    plan.plain = 1;
    for (const forbidden_head& each : forbidden_heads())
    {
        if (!each.name.starts_with("folded") &&
            each.length.find("zip") == std::string::npos)
            continue;
        direct_fleet fleet(plan);
        // Without a fault it would be news of a change.
        forbidden_head head = each;
        head.body = R"({"events":[],"as_of":4000000})";
        if (head.length == "Content-Length: 2\r\n")
            head.length =
                "Content-Length: " + std::to_string(head.body.size()) + "\r\n";
        fleet.store().set_endless({head.bytes("")});
        cr_expect(eventually(
                      [&] {
                          return fleet.log_of(fleet.at(0)).find("store_lost") !=
                                 std::string::npos;
                      },
                      std::chrono::seconds(4)),
                  "%s", each.name.c_str());
    }
}

// Guards the client of the platform in scheduled routing.
Test(answer_heads, no_forbidden_head_of_the_platform_is_believed)
{
    fleet running(usual_plan(1));
    running.platform().set_answer("HTTP/1.1 304 Not Modified\r\nX-A: b\r\n c"
                                  "\r\nContent-Length: 0\r\n\r\n");
    // Ends the calls that wait.
    running.publish_tree({{"north"}, {"south"}, {"new"}});
    cr_expect(eventually(
        [&]
        {
            return std::any_of(running.instances().begin(),
                               running.instances().end(),
                               [](const instance& each)
                               {
                                   return text_of(each.log_file)
                                              .find("platform_unreachable") !=
                                          std::string::npos;
                               });
        },
        std::chrono::seconds(10)));
}

// Guards the command line.
Test(answer_heads, no_forbidden_head_is_shown_to_operators)
{
    const auto status_of = [](const forbidden_head& head)
    {
        raw_endpoint port(
            [&head](const raw_request&) {
                return raw_answer{head.bytes(""), connection_fate::closed};
            });
        const std::string line = std::string(SYCAMORELOCK_PATH) +
                                 " status --at " + port.address() +
                                 " >/dev/null 2>&1";
        return std::system(line.c_str());
    };
    cr_expect_eq(status_of({"sound"}), 0);
    for (const forbidden_head& each : forbidden_heads())
        cr_expect_neq(status_of(each), 0, "%s", each.name.c_str());
}
