// Events of a stream, and time limits.
#include "sycamorelock/adapters/direct/traffic_metrics.hpp"
#include "sycamorelock/adapters/direct/watchdog.hpp"
#include "sycamorelock/adapters/event_stream.hpp"

#include <criterion/criterion.h>

#include <string>

using namespace sycamorelock::adapters::direct;
using sycamorelock::adapters::event_id;
using sycamorelock::adapters::event_splitter;
namespace core = sycamorelock::core;

Test(event_stream, only_complete_events_come_out)
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: bb\n\n";
    // Cut at every byte: what came out is whole, and all comes out in the end.
    for (std::size_t cut = 0; cut <= stream.size(); ++cut)
    {
        event_splitter events;
        std::string out(events.feed(stream.substr(0, cut)));
        const bool whole = out.empty() || out.ends_with("\n\n");
        cr_expect(whole, "cut at %zu", cut);
        cr_expect_eq(events.torn(), out.size() < cut);
        out += events.feed(stream.substr(cut));
        cr_expect_str_eq(out.c_str(), stream.c_str());
        cr_expect_eq(events.count(), 2U);
        cr_expect_eq(*events.last_id(), event_id(2));
    }
}

Test(event_stream, a_stream_goes_on_elsewhere_after_its_last_whole_event)
{
    event_splitter events;
    std::string out(events.feed("id: 1\ndata: a\n\nid: 2\nda"));
    cr_expect(events.torn());
    cr_expect_eq(*events.last_id(), event_id(1));
    events.drop_rest();
    out += events.feed("id: 2\ndata: b\n\n");
    cr_expect_str_eq(out.c_str(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

Test(watchdog, limits_expire_once_in_order_and_can_be_lifted)
{
    const core::time_point start{std::chrono::seconds(1)};
    watchdog dog;
    std::string seen;
    watchdog::limit a;
    watchdog::limit b;
    {
        watchdog::limit gone;
        dog.set(gone, start, [&] { seen += 'x'; });
    }
    dog.set(a, start + std::chrono::milliseconds(20), [&] { seen += 'a'; });
    dog.set(b, start + std::chrono::milliseconds(10),
            [&]
            {
                seen += 'b';
                a.lift();
            });
    dog.tick(start + std::chrono::milliseconds(5));
    cr_expect_str_eq(seen.c_str(), "");
    dog.tick(start + std::chrono::milliseconds(30));
    dog.tick(start + std::chrono::milliseconds(40));
    cr_expect_str_eq(seen.c_str(), "b");
    dog.set(a, start, [&] { seen += '1'; });
    dog.set(a, start + std::chrono::seconds(9), [&] { seen += '2'; });
    dog.tick(start + std::chrono::seconds(1));
    cr_expect_str_eq(seen.c_str(), "b");
}

// Guards against a metrics page that grows with accounts or breaks at a name.
Test(direct_metrics, refusals_are_counted_by_a_bounded_number_of_accounts)
{
    direct_metrics metrics;
    metrics.refused_accounts.add("a \"large\" one", "overloaded");
    for (std::size_t i = 0; i < 2 * account_refusals::max_accounts; ++i)
        metrics.refused_accounts.add(std::to_string(i), "beyond_share");
    metrics.refused_accounts.add("0", "overloaded");
    cr_expect_eq(metrics.refused_accounts.counts().size(),
                 account_refusals::max_accounts + 1);
    const std::string page = metrics.text();
    for (const char* line :
         {"account_refused_total{account=\"a \\\"large\\\" one\","
          "reason=\"overloaded\"} 1\n",
          "account_refused_total{account=\"0\",reason=\"overloaded\"} 1\n",
          "account_refused_total{account=\"others\",reason=\"beyond_share\"} "
          "65\n"})
        cr_expect(page.find(line) != std::string::npos, "%s", line);
}
