// The way of a request through the instance that accepted it: claim of its
// idempotency key, wait for a slot, attempts, and exactly one end.
#pragma once

#include "sycamorelock/core/cost_estimator.hpp"
#include "sycamorelock/core/key_owner.hpp"
#include "sycamorelock/core/request_records.hpp"
#include "sycamorelock/core/retry_budget.hpp"
#include "sycamorelock/core/shard_directory.hpp"

namespace sycamorelock::core
{

/// A request as the caller's connection hands it over.
struct submission
{
    request_id id;
    account_id account;
    service_id service;
    std::uint8_t urgency = 3;
    std::optional<cost> hint;
    /// Longest wait for a slot; the service's default if absent.
    std::optional<std::chrono::milliseconds> deadline;
    std::uint32_t prefix = 0;
    bool idempotent = true;
    std::optional<idempotency_key> key;
};

/// How far an attempt got at the endpoint.
enum class attempt_end : std::uint8_t
{
    completed,
    /// No byte of the request left this instance, for want of something here.
    nothing_sent,
    /// The endpoint gave no connection that took a byte of the request.
    not_connected,
    /// Sent, but no byte of an answer went to the caller.
    failed_before_answer,
    /// The answer had begun; the caller's connection was cut.
    failed_in_answer,
    caller_left,
};

struct attempt_result
{
    request_id request;
    std::uint32_t attempt = 0;
    attempt_end end = attempt_end::completed;
    cost total;
    duration token_delay{0};
    /// The endpoint answered with a server error, which is passed on.
    bool server_error = false;
};

struct entry_options
{
    duration renew_period = std::chrono::seconds(2);
    duration lease = std::chrono::seconds(5);
    duration refresh_first = std::chrono::seconds(2);
    duration refresh_longest = std::chrono::seconds(16);
    duration claim_repeat = std::chrono::milliseconds(300);
    duration claim_timeout = std::chrono::milliseconds(1500);
    /// Age after which a granted claim is no longer acted on. Shorter than the
    /// key owner's window by far more than any clock difference.
    duration claim_valid = std::chrono::minutes(10);
    std::uint32_t max_attempts = 3;
    std::size_t max_requests = 20000;
};

/// Counters of one entry since start.
struct entry_counters
{
    std::uint64_t accepted = 0;
    std::uint64_t completed = 0;
    std::uint64_t cut = 0;
    std::uint64_t caller_left = 0;
    std::array<std::uint64_t, refusal_reason_count> refused{};
};

class entry
{
  public:
    entry(entry_options options, shard_directory& directory,
          const placement& where, outbox& out);

    void configure(const topology& tree);
    void submit(time_point now, const submission& wanted);
    void caller_left(time_point now, const request_id& id);
    void progress(const request_id& id, std::uint32_t attempt, cost so_far);
    void finish(time_point now, const attempt_result& result);
    void stop_accepting() { stopping_ = true; }

    void on_message(time_point now, instance_id from, const grant& message);
    void on_message(time_point now, instance_id from, const reject& message);
    void on_message(time_point now, instance_id from,
                    const claim_result& message);
    void tick(time_point now);

    [[nodiscard]] std::size_t open_requests() const { return open_.size(); }
    [[nodiscard]] const entry_counters& counters() const { return counters_; }
    [[nodiscard]] const request_record* explain(const request_id& id) const
    {
        return records_.find(id);
    }

  private:
    enum class phase : std::uint8_t
    {
        claiming,
        waiting,
        running,
    };

    struct open_request
    {
        submission spec;
        phase state = phase::waiting;
        std::uint32_t attempt = 0;
        cost estimate;
        cost so_far;
        time_point deadline;
        time_point accepted;
        time_point claim_sent;
        time_point next_send;
        duration refresh{0};
        shard_id shard;
        instance_id holder;
        std::uint32_t holder_incarnation = 0;
        endpoint_id endpoint;
        bool claimed = false;
        /// An earlier attempt reached an endpoint, so "not run" is over.
        bool maybe_ran = false;
        /// The owner of the shard changed while the request waited.
        bool requeued = false;
    };
    using open_map = std::map<request_id, open_request>;
    /// When a refused caller may come back if nothing better is known.
    static constexpr std::chrono::milliseconds soon{1000};

    void refuse_new(time_point now, const submission& wanted,
                    refusal_reason reason);
    void send_claim(time_point now, open_request& request);
    void start_waiting(time_point now, open_request& request);
    void send_enqueue(time_point now, open_request& request);
    void run(time_point now, open_request& request, const grant& message);
    void retry_or_refuse(time_point now, open_map::iterator found,
                         retry_reason reason, executed ran);
    void refuse_open(time_point now, open_map::iterator found,
                     refusal_reason reason, executed ran,
                     std::chrono::milliseconds retry_after);
    void close(time_point now, open_map::iterator found);
    void withdraw_from_holder(const open_request& request);
    void send_release(const open_request& request, cost total,
                      attempt_outcome outcome, duration token_delay);
    void follow_owner(time_point now, open_request& request);
    void send_adopt(open_request& request, instance_id owner);
    void renew_leases(time_point now);
    bool tick_waiting(time_point now, open_map::iterator found);
    bool tick_claiming(time_point now, open_map::iterator found);
    request_record& record_of(const open_request& request);

    entry_options options_;
    shard_directory& directory_;
    const placement& placement_;
    outbox& out_;
    const topology* tree_ = nullptr;
    open_map open_;
    std::map<account_id, std::size_t> open_by_account_;
    cost_estimator estimator_;
    retry_budget budget_;
    entry_counters counters_;
    time_point next_renew_;
    std::uint64_t seen_generation_ = 0;
    bool stopping_ = false;
    request_records records_;
};

} // namespace sycamorelock::core
