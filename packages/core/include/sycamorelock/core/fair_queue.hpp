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

/// A request that waits for a slot.
struct waiting_request
{
    request_id id;
    std::uint32_t attempt = 0;
    account_id account;
    std::uint8_t urgency = 3;
    cost estimate;
    time_point deadline;
    time_point enqueued;
    std::uint32_t prefix = 0;
    endpoint_id tried;
    bool moved = false;
    bool requeued = false;
};

/// Order in which waiting requests are served.
enum class queue_order : std::uint8_t
{
    fair,
    arrival,
};

struct fair_queue_options
{
    queue_order order = queue_order::fair;
    /// How far an account with an urgent request may run ahead of its share.
    virtual_time urgent_credit{2000};
    /// Urgency levels up to this one count as urgent (0 is the most urgent).
    std::uint8_t urgent_up_to = 1;
    /// How far behind the other backlogged accounts service that was given
    /// elsewhere, as in a partition, can put an account.
    virtual_time catch_up_cap{50000};
    /// Idle accounts beyond this number are forgotten, the oldest first.
    std::size_t max_accounts = 4096;
};

/// Queue of one shard. Choosing, adding and removing cost O(log accounts +
/// log requests of the account).
class fair_queue
{
  public:
    explicit fair_queue(fair_queue_options options);

    void set_weight(account_id account, double weight);
    [[nodiscard]] double weight(account_id account) const;

    /// Whether an account without waiting requests is lifted to the system
    /// time when one comes: yes if it was idle in the whole fleet.
    enum class return_from : std::uint8_t
    {
        idling,
        waiting_elsewhere,
    };

    /// Adds a request; returns false when it already waits.
    bool push(const waiting_request& request,
              return_from from = return_from::idling);

    /// The request to serve next, or null when nothing waits.
    [[nodiscard]] const waiting_request* front() const;

    /// First request, in the order of turns, that was not moved here from
    /// another shard and whose account satisfies a condition.
    using account_condition = std::function<bool(account_id, virtual_time)>;
    [[nodiscard]] const waiting_request*
    first_movable(const account_condition& allowed) const;

    /// Takes the id by value: callers pass the id of the request that goes.
    std::optional<waiting_request> remove(request_id id);
    [[nodiscard]] bool contains(const request_id& id) const;

    /// Adds service to an account; a negative amount corrects an estimate.
    void charge(account_id account, cost amount);

    /// Adds service that another scheduler gave.
    void import(account_id account, cost amount);
    /// Lifts the backlogged accounts that are behind the foremost one by more
    /// than the cap, and returns them.
    std::vector<account_id> limit_debt();

    /// Lifts the system time to what other schedulers of the service serve, so
    /// that an account does not gain by coming back at a quiet shard.
    void raise_system_time(virtual_time to);

    /// Takes over an account's virtual time from another scheduler.
    void adopt(account_id account, virtual_time at);

    [[nodiscard]] virtual_time at(account_id account) const;
    /// Virtual time of the account whose turn is next; system time if none.
    [[nodiscard]] virtual_time next() const;
    [[nodiscard]] virtual_time system_time() const { return system_time_; }

    /// Requests that were moved here from other shards.
    [[nodiscard]] std::vector<waiting_request> moved_here() const;

    [[nodiscard]] std::size_t size() const { return index_.size(); }
    [[nodiscard]] bool empty() const { return index_.empty(); }
    [[nodiscard]] std::size_t size_of(account_id account) const;
    [[nodiscard]] cost waiting_cost(account_id account) const;
    [[nodiscard]] double backlogged_weight() const { return active_weight_; }
    [[nodiscard]] std::vector<std::pair<account_id, virtual_time>>
    virtual_times() const;
    [[nodiscard]] std::vector<account_id> backlogged() const;

    /// Removes and returns requests whose deadline has passed.
    std::vector<waiting_request> expire(time_point now);

    void clear_requests();

  private:
    using position = std::pair<std::uint8_t, std::uint64_t>;
    using turn = std::pair<double, account_id>;

    struct account_state
    {
        double weight = 1;
        virtual_time at{0};
        cost waiting{0};
        std::map<position, waiting_request> requests;
        std::optional<turn> turn_key;
        std::uint64_t last_used = 0;
    };

    account_state& state_of(account_id account);
    void reorder(account_id account, account_state& state);
    [[nodiscard]] double turn_value(const account_state& state) const;
    void forget_idle_accounts();
    std::vector<account_id> lift_to(virtual_time least);

    fair_queue_options options_;
    std::unordered_map<account_id, account_state> accounts_;
    std::set<turn> turns_;
    std::map<request_id, std::pair<account_id, position>> index_;
    std::set<std::pair<time_point, request_id>> deadlines_;
    virtual_time system_time_{0};
    double active_weight_ = 0;
    std::uint64_t sequence_ = 0;
};

} // namespace sycamorelock::core
