// Start, graceful shutdown and end of an instance.
#include "daemon.hpp"

#include "sycamorelock/adapters/caller_server.hpp"
#include "sycamorelock/adapters/clocks.hpp"
#include "sycamorelock/adapters/operator_server.hpp"
#include "sycamorelock/adapters/watchers.hpp"

#include <boost/asio/signal_set.hpp>

#include <csignal>

namespace sycamorelock
{

namespace
{

constexpr std::chrono::milliseconds drain_check{50};

/// Drives the steps of a graceful shutdown on the control thread.
class shutdown
{
  public:
    shutdown(adapters::control_plane& control, adapters::caller_server& callers)
        : control_(control), callers_(callers), timer_(control.context())
    {
    }

    /// Leaves the placement at once, and goes on serving new requests while
    /// balancers and other instances learn of it.
    void begin()
    {
        if (begun_)
            return;
        begun_ = true;
        control_.log().write(adapters::process_event::draining, {});
        control_.leave();
        give_up_at_ = adapters::now() + control_.settings().linger +
                      control_.settings().drain_timeout;
        timer_.expires_after(control_.settings().linger);
        timer_.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (error)
                    return;
                callers_.close_listener();
                wait_until_idle();
            });
    }

  private:
    void wait_until_idle()
    {
        const bool idle = control_.state().idle() && callers_.busy() == 0;
        if (idle)
            callers_.end_idle_connections();
        const bool ended =
            idle && callers_.open() == 0 && !callers_.listening();
        if (ended || adapters::now() >= give_up_at_)
        {
            control_.log().write(
                adapters::process_event::stopped,
                {{"open", std::to_string(callers_.busy())},
                 {"connections", std::to_string(callers_.open())}});
            control_.context().stop();
            return;
        }
        timer_.expires_after(drain_check);
        timer_.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (!error)
                    wait_until_idle();
            });
    }

    adapters::control_plane& control_;
    adapters::caller_server& callers_;
    boost::asio::steady_timer timer_;
    core::time_point give_up_at_;
    bool begun_ = false;
};

} // namespace

int run_daemon(const settings::process_settings& settings)
{
    std::signal(SIGPIPE, SIG_IGN);
    adapters::event_log log(settings.name, settings.log_level);
    boost::asio::io_context context(1);
    adapters::traffic_metrics traffic;
    adapters::control_plane control(settings, context, log, traffic);
    auto at_error = adapters::process_event::start_failed;
    try
    {
        adapters::caller_server callers(control);
        shutdown ending(control, callers);
        adapters::operator_server operators(control, [&] { ending.begin(); });
        control.start();
        callers.start();
        adapters::start_platform_watch(control);
        adapters::start_load_polling(control);
        boost::asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait(
            [&](const boost::system::error_code& error, int)
            {
                if (!error)
                    ending.begin();
            });
        log.write(adapters::process_event::started,
                  {{"caller_port", std::to_string(callers.port())},
                   {"operator_port", std::to_string(operators.port())},
                   {"peer_port", std::to_string(settings.peer_port)}});
        at_error = adapters::process_event::failed;
        context.run();
        callers.stop();
        control.stop();
    }
    catch (const std::exception& error)
    {
        log.write(at_error, {{"error", error.what()}});
        return 1;
    }
    return 0;
}

} // namespace sycamorelock
