// Plumbing of the stand-ins.
#include "http_server.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <future>

namespace standin
{

namespace
{

/// More than any configuration of a test allows.
constexpr std::uint64_t max_request_body = 64UL * 1024 * 1024;

} // namespace

tcp::endpoint endpoint_of(const std::string& address)
{
    const auto colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

std::string query_value(const std::string& target, const std::string& name)
{
    const std::string wanted = name + '=';
    auto at = target.find('?');
    while (at != std::string::npos)
    {
        ++at;
        const auto end = std::min(target.find('&', at), target.size());
        if (target.compare(at, wanted.size(), wanted) == 0)
            return target.substr(at + wanted.size(), end - at - wanted.size());
        at = target.find('&', at);
    }
    return {};
}

long query_number(const std::string& target, const std::string& name,
                  long fallback)
{
    const std::string text = query_value(target, name);
    return text.empty() ? fallback : std::stol(text);
}

response make_response(http::status status, std::string body)
{
    response answer(status, 11);
    answer.body() = std::move(body);
    return answer;
}

background::background()
    : guard_(asio::make_work_guard(context_)),
      thread_([this] { context_.run(); })
{
}

background::~background()
{
    stop();
}

void background::stop()
{
    context_.stop();
    if (thread_.joinable())
        thread_.join();
}

void background::run(const std::function<void()>& work)
{
    std::promise<void> done;
    asio::post(context_,
               [&]
               {
                   work();
                   done.set_value();
               });
    done.get_future().wait();
}

void run_to_end(asio::awaitable<void> work)
{
    asio::io_context context(1);
    asio::co_spawn(context, std::move(work), asio::detached);
    context.run();
}

asio::awaitable<void> sleep_for(std::chrono::microseconds length)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, length);
    co_await timer.async_wait(as_result);
}

http_server::http_server(background& runner, const std::string& address,
                         handler answer)
    : runner_(runner), acceptor_(runner.context()), answer_(std::move(answer))
{
    const tcp::endpoint at = endpoint_of(address);
    listen(at);
    address_ = at.address().to_string() + ':' +
               std::to_string(acceptor_.local_endpoint().port());
}

void http_server::listen(const tcp::endpoint& at)
{
    acceptor_.open(at.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(at);
    acceptor_.listen();
    asio::co_spawn(runner_.context(), accept_loop(), asio::detached);
}

void http_server::crash()
{
    error_code ignored;
    acceptor_.close(ignored);
    for (beast::tcp_stream* stream : open_)
        stream->socket().close(ignored);
}

void http_server::listen_again()
{
    listen(endpoint_of(address_));
}

asio::awaitable<void> http_server::accept_loop()
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

asio::awaitable<void> http_server::serve(beast::tcp_stream stream)
{
    beast::flat_buffer buffer;
    open_.insert(&stream);
    for (;;)
    {
        http::request_parser<http::string_body> asked;
        asked.body_limit(max_request_body);
        auto [error, bytes] =
            co_await http::async_read(stream, buffer, asked, as_result);
        if (error)
            break;
        if (!co_await answer_(stream, asked.release()))
            break;
    }
    open_.erase(&stream);
}

asio::awaitable<bool> write(beast::tcp_stream& stream, response answer,
                            const request& asked)
{
    answer.keep_alive(asked.keep_alive());
    answer.prepare_payload();
    auto [error, bytes] = co_await http::async_write(stream, answer, as_result);
    co_return !error && asked.keep_alive();
}

} // namespace standin
