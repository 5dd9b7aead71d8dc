// One request on a connection of its own.
#include "caller.hpp"

#include "endpoint.hpp"

#include <boost/json/parse.hpp>

namespace standin
{

namespace
{

using clock = std::chrono::steady_clock;

constexpr std::chrono::seconds call_timeout{60};

double seconds_since(clock::time_point from)
{
    return std::chrono::duration<double>(clock::now() - from).count();
}

request compose(const call& what)
{
    std::string target =
        "/v1/services/" + what.service + "/run?mark=" + what.mark;
    if (what.tokens >= 0)
        target += "&tokens=" + std::to_string(what.tokens);
    request asked(http::verb::post, target, 11);
    asked.set(http::field::host, "fleet");
    asked.set(http::field::authorization, "Bearer " + what.key);
    for (const auto& [name, value] : what.fields)
        asked.set(name, value);
    asked.body() = "prompt";
    asked.prepare_payload();
    return asked;
}

void read_refusal(answer& result)
{
    error_code error;
    const auto root = boost::json::parse(result.body, error);
    if (error || !root.is_object())
        return;
    const auto text = [&](const char* name) -> std::string
    {
        const auto* found = root.as_object().if_contains(name);
        return found != nullptr && found->is_string()
                   ? std::string(found->as_string())
                   : "";
    };
    result.reason = text("reason");
    result.executed = text("executed");
}

/// What failed before an answer began, so that a test can tell a connection
/// that was refused from one that was closed.
answer unanswered(answer result, const char* step, error_code error)
{
    result.failure = std::string(step) + ": " + error.message();
    return result;
}

/// Checks every event of a stream, or the body of a plain answer.
void check(const call& what, answer& result, bool ended)
{
    if (what.tokens < 0)
    {
        result.foreign = ended && result.body != what.mark;
        result.whole = ended && !result.foreign;
        return;
    }
    const std::string start = "data: " + what.mark + ' ';
    std::size_t at = 0;
    std::string last;
    while (at < result.body.size())
    {
        const auto end = result.body.find("\n\n", at);
        if (end == std::string::npos)
            break;
        last = result.body.substr(at, end - at);
        result.foreign = result.foreign || !last.starts_with(start);
        ++result.tokens;
        at = end + 2;
    }
    const std::string wanted =
        start + "end " + stream_checksum(what.mark, what.tokens);
    result.whole = ended && !result.foreign && at == result.body.size() &&
                   result.tokens == what.tokens && last == wanted;
}

} // namespace

asio::awaitable<answer> ask(call what)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(call_timeout);
    auto [unconnected] =
        co_await stream.async_connect(endpoint_of(what.to), as_result);
    if (unconnected)
        co_return unanswered({}, "connect", unconnected);
    co_return co_await ask_over(stream, std::move(what));
}

asio::awaitable<answer> ask_over(beast::tcp_stream& stream, call what)
{
    answer result;
    const clock::time_point start = clock::now();
    stream.expires_after(call_timeout);
    error_code ignored;
    stream.socket().set_option(tcp::no_delay(true), ignored);
    const request asked = compose(what);
    auto [unsent, sent] = co_await http::async_write(stream, asked, as_result);
    if (unsent)
        co_return unanswered(result, "send", unsent);
    if (what.leave_after.count() > 0)
    {
        co_await sleep_for(what.leave_after);
        co_return result;
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    auto [error, bytes] =
        co_await http::async_read_header(stream, buffer, parser, as_result);
    result.seconds = seconds_since(start);
    if (error)
        co_return unanswered(result, "read header", error);
    result.status = parser.get().result_int();
    result.request_id = std::string(parser.get()["X-Request-Id"]);
    const std::string retry(parser.get()[http::field::retry_after]);
    result.retry_after = retry.empty() ? 0 : std::stol(retry);
    std::size_t seen = 0;
    while (!parser.is_done() && !error)
    {
        const auto [failed, read] =
            co_await http::async_read_some(stream, buffer, parser, as_result);
        error = failed;
        const std::string_view body = parser.get().body();
        if (what.on_piece && body.size() > seen)
            what.on_piece(body.substr(seen));
        seen = body.size();
        if (result.first_token_seconds == 0 && !parser.get().body().empty())
            result.first_token_seconds = seconds_since(start);
    }
    result.body = parser.get().body();
    result.seconds = seconds_since(start);
    result.ended = parser.is_done();
    if (result.status == 200)
        check(what, result, result.ended);
    else
        read_refusal(result);
    co_return result;
}

std::vector<answer> ask_all(std::vector<call> calls)
{
    asio::io_context context(1);
    std::vector<answer> results(calls.size());
    for (std::size_t i = 0; i < calls.size(); ++i)
    {
        asio::co_spawn(
            context,
            [&, i]() -> asio::awaitable<void>
            { results[i] = co_await ask(calls[i]); },
            asio::detached);
    }
    context.run();
    return results;
}

answer ask_now(call what)
{
    return ask_all({std::move(what)}).front();
}

} // namespace standin
