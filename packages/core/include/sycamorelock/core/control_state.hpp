// State and message dispatch of one instance in its three roles: entry for
// requests of callers, scheduler of the shards placed on it, and owner of
// idempotency keys.
#pragma once

#include "sycamorelock/core/entry.hpp"
#include "sycamorelock/core/shard_scheduler.hpp"

#include <memory>

namespace sycamorelock::core
{

/// Readings of the monotonic clock and the wall clock when an input occurs.
struct moment
{
    time_point now;
    wall_time wall{0};
};

/// Settings of one instance that do not change while it runs.
struct node_options
{
    instance_id self;
    domain_id domain;
    /// Distinguishes successive processes of one instance.
    std::uint32_t incarnation = 1;
    std::uint64_t seed = 1;
    scheduling_mode mode = scheduling_mode::full;
    placement_options placement;
    scheduler_options scheduler;
    entry_options entry;
    key_owner_options keys;
    /// A longer gap between inputs means that the process was suspended.
    duration suspension_threshold = std::chrono::seconds(2);
    /// Longest time that a starting instance waits for gossip from another
    /// instance before it accepts requests.
    duration join_timeout = std::chrono::seconds(3);
};

/// The complete decision state of one instance. It does no I/O: calls put their
/// results into the outbox. Not thread-safe.
class control_state
{
  public:
    control_state(node_options options, moment started);
    control_state(const control_state&) = delete;
    control_state& operator=(const control_state&) = delete;

    /// Called before each input. Detects that the process was suspended from
    /// the time since the previous input.
    void begin_input(moment now);

    /// Handles an authenticated message from another instance.
    void receive(moment now, instance_id from, std::uint32_t incarnation,
                 const peer_message& content);
    /// Handles a message that this instance sent to itself.
    void handle_local_message(moment now, const peer_message& content);

    /// Puts a checked configuration in force, and keeps its text to send to
    /// other instances. Returns false if its version is not newer.
    bool install_config(moment now, topology updated, std::string text);
    /// The same for a member list.
    bool install_membership(moment now, membership list, std::string text);

    void submit(moment now, const submission& request);
    /// Handles that the caller of a request has disconnected.
    void caller_left(moment now, const request_id& id);
    /// Handles the end of an attempt.
    void finish(moment now, const attempt_result& result);
    /// Records the cost so far of a running attempt.
    void report_progress(const request_id& id, std::uint32_t attempt,
                         cost so_far);
    /// Handles a load report of an endpoint.
    void on_load(moment now, service_id service, endpoint_id endpoint,
                 const load_report& report);
    /// Replaces the set of instances whose connections are currently broken.
    void set_broken_connections(moment now, const std::set<instance_id>& lost)
    {
        placement_.set_broken_connections(now.now, lost);
    }
    void tick(moment now);
    /// Starts a graceful shutdown: no new requests are taken, the instance is
    /// announced as leaving, and its shards move to other instances.
    void leave(moment now);
    /// Refuses all requests that are submitted from now on.
    void stop_accepting() { entry_.stop_accepting(); }

    [[nodiscard]] outbox& out() { return out_; }
    [[nodiscard]] instance_id self() const { return options_.self; }
    /// The configuration in force, or null before the first one.
    [[nodiscard]] const topology* fleet_topology() const
    {
        return topology_.get();
    }
    [[nodiscard]] const placement& current_placement() const
    {
        return placement_;
    }
    [[nodiscard]] const entry& requests() const { return entry_; }
    [[nodiscard]] const shard_directory& directory() const
    {
        return directory_;
    }
    [[nodiscard]] const std::array<std::uint64_t, retry_reason_count>&
    retries() const
    {
        return out_.retries();
    }
    [[nodiscard]] std::vector<const shard_scheduler*> schedulers() const;
    /// Number of idempotency keys claimed at this instance as their owner.
    [[nodiscard]] std::size_t claims() const { return keys_.size(); }
    [[nodiscard]] bool leaving() const { return leaving_; }
    /// Whether the instance may accept requests: it has a configuration and a
    /// member list, no newer configuration is known to it, and it has received
    /// gossip, has waited for `join_timeout`, or is the only member.
    [[nodiscard]] bool ready(time_point now) const;
    /// Whether no request that this instance accepted is still open.
    [[nodiscard]] bool idle() const;

  private:
    void on(moment now, instance_id from, const gossip& message);
    void on(moment now, instance_id from, const claim& message);
    void on(moment now, instance_id from, const claim_release& message);
    void on(moment now, instance_id from, const config_request& message);
    void on(moment now, instance_id from, const config_document& message);
    void on(moment now, instance_id from, const membership_document& message);
    void on(moment now, instance_id from, const grant& message);
    void on(moment now, instance_id from, const reject& message);
    void on(moment now, instance_id from, const claim_result& message);
    void on(moment now, instance_id from, const crash_report& message);
    template <class Message>
    requires requires(const Message& m) { m.shard; }
    void on(moment now, instance_id from, const Message& message);

    void dispatch_message(moment now, instance_id from,
                          const peer_message& content);
    shard_scheduler* scheduler(const shard_id& shard);
    void place_shards(moment now);
    void configure_scheduler(shard_scheduler& target, const shard_spec& shard);
    void set_scheduler_peers(moment now);
    /// Owners of the shards of a service; shards without an owner are left out.
    [[nodiscard]] std::map<shard_id, instance_id> owners_of(service_id service);
    /// Forwards a request that a scheduler moved to a shard to the owner of
    /// that shard.
    void forward_enqueue(const enqueue& message);
    void send_versions(instance_id to);
    /// Reports new evidence of crashes to all other instances.
    void report_crashes(time_point now);
    /// Sends an instance that has started the evidence known here.
    void help_with_crashes(time_point now, instance_id to,
                           std::uint32_t incarnation);
    [[nodiscard]] config_version version() const;

    node_options options_;
    outbox out_;
    placement placement_;
    shard_directory directory_;
    entry entry_;
    key_owner keys_;
    std::unique_ptr<topology> topology_;
    std::string config_text_;
    std::string membership_text_;
    std::map<shard_id, std::unique_ptr<shard_scheduler>> schedulers_;
    std::uint64_t last_placed_generation_ = 0;
    config_version newest_known_config_;
    /// Process of each other instance that was last sent all evidence of
    /// crashes.
    std::map<instance_id, std::uint32_t> informed_incarnations_;
    time_point started_;
    time_point last_input_;
    bool received_gossip_ = false;
    bool leaving_ = false;
    bool placement_stale_ = true;
};

} // namespace sycamorelock::core
