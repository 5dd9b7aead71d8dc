// Continuous batching in miniature.
#include "endpoint.hpp"

#include <boost/crc.hpp>

namespace standin
{

std::string stream_checksum(const std::string& mark, long tokens)
{
    boost::crc_32_type crc;
    const std::string text = mark + '/' + std::to_string(tokens);
    crc.process_bytes(text.data(), text.size());
    return std::to_string(crc.checksum());
}

endpoint::endpoint(endpoint_options options)
    : options_(options), reported_load_(R"({"running":0,"leaving":false})"),
      server_(runner_, options.address,
              [this](beast::tcp_stream& stream, request asked)
              { return answer(stream, std::move(asked)); })
{
}

endpoint::~endpoint()
{
    runner_.stop();
}

int endpoint::started(const std::string& mark) const
{
    const std::lock_guard lock(mutex_);
    const auto found = started_by_mark_.find(mark);
    return found == started_by_mark_.end() ? 0 : found->second;
}

void endpoint::set_crash(const std::string& mark,
                         std::chrono::milliseconds downtime)
{
    const std::lock_guard lock(mutex_);
    crash_mark_ = mark;
    downtime_ = downtime;
}

std::vector<std::chrono::steady_clock::time_point> endpoint::crashes() const
{
    const std::lock_guard lock(mutex_);
    return crashes_;
}

void endpoint::set_endless(const endless_bytes& what)
{
    const std::lock_guard lock(mutex_);
    endless_ = what;
}

bool endpoint::crash_under(const std::string& mark)
{
    const std::lock_guard lock(mutex_);
    if (crash_mark_.empty() || mark != crash_mark_)
        return false;
    if (is_down_)
        return true;
    is_down_ = true;
    crashes_.push_back(std::chrono::steady_clock::now());
    server_.crash();
    asio::co_spawn(runner_.context(), come_back(downtime_), asio::detached);
    return true;
}

asio::awaitable<void> endpoint::come_back(std::chrono::milliseconds downtime)
{
    co_await sleep_for(downtime);
    server_.listen_again();
    const std::lock_guard lock(mutex_);
    is_down_ = false;
}

asio::awaitable<void> endpoint::enter()
{
    // An engine admits what arrives; what exceeds its batch waits.
    while (running_ >= options_.slots)
        co_await sleep_for(options_.step);
    ++running_;
}

std::string endpoint::request_name(const request& asked) const
{
    if (mixed_)
        return "00000000-00000000-0";
    return std::string(asked["X-Request-Id"]);
}

asio::awaitable<bool> endpoint::answer(beast::tcp_stream& stream, request asked)
{
    const std::string target(asked.target());
    if (target == "/load")
    {
        const auto at = std::chrono::steady_clock::now();
        response load = make_response(http::status::ok, reported_load_);
        if (at - load_at_ >= options_.load_lag)
        {
            load_at_ = at;
            reported_load_ =
                "{\"running\":" + std::to_string(running_ + waiting_) +
                ",\"leaving\":" + (leaving_ ? "true" : "false") + "}";
        }
        co_return co_await write(stream, std::move(load), asked);
    }
    const std::string mark = query_value(target, "mark");
    std::optional<endless_bytes> endless;
    {
        const std::lock_guard lock(mutex_);
        ++started_by_mark_[mark];
        endless = endless_;
    }
    ++started_;
    ++waiting_;
    co_await enter();
    --waiting_;
    const long tokens = query_number(target, "tokens", -1);
    bool more = false;
    if (endless)
        co_await send_endlessly(stream, std::move(*endless), endless_sent_);
    else if (drop_answers_ || crash_under(mark))
        more = false;
    else if (tokens >= 0)
        more = co_await stream_tokens(stream, asked, mark, tokens);
    else
        more = co_await answer_once(stream, asked, mark);
    --running_;
    if (more && odd_bytes_)
    {
        static const std::string odd = "HTTP/1.1 200 OK\r\n";
        co_await asio::async_write(stream, asio::buffer(odd), as_result);
    }
    co_return more;
}

asio::awaitable<bool> endpoint::answer_once(beast::tcp_stream& stream,
                                            const request& asked,
                                            const std::string& mark)
{
    response done = make_response(http::status::ok, mark);
    done.set("X-Request-Id", request_name(asked));
    co_return co_await write(stream, std::move(done), asked);
}

asio::awaitable<bool> endpoint::stream_tokens(beast::tcp_stream& stream,
                                              const request& asked,
                                              const std::string& mark,
                                              long tokens)
{
    const std::size_t prefix =
        std::hash<std::string>()(asked.body().substr(0, 512));
    if (!prefixes_.contains(prefix))
    {
        if (prefixes_.size() >= options_.prefix_cache)
            prefixes_.erase(prefixes_.begin());
        prefixes_.insert(prefix);
        const auto kilobytes = static_cast<long>(asked.body().size() / 1024);
        co_await sleep_for(options_.prefill_per_kb * kilobytes);
    }
    http::response<http::empty_body> header(http::status::ok, 11);
    header.set(http::field::content_type, "text/event-stream");
    header.set("X-Request-Id", request_name(asked));
    header.chunked(true);
    http::response_serializer<http::empty_body> serializer(header);
    auto [unsent, sent] =
        co_await http::async_write_header(stream, serializer, as_result);
    if (unsent)
        co_return false;
    for (long i = 0; i < tokens; ++i)
    {
        if (i == truncate_after_)
            co_return false;
        const auto others = static_cast<long>(running_) - 1;
        co_await sleep_for(options_.step + options_.step_per_request * others);
        std::string event = "data: " + mark + ' ' + std::to_string(i) + "\n\n";
        if (i + 1 == tokens)
            event = "data: " + mark + " end " + stream_checksum(mark, tokens) +
                    "\n\n";
        auto [error, bytes] = co_await asio::async_write(
            stream, http::make_chunk(asio::buffer(event)), as_result);
        // The caller went away: an engine cancels on disconnect.
        if (error)
            co_return false;
    }
    auto [error, bytes] =
        co_await asio::async_write(stream, http::make_chunk_last(), as_result);
    co_return !error;
}

} // namespace standin
