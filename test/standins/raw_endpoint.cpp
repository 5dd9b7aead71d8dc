// Reads the request's body by itself, so that it can stop anywhere.
#include "raw_endpoint.hpp"

#include <boost/asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace standin
{

namespace
{

/// Segments of an Ethernet link and a small window. With the segments of the
/// loopback interface the kernel's buffers hold a request of some megabytes.
constexpr int segment = 1460;
constexpr int receive_buffer = 32 * 1024;

void reset(beast::tcp_stream& stream)
{
    error_code ignored;
    stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    stream.socket().close(ignored);
}

/// Reads until that many bytes have come, beginning with `got`.
asio::awaitable<bool> read_body(beast::tcp_stream& stream, std::size_t& got,
                                std::size_t wanted)
{
    std::array<char, 4096> piece{};
    while (got < wanted)
    {
        const std::size_t size = std::min(piece.size(), wanted - got);
        auto [error, bytes] = co_await stream.async_read_some(
            asio::buffer(piece.data(), size), as_result);
        if (error)
            co_return false;
        got += bytes;
    }
    co_return true;
}

} // namespace

raw_endpoint::raw_endpoint(handler answer)
    : answer_(std::move(answer)), acceptor_(runner_.context())
{
    acceptor_.open(tcp::v4());
    acceptor_.set_option(
        asio::socket_base::receive_buffer_size(receive_buffer));
    setsockopt(acceptor_.native_handle(), IPPROTO_TCP, TCP_MAXSEG, &segment,
               sizeof segment);
    acceptor_.bind(endpoint_of("127.0.0.1:0"));
    acceptor_.listen();
    address_ = "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    asio::co_spawn(runner_.context(), accept_loop(), asio::detached);
}

raw_endpoint::~raw_endpoint()
{
    runner_.stop();
}

int raw_endpoint::answered(const std::string& attempt_id) const
{
    const std::lock_guard lock(mutex_);
    const auto found = answered_.find(attempt_id);
    return found == answered_.end() ? 0 : found->second;
}

asio::awaitable<void> raw_endpoint::accept_loop()
{
    for (;;)
    {
        auto [error, socket] = co_await acceptor_.async_accept(as_result);
        if (error)
            co_return;
        error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        asio::co_spawn(runner_.context(),
                       serve(beast::tcp_stream(std::move(socket))),
                       asio::detached);
    }
}

asio::awaitable<void> raw_endpoint::serve(beast::tcp_stream stream)
{
    beast::flat_buffer buffer;
    bool open = true;
    while (open)
        open = co_await serve_one(stream, buffer);
}

asio::awaitable<bool> raw_endpoint::serve_one(beast::tcp_stream& stream,
                                              beast::flat_buffer& buffer)
{
    http::request_parser<http::empty_body> asked;
    asked.body_limit(boost::none);
    auto [failed, head] =
        co_await http::async_read_header(stream, buffer, asked, as_result);
    if (failed)
        co_return false;
    const std::string last_event(asked.get()["Last-Event-Id"]);
    const raw_request received{
        std::string(asked.get()["Attempt-Id"]),
        last_event.empty() ? 0 : std::strtol(last_event.c_str(), nullptr, 10)};
    const std::size_t length = asked.content_length().value_or(0);
    std::size_t got = buffer.size();
    buffer.clear();
    raw_answer answer = answer_(received);
    if (!co_await read_body(stream, got, std::min(length, answer.read_before)))
        co_return false;
    {
        const std::lock_guard lock(mutex_);
        ++answered_[received.attempt_id];
    }
    auto [unsent, sent] = co_await asio::async_write(
        stream, asio::buffer(answer.bytes), as_result);
    if (unsent)
        co_return false;
    co_await sleep_for(answer.pause);
    error_code ignored;
    switch (answer.fate)
    {
    case connection_fate::reset:
        reset(stream);
        break;
    case connection_fate::closed_unread:
        break;
    case connection_fate::closed_then_reset:
        stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        reset(stream);
        break;
    case connection_fate::half_closed:
        stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        co_await read_body(stream, got, length);
        break;
    case connection_fate::closed:
        co_await read_body(stream, got, length);
        break;
    case connection_fate::kept:
        co_return co_await read_body(stream, got, length);
    }
    co_return false;
}

raw_service::raw_service(std::string name, const raw_endpoint::handler& answer)
    : name_(std::move(name)), endpoints_{raw_endpoint(answer),
                                         raw_endpoint(answer)}
{
}

direct_plan
raw_service::plan_of(std::initializer_list<const raw_service*> services)
{
    direct_plan plan;
    plan.instances = 1;
    plan.engines = 0;
    plan.plain = 0;
    for (const raw_service* service : services)
    {
        for (const raw_endpoint& each : service->endpoints_)
            plan.others.push_back({service->name_ + '-' + each.address(),
                                   each.address(), service->name_});
    }
    return plan;
}

int raw_service::answered(const std::string& attempt_id) const
{
    int count = 0;
    for (const raw_endpoint& each : endpoints_)
        count += each.answered(attempt_id);
    return count;
}

} // namespace standin
