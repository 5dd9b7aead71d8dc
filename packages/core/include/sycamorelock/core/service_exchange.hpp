// Service that the schedulers of one service give, per client account, counted
// once by each of them in whatever order it is heard of.
//
// The virtual time of an account is a base plus the sum of running totals over
// all schedulers. Totals only replace their predecessors and bases merge by
// their maximum, so reports may be lost, repeated, late or come from two owners
// of one shard, and the schedulers agree again once they have heard the same.
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
    /// Off for the baselines without exchange between schedulers.
    bool enabled = true;
    duration period = std::chrono::milliseconds(150);
    /// Bytes a second that reports may use; the period is stretched.
    std::size_t bytes_per_second = 1000;
    std::size_t max_report_items = 256;
    /// Wait of a new scheduler for the virtual times of another.
    duration join_limit = std::chrono::seconds(1);
    /// Wait after a change of owners, until all have learnt of it, and between
    /// the snapshots that follow. A message that takes longer may be missed.
    duration resync_period = std::chrono::seconds(3);
    std::size_t max_snapshot_items = 2048;
};

class service_exchange
{
  public:
    /// \param epoch names the totals of this scheduler; a scheduler that lost
    /// its memory takes another one.
    service_exchange(shard_id id, exchange_options options, std::uint32_t epoch,
                     time_point now, fair_queue& queue, outbox& out);

    /// Follows the owners of the other shards of the service.
    void set_owners(time_point now, std::map<shard_id, instance_id> owners);
    [[nodiscard]] std::set<instance_id> receivers() const;

    /// Notes service given here, which the queue has charged already.
    void add_own(account_id account, cost amount);
    /// Notes that the account's virtual time was raised without service.
    void note_lift(account_id account) { lifted_.insert(account); }
    /// Whether requests of the account wait at another scheduler.
    [[nodiscard]] bool waits_elsewhere(time_point now,
                                       account_id account) const;

    /// Whether service of peers may not be counted yet, after a start or a
    /// change of owners.
    [[nodiscard]] bool resyncing() const
    {
        return joining_ || snapshots_due_ > 0;
    }

    void on_report(time_point now, instance_id from,
                   const service_report& message);
    void on_snapshot_request(time_point now, instance_id from);
    void on_snapshot(time_point now, const snapshot& message);
    /// Sends what is due.
    void tick(time_point now);
    /// Tells all totals to the owners of the service's shards, as the last
    /// thing before this one is scheduled elsewhere: nobody will report them
    /// again.
    void hand_over(std::map<shard_id, instance_id> owners);

  private:
    using totals_key = std::pair<shard_id, std::uint32_t>;
    using account_totals = std::map<account_id, std::int64_t>;
    struct totals_seen
    {
        account_totals totals;
        /// Totals that a snapshot told before their reports arrived. A lower
        /// one in a report is older, not a correction.
        account_totals told_early;
        time_point heard;
    };

    totals_seen& seen_of(time_point now, const totals_key& key);
    void retire_totals(time_point now);
    void take_retired(const snapshot& message);
    void add_service(account_id account, std::int64_t amount);
    void count(totals_seen& seen, const service_report::item& item);
    void limit_debt();
    account_totals count_included(time_point now, const snapshot& message);
    [[nodiscard]] virtual_time to_virtual(account_id account,
                                          std::int64_t amount) const;
    [[nodiscard]] virtual_time counted_service(account_id account) const;
    [[nodiscard]] std::set<account_id> accounts_with_news(bool full);
    [[nodiscard]] std::vector<account_id> accounts_to_report(bool full);
    [[nodiscard]] service_report::item report_item(account_id account);
    void note_waiting(time_point now, const service_report& message);
    /// Returns to how many instances it was sent.
    std::size_t send_to_owners(const service_report& message);
    void report(time_point now);
    void ask_for_snapshot(time_point now);
    void finish_joining(time_point now);

    shard_id id_;
    exchange_options options_;
    std::uint32_t epoch_;
    fair_queue& queue_;
    outbox& out_;
    std::map<shard_id, instance_id> owners_;

    /// Service given here.
    account_totals totals_;
    /// Totals of other schedulers that are counted here.
    std::map<totals_key, totals_seen> seen_;
    /// Replaced schedulers whose totals are kept as one sum only.
    std::set<totals_key> retired_;
    account_totals retired_sum_;
    /// All service that the virtual times include.
    account_totals counted_;

    account_totals unreported_;
    std::set<account_id> reported_waiting_;
    std::set<account_id> lifted_;
    /// Accounts that are told again, because peers may have missed them.
    std::set<account_id> repeat_;
    /// Accounts with requests waiting at a peer, and until when that holds.
    std::map<shard_id, std::map<account_id, time_point>> waiting_at_;
    time_point next_report_;
    time_point next_full_report_;

    /// Until a peer's virtual times have come, service is not reported.
    bool joining_;
    time_point joined_at_latest_;
    std::vector<std::pair<instance_id, service_report>> early_reports_;
    time_point next_snapshot_request_;
    std::size_t snapshot_requests_ = 0;
    unsigned snapshots_due_ = 0;
    /// Requests without an answer. Every answer counts, because a late one may
    /// know less than the one after it.
    unsigned snapshots_awaited_ = 0;
    bool has_snapshot_ = false;
};

} // namespace sycamorelock::core
