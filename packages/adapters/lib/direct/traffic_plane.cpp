// Accepts callers, ticks, and takes what the control thread hands over.
#include "sycamorelock/adapters/direct/traffic_plane.hpp"

#include "request_session.hpp"
#include "termination_check.hpp"

#include "../drain_limits.hpp"
#include "../listener.hpp"
#include "../prometheus_text.hpp"

#include "sycamorelock/adapters/clocks.hpp"
#include "sycamorelock/core/direct/tick_delay.hpp"

#include <boost/asio/post.hpp>

#include <unordered_set>

namespace sycamorelock::adapters::direct
{

namespace
{

/// Precision of time limits. Answers that are due at a limit may be half a
/// second late; each tick costs a wake-up.
constexpr milliseconds tick_period{20};
/// Period of reports to the other instances. Ten requests a second reach an
/// engine, so about one is placed in ignorance of another.
constexpr core::duration report_period = milliseconds(100);
/// The same in a large fleet, where news takes three reports to reach all: with
/// 100 ms it was 160 ms old on average. In the engine model 840 of 1,738 plans
/// are on time with news that takes 120 ms more, 943 with 60.
constexpr core::duration large_report_period = milliseconds(50);
constexpr core::duration sweep_period = milliseconds(200);
/// Connections that wait to be accepted. Callers wait a second for one; a
/// longer queue holds those that have already given up.
constexpr int accept_backlog = 256;
/// Parts of the descriptors that callers' connections may take: from the first
/// on, answers end their connection; beyond the second, connections that rest
/// are closed. The others are for endpoints, instances, the store and files.
/// Without a bound, callers that leave 300 connections open kept all of them,
/// and an instance that runs out of descriptors takes no caller at all.
constexpr double crowded_part = 0.45;
constexpr double full_part = 0.6;

} // namespace

class traffic_plane::impl : public std::enable_shared_from_this<impl>
{
  public:
    impl(boost::asio::io_context& io, const settings::direct_settings& settings,
         const dialect_table& dialect, event_log& log, std::uint64_t seed,
         report_sink on_report)
        : io_(io), address_(parse_address(settings.caller_address)),
          dialect_(dialect), on_report_(std::move(on_report)),
          router_(router_options_of(settings, seed)),
          caller_memory_(
              core::limits_for_callers(core::megabytes(settings.memory_mb)),
              metrics_.callers),
          context_{io_,      router_,  channels_, limits_,      caller_memory_,
                   metrics_, log,      dialect_,  leaving_,     closing_,
                   ends_at_, crowded_, news_,     terminations_},
          timer_(io_),
          crowded_at_(part_of(settings.max_descriptors, crowded_part)),
          full_at_(part_of(settings.max_descriptors, full_part)),
          most_connections_(std::min(settings.max_descriptors,
                                     caller_memory_.max_connections()))
    {
    }

    ~impl()
    {
        if (listener_)
            listener_->stop();
    }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    void start()
    {
        listener_ = std::make_shared<listener<impl>>(
            io_, address_, *this,
            listener_limits{most_connections_, accept_backlog},
            accept_report(&context_.log, direct_accept_events,
                          listener_metrics_));
        listener_->start();
        timer_.expires_after(tick_period);
        wait_for_tick();
    }

    void leave() { leaving_ = true; }

    void close(core::time_point ends_at, std::function<void()> on_idle)
    {
        closing_ = true;
        ends_at_ = ends_at;
        listener_->close();
        on_idle_ = std::move(on_idle);
        end_idle_sessions();
    }

    asio::io_context& next_context() { return io_; }

    void serve(tcp::socket socket)
    {
        auto session = std::make_shared<request_session>(
            std::move(socket), context_,
            [weak = weak_from_this()](request_session* ended)
            {
                if (const auto self = weak.lock())
                    self->sessions_.erase(ended);
            });
        sessions_.insert(session.get());
        crowded_ = sessions_.size() > crowded_at_;
        asio::co_spawn(
            io_, [session] { return session->run(); }, asio::detached);
    }

    void end_requests()
    {
        for (request_session* session : sessions_)
            session->end_request();
    }

    [[nodiscard]] std::size_t connections() const { return sessions_.size(); }

    bool make_room()
    {
        // Sessions end and leave the set, but not at once.
        for (request_session* session : sessions_)
            listener_metrics_.closed_for_room +=
                session->end_if_idle_since(now() - resting) ? 1 : 0;
        return false;
    }

