// The traffic thread of an instance that routes directly: callers, endpoints
// and the router that decides between them.
#pragma once

#include "sycamorelock/adapters/direct/dialect.hpp"
#include "sycamorelock/adapters/event_log.hpp"
#include "sycamorelock/adapters/listener_metrics.hpp"
#include "sycamorelock/core/direct/exchange.hpp"
#include "sycamorelock/core/direct/router.hpp"
#include "sycamorelock/settings/direct_settings.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sycamorelock::adapters::direct
{

class traffic_plane
{
  public:
    /// Called on the traffic thread with this instance's part of a report.
    using report_sink = std::function<void(core::direct::exchange_report)>;

    traffic_plane(boost::asio::io_context& io,
                  const settings::direct_settings& settings,
                  const dialect_table& dialect, event_log& log,
                  std::uint64_t seed, report_sink on_report);
    ~traffic_plane();
    traffic_plane(const traffic_plane&) = delete;
    traffic_plane& operator=(const traffic_plane&) = delete;

    /// Listens and starts. \throws boost::system::system_error if the address
    /// cannot be listened on.
    void start();

    // Callable from any thread.
    void install(std::shared_ptr<const core::direct::catalogue> newer);
    void
    set_endpoints(std::map<std::string, core::direct::endpoint_record> all);
    /// Failure domains whose endpoints get nothing new.
    /// \param ended those that were taken back.
    void set_drained(std::set<core::domain_id> domains,
                     std::vector<core::direct::domain_drain> ended);
    /// Instances that may send requests, without this one.
    void set_members(std::vector<core::direct::fleet_member> members);
    /// Endpoints that warm up, as another instance knows.
    void on_warming(std::vector<core::direct::warming_notice> notices);
    /// Changes what endpoints may get while they warm up.
    void set_warmup_bounds(core::direct::warmup_bounds bounds);
    /// Up to when the endpoints known here were right.
    void note_endpoints_current(core::time_point at);
    /// Whether requests wait long before they are read, or for ever.
    [[nodiscard]] bool late() const;
    void on_report(core::direct::exchange_report report);
    /// Takes over what another instance knew of engines' caches.
    void adopt_caches(std::vector<core::direct::cache_note> known);
    /// Calls `done` on the traffic thread with what is known of them here.
    void copy_caches(
        std::function<void(std::vector<core::direct::cache_note>)> done);
    void on_cache_notes(std::vector<core::direct::cache_note> notes);
    /// Streams of other instances.
    void on_streams(std::vector<core::direct::stream_note> told);
    /// Takes over what another instance knew of streams.
    void adopt_streams(core::direct::stream_copy known);
    /// Calls `done` on the traffic thread with what is known of them here, if
    /// that is enough to tell.
    /// \param has_started the one who asks lacks all streams; else releases.
    void copy_streams(bool has_started,
                      std::function<void(core::direct::stream_copy)> done);
    /// Tells the others once more of the streams of this instance.
    void requeue_stream_reports();
    /// Evidence of requests that crash endpoints, from other instances.
    void on_crashes(std::vector<core::crash_note> notes);
    /// Slowdowns that endpoints reported to other instances.
    void on_slowdowns(std::vector<core::direct::slowdown_note> notes);
    /// Calls `done` on the traffic thread with all evidence known here.
    void copy_crashes(std::function<void(std::vector<core::crash_note>)> done);
    /// Reports all evidence known here once more.
    void requeue_crash_reports();
    void forget_instance(core::instance_id gone);
    void set_fleet_size(std::size_t instances);
    void set_retries(double ratio, double slack);
    /// Answers end their connection from now on.
    void leave();
    /// Stops accepting and closes idle connections; calls back when nothing is
    /// open any more.
    /// \param ends_at when the process ends at the latest. A request that may
    /// last longer is refused from now on.
    void close(core::time_point ends_at, std::function<void()> on_idle);
    /// Ends what is open: with an answer, or by a cut where one has begun.
    void end_requests();
    /// Any thread.
    [[nodiscard]] const listener_metrics& callers() const;
    /// Makes the metrics page and calls back on the traffic thread.
    void describe(std::function<void(std::string)> done);

  private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace sycamorelock::adapters::direct
