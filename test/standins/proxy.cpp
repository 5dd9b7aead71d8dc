// Pumps bytes between two sockets and does harm on request.
#include "proxy.hpp"

#include <array>

namespace standin
{

struct proxy::link
{
    link(tcp::socket accepted, asio::io_context& context)
        : caller(std::move(accepted)), target(context)
    {
    }
    void close()
    {
        error_code ignored;
        caller.close(ignored);
        target.close(ignored);
    }
    tcp::socket caller;
    tcp::socket target;
    std::string source;
    std::string route;
    long sent_back = 0;
    long sent_forward = 0;
};

proxy::proxy() = default;

proxy::~proxy()
{
    runner_.stop();
}

std::string proxy::forward(const std::string& listen, const std::string& to)
{
    std::string route;
    runner_.run(
        [&]
        {
            auto acceptor = std::make_shared<tcp::acceptor>(
                runner_.context(), endpoint_of(listen));
            route = acceptor->local_endpoint().address().to_string() + ':' +
                    std::to_string(acceptor->local_endpoint().port());
            asio::co_spawn(runner_.context(),
                           accept_loop(acceptor, route, endpoint_of(to)),
                           asio::detached);
        });
    return route;
}

void proxy::set(const std::string& source, const std::string& route, fault what)
{
    {
        const std::lock_guard lock(mutex_);
        faults_[{source, route}] = what;
    }
    runner_.run([this] { cut_links(); });
}

void proxy::heal()
{
    const std::lock_guard lock(mutex_);
    faults_.clear();
}

fault proxy::fault_of(const std::string& source, const std::string& route)
{
    const std::lock_guard lock(mutex_);
    const auto exact = faults_.find({source, route});
    if (exact != faults_.end())
        return exact->second;
    const auto any = faults_.find({"*", route});
    return any == faults_.end() ? fault{} : any->second;
}

void proxy::cut_links()
{
    for (auto it = links_.begin(); it != links_.end();)
    {
        const auto made = it->lock();
        if (!made)
        {
            it = links_.erase(it);
            continue;
        }
        ++it;
        if (fault_of(made->source, made->route).cut)
            made->close();
    }
}

asio::awaitable<void>
proxy::accept_loop(std::shared_ptr<tcp::acceptor> acceptor, std::string route,
                   tcp::endpoint to)
{
    for (;;)
    {
        auto [error, socket] = co_await acceptor->async_accept(as_result);
        if (error)
            co_return;
        auto made =
            std::make_shared<link>(std::move(socket), runner_.context());
        error_code ignored;
        made->source =
            made->caller.remote_endpoint(ignored).address().to_string();
        made->route = route;
        links_.push_back(made);
        asio::co_spawn(runner_.context(), connect(made, to), asio::detached);
    }
}

asio::awaitable<void> proxy::connect(std::shared_ptr<link> made,
                                     tcp::endpoint to)
{
    if (fault_of(made->source, made->route).cut)
        co_return made->close();
    auto [error] = co_await made->target.async_connect(to, as_result);
    if (error)
        co_return made->close();
    error_code ignored;
    made->caller.set_option(tcp::no_delay(true), ignored);
    made->target.set_option(tcp::no_delay(true), ignored);
    asio::co_spawn(runner_.context(), pump(made, true), asio::detached);
    co_await pump(made, false);
}

asio::awaitable<void> proxy::pump(std::shared_ptr<link> made, bool back)
{
    tcp::socket& from = back ? made->target : made->caller;
    tcp::socket& to = back ? made->caller : made->target;
    std::array<char, 16384> bytes;
    for (;;)
    {
        auto [error, size] =
            co_await from.async_read_some(asio::buffer(bytes), as_result);
        if (error)
            co_return made->close();
        const fault now = fault_of(made->source, made->route);
        if (now.cut)
            co_return made->close();
        if (back ? now.drop_back : now.drop_forward)
            continue;
        if (now.delay.count() > 0)
            co_await sleep_for(now.delay);
        std::size_t pass = size;
        const long limit = back ? now.truncate_back : now.truncate_forward;
        long& sent = back ? made->sent_back : made->sent_forward;
        if (limit >= 0)
            pass = std::min<std::size_t>(
                size, static_cast<std::size_t>(std::max(0L, limit - sent)));
        auto [failed, written] = co_await asio::async_write(
            to, asio::buffer(bytes.data(), pass), as_result);
        sent += static_cast<long>(written);
        if (failed || pass < size)
            co_return made->close();
    }
}

} // namespace standin
