// Writes raw bytes, so that an answer can be cut anywhere.
#include "direct_engine.hpp"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>

namespace standin
{

namespace
{

std::string event(const std::string& attempt_id, long id,
                  std::size_t padding = 0)
{
    // The content of an event does not depend on who makes it.
    const std::string subject = attempt_id.substr(0, attempt_id.find('/'));
    return "id: " + std::to_string(id) + "\ndata: " + subject + '-' +
           std::to_string(id) + std::string(padding, '.') + "\n\n";
}

std::string chunk(const std::string& bytes)
{
    std::ostringstream size;
    size << std::hex << bytes.size();
    return size.str() + "\r\n" + bytes + "\r\n";
}

std::chrono::milliseconds rest_time(const std::string& retry_after)
{
    static constexpr double ms_per_second = 1000;
    return std::chrono::milliseconds(static_cast<long>(
        std::strtod(retry_after.c_str(), nullptr) * ms_per_second));
}

constexpr const char* refusal_bytes =
    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
    "Content-Length: 0\r\n\r\n";
/// From a repeated refusal to the answer.
constexpr std::chrono::milliseconds answer_later{200};

std::uint16_t port_of(const beast::tcp_stream& stream)
{
    error_code error;
    return stream.socket().remote_endpoint(error).port();
}

/// Whether the other side has closed or reset the connection.
bool has_ended(beast::tcp_stream& stream)
{
    char byte = 0;
    const ssize_t size = recv(stream.socket().native_handle(), &byte, 1,
                              MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/// Waits; returns false as soon as the connection has ended.
asio::awaitable<bool> wait_while_open(beast::tcp_stream& stream,
                                      std::chrono::milliseconds length)
{
    static constexpr std::chrono::milliseconds period{20};
    const auto end = std::chrono::steady_clock::now() + length;
    for (std::chrono::milliseconds left = length; left.count() > 0;
         left = std::chrono::duration_cast<std::chrono::milliseconds>(
             end - std::chrono::steady_clock::now()))
    {
        co_await sleep_for(std::min(left, period));
        if (has_ended(stream))
            co_return false;
    }
    co_return true;
}

long number_of(const request& asked, const char* name)
{
    const std::string text(asked[name]);
    return text.empty() ? 0 : std::strtol(text.c_str(), nullptr, 10);
}

} // namespace

std::string stream_body(const std::string& attempt_id, int events, long after)
{
    std::string body;
    for (long id = after + 1; id <= events; ++id)
        body += event(attempt_id, id);
    return body;
}

std::string direct_engine::header(const std::string& attempt_id,
                                  const char* status) const
{
    const std::lock_guard lock(mutex_);
    return std::string("HTTP/1.1 ") + status + "\r\nAttempt-Id: " + attempt_id +
           "\r\nServer-Seal: seal-" + attempt_id +
           "\r\nKeep-Alive: timeout=5\r\n" +
           (leaving_ ? "Server-Leaving: 1\r\n" : "");
}

std::string direct_engine::plain_answer(const std::string& attempt_id) const
{
    std::string body = "answer to " + attempt_id;
    {
        const std::lock_guard lock(mutex_);
        body.append(padding_, '.');
    }
    return header(attempt_id, "200 OK") +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

response direct_engine::refusal(http::status status) const
{
    const std::lock_guard lock(mutex_);
    response made = make_response(status, "");
    if (leaving_)
        made.set("Server-Leaving", "1");
    return made;
}

direct_engine::direct_engine(const std::string& address, std::string boot,
                             int events, std::chrono::milliseconds gap)
    : boot_(std::move(boot)), events_(events), gap_(gap),
      server_(runner_, address,
              [this](beast::tcp_stream& s, request asked)
              { return answer(s, std::move(asked)); })
{
}

direct_engine::~direct_engine()
{
    runner_.stop();
}

void direct_engine::set_fault(answer_fault fault, long cut_at, int times)
{
    const std::lock_guard lock(mutex_);
    fault_ = fault;
    cut_at_ = cut_at;
    fault_times_ = times;
}

void direct_engine::set_endless(const endless_bytes& what)
{
    {
        const std::lock_guard lock(mutex_);
        endless_ = what;
    }
    set_fault(answer_fault::endless);
}

void direct_engine::set_spoiled(const spoiled_stream& what, int times)
{
    {
        const std::lock_guard lock(mutex_);
        spoiled_ = what;
    }
    set_fault(answer_fault::spoiled, 0, times);
}

answer_fault direct_engine::take_fault()
{
    const std::lock_guard lock(mutex_);
    if (fault_times_ == 0)
        return answer_fault::none;
    if (fault_times_ > 0)
        --fault_times_;
    return fault_;
}

void direct_engine::restart_as(const std::string& boot)
{
    const std::lock_guard lock(mutex_);
    boot_ = boot;
}

void direct_engine::set_pause(long before_event,
                              std::chrono::milliseconds length)
{
    const std::lock_guard lock(mutex_);
    paused_event_ = before_event;
    pause_ = length;
}

void direct_engine::set_delay(std::chrono::milliseconds length)
{
    const std::lock_guard lock(mutex_);
    delay_ = length;
}

void direct_engine::set_padding(std::size_t bytes)
{
    const std::lock_guard lock(mutex_);
    padding_ = bytes;
}

void direct_engine::set_pieces(std::size_t bytes, std::chrono::milliseconds gap)
{
    const std::lock_guard lock(mutex_);
    piece_size_ = bytes;
    piece_gap_ = gap;
}

std::chrono::milliseconds direct_engine::gap_before(long event) const
{
    const std::lock_guard lock(mutex_);
    return event == paused_event_ ? gap_ + pause_ : gap_;
}

void direct_engine::set_crash(const crash_rule& rule,
                              std::function<void(const std::string&)> on_change)
{
    const std::lock_guard lock(mutex_);
    crash_rule_ = rule;
    on_crash_change_ = std::move(on_change);
}

std::vector<endpoint_crash> direct_engine::crashes() const
{
    const std::lock_guard lock(mutex_);
    return crashes_;
}

bool direct_engine::crashes_under(const engine_run& run, long event) const
{
    const std::lock_guard lock(mutex_);
    return crash_rule_ && event == crash_rule_->before_event &&
           (crash_rule_->body.empty() || run.body == crash_rule_->body) &&
           run.parts.find(crash_rule_->part) != std::string::npos;
}

void direct_engine::crash(const engine_run& run)
{
    if (is_down_)
        return;
    is_down_ = true;
    std::string before;
    {
        const std::lock_guard lock(mutex_);
        crashes_.push_back({run.attempt_id, std::chrono::steady_clock::now()});
        before = boot_;
    }
    server_.crash();
    on_crash_change_(before);
    asio::co_spawn(runner_.context(), come_back(), asio::detached);
}

asio::awaitable<void> direct_engine::come_back()
{
    std::chrono::milliseconds downtime{0};
    {
        const std::lock_guard lock(mutex_);
        downtime = crash_rule_->downtime;
    }
    co_await sleep_for(downtime);
    std::string next;
    {
        const std::lock_guard lock(mutex_);
        next = boot_.substr(0, boot_.find('/')) + '/' +
               std::to_string(crashes_.size());
    }
    restart_as(next);
    server_.listen_again();
    is_down_ = false;
    on_crash_change_({});
}

std::string direct_engine::version() const
{
    const std::lock_guard lock(mutex_);
    return version_;
}

void direct_engine::set_version(const std::string& version)
{
    const std::lock_guard lock(mutex_);
    version_ = version;
}

void direct_engine::set_leaving(bool leaving)
{
    const std::lock_guard lock(mutex_);
    leaving_ = leaving;
}

void direct_engine::set_rest(const std::string& retry_after)
{
    const std::lock_guard lock(mutex_);
    rest_ = retry_after;
}

std::vector<arrival> direct_engine::arrivals() const
{
    const std::lock_guard lock(mutex_);
    return arrivals_;
}

std::vector<engine_run> direct_engine::runs() const
{
    const std::lock_guard lock(mutex_);
    return runs_;
}

int direct_engine::runs_of(const std::string& attempt_id) const
{
    const std::lock_guard lock(mutex_);
    return static_cast<int>(std::count_if(
        runs_.begin(), runs_.end(),
        [&](const engine_run& run) { return run.attempt_id == attempt_id; }));
}

/// Sends bytes, or as many as the fault leaves; false if the connection ends.
asio::awaitable<bool> direct_engine::send(beast::tcp_stream& stream,
                                          std::string bytes, answer_fault fault,
                                          long& left)
{
    const bool cut =
        fault == answer_fault::cut && static_cast<long>(bytes.size()) >= left;
    if (cut)
        bytes.resize(static_cast<std::size_t>(std::max(0L, left)));
    left -= static_cast<long>(bytes.size());
    std::size_t piece = 0;
    std::chrono::milliseconds gap{0};
    {
        const std::lock_guard lock(mutex_);
        piece = piece_size_;
        gap = piece_gap_;
    }
    while (piece > 0 && bytes.size() > piece)
    {
        auto [failed, some] = co_await asio::async_write(
            stream, asio::buffer(bytes.data(), piece), as_result);
        if (failed)
            co_return false;
        bytes.erase(0, piece);
        co_await sleep_for(gap);
    }
    auto [error, sent] =
        co_await asio::async_write(stream, asio::buffer(bytes), as_result);
    co_return !error && !cut;
}

asio::awaitable<bool> direct_engine::stream_events(beast::tcp_stream& stream,
                                                   const engine_run& run,
                                                   answer_fault fault)
{
    const bool framed = fault != answer_fault::unframed;
    long left = 0;
    std::size_t padding = 0;
    {
        const std::lock_guard lock(mutex_);
        left = cut_at_;
        padding = padding_;
    }
    std::string head = header(run.attempt_id, "200 OK") +
                       "Content-Type: text/event-stream\r\n";
    head += framed ? "Transfer-Encoding: chunked\r\n\r\n"
                   : "Connection: close\r\n\r\n";
    if (!co_await send(stream, std::move(head), fault, left))
        co_return false;
    for (long id = run.last_event + 1; id <= events_; ++id)
    {
        const std::chrono::milliseconds gap = gap_before(id);
        if (!co_await wait_while_open(stream, gap))
            co_return false;
        if (crashes_under(run, id))
        {
            crash(run);
            co_return false;
        }
        // Named: GCC 12 frees temporaries of such calls twice.
        std::string bytes = event(run.attempt_id, id, padding);
        if (framed)
            bytes = chunk(bytes);
        if (!co_await send(stream, std::move(bytes), fault, left))
            co_return false;
    }
    if (!framed)
        co_return false;
    std::string end = "0\r\n\r\n";
    co_return co_await send(stream, std::move(end), fault, left);
}

asio::awaitable<bool> direct_engine::send_spoiled(beast::tcp_stream& stream,
                                                  const engine_run& run)
{
    spoiled_stream what;
    {
        const std::lock_guard lock(mutex_);
        what = spoiled_;
    }
    const std::string body =
        what.spoil(stream_body(run.attempt_id, events_, run.last_event));
    std::string bytes = header(run.attempt_id, what.status.c_str());
    if (!what.content_type.empty())
        bytes += "Content-Type: " + what.content_type + "\r\n";
    bytes += what.framed ? "Transfer-Encoding: chunked\r\n\r\n"
                         : "Connection: close\r\n\r\n";
    if (!what.framed)
        bytes += body;
    else
        bytes +=
            (body.empty() ? "" : chunk(body)) + (what.cut ? "" : "0\r\n\r\n");
    long whole = 0;
    const bool sent =
        co_await send(stream, std::move(bytes), answer_fault::none, whole);
    const bool stays_open = what.framed && !what.cut;
    co_return stays_open ? sent : false;
}

std::string direct_engine::unnamed_bytes(answer_fault fault,
                                         const std::string& answer)
{
    static const std::string success =
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nof nobody";
    switch (fault)
    {
    case answer_fault::stray_refusal:
        return refusal_bytes + answer;
    case answer_fault::stray_misdirection:
        return "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n" +
               answer;
    case answer_fault::stray_success:
        return success + answer;
    case answer_fault::unnamed:
        return success;
    default:
        return {};
    }
}

asio::awaitable<bool>
direct_engine::send_after_refusal(beast::tcp_stream& stream,
                                  std::string own_answer)
{
    bool declined = false;
    {
        const std::lock_guard lock(mutex_);
        declined = declined_from_.contains(port_of(stream));
    }
    long whole = 0;
    if (declined)
    {
        std::string again = refusal_bytes;
        co_await send(stream, std::move(again), answer_fault::none, whole);
        co_await sleep_for(answer_later);
    }
    co_return co_await send(stream, std::move(own_answer), answer_fault::none,
                            whole);
}

asio::awaitable<bool> direct_engine::answer(beast::tcp_stream& stream,
                                            request asked)
{
    engine_run run;
    run.attempt_id = std::string(asked["Attempt-Id"]);
    run.account = std::string(asked["Tenant"]);
    run.parts = std::string(asked["Prefix-Hash"]);
    run.body = asked.body();
    run.target = std::string(asked.target());
    run.time_left_ms = number_of(asked, "Deadline-Ms");
    run.last_event = number_of(asked, "Last-Event-Id");
    run.had_api_key = asked.count(http::field::authorization) > 0;
    const answer_fault fault = take_fault();
    std::string boot;
    std::string before;
    std::string rest;
    std::chrono::milliseconds delay{0};
    {
        const std::lock_guard lock(mutex_);
        delay = delay_;
        boot = boot_;
        before = answer_before_;
        rest = rest_;
        arrivals_.push_back({run.attempt_id, std::chrono::steady_clock::now(),
                             leaving_, rest_time(rest)});
    }
    if (!co_await wait_while_open(stream, delay))
        co_return false;
    if (asked["Expect-Instance"] != boot)
    {
        response other = refusal(http::status::misdirected_request);
        other.set("Instance", boot);
        co_return co_await write(stream, std::move(other), asked);
    }
    if (fault == answer_fault::declines || !rest.empty())
    {
        response full = refusal(http::status::service_unavailable);
        full.set("Not-Executed", "1");
        if (!rest.empty())
            full.set(http::field::retry_after, rest);
        {
            const std::lock_guard lock(mutex_);
            declined_from_.insert(port_of(stream));
        }
        co_return co_await write(stream, std::move(full), asked);
    }
    run.at = std::chrono::steady_clock::now();
    const std::string own_answer = plain_answer(run.attempt_id);
    {
        const std::lock_guard lock(mutex_);
        runs_.push_back(run);
        answer_before_ = own_answer;
    }
    ++working_;
    bool more = false;
    long whole = 0;
    if (fault == answer_fault::silent)
    {
        // Until the other side closes.
        char byte = 0;
        co_await stream.async_read_some(asio::buffer(&byte, 1), as_result);
    }
    else if (fault == answer_fault::server_error)
        more = co_await write(
            stream, make_response(http::status::internal_server_error, "bad"),
            asked);
    else if (fault == answer_fault::endless)
    {
        endless_bytes what;
        {
            const std::lock_guard lock(mutex_);
            what = endless_;
        }
        co_await send_endlessly(stream, std::move(what), endless_sent_);
    }
    else if (fault == answer_fault::extra && !before.empty())
    {
        std::string bytes = before + own_answer;
        more =
            co_await send(stream, std::move(bytes), answer_fault::none, whole);
    }
    else if (fault == answer_fault::repeated_refusal)
        more = co_await send_after_refusal(stream, own_answer);
    else if (std::string strays = unnamed_bytes(fault, own_answer);
             !strays.empty())
        more =
            co_await send(stream, std::move(strays), answer_fault::none, whole);
    else if (fault == answer_fault::spoiled && events_ > 0)
        more = co_await send_spoiled(stream, run);
    else if (fault != answer_fault::lost && events_ > 0)
        more = co_await stream_events(stream, run, fault);
    else if (fault != answer_fault::lost)
    {
        const std::chrono::milliseconds gap = gap_before(0);
        co_await sleep_for(gap);
        if (crashes_under(run, 1))
        {
            crash(run);
            --working_;
            co_return false;
        }
        long left = 0;
        {
            const std::lock_guard lock(mutex_);
            left = cut_at_;
        }
        std::string bytes = own_answer;
        more = co_await send(stream, std::move(bytes), fault, left);
    }
    --working_;
    co_return more;
}

} // namespace standin
