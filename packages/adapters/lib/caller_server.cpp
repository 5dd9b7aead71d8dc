// Listener and traffic threads.
#include "sycamorelock/adapters/caller_server.hpp"

#include "caller_session.hpp"
#include "drain_limits.hpp"
#include "listener.hpp"

#include "sycamorelock/adapters/descriptor_limits.hpp"
#include "sycamorelock/adapters/guarded_run.hpp"

#include <boost/asio/executor_work_guard.hpp>

#include <algorithm>
#include <deque>

namespace sycamorelock::adapters
{

namespace
{

/// One traffic thread with its connections to endpoints.
class worker
{
  public:
    worker(const core::connection_memory_limits& memory,
           caller_metrics& metrics)
        : memory_(memory, metrics), guard_(asio::make_work_guard(context_)),
          reactor_user_(context_)
    {
    }

    void start(event_log& log)
    {
        thread_ = std::thread(
            [this, &log]
            {
                run_guarded(context_,
                            [&log](const std::exception& error) {
                                log.write(process_event::handler_failed,
                                          {{"error", error.what()}});
                            });
            });
    }
    void stop()
    {
        context_.stop();
        if (thread_.joinable())
            thread_.join();
    }
    asio::io_context& context() { return context_; }
    connection_pool& pool() { return pool_; }
    memory_pool& memory() { return memory_; }
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

    void end_resting_connections(listener_metrics& metrics)
    {
        asio::post(context_,
                   [this, &metrics]
                   {
                       const core::time_point latest = now() - resting;
                       for (caller_session* session : sessions_)
                           metrics.closed_for_room +=
                               session->end_if_idle_since(latest) ? 1 : 0;
                   });
    }

  private:
    // Sessions that the context still holds take themselves off the list.
    std::unordered_set<caller_session*> sessions_;
    memory_pool memory_;
    // The pool's sockets belong to the context and go first.
    asio::io_context context_{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard_;
    // An io_context opens its reactor for its first timer or socket, and throws
    // if there is no descriptor for it. That must not be a caller's socket.
    asio::steady_timer reactor_user_;
    connection_pool pool_;
    std::thread thread_;
};

} // namespace

class caller_server::impl
{
  public:
    explicit impl(control_plane& control) : control_(control)
    {
        const settings::process_settings& settings = control.settings();
        const core::connection_memory_limits memory =
            core::limits_for_callers(core::megabytes(settings.memory_mb))
                .part_of(settings.traffic_threads);
        std::size_t most_connections = 0;
        for (unsigned i = 0; i < settings.traffic_threads; ++i)
        {
            workers_.emplace_back(memory, control.traffic().requests);
            most_connections += workers_.back().memory().max_connections();
        }
        listener_ = std::make_shared<listener<impl>>(
            control.context(),
            tcp::endpoint(asio::ip::make_address(settings.address),
                          settings.caller_port),
            *this,
            listener_limits{std::min(caller_connections(descriptor_limit()),
                                     most_connections)},
            accept_report(&control.log(), scheduled_accept_events,
                          control.traffic().callers));
    }
    ~impl() { listener_->stop(); }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    void start()
    {
        for (worker& each : workers_)
            each.start(control_.log());
        listener_->start();
    }

    void close_listener() { listener_->close(); }

    asio::io_context& next_context()
    {
        return workers_[turn_++ % workers_.size()].context();
    }

    void serve(tcp::socket accepted)
    {
        worker& chosen = worker_of(accepted);
        ++open_;
        // The session belongs to the worker's thread from the beginning.
        asio::post(
            chosen.context(),
            [this, &chosen, socket = std::move(accepted)]() mutable
            {
                auto session = std::make_shared<caller_session>(
                    std::move(socket),
                    session_shared{control_, chosen.pool(), chosen.memory(),
                                   chosen.sessions(), busy_, open_});
                asio::co_spawn(
                    chosen.context(), [session] { return session->run(); },
                    asio::detached);
            });
    }

    [[nodiscard]] std::size_t connections() const { return open_.load(); }

    bool make_room()
    {
        for (worker& each : workers_)
            each.end_resting_connections(control_.traffic().callers);
        return false;
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

    [[nodiscard]] bool listening() const { return listener_->is_open(); }
    [[nodiscard]] std::uint16_t port() const { return listener_->port(); }
    [[nodiscard]] std::size_t busy() const { return busy_.load(); }

  private:
    worker& worker_of(tcp::socket& accepted)
    {
        const auto& context = accepted.get_executor().context();
        return *std::ranges::find_if(workers_, [&](worker& each)
                                     { return &each.context() == &context; });
    }

    control_plane& control_;
    std::size_t turn_ = 0;
    std::atomic<std::size_t> busy_{0};
    std::atomic<std::size_t> open_{0};
    std::deque<worker> workers_;
    std::shared_ptr<listener<impl>> listener_;
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

bool caller_server::listening() const
{
    return impl_->listening();
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
    return impl_->connections();
}

} // namespace sycamorelock::adapters
