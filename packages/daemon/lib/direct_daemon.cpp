// Two threads: control on the first one, traffic on another.
#include "direct_daemon.hpp"

#include "settings_file.hpp"

#include "sycamorelock/adapters/clocks.hpp"
#include "sycamorelock/adapters/descriptor_limits.hpp"
#include "sycamorelock/adapters/direct/control_plane.hpp"
#include "sycamorelock/adapters/direct/page_server.hpp"
#include "sycamorelock/adapters/direct/traffic_plane.hpp"
#include "sycamorelock/adapters/guarded_run.hpp"
#include "sycamorelock/platform/dialect.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <optional>
#include <random>
#include <thread>

namespace sycamorelock
{

namespace
{

using adapters::process_event;
using adapters::direct::page;
using adapters::direct::page_server;
using adapters::direct::page_server_options;
using boost::system::error_code;

/// Left of the time for a graceful shutdown when what is still open is cut.
constexpr std::chrono::milliseconds shutdown_margin{300};
/// Time within the margin in which the last answers go out.
constexpr std::chrono::milliseconds last_answers{150};
/// How often the settings file is read to see a change without a signal.
constexpr std::chrono::milliseconds settings_period{2000};
constexpr unsigned ok = 200;
constexpr unsigned not_found = 404;
constexpr unsigned unavailable = 503;

/// Time of the start, so that a later start has a larger number.
std::uint64_t incarnation_now()
{
    const auto at = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(at).count());
}

class direct_instance
{
  public:
    direct_instance(const settings::direct_settings& settings, std::string path,
                    std::string text)
        : settings_(settings), path_(std::move(path)), text_(std::move(text)),
          log_(settings.name, settings.log_level,
               adapters::log_output::standard_output_queued),
          dialect_(adapters::direct::table_of<platform::dialect>()),
          traffic_(traffic_io_, settings, dialect_, log_,
                   std::random_device{}(),
                   [this](core::direct::exchange_report report)
                   { control_.publish(std::move(report)); }),
          control_(control_io_, settings, dialect_, log_, traffic_,
                   incarnation_now()),
          signals_(control_io_, SIGTERM, SIGINT, SIGHUP), ending_(control_io_),
          settings_check_(control_io_)
    {
    }

    int run()
    {
        try
        {
            start();
        }
        catch (const std::exception& error)
        {
            log_.write(process_event::start_failed, {{"error", error.what()}});
            return 1;
        }
        std::thread traffic_thread(
            [this]
            {
                const auto work = boost::asio::make_work_guard(traffic_io_);
                adapters::run_guarded(
                    traffic_io_,
                    [this](const std::exception& error)
                    {
                        log_.write(adapters::direct_event::handler_failed,
                                   {{"error", error.what()}});
                    });
            });
        control_io_.run();
        traffic_io_.stop();
        traffic_thread.join();
        log_.write(process_event::stopped, {});
        return 0;
    }

  private:
    void start()
    {
        readiness_.emplace(
            control_io_, settings_.ready_address,
            [this](const std::string& path, const page_server::reply& done)
            { done(readiness(path)); },
            pages("ready"));
        operators_.emplace(
            control_io_, settings_.metrics_address,
            [this](const std::string& path, const page_server::reply& done)
            { describe(path, done); },
            pages("metrics"));
        traffic_.start();
        control_.start();
        wait_for_signal();
        watch_settings();
        log_.write(process_event::started,
                   {{"caller_address", settings_.caller_address},
                    {"peer_address", settings_.peer_address},
                    {"domain", settings_.domain}});
    }

    page_server_options pages(const char* name)
    {
        return {name, &log_,
                adapters::page_connections(settings_.max_descriptors)};
    }

    page readiness(const std::string& path)
    {
        if (path != dialect_.ready_path())
            return {not_found, "no such page\n"};
        if (control_.ready())
            return {ok, "ready\n"};
        return {unavailable, "not ready\n"};
    }