    [[nodiscard]] const listener_metrics& metrics() const
    {
        return listener_metrics_;
    }

    [[nodiscard]] core::direct::router& router() { return router_; }
    [[nodiscard]] boost::asio::io_context& io() { return io_; }
    [[nodiscard]] event_log& log() { return context_.log; }
    /// Any thread.
    [[nodiscard]] news_age& news() { return news_; }

    [[nodiscard]] std::string describe() const
    {
        std::string out = metrics_.text();
        print(out, metrics_.callers);
        single(out, "requests_open_elsewhere", "gauge",
               "Requests that other instances have open, as they last told.",
               std::uint64_t{router_.ledger().open_elsewhere()});
        single(out, "endpoints_warming", "gauge",
               "Endpoints that warm up and get a limited part of requests.",
               std::uint64_t{router_.warming(now())});
        single(out, "streams_remembered", "gauge",
               "Streams whose release is known in case they are resumed.",
               std::uint64_t{router_.streams().kept()});
        single(out, "streams_dropped_total", "counter",
               "Streams forgotten before their time, as there were too many.",
               router_.streams().dropped());
        single(out, "requests_quarantined", "gauge",
               "Requests that are refused because endpoints crash under them.",
               std::uint64_t{router_.crashes().quarantined()});
        single(out, "crash_keys", "gauge",
               "Requests for which crashes of endpoints are remembered.",
               std::uint64_t{router_.crashes().keys()});
        single(out, "crash_keys_dropped_total", "counter",
               "Such requests forgotten before their time, as there were too "
               "many.",
               router_.crashes().dropped());
        single(out, "endpoints_reporting_slowdown", "gauge",
               "Endpoints that report how much their machine is slowed.",
               std::uint64_t{router_.slowdowns().size()});
        single(out, "endpoint_slowdown_largest", "gauge",
               "Largest slowdown that an endpoint reports at present.",
               router_.slowdowns().largest(now()));
        single(out, "endpoint_news_age_seconds", "gauge",
               "Age of what is known of endpoints.",
               std::chrono::duration<double>(news_.at(now())).count());
        return out + context_.log.text();
    }

    void on_report(const core::direct::exchange_report& report)
    {
        ++metrics_.reports_received;
        router_.on_report(now(), report);
    }

    /// Any thread.
    [[nodiscard]] bool late() const { return delay_.is_late(now()); }

    void on_crashes(const std::vector<core::crash_note>& notes)
    {
        router_.crashes().add_remote(now(), notes);
    }

    void on_cache_notes(const std::vector<core::direct::cache_note>& notes)
    {
        router_.on_cache_notes(now(), notes);
    }

  private:
    static core::direct::router_options
    router_options_of(const settings::direct_settings& settings,
                      std::uint64_t seed)
    {
        core::direct::router_options options;
        options.domain = core::domain_id::of(settings.domain);
        options.seed = seed;
        options.retry_ratio = settings.retry_ratio;
        options.retry_slack = settings.retry_slack;
        options.remote_price =
            core::direct::domain_price(settings.remote_ms_per_kb);
        options.self = core::instance_id::of(settings.peer_address);
        for (const std::string& name : settings.domains)
            options.domains.insert(core::domain_id::of(name));
        options.warmup = {settings.warmup_overrun, settings.warmup_slack};
        options.mechanisms = settings.mechanisms;
        return options;
    }

    void end_idle_sessions()
    {
        for (request_session* session : sessions_)
            session->end_if_idle_and_opened_before(now() -
                                                   first_request_patience);
    }

    static std::size_t part_of(std::size_t descriptors, double part)
    {
        return static_cast<std::size_t>(static_cast<double>(descriptors) *
                                        part);
    }

    void wait_for_tick()
    {
        timer_.async_wait(
            [self = shared_from_this()](error_code error)
            {
                if (error)
                    return;
                self->tick();
                self->timer_.expires_after(tick_period);
                self->wait_for_tick();
            });
    }

    void tell_delay(core::time_point at)
    {
        context_.log.write(
            direct_event::traffic_late,
            {{"late", delay_.is_late(at) ? "yes" : "no"},
             {"delay_ms",
              std::to_string(
                  std::chrono::duration_cast<milliseconds>(delay_.mean())
                      .count())},
             {"connections", std::to_string(sessions_.size())}});
    }

