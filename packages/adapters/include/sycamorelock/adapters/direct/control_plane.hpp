// The control thread of an instance that routes directly: configuration,
// endpoints, other instances, readiness and shutdown.
#pragma once

#include "sycamorelock/adapters/direct/store_watch.hpp"
#include "sycamorelock/adapters/direct/traffic_plane.hpp"
#include "sycamorelock/core/direct/aggregator_coverage.hpp"
#include "sycamorelock/core/direct/cache_copies.hpp"
#include "sycamorelock/core/direct/config_knowledge.hpp"
#include "sycamorelock/core/direct/copy_limiter.hpp"
#include "sycamorelock/core/direct/drained_domains.hpp"
#include "sycamorelock/core/direct/endpoint_registry.hpp"
#include "sycamorelock/core/direct/exchange_tree.hpp"
#include "sycamorelock/core/direct/note_relay.hpp"
#include "sycamorelock/core/direct/peers.hpp"
#include "sycamorelock/core/direct/slowdown_relay.hpp"
#include "sycamorelock/core/direct/store_knowledge.hpp"
#include "sycamorelock/core/direct/store_uptime.hpp"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <random>
#include <set>

namespace sycamorelock::adapters::direct
{

class exchange_links;

class control_plane
{
  public:
    control_plane(boost::asio::io_context& io,
                  const settings::direct_settings& settings,
                  const dialect_table& dialect, event_log& log,
                  traffic_plane& traffic, std::uint64_t incarnation);
    ~control_plane();
    control_plane(const control_plane&) = delete;
    control_plane& operator=(const control_plane&) = delete;

    void start();

    /// Sends this instance's report to the others. Any thread.
    void publish(core::direct::exchange_report report);

    /// Puts other seeds in force. Control thread.
    void set_seeds(const std::vector<std::string>& seeds)
    {
        peers_.set_seeds(seeds);
    }

    /// Stops being ready. Control thread.
    void leave();

    /// Whether callers may come. Control thread.
    [[nodiscard]] bool ready() const;
    [[nodiscard]] std::string status() const;

  private:
    void on_config(const std::string& text, const std::string& source);
    void on_operators(const operator_page& all);
    void on_list(const endpoint_page& all);
    void
    note_unreadable(const std::vector<core::direct::unreadable_entry>& entries);
    void log_unreadable(core::direct::unreadable_entries& known,
                        const core::direct::unreadable_entry& seen);
    void on_news(const store_news& news);
    void on_bytes(const std::string& bytes);
    void send(core::direct::exchange_report report);
    void tell(core::time_point at, core::direct::exchange_report& report,
              const std::vector<std::string>& to);
    void exchange_in_tree(core::time_point at,
                          core::direct::exchange_report own);
    void take(core::direct::exchange_report report);
    void use_rest(core::direct::exchange_sum rest,
                  std::vector<core::direct::service_figures> figures);
    void use_notes(std::vector<core::direct::cache_note> notes);
    /// A report that brings another instance what it lacks.
    [[nodiscard]] core::direct::exchange_report copy_at(core::time_point at);
    /// Whether this instance is to help. In a small fleet all that can hear it,
    /// and one of them is enough; in a large one only a few do.
    [[nodiscard]] bool is_drawn(core::time_point at);
    void help_with_config(const core::direct::exchange_report& behind);
    void pass_config_to(const std::string& peer);
    void help_with_caches(const core::direct::exchange_report& started);
    void pass_caches_to(const std::string& peer,
                        std::vector<core::direct::cache_note> known);
    void learn_caches(core::direct::exchange_report copy);
    void help_with_streams(const core::direct::exchange_report& started);
    void pass_streams_to(const std::string& peer,
                         core::direct::stream_copy known);
    void learn_streams(core::direct::exchange_report copy);
    void use_streams(std::vector<core::direct::stream_note> told);
    void use_crashes(std::vector<core::crash_note> notes);
    void use_slowdowns(std::vector<core::direct::slowdown_note> notes);
    /// Sends an instance that has started the evidence of requests that crash
    /// endpoints.
    void help_with_crashes(const core::direct::exchange_report& started);
    void pass_crashes_to(const std::string& peer,
                         std::vector<core::crash_note> known);
    void help_with_endpoints(const core::direct::exchange_report& behind);
    void use_store_view(const core::direct::exchange_report& report);
    void note_uptime(bool outage_ended);
    void adopt(std::uint64_t revision,
               const std::vector<core::direct::endpoint_record>& all,
               const std::string& source);
    /// What this instance has read itself, or with what others confirmed.
    [[nodiscard]] core::direct::store_view
    own_store_view(core::time_point at) const;
    [[nodiscard]] core::direct::store_view
    confirmed_store_view(core::time_point at) const;
    [[nodiscard]] std::vector<core::direct::endpoint_record> endpoints() const;
    void choose_reader(core::time_point at, bool is_aggregator);
    /// Tells the traffic thread which instances may send requests.
    void tell_members(core::time_point at);
    /// Logs changed drains and puts them in force.
    void drains_changed(const std::vector<core::direct::domain_drain>& changed,
                        const std::string& source);
    /// As the settings name it, else its digest.
    [[nodiscard]] std::string name_of(core::domain_id domain) const;
    void endpoints_changed();
    /// \param source "store", or the instance that told it.
    void note_endpoint(const core::direct::endpoint_record& record,
                       const std::string& source);
    void note_gone(const std::string& boot, const std::string& source);
    /// Logs entries that are missing and whose endpoints stay in use.
    void note_missing(const std::string& boot);
    /// Up to when the endpoints known here were right.
    [[nodiscard]] core::time_point endpoints_current_at() const;
    void update_ready();
    /// Drops entries whose time is over; returns whether there were any.
    bool drop_expired();

