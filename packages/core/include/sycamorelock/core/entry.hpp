// Handles each request at its entry, the instance that accepted it from the
// caller: claims the idempotency key, waits for a slot, runs the attempts and
// ends the request exactly once.
#pragma once

#include "sycamorelock/core/cost_estimator.hpp"
#include "sycamorelock/core/crash_tracker.hpp"
#include "sycamorelock/core/key_owner.hpp"
#include "sycamorelock/core/request_records.hpp"
#include "sycamorelock/core/retry_budget.hpp"
#include "sycamorelock/core/shard_directory.hpp"

namespace sycamorelock::core
{

/// A request as received from the caller's connection.
struct submission
{
    request_id id;
    account_id account;
    service_id service;
    std::uint8_t urgency = 3;
    /// The caller's estimate of the cost.
    std::optional<cost> hint;
    /// Maximum wait for a slot; the service's default if absent.
    std::optional<std::chrono::milliseconds> deadline;
    /// Hash of the prompt's prefix.
    std::uint32_t prefix = 0;
    /// False if the request must not be executed more than once.
    bool idempotent = true;
    std::optional<idempotency_key> key;
    /// Key of what endpoints execute of the request.
    std::optional<crash_key> content;
};

/// How far an attempt got at the endpoint.
enum class attempt_end : std::uint8_t
{
    completed,
    /// No byte of the request left this instance, for a local reason: no route
    /// to the endpoint, a shortage of local resources, an expired lease or an
    /// abort.
    nothing_sent,
    /// No connection to the endpoint accepted a byte of the request.
    not_connected,
    /// The request was sent, but no byte of the answer reached the caller.
    failed_before_answer,
    /// The endpoint answered that it does not execute the request, which proves
    /// nothing. No byte of the answer reached the caller.
    turned_away,
    /// The attempt failed after the answer had begun, so the caller's
    /// connection was closed.
    failed_in_answer,
    caller_left,
};

struct attempt_result
{
    request_id request;
    std::uint32_t attempt = 0;
    attempt_end end = attempt_end::completed;
    cost total;
    /// Mean time between two tokens; zero if unknown.
    duration token_delay{0};
    /// The endpoint answered with a server error, which the caller receives.
    bool server_error = false;
    /// The connection broke, and the endpoint refuses new ones.
    bool endpoint_terminated = false;
};

struct entry_options
{
    /// Interval between renewals of the leases of running requests.
    duration renew_period = std::chrono::seconds(2);
    /// Lifetime of a slot's lease without renewal. An attempt must start within
    /// this time of the clock value that its grant echoes.
    duration lease = std::chrono::seconds(5);
    /// Interval before an enqueue message is repeated for the first time. It
    /// doubles with each repeat up to the maximum.
    duration min_enqueue_interval = std::chrono::seconds(2);
    duration max_enqueue_interval = std::chrono::seconds(16);
    /// Interval between repeats of an unanswered claim.
    duration claim_interval = std::chrono::milliseconds(300);
    /// Time after the first claim at which the request is refused.
    duration claim_timeout = std::chrono::milliseconds(1500);
    /// Age at which a granted claim expires. It is shorter than the key owner's
    /// window by far more than any difference between clocks.
    duration claim_max_age = std::chrono::minutes(10);
    /// Limits the attempts of one request, including the first.
    std::uint32_t max_attempts = 3;
    /// Limits the open requests of this entry.
    std::size_t max_requests = 20000;
};

/// Counters of one entry since its start.
struct entry_counters
{
    std::uint64_t accepted = 0;
    std::uint64_t completed = 0;
    /// Answers that failed after their first byte.
    std::uint64_t cut = 0;
    std::uint64_t caller_left = 0;
    std::array<std::uint64_t, refusal_reason_count> refused{};
};

/// State machine of all open requests of one instance. Messages and actions go
/// to the outbox.
class entry
{
  public:
    entry(entry_options options, instance_id self, shard_directory& directory,
          const placement& owners, outbox& out);

    void configure(const topology& config);
    void submit(time_point now, const submission& submitted);
    void caller_left(time_point now, const request_id& id);
    /// Records the cost of a running attempt for the next lease renewal.
    void report_progress(const request_id& id, std::uint32_t attempt,
                         cost so_far);
    /// Ends the attempt; retries the request or ends it, too.
    void finish(time_point now, const attempt_result& result);
    /// Refuses all later submissions; open requests continue.
    void stop_accepting() { stopping_ = true; }

