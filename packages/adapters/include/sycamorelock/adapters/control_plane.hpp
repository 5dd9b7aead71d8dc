// Runs the core on one thread and carries its messages, actions and events.
#pragma once

#include "sycamorelock/adapters/event_log.hpp"
#include "sycamorelock/adapters/metrics.hpp"
#include "sycamorelock/adapters/peer_link.hpp"
#include "sycamorelock/adapters/routing_table.hpp"
#include "sycamorelock/core/node.hpp"
#include "sycamorelock/settings/documents.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <variant>

namespace sycamorelock::adapters
{

/// What the control plane decided for a request.
using decision = std::variant<core::dispatch, core::refuse>;

/// The caller's side of an open request. `deliver` is called on the executor.
class request_waiter
{
  public:
    virtual ~request_waiter() = default;
    virtual void deliver(decision what) = 0;
    [[nodiscard]] virtual boost::asio::any_io_executor executor() = 0;
};

/// Configuration or member list from the platform or another instance.
struct document
{
    std::uint64_t version = 0;
    std::string text;
};

class control_plane;

/// Sink of the core: hands its results to the control plane.
class control_sink
{
  public:
    explicit control_sink(control_plane& owner) : owner_(owner) {}
    void send(core::instance_id to, std::vector<core::peer_message> messages);
    void perform_action(core::action what);
    void record_event(core::event happened);

  private:
    control_plane& owner_;
};

class control_plane
{
  public:
    control_plane(const settings::process_settings& settings,
                  boost::asio::io_context& context, event_log& log,
                  traffic_metrics& traffic);
    ~control_plane();
    control_plane(const control_plane&) = delete;
    control_plane& operator=(const control_plane&) = delete;

    void start();
    /// Closes the links; the io_context is stopped by its owner.
    void stop();

    // Callable from any thread.
    [[nodiscard]] core::request_id next_request_id();
    void submit(core::submission wanted,
                std::shared_ptr<request_waiter> waiter);
    void caller_left(const core::request_id& id);
    void report_progress(const core::request_id& id, std::uint32_t attempt,
                         core::cost so_far);
    void finish(const core::attempt_result& result);
    [[nodiscard]] std::shared_ptr<const routing_table> routes() const;
    [[nodiscard]] bool ready() const { return ready_.load(); }
    [[nodiscard]] bool leaving() const { return leaving_.load(); }

    // Callable on the control thread only.
    void offer_config(const document& offered, const std::string& source);
    void offer_members(const std::string& text, const std::string& source);
    void on_load(core::service_id service, core::endpoint_id endpoint,
                 const core::load_report& report);
    /// Stops taking part in placement; requests are still served.
    void leave();
    /// Refuses new requests from now on.
    void stop_accepting();
    [[nodiscard]] const core::control_state& state() const;
    [[nodiscard]] boost::asio::io_context& context() { return context_; }
    [[nodiscard]] event_log& log() const { return log_; }
    [[nodiscard]] const peer_metrics& peers() const { return peer_metrics_; }
    [[nodiscard]] const traffic_metrics& traffic() const { return traffic_; }
    [[nodiscard]] traffic_metrics& traffic() { return traffic_; }
    [[nodiscard]] const settings::process_settings& settings() const
    {
        return settings_;
    }
    [[nodiscard]] double cpu_seconds() const { return cpu_seconds_; }

  private:
    friend class control_sink;

    template <class Input> void handle(Input&& input);
    void run(const core::dispatch& order);
    void run(const core::refuse& answer);
    void run(const core::check_config& offered);
    void run(const core::check_membership& offered);
    void receive(const std::string& bytes);
    void schedule_tick();
    void tick();
    void ask_seeds();
    void update_ready();

    settings::process_settings settings_;
    boost::asio::io_context& context_;
    event_log& log_;
    traffic_metrics& traffic_;
    peer_metrics peer_metrics_;
    std::uint32_t incarnation_;
    std::atomic<std::uint64_t> next_number_{1};
    control_sink sink_;
    core::node<control_sink> node_;
    std::unique_ptr<peer_link> links_;
    boost::asio::steady_timer timer_;
    std::unordered_map<std::uint64_t, std::shared_ptr<request_waiter>> waiters_;
    std::atomic<std::shared_ptr<const routing_table>> routes_;
    std::atomic<bool> ready_{false};
    std::atomic<bool> leaving_{false};
    core::time_point next_seed_ask_;
    std::uint64_t refused_config_ = 0;
    double cpu_seconds_ = 0;
};

} // namespace sycamorelock::adapters