    void log_crashes()
    {
        for (const core::crash_event& each : router_.crashes().take_events())
            context_.log.write(
                direct_event::crash_evidence,
                {{"change", std::string(to_string(each.what))},
                 {"content", to_string(each.key)},
                 {"endpoint_id", std::to_string(each.endpoint.value())},
                 {"endpoint", router_.name_of(each.endpoint)},
                 {"crashes", std::to_string(each.crashes)},
                 {"age_ms",
                  std::to_string(
                      std::chrono::duration_cast<milliseconds>(each.age)
                          .count())},
                 {"source", each.is_remote ? "peer" : "own"}});
    }

    void tick()
    {
        const core::time_point at = now();
        if (delay_.tick(at))
            tell_delay(at);
        limits_.tick(at);
        log_crashes();
        router_.set_endpoints_current(at, at - news_.at(at));
        crowded_ = sessions_.size() > crowded_at_;
        if (sessions_.size() > full_at_)
            make_room();
        if (at >= next_report_ || router_.report_is_urgent())
        {
            next_report_ = at + (router_.large_fleet() ? large_report_period
                                                       : report_period);
            core::direct::exchange_report report;
            router_.fill_report(at, report);
            report.leaving = leaving_;
            ++metrics_.reports_sent;
            on_report_(std::move(report));
        }
        if (at >= next_sweep_)
        {
            next_sweep_ = at + sweep_period;
            channels_.sweep(at, [this](core::endpoint_id id)
                            { return router_.knows(id); });
        }
        if (!on_idle_)
            return;
        end_idle_sessions();
        if (!sessions_.empty() || listener_->is_open())
            return;
        const auto done = std::move(on_idle_);
        on_idle_ = nullptr;
        done();
    }

