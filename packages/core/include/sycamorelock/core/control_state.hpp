// State and message dispatch of one instance in its three roles: entry,
// scheduler of the shards placed on it, and owner of idempotency keys.
#pragma once

#include "sycamorelock/core/entry.hpp"
#include "sycamorelock/core/shard_scheduler.hpp"

#include <memory>

namespace sycamorelock::core
{

/// The two clocks of an input.
struct moment
{
    time_point now;
    wall_time wall{0};
};

struct node_options
{
    instance_id self;
    domain_id domain;
    std::uint32_t incarnation = 1;
    std::uint64_t seed = 1;
    scheduling_mode mode = scheduling_mode::full;
    placement_options placement;
    scheduler_options scheduler;
    entry_options entry;
    key_owner_options keys;
    /// A longer gap between inputs means that the process was suspended.
    duration suspended_after = std::chrono::seconds(2);
    /// Longest wait of a new instance for word from another one.
    duration join_wait = std::chrono::seconds(3);
};

class control_state
{
  public:
    control_state(node_options options, moment started);
    control_state(const control_state&) = delete;
    control_state& operator=(const control_state&) = delete;

    /// Called before each input; recognises a suspension.
    void begin(moment now);

    /// Handles an authenticated message from another instance.
    void receive(moment now, instance_id from, std::uint32_t incarnation,
                 const peer_message& content);
    /// Handles a message that this instance sent to itself.
    void receive_own(moment now, const peer_message& content);

    /// Puts a checked configuration in force; returns false if it is not newer.
    bool install_config(moment now, topology tree, std::string text);
    bool install_membership(moment now, membership list, std::string text);

    void submit(moment now, const submission& wanted);
    void caller_left(moment now, const request_id& id);
    void finish(moment now, const attempt_result& result);
    void progress(const request_id& id, std::uint32_t attempt, cost so_far);
    void on_load(moment now, service_id service, endpoint_id endpoint,
                 const load_report& report);
    /// Tells which connections to other instances are broken at the moment.
    void connections_lost(moment now, const std::set<instance_id>& lost)
    {
        placement_.connections_lost(now.now, lost);
    }
    void tick(moment now);
    /// Starts a graceful shutdown: no new requests, shards go elsewhere.
    void leave(moment now);
    /// Refuses requests from now on.
    void stop_accepting() { entry_.stop_accepting(); }

    [[nodiscard]] outbox& out() { return out_; }
    [[nodiscard]] instance_id self() const { return options_.self; }
    [[nodiscard]] const topology* tree() const { return tree_.get(); }
    [[nodiscard]] const placement& where() const { return placement_; }
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
    [[nodiscard]] std::size_t claims() const { return keys_.size(); }
    [[nodiscard]] bool leaving() const { return leaving_; }
    /// Whether requests may come: the newest configuration that could be
    /// reached is in force.
    [[nodiscard]] bool ready(time_point now) const;
    /// Nothing that this instance accepted or scheduled is still open.
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
    template <class Message>
    requires requires(const Message& m) { m.shard; }
    void on(moment now, instance_id from, const Message& message);

    void dispatch_message(moment now, instance_id from,
                          const peer_message& content);
    shard_scheduler* scheduler(const shard_id& shard);
    void place_shards(moment now);
    void configure_scheduler(shard_scheduler& target, const shard_spec& shard);
    void connect_peers(moment now);
    /// Owners of the shards of a service that have one.
    [[nodiscard]] std::map<shard_id, instance_id> owners_of(service_id service);
    /// Sends a request that a scheduler moved to a shard to the owner of that.
    void pass_on(const enqueue& message);
    void tell_versions(instance_id to);
    [[nodiscard]] config_version version() const;

    node_options options_;
    outbox out_;
    placement placement_;
    shard_directory directory_;
    entry entry_;
    key_owner keys_;
    std::unique_ptr<topology> tree_;
    std::string config_text_;
    std::string membership_text_;
    std::map<shard_id, std::unique_ptr<shard_scheduler>> schedulers_;
    std::uint64_t placed_generation_ = 0;
    config_version highest_seen_;
    time_point started_;
    time_point last_input_;
    bool heard_peer_ = false;
    bool leaving_ = false;
    bool placement_stale_ = true;
};

} // namespace sycamorelock::core