    void on_message(time_point now, instance_id from, const grant& message);
    void on_message(time_point now, instance_id from, const reject& message);
    void on_message(time_point now, instance_id from,
                    const claim_result& message);
    void tick(time_point now);

    [[nodiscard]] std::size_t open_requests() const { return open_.size(); }
    [[nodiscard]] const entry_counters& counters() const { return counters_; }
    [[nodiscard]] crash_tracker& crashes() { return crashes_; }
    [[nodiscard]] const crash_tracker& crashes() const { return crashes_; }
    /// Record of an open or recent request; null if there is none.
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
        /// When the claim or enqueue message is repeated.
        time_point next_send;
        duration enqueue_interval{0};
        shard_id shard;
        /// Instance that owns the shard and queues or runs this request.
        instance_id scheduler;
        std::uint32_t scheduler_incarnation = 0;
        /// Endpoint of the current attempt, or of the previous one while the
        /// request waits.
        endpoint_id endpoint;
        /// The key owner granted the idempotency key to this request.
        bool claimed = false;
        /// An earlier attempt may have been executed at its endpoint, so a
        /// refusal can no longer report that the request was not executed.
        bool maybe_ran = false;
        /// The owner of the shard changed while the request waited.
        bool requeued = false;
        /// The request is quarantined and sent once, to find out whether
        /// endpoints still crash under it.
        bool is_probe = false;
    };
    using open_map = std::map<request_id, open_request>;
    /// Delay suggested to a refused caller if the scheduler gave none.
    static constexpr std::chrono::milliseconds default_retry_after{1000};

    void
    refuse_new(time_point now, const submission& submitted,
               refusal_reason reason,
               std::chrono::milliseconds retry_after = default_retry_after);
    /// Time after which a quarantined request may be tried again.
    [[nodiscard]] std::chrono::milliseconds
    quarantine_delay(time_point now, const submission& request) const;
    [[nodiscard]] bool is_quarantined(const open_request& request) const
    {
        return request.spec.content && !request.is_probe &&
               crashes_.is_quarantined(*request.spec.content);
    }
    /// Counts a crash of the endpoint, or that it executed the request.
    void note_crash_evidence(time_point now, const open_request& request,
                             const attempt_result& result);
    void send_claim(time_point now, open_request& request);
    void start_waiting(time_point now, open_request& request);
    void send_enqueue(time_point now, open_request& request);
    void start_attempt(time_point now, open_request& request,
                       const grant& message);
    void retry_or_refuse(time_point now, open_map::iterator found,
                         retry_reason reason, executed ran);
    void refuse_open(time_point now, open_map::iterator found,
                     refusal_reason reason, executed ran,
                     std::chrono::milliseconds retry_after);
    void close(time_point now, open_map::iterator found);
    void send_withdraw(const open_request& request);
    void send_release(const open_request& request, cost total,
                      attempt_outcome outcome, duration token_delay);
    /// Sends the request to the shard's new owner if the owner has changed.
    void handle_owner_change(time_point now, open_request& request);
    void send_adopt(open_request& request, instance_id owner);
    void renew_leases(time_point now);
    bool tick_waiting(time_point now, open_map::iterator found);
    bool tick_claiming(time_point now, open_map::iterator found);
    request_record& record_of(const open_request& request);

    entry_options options_;
    instance_id self_;
    shard_directory& directory_;
    const placement& placement_;
    outbox& out_;
    const topology* topology_ = nullptr;
    open_map open_;
    std::map<account_id, std::size_t> open_by_account_;
    cost_estimator estimator_;
    retry_budget budget_;
    entry_counters counters_;
    time_point next_renew_;
    /// Generation of the placement for which owners were last checked.
    std::uint64_t seen_generation_ = 0;
    bool stopping_ = false;
    crash_tracker crashes_;
    /// Crashes that this instance has counted. Entries of endpoints do not tell
    /// their starts apart.
    std::uint32_t counted_crashes_ = 0;
    request_records records_;
};

} // namespace sycamorelock::core
