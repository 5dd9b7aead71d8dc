// Exchange of service totals between the schedulers of one service.
//
// Each scheduler counts the service that every other one has provided to each
// client account exactly once, regardless of the order in which reports arrive.
// The virtual time of an account is a base plus the sum of running totals over
// all schedulers. A newer total replaces the older one and bases merge by their
// maximum, so reports may be lost, repeated, late or sent by two owners of one
// shard: the schedulers converge once they have received the same totals.
#pragma once

#include "sycamorelock/core/fair_queue.hpp"
#include "sycamorelock/core/outbox.hpp"

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace sycamorelock::core
{

struct exchange_options
{
    /// False in the baseline modes, whose schedulers exchange no reports.
    bool enabled = true;
    duration period = std::chrono::milliseconds(150);
    /// Bandwidth limit for reports; the period is extended to stay below it.
    /// One budget covers the copies to all receivers.
    std::size_t bytes_per_second = 1000;
    std::size_t max_report_items = 256;
    /// Time that a new scheduler waits for a snapshot of a peer's virtual times
    /// before it starts without one.
    duration join_timeout = std::chrono::seconds(1);
    /// Delay from a change of owners to the first snapshot request, within
    /// which all instances should have applied the change, and interval between
    /// the requests that follow. A message delayed for longer may be missed.
    duration resync_period = std::chrono::seconds(3);
    std::size_t max_snapshot_items = 2048;
};

class service_exchange
{
  public:
    /// \param epoch identifies the series of totals of this scheduler. A
    /// scheduler that restarts without its state uses a different epoch.
    service_exchange(shard_id id, exchange_options options, std::uint32_t epoch,
                     time_point now, fair_queue& queue, outbox& out);

    /// Sets the owners of the other shards of the service. If an owner changed,
    /// known totals are repeated and new snapshots are requested.
    void set_owners(time_point now, std::map<shard_id, instance_id> owners);
    /// Returns the instances that receive reports: the owners of the other
    /// shards.
    [[nodiscard]] std::set<instance_id> receivers() const;

    /// Adds service provided by this scheduler, which the queue has already
    /// charged.
    void add_local_service(account_id account, cost amount);
    /// Marks the account's virtual time as raised without service, so that the
    /// next report includes the new value.
    void mark_lifted(account_id account) { lifted_.insert(account); }
    /// Returns true if another scheduler has recently reported waiting requests
    /// of the account.
    [[nodiscard]] bool waits_at_peer(time_point now, account_id account) const;

    /// Returns true after a start or a change of owners until the resulting
    /// snapshot requests have been sent. Until then service provided by peers
    /// may be missing from the virtual times.
    [[nodiscard]] bool resyncing() const
    {
        return joining_ || snapshots_due_ > 0;
    }

    void on_report(time_point now, instance_id from,
                   const service_report& message);
    void on_snapshot_request(time_point now, instance_id from);
    void on_snapshot(time_point now, const snapshot& message);
    /// Sends the snapshot request and the report that are due.
    void tick(time_point now);
    /// Sends all totals to the owners of the service's shards. Called last,
    /// before another instance takes over this shard, because no scheduler
    /// reports these totals again.
    void hand_over(std::map<shard_id, instance_id> owners);

  private:
    using totals_key = std::pair<shard_id, std::uint32_t>;
    using account_totals = std::map<account_id, std::int64_t>;
    struct peer_totals
    {
        account_totals totals;
        /// Totals from a snapshot whose own reports have not arrived yet. A
        /// report with a lower total is older than the snapshot; it does not
        /// correct the total downwards.
        account_totals snapshot_totals;
        time_point last_received;
    };

    peer_totals& find_or_add_totals(time_point now, const totals_key& key);
    void retire_totals(time_point now);
    void merge_retired(const snapshot& message);
    void add_peer_service(account_id account, std::int64_t amount);
    void apply_total(peer_totals& known, const service_report::item& item);
    void limit_lag();
    account_totals apply_included(time_point now, const snapshot& message);
    [[nodiscard]] virtual_time to_virtual_time(account_id account,
                                               std::int64_t amount) const;
    [[nodiscard]] virtual_time counted_virtual_time(account_id account) const;
    [[nodiscard]] std::set<account_id> accounts_with_changes(bool full);
    [[nodiscard]] std::vector<account_id> accounts_to_report(bool full);
    [[nodiscard]] service_report::item report_item(account_id account);
    void update_waiting(time_point now, const service_report& message);
    /// Returns the number of instances that the message was sent to.
    std::size_t send_to_peers(const service_report& message);
    void send_report(time_point now);
    void request_snapshot(time_point now);
    void finish_joining(time_point now);

    shard_id id_;
    exchange_options options_;
    std::uint32_t epoch_;
    fair_queue& queue_;
    outbox& out_;
    std::map<shard_id, instance_id> owners_;

    /// Service provided by this scheduler.
    account_totals totals_;
    /// Totals of other schedulers that the virtual times include.
    std::map<totals_key, peer_totals> peer_totals_;
    /// Replaced schedulers whose totals are kept only as part of
    /// `retired_sum_`.
    std::set<totals_key> retired_;
    account_totals retired_sum_;
    /// Service of all schedulers that the virtual times include.
    account_totals counted_;

    account_totals unreported_;
    std::set<account_id> reported_waiting_;
    std::set<account_id> lifted_;
    /// Accounts to be reported again, because peers may have missed the earlier
    /// report.
    std::set<account_id> pending_repeats_;
    /// Accounts with requests waiting at a peer, and when that information
    /// expires.
    std::map<shard_id, std::map<account_id, time_point>> waiting_at_;
    time_point next_report_;
    time_point next_full_report_;

    /// Set until a peer's virtual times have arrived or the join timeout has
    /// passed. No service is reported meanwhile.
    bool joining_;
    time_point join_deadline_;
    std::vector<std::pair<instance_id, service_report>> deferred_reports_;
    time_point next_snapshot_request_;
    std::size_t snapshot_requests_ = 0;
    unsigned snapshots_due_ = 0;
    /// Number of snapshot requests without a response. Every response is
    /// applied, because a late one may include less than the next one does.
    unsigned snapshots_awaited_ = 0;
    bool has_snapshot_ = false;
};

} // namespace sycamorelock::core