    boost::asio::io_context& io_;
    tcp::endpoint address_;
    dialect_table dialect_;
    report_sink on_report_;
    core::direct::router router_;
    channel_pool channels_;
    watchdog limits_;
    direct_metrics metrics_;
    memory_pool caller_memory_;
    bool leaving_ = false;
    bool closing_ = false;
    core::time_point ends_at_ = core::time_point::max();
    bool crowded_ = false;
    news_age news_;
    termination_check terminations_{context_};
    traffic_context context_;
    listener_metrics listener_metrics_{"caller"};
    std::shared_ptr<listener<impl>> listener_;
    asio::steady_timer timer_;
    core::direct::tick_delay delay_{tick_period};
    std::size_t crowded_at_;
    std::size_t full_at_;
    // Only descriptors and memory bound them: a caller that is accepted is
    // refused at once, one that waits for its turn gives up.
    std::size_t most_connections_;
    std::unordered_set<request_session*> sessions_;
    std::function<void()> on_idle_;
    core::time_point next_report_;
    core::time_point next_sweep_;
};

traffic_plane::traffic_plane(boost::asio::io_context& io,
                             const settings::direct_settings& settings,
                             const dialect_table& dialect, event_log& log,
                             std::uint64_t seed, report_sink on_report)
    : impl_(std::make_shared<impl>(io, settings, dialect, log, seed,
                                   std::move(on_report)))
{
}

traffic_plane::~traffic_plane() = default;

void traffic_plane::start()
{
    impl_->start();
}

void traffic_plane::install(
    std::shared_ptr<const core::direct::catalogue> newer)
{
    asio::post(impl_->io(), [impl = impl_, newer = std::move(newer)]
               { impl->router().install(now(), newer); });
}

void traffic_plane::set_endpoints(
    std::map<std::string, core::direct::endpoint_record> all)
{
    asio::post(impl_->io(), [impl = impl_, all = std::move(all)]
               { impl->router().set_endpoints(now(), all); });
}

void traffic_plane::set_drained(std::set<core::domain_id> domains,
                                std::vector<core::direct::domain_drain> ended)
{
    asio::post(impl_->io(), [impl = impl_, domains = std::move(domains),
                             ended = std::move(ended)]
               { impl->router().set_drained(now(), domains, ended); });
}

void traffic_plane::set_members(std::vector<core::direct::fleet_member> members)
{
    asio::post(impl_->io(), [impl = impl_, members = std::move(members)]
               { impl->router().set_members(now(), members); });
}

void traffic_plane::on_warming(
    std::vector<core::direct::warming_notice> notices)
{
    asio::post(impl_->io(), [impl = impl_, notices = std::move(notices)]
               { impl->router().on_warming(now(), notices); });
}

void traffic_plane::set_warmup_bounds(core::direct::warmup_bounds bounds)
{
    asio::post(impl_->io(), [impl = impl_, bounds]
               { impl->router().set_warmup_bounds(bounds); });
}

void traffic_plane::on_report(core::direct::exchange_report report)
{
    asio::post(impl_->io(), [impl = impl_, report = std::move(report)]
               { impl->on_report(report); });
}

void traffic_plane::on_cache_notes(std::vector<core::direct::cache_note> notes)
{
    asio::post(impl_->io(), [impl = impl_, notes = std::move(notes)]
               { impl->on_cache_notes(notes); });
}

void traffic_plane::adopt_caches(std::vector<core::direct::cache_note> known)
{
    asio::post(impl_->io(), [impl = impl_, known = std::move(known)]
               { impl->router().adopt_caches(known); });
}

void traffic_plane::copy_caches(
    std::function<void(std::vector<core::direct::cache_note>)> done)
{
    asio::post(impl_->io(), [impl = impl_, done = std::move(done)]
               { done(impl->router().copy_caches(now())); });
}

void traffic_plane::on_streams(std::vector<core::direct::stream_note> told)
{
    asio::post(impl_->io(), [impl = impl_, told = std::move(told)]
               { impl->router().on_streams(now(), told); });
}

void traffic_plane::adopt_streams(core::direct::stream_copy known)
{
    asio::post(impl_->io(), [impl = impl_, known = std::move(known)]
               { impl->router().adopt_streams(now(), known); });
}

void traffic_plane::copy_streams(
    bool has_started, std::function<void(core::direct::stream_copy)> done)
{
    asio::post(impl_->io(),
               [impl = impl_, has_started, done = std::move(done)]
               {
                   auto known = impl->router().copy_streams(now(), has_started);
                   if (known)
                       done(std::move(*known));
               });
}

void traffic_plane::on_crashes(std::vector<core::crash_note> notes)
{
    asio::post(impl_->io(), [impl = impl_, notes = std::move(notes)]
               { impl->on_crashes(notes); });
}

void traffic_plane::on_slowdowns(std::vector<core::direct::slowdown_note> notes)
{
    asio::post(impl_->io(), [impl = impl_, notes = std::move(notes)]
               { impl->router().on_slowdowns(now(), notes); });
}

void traffic_plane::copy_crashes(
    std::function<void(std::vector<core::crash_note>)> done)
{
    asio::post(impl_->io(), [impl = impl_, done = std::move(done)]
               { done(impl->router().crashes().copy(now())); });
}

void traffic_plane::requeue_crash_reports()
{
    asio::post(impl_->io(), [impl = impl_]
               { impl->router().crashes().requeue_reports(now()); });
}

void traffic_plane::requeue_stream_reports()
{
    asio::post(impl_->io(),
               [impl = impl_] { impl->router().requeue_stream_reports(); });
}

void traffic_plane::note_endpoints_current(core::time_point at)
{
    impl_->news().set_current_at(at);
}

bool traffic_plane::late() const
{
    return impl_->late();
}

void traffic_plane::forget_instance(core::instance_id gone)
{
    asio::post(impl_->io(),
               [impl = impl_, gone] { impl->router().forget_instance(gone); });
}

void traffic_plane::set_fleet_size(std::size_t instances)
{
    asio::post(impl_->io(), [impl = impl_, instances]
               { impl->router().set_fleet_size(instances); });
}

void traffic_plane::set_retries(double ratio, double slack)
{
    asio::post(impl_->io(), [impl = impl_, ratio, slack]
               { impl->router().set_retries(ratio, slack); });
}

void traffic_plane::leave()
{
    asio::post(impl_->io(), [impl = impl_] { impl->leave(); });
}

void traffic_plane::close(core::time_point ends_at,
                          std::function<void()> on_idle)
{
    asio::post(impl_->io(),
               [impl = impl_, ends_at, on_idle = std::move(on_idle)]
               { impl->close(ends_at, on_idle); });
}

void traffic_plane::end_requests()
{
    asio::post(impl_->io(), [impl = impl_] { impl->end_requests(); });
}

const listener_metrics& traffic_plane::callers() const
{
    return impl_->metrics();
}

void traffic_plane::describe(std::function<void(std::string)> done)
{
    asio::post(impl_->io(), [impl = impl_, done = std::move(done)]
               { done(impl->describe()); });
}

} // namespace sycamorelock::adapters::direct
