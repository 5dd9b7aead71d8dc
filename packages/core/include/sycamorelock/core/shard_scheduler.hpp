// Scheduler of one shard: grants slots in fair order, moves work to other
// shards of the service, and exchanges per-account service with them.
#pragma once

#include "sycamorelock/core/endpoint_pool.hpp"
#include "sycamorelock/core/service_exchange.hpp"

#include <boost/random/mersenne_twister.hpp>

#include <set>

namespace sycamorelock::core
{

struct scheduler_options
{
    fair_queue_options queue;
    endpoint_pool_options endpoints;
    duration lease = std::chrono::seconds(5);
    /// Wait of a new owner for reports of what already runs.
    duration settle = std::chrono::milliseconds(500);
    duration advert_period = std::chrono::seconds(1);
    duration advert_min_gap = std::chrono::milliseconds(20);
    exchange_options exchange;
    /// Virtual time by which a peer must be ahead before work moves to it for
    /// fairness alone.
    virtual_time move_margin{500};
    std::uint32_t move_burst = 64;
    duration moved_for = std::chrono::seconds(2);
};

class shard_scheduler
{
  public:
    shard_scheduler(shard_id id, scheduler_options options, std::uint64_t seed,
                    time_point now, outbox& out);

    void configure(const service_spec& service, const shard_spec& shard,
                   const std::map<account_id, account_spec>& accounts,
                   const std::vector<endpoint_id>& leaving,
                   std::uint32_t divide_slots);
    /// Owners of the other shards of the service.
    void set_peers(time_point now, std::map<shard_id, instance_id> peers);

    void on_message(time_point now, instance_id from, const enqueue& message);
    void on_message(time_point now, instance_id from, const withdraw& message);
    void on_message(time_point now, instance_id from, const confirm& message);
    void on_message(time_point now, instance_id from, const renew& message);
    void on_message(time_point now, instance_id from, const adopt& message);
    void on_message(time_point now, instance_id from, const release& message);
    void on_message(time_point now, instance_id from, const advert& message);
    void on_message(time_point now, instance_id from,
                    const service_report& message);
    void on_message(time_point now, instance_id from,
                    const snapshot_request& message);
    void on_message(time_point now, instance_id from, const snapshot& message);
    void on_load(time_point now, endpoint_id endpoint,
                 const load_report& report);
    void tick(time_point now);

    /// Gives waiting requests back before the shard moves to another owner.
    void abandon();
    /// Tells the service given here, and passes on what other shards moved
    /// here, before this shard gets another owner. What entries sent here they
    /// send to the next owner themselves.
    void hand_over(time_point now, std::map<shard_id, instance_id> owners);

    [[nodiscard]] shard_id id() const { return id_; }
    [[nodiscard]] std::size_t backlog() const { return queue_.size(); }
    [[nodiscard]] std::uint32_t used_slots() const
    {
        return pool_.used_slots();
    }
    [[nodiscard]] std::uint32_t usable_slots() const
    {
        return pool_.usable_slots();
    }
    [[nodiscard]] const fair_queue& queue() const { return queue_; }

  private:
    struct lease
    {
        std::uint32_t attempt = 0;
        instance_id entry;
        account_id account;
        endpoint_id endpoint;
        cost charged;
        time_point expires;
    };
    struct peer_view
    {
        instance_id owner;
        /// Owner by the placement, which may be older than `owner`.
        instance_id placed_owner;
        std::uint32_t wanted = 0;
        std::uint32_t backlog = 0;
        std::uint32_t moves_left = 0;
        virtual_time next;
        time_point at;
        bool known = false;

        /// It said recently that requests wait there.
        [[nodiscard]] bool has_backlog(time_point now) const;
    };
    struct moved_request
    {
        time_point until;
        account_id account;
        cost estimate;
    };

    void serve(time_point now);
    void give(time_point now, endpoint_id endpoint);
    void send_grant(const request_id& id, const lease& held);
    void end_lease(time_point now, std::map<request_id, lease>::iterator held,
                   attempt_outcome outcome, duration token_delay);
    void account_for(account_id account, cost amount);
    bool refused(time_point now, instance_id from, const enqueue& message);
    void send_reject(instance_id to, const enqueue& message,
                     refusal_reason reason, duration wait);
    void note_rate(time_point now);
    [[nodiscard]] duration predicted_wait(account_id account) const;
    void expire_leases(time_point now);
    void move_work(time_point now);
    void move_to(time_point now, const shard_id& shard, peer_view& peer,
                 const waiting_request& request);
    /// A waiting request as another shard gets it.
    [[nodiscard]] enqueue as_moved(time_point now, const shard_id& shard,
                                   const waiting_request& request);
    void advertise(time_point now, bool due);
    [[nodiscard]] bool peers_have_backlog(time_point now) const;
    [[nodiscard]] virtual_time with_moved(account_id account,
                                          virtual_time at) const;
    void forget_moved(const request_id& id);
    void expire_moved(time_point now);
    /// Waiting requests below which a slot may idle while others send work.
    [[nodiscard]] std::uint32_t low_water() const;
    [[nodiscard]] std::uint32_t wanted() const;
    void follow_peers(time_point now);
    /// Whether a request of the account holds a slot here.
    [[nodiscard]] bool is_served(account_id account) const;
    void enqueue_fairly(time_point now, const waiting_request& request);
    void replace_owner(time_point now, peer_view& view, instance_id owner);
    void follow_owners(time_point now);

    shard_id id_;
    scheduler_options options_;
    boost::random::mt19937 random_;
    outbox& out_;
    fair_queue queue_;
    service_exchange exchange_;
    endpoint_pool pool_;
    std::size_t max_queue_ = 0;
    std::size_t max_queue_per_account_ = 0;
    std::map<request_id, lease> leases_;
    std::map<request_id, moved_request> moved_;
    /// Cost of moved requests that the peers' reports may not show yet.
    std::map<account_id, cost> moved_cost_;
    std::map<instance_id, std::chrono::milliseconds> entry_clocks_;
    std::map<shard_id, peer_view> peers_;
    time_point granting_from_;
    time_point next_advert_;
    time_point advert_allowed_;
    std::uint32_t advertised_wanted_ = 0;
    bool advertised_backlog_ = false;
    double served_in_window_ = 0;
    /// Slots were free within the window, so what was served in it tells less
    /// than what could have been.
    bool slack_in_window_ = false;
    /// Cost a second that the endpoints serve when all slots are taken.
    double rate_ = 0;
    time_point window_from_;
};

} // namespace sycamorelock::core