    void describe(const std::string& path, const page_server::reply& done)
    {
        if (path != "/metrics")
        {
            done({not_found, "no such page\n"});
            return;
        }
        traffic_.describe(
            [this, done](std::string text)
            {
                boost::asio::post(control_io_,
                                  [this, done, text = std::move(text)] {
                                      done({ok, text + status()});
                                  });
            });
    }

    std::string status() const
    {
        std::string out = control_.status();
        adapters::print(out, {&traffic_.callers(), &readiness_->metrics(),
                              &operators_->metrics()});
        return out;
    }

    void wait_for_signal()
    {
        signals_.async_wait(
            [this](error_code error, int which)
            {
                if (error)
                    return;
                if (which != SIGHUP)
                    leave();
                else if (const auto text = read_settings())
                    reload(*text);
                wait_for_signal();
            });
    }

    /// Nothing if the file cannot be read, which is logged.
    std::optional<std::string> read_settings()
    {
        try
        {
            return read_file(path_);
        }
        catch (const std::exception& error)
        {
            log_.write(adapters::direct_event::settings_refused,
                       {{"finding", error.what()}});
            return std::nullopt;
        }
    }

    void watch_settings()
    {
        settings_check_.expires_after(settings_period);
        settings_check_.async_wait(
            [this](error_code error)
            {
                if (error)
                    return;
                const auto text = read_settings();
                if (text && *text != text_)
                    reload(*text);
                watch_settings();
            });
    }

    /// Puts checked settings in force, or keeps the old ones and tells why.
    void reload(const std::string& text)
    {
        text_ = text;
        settings::direct_settings next;
        try
        {
            next = settings::read_direct(text_, path_);
        }
        catch (const settings::settings_error& error)
        {
            for (const settings::finding& found : error.findings())
                log_.write(adapters::direct_event::settings_refused,
                           {{"finding", to_string(found)}});
            return;
        }
        const bool moved = next.caller_address != settings_.caller_address ||
                           next.peer_address != settings_.peer_address ||
                           next.ready_address != settings_.ready_address ||
                           next.store != settings_.store;
        settings_.seeds = next.seeds;
        settings_.linger = next.linger;
        settings_.shutdown = next.shutdown;
        control_.set_seeds(next.seeds);
        traffic_.set_retries(next.retry_ratio, next.retry_slack);
        traffic_.set_warmup_bounds({next.warmup_overrun, next.warmup_slack});
        log_.write(adapters::direct_event::settings_reloaded,
                   {{"seeds", std::to_string(next.seeds.size())},
                    {"restart_needed", moved ? "yes" : "no"}});
    }

    /// Goes on serving while the balancer learns of it, then finishes what is
    /// open.
    void leave()
    {
        if (leaving_)
            return;
        leaving_ = true;
        ends_at_ = adapters::now() + settings_.shutdown - shutdown_margin;
        control_.leave();
        traffic_.leave();
        ending_.expires_after(settings_.linger);
        ending_.async_wait([this](error_code) { finish(); });
    }

    void finish()
    {
        traffic_.close(ends_at_, [this] { control_io_.stop(); });
        ending_.expires_after(ends_at_ - adapters::now());
        ending_.async_wait([this](error_code) { end_requests(); });
    }

    void end_requests()
    {
        traffic_.end_requests();
        ending_.expires_after(last_answers);
        ending_.async_wait([this](error_code) { control_io_.stop(); });
    }

    settings::direct_settings settings_;
    std::string path_;
    std::string text_;
    adapters::event_log log_;
    adapters::direct::dialect_table dialect_;
    boost::asio::io_context traffic_io_{1};
    boost::asio::io_context control_io_{1};
    adapters::direct::traffic_plane traffic_;
    adapters::direct::control_plane control_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer ending_;
    boost::asio::steady_timer settings_check_;
    std::optional<page_server> readiness_;
    std::optional<page_server> operators_;
    bool leaving_ = false;
    core::time_point ends_at_;
};

} // namespace

int run_direct_daemon(const settings::direct_settings& settings,
                      const std::string& path, const std::string& text)
{
    std::signal(SIGPIPE, SIG_IGN);
    direct_instance instance(settings, path, text);
    return instance.run();
}

} // namespace sycamorelock
