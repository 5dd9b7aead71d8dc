// Hostile and clumsy callers get a clear error and harm nobody else.
#include "plans.hpp"

#include <criterion/criterion.h>

using namespace standin;

namespace
{

/// Sends raw bytes, and reads until the instance closes or a time limit.
asio::awaitable<void> exchange(const std::string& to, const std::string& bytes,
                               std::string& got)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(std::chrono::seconds(4));
    auto [unconnected] =
        co_await stream.async_connect(endpoint_of(to), as_result);
    if (unconnected)
        co_return;
    co_await asio::async_write(stream, asio::buffer(bytes), as_result);
    std::array<char, 4096> piece;
    for (;;)
    {
        auto [error, size] =
            co_await stream.async_read_some(asio::buffer(piece), as_result);
        got.append(piece.data(), size);
        if (error)
            co_return;
    }
}

std::string exchange_raw(const std::string& to, const std::string& bytes)
{
    std::string got;
    run_to_end(exchange(to, bytes, got));
    return got;
}

fleet_plan impatient_plan()
{
    fleet_plan plan = usual_plan(1);
    plan.extra += "header_timeout_ms: 1000\nmax_body_bytes: 10000\n";
    return plan;
}

const std::string head = "POST /v1/services/desk/x HTTP/1.1\r\nHost: f\r\n"
                         "Authorization: Bearer key-north\r\n";

} // namespace

Test(callers, malformed_requests_get_a_clear_error)
{
    fleet running(impatient_plan());
    const std::string at = running.at(0).caller_address();
    const std::vector<std::pair<std::string, std::string>> cases{
        {"NONSENSE\r\n\r\n", "400"},
        {"GET / HTTP/9.9\r\n\r\n", "400"},
        {"GET /ready HTTP/1.0\r\n\r\n", "505"},
        {head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
         "400"},
        {head + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n",
         "400"},
        {head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello", "400"},
        {head + "Content-Length: -1\r\n\r\n", "400"},
        {head + "Transfer-Encoding: chunked\r\n\r\nZZ\r\n", "400"},
        {head + "Content-Length: 20000\r\n\r\n", "413"},
        {head + "X: " + std::string(40000, 'x') + "\r\n\r\n", "431"},
        {head + "X-Deadline-Ms: soon\r\nContent-Length: 0\r\n\r\n", "400"},
        {head + "X-Cost-Hint: 0\r\nContent-Length: 0\r\n\r\n", "400"},
        {head + "X-Idempotent: maybe\r\nContent-Length: 0\r\n\r\n", "400"},
    };
    for (const auto& [bytes, status] : cases)
    {
        const std::string got = exchange_raw(at, bytes);
        cr_assert(got.starts_with("HTTP/1.1 " + status), "%s -> %s",
                  bytes.substr(0, 120).c_str(), got.substr(0, 60).c_str());
    }
    cr_assert(ask_now(running.make_call(0, "north", "desk")).completed());
}

Test(callers, a_slow_request_times_out_and_harms_nobody)
{
    fleet running(impatient_plan());
    const std::string at = running.at(0).caller_address();
    std::string slow;
    std::thread half([&] { slow = exchange_raw(at, head); });
    for (int i = 0; i < 10; ++i)
        cr_assert(ask_now(running.make_call(0, "north", "desk")).completed());
    half.join();
    cr_assert(slow.starts_with("HTTP/1.1 408"), "%s", slow.c_str());
}

Test(callers, refusals_come_at_once_and_say_when_to_come_back)
{
    fleet_plan plan = usual_plan(1);
    plan.services.front().extra = "      max_queue_per_account: 5\n";
    fleet running(plan);
    std::vector<call> calls = streams(running, 0, 60, 100);
    int refused = 0;
    for (std::size_t i = 0; const answer& got : ask_all(calls))
    {
        if (got.refused())
        {
            ++refused;
            cr_assert_eq(got.status, 429);
            cr_assert_str_eq(got.executed.c_str(), "no");
            cr_assert(got.retry_after >= 1);
            cr_assert(got.seconds < 0.5, "%f", got.seconds);
            cr_assert_eq(running.runs("planner", calls[i].mark), 0);
        }
        ++i;
    }
    cr_assert(refused > 20, "%d", refused);
}

Test(callers, a_deadline_that_cannot_be_met_is_refused)
{
    fleet running(usual_plan(1));
    std::vector<call> calls = streams(running, 0, 80, 150);
    for (call& made : calls)
        made.fields["X-Deadline-Ms"] = "700";
    int refused = 0;
    for (const answer& got : ask_all(calls))
    {
        refused += got.refused() ? 1 : 0;
        if (got.refused())
            cr_assert(got.seconds < 1.5, "%f", got.seconds);
        else
            cr_assert(got.completed());
    }
    cr_assert(refused > 10, "%d", refused);
}
