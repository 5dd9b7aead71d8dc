// Endpoints that answer before they have read a long request, in answers that
// end with their connection, as real processes: a part of an answer never looks
// whole, and what is whole is delivered.
#include "direct_checks.hpp"
#include "raw_endpoint.hpp"

#include <atomic>

using namespace standin;
using std::chrono::milliseconds;

namespace
{

constexpr std::size_t request_bytes = 4'000'000;
constexpr int event_count = 400;
/// Below and above what is held before an answer is passed on.
constexpr std::size_t small_part = 10'000;
constexpr std::size_t large_part = 700'000;

std::string head(const raw_request& asked, const std::string& fields)
{
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + asked.attempt_id +
           "\r\nServer-Seal: seal-" + asked.attempt_id + "\r\n" + fields +
           "\r\n";
}

/// Answer of a plain endpoint; its first bytes are a part of it.
std::string plain_body(const std::string& attempt_id)
{
    std::string body;
    body.reserve(2 * large_part);
    while (body.size() < 2 * large_part)
        body += "answer to " + attempt_id + '\n';
    return body;
}

/// The endpoint that is asked first gives the early answer, the other one reads
/// on and answers with a framed body.
class service_with_fault
{
  public:
    /// \param stream whether the answers are streams.
    explicit service_with_fault(bool stream)
        : stream_(stream),
          endpoints_(stream ? "planner" : "desk",
                     [this](const raw_request& asked) { return answer(asked); })
    {
    }

    /// The next request meets the fault.
    /// \param part bytes of the body before its end; all of it if 0.
    void arm(connection_fate fate, std::size_t part, milliseconds pause)
    {
        fate_ = fate;
        part_ = part;
        pause_ = pause;
        armed_ = true;
    }

    [[nodiscard]] std::string body(const raw_request& asked) const
    {
        return stream_ ? stream_body(asked.attempt_id, event_count,
                                     asked.last_event)
                       : plain_body(asked.attempt_id);
    }

    [[nodiscard]] const raw_service& endpoints() const { return endpoints_; }

  private:
    raw_answer answer(const raw_request& asked) const
    {
        const std::string type =
            stream_ ? "Content-Type: text/event-stream\r\n" : "";
        const std::string whole = body(asked);
        raw_answer made;
        if (!armed_.exchange(false))
        {
            made.read_before = request_bytes;
            made.fate = connection_fate::kept;
            made.bytes =
                head(asked, type + "Content-Length: " +
                                std::to_string(whole.size()) + "\r\n") +
                whole;
            return made;
        }
        made.bytes = head(asked, type + "Connection: close\r\n") +
                     (part_ > 0 ? whole.substr(0, part_) : whole);
        made.fate = fate_;
        made.pause = pause_;
        return made;
    }

    bool stream_;
    connection_fate fate_ = connection_fate::closed;
    std::size_t part_ = 0;
    milliseconds pause_{0};
    mutable std::atomic<bool> armed_{false};
    raw_service endpoints_;
};

/// One instance that takes requests of 4 MB, before such services.
direct_plan plan_of(std::initializer_list<const raw_service*> services)
{
    direct_plan plan = raw_service::plan_of(services);
    plan.limits = R"("max_header_bytes":8192,"max_body_bytes":4194304,
"header_timeout_ms":3000,"idle_timeout_ms":5000)";
    return plan;
}

/// Asks with a body that no buffer holds.
direct_answer ask_with_upload(direct_fleet& fleet, const std::string& path,
                              std::string& id)
{
    direct_call asked = fleet.make_call(0, path);
    asked.body = std::string(request_bytes, 'b');
    id = asked.id;
    return ask(asked);
}

struct early_end
{
    const char* name;
    connection_fate fate;
    std::size_t part;
    milliseconds pause;
};

std::vector<early_end> broken_ends(std::vector<std::size_t> parts)
{
    std::vector<early_end> all;
    for (const std::size_t part : parts)
    {
        for (const milliseconds pause : {milliseconds(0), milliseconds(100)})
        {
            all.push_back({"reset", connection_fate::reset, part, pause});
            all.push_back(
                {"closed unread", connection_fate::closed_unread, part, pause});
            all.push_back({"closed, then reset",
                           connection_fate::closed_then_reset, part, pause});
        }
    }
    return all;
}

/// Endings of an answer that is whole.
std::vector<early_end> orderly_ends()
{
    return {
        {"closed", connection_fate::closed, 0, milliseconds(0)},
        {"closed later", connection_fate::closed, 0, milliseconds(100)},
        {"half closed", connection_fate::half_closed, 0, milliseconds(0)},
    };
}

