// Weighted fair queue over client accounts, with bounded credit for urgency.
#pragma once

#include "sycamorelock/core/strong_types.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sycamorelock::core
{

/// A queued request that has no slot yet.
struct waiting_request
{
    request_id id;
    std::uint32_t attempt = 0;
    account_id account;
    /// Priority of the request; 0 is the most urgent.
    std::uint8_t urgency = 3;
    cost estimate;
    time_point deadline;
    time_point enqueued;
    std::uint32_t prefix = 0;
    /// Endpoint of the previous attempt, if any; another one is preferred.
    endpoint_id tried;
    /// Set when the scheduler of another shard moved the request here.
    bool moved = false;
    /// Set when the request was queued at, or forwarded by, a previous owner of
    /// the shard.
    bool requeued = false;
};

/// Order in which queued requests are served.
enum class queue_order : std::uint8_t
{
    /// By the virtual time of the account (weighted fair queuing).
    fair,
    /// First come, first served.
    arrival,
};

struct fair_queue_options
{
    queue_order order = queue_order::fair;
    /// Virtual time by which an account with an urgent request may exceed its
    /// fair share.
    virtual_time urgent_credit{2000};
    /// Urgency levels up to this one count as urgent (0 is the most urgent).
    std::uint8_t max_urgent_level = 1;
    /// Largest lag, in virtual time, of a backlogged account behind the one
    /// that is furthest ahead. Service imported from other schedulers, for
    /// example after a partition, could otherwise cause any lag.
    virtual_time max_lag{50000};
    /// Number of accounts above which idle ones are evicted, least recently
    /// used first.
    std::size_t max_accounts = 4096;
};

/// Queue of one shard. `push`, `front` and `remove` cost
/// O(log accounts + log requests of the account).
class fair_queue
{
  public:
    explicit fair_queue(fair_queue_options options);

    void set_weight(account_id account, double weight);
    [[nodiscard]] double weight(account_id account) const;

    /// State, before a push, of an account without requests in this queue. An
    /// account that was idle in the whole fleet is raised to the system time;
    /// one that is backlogged at another scheduler keeps its virtual time.
    enum class prior_state : std::uint8_t
    {
        idle,
        backlogged_elsewhere,
    };

    /// Adds a request; returns false if it is queued already.
    bool push(const waiting_request& request,
              prior_state prior = prior_state::idle);

    /// The request to serve next, or null if the queue is empty.
    [[nodiscard]] const waiting_request* front() const;

    /// Predicate on an account and its virtual time.
    using account_condition = std::function<bool(account_id, virtual_time)>;
    /// First request in service order that was not moved here from another
    /// shard and whose account satisfies `allowed`, or null.
    [[nodiscard]] const waiting_request*
    first_movable(const account_condition& allowed) const;

    /// Removes and returns a request, if it is queued. Takes the id by value,
    /// because callers pass the id of the very request that is destroyed.
    std::optional<waiting_request> remove(request_id id);
    [[nodiscard]] bool contains(const request_id& id) const;

    /// Adds service to an account; a negative amount corrects an estimate.
    void charge(account_id account, cost amount);

    /// Adds service that another scheduler granted to the account. Does not
    /// advance the system time.
    void charge_remote(account_id account, cost amount);
    /// Raises the backlogged accounts that lag more than `max_lag` behind the
    /// one that is furthest ahead, and returns them.
    std::vector<account_id> limit_lag();

    /// Raises the system time to the virtual time that other schedulers of the
    /// service are serving, so that a returning account gains no advantage at a
    /// lightly loaded shard.
    void raise_system_time(virtual_time to);

    /// Raises an account's virtual time to that of another scheduler.
    void adopt(account_id account, virtual_time at);

    /// Virtual time of an account; the system time if it is unknown.
    [[nodiscard]] virtual_time virtual_time_of(account_id account) const;
    /// Virtual time of the account that is served next; the system time if the
    /// queue is empty.
    [[nodiscard]] virtual_time next_virtual_time() const;
    [[nodiscard]] virtual_time system_time() const { return system_time_; }

    /// Requests that were moved here from other shards.
    [[nodiscard]] std::vector<waiting_request> moved_here() const;

    [[nodiscard]] std::size_t size() const { return index_.size(); }
    [[nodiscard]] bool empty() const { return index_.empty(); }
    [[nodiscard]] std::size_t size_of(account_id account) const;
    [[nodiscard]] cost waiting_cost(account_id account) const;
    [[nodiscard]] double backlogged_weight() const
    {
        return backlogged_weight_;
    }
    [[nodiscard]] std::vector<std::pair<account_id, virtual_time>>
    virtual_times() const;
    [[nodiscard]] std::vector<account_id> backlogged() const;

    /// Removes and returns requests whose deadline has passed.
    std::vector<waiting_request> expire(time_point now);

    void clear_requests();

  private:
    /// Urgency and arrival number of a request within its account.
    using position = std::pair<std::uint8_t, std::uint64_t>;
    /// Sort key of a backlogged account; the lowest is served first.
    using ranked_account = std::pair<double, account_id>;

    struct account_state
    {
        double weight = 1;
        /// Virtual time of the account, which is the start tag of its next
        /// request.
        virtual_time start_tag{0};
        cost waiting_cost{0};
        std::map<position, waiting_request> requests;
        /// Entry in `service_order_`; empty while no request is queued.
        std::optional<ranked_account> service_rank;
        /// Value of `sequence_` at the last use, for eviction.
        std::uint64_t last_used = 0;
    };

    account_state& state_of(account_id account);
    void reorder(account_id account, account_state& state);
    [[nodiscard]] double service_rank_of(const account_state& state) const;
    void evict_idle_accounts();
    std::vector<account_id> raise_to(virtual_time least);

    fair_queue_options options_;
    std::unordered_map<account_id, account_state> accounts_;
    std::set<ranked_account> service_order_;
    std::map<request_id, std::pair<account_id, position>> index_;
    std::set<std::pair<time_point, request_id>> deadlines_;
    virtual_time system_time_{0};
    double backlogged_weight_ = 0;
    std::uint64_t sequence_ = 0;
};

} // namespace sycamorelock::core