    boost::asio::io_context& io_;
    settings::direct_settings settings_;
    dialect_table dialect_;
    event_log& log_;
    traffic_plane& traffic_;
    core::direct::peers peers_;
    core::direct::endpoint_registry registry_;
    core::direct::drained_domains drains_;
    core::direct::unreadable_entries unreadable_;
    /// The same of what operators have written.
    core::direct::unreadable_entries unreadable_operators_;
    std::unique_ptr<exchange_links> links_;
    store_watch store_;
    std::uint64_t version_ = 0;
    std::string config_text_;
    core::direct::config_knowledge config_knowledge_;
    /// Instances that hear the same must not draw the same.
    std::mt19937_64 random_;
    core::direct::exchange_tree tree_;
    core::direct::note_relay relay_;
    core::direct::stream_relay stream_relay_;
    core::direct::crash_relay crash_relay_;
    core::direct::slowdown_relay slowdown_relay_;
    /// Other failure domains whose aggregators were known at the last report.
    std::set<core::domain_id> reported_domains_;
    /// To which the own streams were told last.
    std::string aggregator_;
    /// What another failure domain's aggregator last told of engines.
    std::vector<core::direct::service_figures> domain_figures_;
    core::direct::aggregator_coverage cover_;
    core::direct::store_knowledge knowledge_;
    core::direct::store_uptime uptime_;
    /// Digest of the endpoints in the registry.
    std::uint64_t digest_ = 0;
    /// What each member last told of the endpoints that it knows.
    std::map<std::string, core::direct::store_view> member_views_;
    core::direct::copy_limiter config_pace_;
    core::direct::cache_copies copies_;
    core::direct::copy_limiter caches_pace_;
    core::direct::copy_limiter streams_pace_;
    core::direct::copy_limiter crashes_pace_;
    /// Starts of others to which the own streams were told once more.
    std::map<std::string, std::uint64_t> retold_to_;
    core::time_point next_gossip_;
    core::time_point next_members_;
    std::size_t live_ = 0;
    std::uint64_t unreadable_connections_ = 0;
    bool was_ready_ = false;
    bool leaving_ = false;
};

} // namespace sycamorelock::adapters::direct