std::string text_of(const early_end& end)
{
    return std::string(end.name) + " after " + std::to_string(end.part) +
           " bytes and " + std::to_string(end.pause.count()) + " ms";
}

} // namespace

// Guards against MIXED: the write of the request took the error of the reset,
// the read saw an end, and callers got the part as a whole 200.
Test(early_answers, a_part_of_an_order_is_not_passed_on_as_whole)
{
    service_with_fault desk(false);
    direct_fleet fleet(plan_of({&desk.endpoints()}));
    std::string id;
    for (const early_end& each : broken_ends({small_part, large_part}))
    {
        desk.arm(each.fate, each.part, each.pause);
        const direct_answer got = ask_with_upload(fleet, "/order/x", id);
        // Less than was sent may have arrived before the reset.
        const bool may_begin = each.part == large_part;
        cr_expect(got.status == 502 || (may_begin && !got.whole),
                  "%s: status %u, whole %d, %zu bytes", text_of(each).c_str(),
                  got.status, got.whole, got.body.size());
        cr_expect_eq(desk.endpoints().answered(id), 1, "%s",
                     text_of(each).c_str());
    }
}

// Guards against the same where the request may be repeated.
Test(early_answers, a_part_of_a_repeatable_answer_is_replaced)
{
    service_with_fault desk(false);
    direct_fleet fleet(plan_of({&desk.endpoints()}));
    std::string id;
    for (const early_end& each : broken_ends({small_part, large_part}))
    {
        desk.arm(each.fate, each.part, each.pause);
        const direct_answer got = ask_with_upload(fleet, "/look/x", id);
        const bool may_begin = each.part == large_part;
        const bool is_whole =
            got.status == 200 && got.whole && got.body == desk.body({id});
        cr_expect(is_whole || (may_begin && !got.whole),
                  "%s: status %u, whole %d, %zu bytes", text_of(each).c_str(),
                  got.status, got.whole, got.body.size());
    }
}

// Guards against the same in streams, which ended as if complete and did not go
// on elsewhere.
Test(early_answers, a_part_of_a_stream_goes_on_elsewhere)
{
    service_with_fault planner(true);
    direct_fleet fleet(plan_of({&planner.endpoints()}));
    // The end of an event. One in the middle is seen as torn.
    const std::size_t part = stream_body("c1", event_count / 2, 0).size();
    std::string id;
    for (early_end each : broken_ends({part}))
    {
        planner.arm(each.fate, each.part, each.pause);
        direct_call asked = fleet.make_call(0, "/plan/x");
        asked.id = "c1";
        asked.body = std::string(request_bytes, 'b');
        const direct_answer got = ask(asked);
        cr_expect(got.status == 200 && got.whole &&
                      got.body == planner.body({"c1"}),
                  "%s: status %u, whole %d, %zu bytes", text_of(each).c_str(),
                  got.status, got.whole, got.body.size());
        planner.arm(each.fate, each.part, each.pause);
        asked.path = "/draft/x";
        const direct_answer once = ask(asked);
        cr_expect(once.status == 502 || !once.whole,
                  "%s: status %u, whole %d, %zu bytes", text_of(each).c_str(),
                  once.status, once.whole, once.body.size());
    }
}

// Guards against refusing what is whole: an end in order tells the length, also
// before the request is read.
Test(early_answers, an_early_answer_that_ends_in_order_is_whole)
{
    service_with_fault desk(false);
    service_with_fault planner(true);
    direct_fleet fleet(plan_of({&desk.endpoints(), &planner.endpoints()}));
    std::string id;
    for (const early_end& each : orderly_ends())
    {
        for (const char* path : {"/order/x", "/look/x", "/plan/x", "/draft/x"})
        {
            const bool is_stream = std::string(path) == "/plan/x" ||
                                   std::string(path) == "/draft/x";
            service_with_fault& service = is_stream ? planner : desk;
            service.arm(each.fate, each.part, each.pause);
            const direct_answer got = ask_with_upload(fleet, path, id);
            cr_expect(got.status == 200 && got.whole &&
                          got.body == service.body({id}),
                      "%s at %s: status %u, whole %d, %zu bytes", each.name,
                      path, got.status, got.whole, got.body.size());
            cr_expect_eq(service.endpoints().answered(id), 1, "%s at %s",
                         each.name, path);
        }
    }
}
