// Listener and traffic threads.
#include "sycamorelock/adapters/caller_server.hpp"

#include "accept_pause.hpp"
#include "caller_session.hpp"

#include <boost/asio/executor_work_guard.hpp>

namespace sycamorelock::adapters
{

namespace
{

/// Connections taken at the most when the listener closes.
constexpr int most_waiting = asio::socket_base::max_listen_connections;

/// One traffic thread with its connections to endpoints.
class worker
{
  public:
    worker() : guard_(asio::make_work_guard(context_)) {}

    void start()
    {
        thread_ = std::thread([this] { context_.run(); });
    }
    void stop()
    {
        context_.stop();
        if (thread_.joinable())
            thread_.join();
    }
    asio::io_context& context() { return context_; }
    connection_pool& pool() { return pool_; }
    std::unordered_set<caller_session*>& sessions() { return sessions_; }

    void end_idle_connections()
    {
        asio::post(context_,
                   [this]
                   {
                       for (caller_session* session : sessions_)
                           session->end_if_idle();
                   });
    }

  private:
    // Sessions that the context still holds take themselves off the list.
    std::unordered_set<caller_session*> sessions_;
    // The pool's sockets belong to the context and go first.
    asio::io_context context_{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard_;
    connection_pool pool_;
    std::thread thread_;
};

} // namespace

class caller_server::impl
{
  public:
    explicit impl(control_plane& control)
        : control_(control), workers_(control.settings().traffic_threads),
          acceptor_(control.context())
    {
        const settings::process_settings& settings = control.settings();
        const tcp::endpoint at(asio::ip::make_address(settings.address),
                               settings.caller_port);
        acceptor_.open(at.protocol());
        acceptor_.set_option(tcp::acceptor::reuse_address(true));
        acceptor_.bind(at);
        acceptor_.listen();
    }

    void start()
    {
        for (worker& each : workers_)
            each.start();
        asio::co_spawn(control_.context(), accept_loop(), asio::detached);
    }

    void close_listener()
    {
        // The kernel resets connections that it has taken and that are not
        // accepted when the listener closes.
        error_code error;
        acceptor_.non_blocking(true, error);
        for (int i = 0; i < most_waiting && !error; ++i)
        {
            worker& chosen = next_worker();
            tcp::socket socket(chosen.context());
            acceptor_.accept(socket, error);
            if (!error)
                serve(chosen, std::move(socket));
        }
        error_code ignored;
        acceptor_.close(ignored);
    }

    void end_idle_connections()
    {
        for (worker& each : workers_)
            each.end_idle_connections();
    }

    void stop()
    {
        for (worker& each : workers_)
            each.stop();
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return acceptor_.local_endpoint().port();
    }
    [[nodiscard]] std::size_t busy() const { return busy_.load(); }
    [[nodiscard]] std::size_t open() const { return open_.load(); }

  private:
    worker& next_worker() { return workers_[turn_++ % workers_.size()]; }

    void serve(worker& chosen, tcp::socket socket)
    {
        auto session = std::make_shared<caller_session>(
            std::move(socket), session_shared{control_, chosen.pool(),
                                              chosen.sessions(), busy_, open_});
        asio::co_spawn(
            chosen.context(), [session] { return session->run(); },
            asio::detached);
    }

    asio::awaitable<void> accept_loop()
    {
        for (;;)
        {
            worker& chosen = next_worker();
            auto [error, socket] =
                co_await acceptor_.async_accept(chosen.context(), as_result);
            const bool closed = error == asio::error::operation_aborted ||
                                error == asio::error::bad_descriptor;
            if (closed)
                co_return;
            if (error)
            {
                co_await wait_after_failed_accept();
                continue;
            }
            serve(chosen, std::move(socket));
        }
    }

    control_plane& control_;
    std::size_t turn_ = 0;
    std::atomic<std::size_t> busy_{0};
    std::atomic<std::size_t> open_{0};
    std::vector<worker> workers_;
    tcp::acceptor acceptor_;
};

caller_server::caller_server(control_plane& control)
    : impl_(std::make_unique<impl>(control))
{
}

caller_server::~caller_server()
{
    impl_->stop();
}

void caller_server::start()
{
    impl_->start();
}

void caller_server::close_listener()
{
    impl_->close_listener();
}

void caller_server::stop()
{
    impl_->stop();
}

std::uint16_t caller_server::port() const
{
    return impl_->port();
}

std::size_t caller_server::busy() const
{
    return impl_->busy();
}

void caller_server::end_idle_connections()
{
    impl_->end_idle_connections();
}

std::size_t caller_server::open() const
{
    return impl_->open();
}

} // namespace sycamorelock::adapters
