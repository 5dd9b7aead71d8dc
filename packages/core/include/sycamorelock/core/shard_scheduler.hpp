// Scheduler of one shard: grants slots in fair order, moves queued requests to
// other shards of the service, and exchanges with them the service granted per
// account, that is the cost of the requests of the account.
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
    /// Time after which a lease that its entry did not renew expires.
    duration lease_duration = std::chrono::seconds(5);
    /// Time for which a new owner grants nothing, while entries report the
    /// requests that already hold slots of the shard.
    duration takeover_delay = std::chrono::milliseconds(500);
    /// Period of adverts while requests are queued here or at a peer.
    duration advert_period = std::chrono::seconds(1);
    /// Minimum time between two adverts.
    duration advert_min_gap = std::chrono::milliseconds(20);
    exchange_options exchange;
    /// Virtual time by which an account must lag behind a peer before its
    /// requests move to that peer for fairness alone.
    virtual_time move_margin{500};
    /// Requests that may move to a peer for fairness per advert of that peer.
    std::uint32_t max_moves_per_advert = 64;
    /// Time for which a moved request is remembered: its cost counts towards
    /// the account, and its entry cannot queue it here again.
    duration moved_retention = std::chrono::seconds(2);
};

class shard_scheduler
{
  public:
    shard_scheduler(shard_id id, scheduler_options options, std::uint64_t seed,
                    time_point now, outbox& out);

    /// Applies new settings. The slots of each endpoint are divided, rounding
    /// up, by `slot_share_divisor`, the number of instances that schedule
    /// independently.
    /// \param leaving endpoints that get no further requests.
    void configure(const service_spec& service, const shard_spec& shard,
                   const std::map<account_id, account_spec>& accounts,
                   const std::vector<endpoint_id>& leaving,
                   std::uint32_t slot_share_divisor);
    /// Sets the owners of the other shards of the service.
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

    /// Drops all queued requests. Used after the instance was suspended, when
    /// entries have queued them elsewhere.
    void drop_queued_requests();
    /// Reports the service granted here and forwards the requests that other
    /// shards moved here, before the shard passes to another owner. Entries
    /// resend their own requests to the next owner.
    void hand_over(time_point now, std::map<shard_id, instance_id> owners);

    [[nodiscard]] shard_id id() const { return id_; }
    /// Number of queued requests.
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
    /// A slot held by a request, until it is released or not renewed in time.
    struct lease
    {
        std::uint32_t attempt = 0;
        instance_id entry;
        account_id account;
        endpoint_id endpoint;
        /// Cost that the account has been charged so far.
        cost charged;
        time_point expires;
    };
    /// State of another shard of the service, from the last advert of its
    /// owner.
    struct peer_view
    {
        instance_id owner;
        /// Owner according to the placement; `owner` may be more recent,
        /// because it is also taken from adverts.
        instance_id placed_owner;
        /// Requests that the peer can still accept.
        std::uint32_t demand = 0;
        std::uint32_t backlog = 0;
        /// Moves for fairness that are left until the next advert.
        std::uint32_t remaining_moves = 0;
        /// Virtual time of the account that the peer serves next.
        virtual_time next_virtual_time;
        /// When the last advert arrived.
        time_point advert_time;
        bool has_advert = false;

        /// Whether a recent advert reported queued requests.
        [[nodiscard]] bool has_backlog(time_point now) const;
    };
    /// A request that was moved from here to another shard.
    struct moved_request
    {
        time_point until;
        account_id account;
        cost estimate;
    };

    /// Grants free slots, then moves requests and advertises as needed.
    void serve(time_point now);
    /// Grants a slot of an endpoint to the request that is served next.
    void grant_next(time_point now, endpoint_id endpoint);
    void send_grant(const request_id& id, const lease& held);
    void end_lease(time_point now, std::map<request_id, lease>::iterator held,
                   attempt_outcome outcome, duration token_delay);
    /// Charges the account in the queue and in the exchange.
    void charge_account(account_id account, cost amount);
    /// Rejects a request that no endpoint can serve, that exceeds a queue
    /// limit, or whose predicted wait exceeds its deadline; returns whether it
    /// did.
    bool reject_if_unservable(time_point now, instance_id from,
                              const enqueue& message);
    void send_reject(instance_id to, const enqueue& message,
                     refusal_reason reason, duration wait);
    /// Updates `rate_` at the end of each measurement window.
    void update_rate(time_point now);
    [[nodiscard]] duration predicted_wait(account_id account) const;
    void expire_leases(time_point now);
    /// Moves queued requests to peers that have demand, and for fairness to
    /// peers whose next virtual time exceeds that of the account by more than
    /// `move_margin`.
    void move_work(time_point now);
    void move_to(time_point now, const shard_id& shard, peer_view& peer,
                 const waiting_request& request);
    /// Builds the message that moves a queued request to a shard.
    [[nodiscard]] enqueue make_move_message(time_point now,
                                            const shard_id& shard,
                                            const waiting_request& request);
    /// Sends an advert if the state has changed or, if `due`, as the periodic
    /// one.
    void advertise(time_point now, bool due);
    [[nodiscard]] bool peers_have_backlog(time_point now) const;
    /// Virtual time of an account including the cost of requests moved away.
    [[nodiscard]] virtual_time with_moved_cost(account_id account,
                                               virtual_time at) const;
    void forget_moved(const request_id& id);
    void expire_moved(time_point now);
    /// Number of queued requests that is kept, so that no slot idles while
    /// peers send more.
    [[nodiscard]] std::uint32_t low_watermark() const;
    /// Number of requests that this shard accepts from its peers.
    [[nodiscard]] std::uint32_t request_demand() const;
    /// Raises the system time of an empty queue to the lowest virtual time that
    /// a backlogged peer serves next.
    void raise_to_peers(time_point now);
    /// Whether a request of the account holds a slot here.
    [[nodiscard]] bool holds_slot(account_id account) const;
    /// Queues a request. The account is raised to the system time only if it
    /// was idle in the whole fleet.
    void push_request(time_point now, const waiting_request& request);
    /// Resets the state of a peer whose shard has a new owner.
    void replace_owner(time_point now, peer_view& view, instance_id owner);
    /// Passes the owners of the peers to the exchange.
    void update_exchange_owners(time_point now);

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
    /// Cost of moved requests that reports of the peers may not include yet.
    std::map<account_id, cost> moved_cost_;
    /// Latest clock received from each entry, echoed in grants.
    std::map<instance_id, std::chrono::milliseconds> entry_clocks_;
    std::map<shard_id, peer_view> peers_;
    /// End of the `takeover_delay`.
    time_point granting_from_;
    /// When the next periodic advert is due.
    time_point next_advert_;
    /// End of the `advert_min_gap` after the last advert.
    time_point earliest_advert_;
    std::uint32_t advertised_demand_ = 0;
    bool advertised_backlog_ = false;
    /// Cost of the requests that were released in the current window.
    double served_in_window_ = 0;
    /// Whether free slots exceeded the backlog within the window, so that the
    /// cost served in it is only a lower bound of the capacity.
    bool idle_slots_in_window_ = false;
    /// Cost per second that the endpoints serve when all slots are in use.
    double rate_ = 0;
    time_point window_start_;
};

} // namespace sycamorelock::core
