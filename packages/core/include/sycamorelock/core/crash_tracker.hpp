// Finds requests, and parts of prompts, that crash the endpoints that execute
// them (queries of death), and quarantines them.
#pragma once

#include "sycamorelock/core/crash_key.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace sycamorelock::core
{

/// What a note says about a key or an endpoint.
enum class crash_evidence : std::uint8_t
{
    /// The endpoint terminated while it executed what the key identifies.
    crashed = 0,
    /// An endpoint executed what the key identifies and did not crash.
    succeeded = 1,
    /// The endpoint responded later, so it had not terminated.
    survived = 2,
};

/// Evidence that instances report to each other. Notes may arrive repeatedly
/// and in any order.
struct crash_note
{
    crash_evidence evidence = crash_evidence::crashed;
    /// Unused in notes of survival.
    crash_key key;
    /// One start of an endpoint. Unused in notes of success.
    endpoint_id endpoint;
    /// Time since the event.
    std::chrono::milliseconds age{0};

    bool operator==(const crash_note&) const = default;
};

/// A change of what an instance believes, for its log.
struct crash_event
{
    enum class change : std::uint8_t
    {
        /// A crash was counted for the key.
        counted,
        quarantined,
        /// A request with a quarantined key is sent as a probe.
        probed,
        /// The key is no longer quarantined.
        released,
        /// The endpoint had not terminated; its crashes were withdrawn.
        withdrawn,
    };
    change what = change::counted;
    crash_key key;
    endpoint_id endpoint;
    /// Crashes that are counted for the key now.
    std::size_t crashes = 0;
    /// Time since the event that caused the change.
    duration age{0};
    /// Another instance reported it.
    bool is_remote = false;
};
std::string_view to_string(crash_event::change what);

/// Counts the endpoints that terminated while they executed requests with the
/// same key, over all instances, and quarantines keys that reach the limit.
///
/// A request has several keys, and many requests may share one: each part of
/// its prompt has a key. All keys of the requests that an endpoint was
/// executing are suspected when it crashes, so sound keys that are in use
/// everywhere collect crashes, too. They are cleared by successes; and a crash
/// does not count against a key if another key explains it, see `is_explained`.
///
/// A broken connection alone is no evidence of a crash. It only raises a
/// suspicion, which counts once the endpoint is known to have terminated, and
/// is dropped if the endpoint responds to a later request.
class crash_tracker
{
  public:
    /// Number of endpoints that may crash under the same key.
    static constexpr std::size_t max_crashes = 3;
    /// A suspicion that is not confirmed within this time is dropped. The
    /// entries of crashed endpoints lapse sooner.
    static constexpr duration suspicion_lifetime = std::chrono::seconds(5);
    /// Crashes that are this much older than the latest one do not count
    /// towards a quarantine.
    static constexpr duration crash_lifetime = std::chrono::minutes(2);
    /// Time from the last crash until a quarantined request may be tried again,
    /// in case the quarantine is wrong or the endpoints have been corrected. It
    /// at least doubles with each probe that crashes its endpoint.
    static constexpr duration min_probe_delay = std::chrono::seconds(30);
    /// The same for a key whose crashes are those of another key as well.
    /// Either of them may be sound, so a probe is worth more.
    static constexpr duration min_ambiguous_probe_delay =
        std::chrono::seconds(5);
    static constexpr duration max_probe_delay = std::chrono::minutes(10);
    /// Time for which one instance of the fleet may send a probe. Another one
    /// is chosen for the next period, as the first may receive no such request.
    static constexpr duration probe_period = std::chrono::seconds(10);
    /// Part at each end of the period in which no probe is sent, because
    /// instances learn of crashes at slightly different times.
    static constexpr duration probe_margin = std::chrono::seconds(1);
    /// A quarantined key for which no request arrives is forgotten after this
    /// time.
    static constexpr duration quarantine_lifetime = std::chrono::hours(1);
    /// Maximum number of keys, and of crashes of one key; the oldest keys are
    /// dropped beyond it.
    static constexpr std::size_t max_keys = 4096;
    static constexpr std::size_t max_crashes_per_key = 16;

    explicit crash_tracker(instance_id self) : self_(self) {}

    /// Sets the other instances that may send probes.
    void set_members(std::vector<instance_id> members);

    /// Records that the connection of a request to an endpoint broke before the
    /// response was complete.
    void suspect(time_point now, endpoint_id endpoint, crash_key key);
    /// Records that an endpoint has terminated, and counts a crash for each
    /// suspicion.
    void note_terminated(time_point now, endpoint_id endpoint);
    /// Records that an endpoint responded to a request that was sent at `sent`.
    /// Everything from before that time was no crash.
    void note_response(time_point now, endpoint_id endpoint, time_point sent);
    /// Records that an endpoint executed what the key identifies and did not
    /// crash.
    void note_success(time_point now, crash_key key);

    /// Whether no evidence is known that concerns any key. Most of the time
    /// this is so, and callers need not compute keys.
    [[nodiscard]] bool empty() const { return keys_.empty(); }
    [[nodiscard]] bool is_quarantined(crash_key key) const;
    /// Whether any of a request's keys is quarantined.
    [[nodiscard]] bool
    is_any_quarantined(std::span<const crash_key> keys) const;
    /// Whether a key may be quarantined. If not, callers need not compute keys
    /// to find out.
    [[nodiscard]] bool has_limited() const { return !limited_.empty(); }
    /// How a request may proceed.
    enum class admission : std::uint8_t
    {
        admitted,
        /// The key is quarantined, and this request is the probe of the fleet.
        /// It must not be repeated.
        probe,
        refused,
    };
    /// \param keys all keys of the request.
    admission admit(time_point now, std::span<const crash_key> keys);
    admission admit(time_point now, crash_key key)
    {
        return admit(now, std::span(&key, 1));
    }
    /// Time until the next probe of a request with these keys.
    [[nodiscard]] duration time_to_probe(time_point now,
                                         std::span<const crash_key> keys) const;
    [[nodiscard]] duration time_to_probe(time_point now, crash_key key) const
    {
        return time_to_probe(now, std::span(&key, 1));
    }

    /// Merges evidence from another instance.
    void add_remote(time_point now, std::span<const crash_note> notes);
    [[nodiscard]] bool has_unreported() const { return !unreported_.empty(); }
    /// Returns the evidence to report to other instances, and drops what has
    /// expired.
    [[nodiscard]] std::vector<crash_note> take_unreported(time_point now);
    /// Returns all evidence, for an instance that has missed reports.
    [[nodiscard]] std::vector<crash_note> copy(time_point now) const;
    /// Queues all evidence for the next report.
    void requeue_reports(time_point now);

    [[nodiscard]] std::vector<crash_event> take_events();
    [[nodiscard]] std::size_t quarantined() const;
    [[nodiscard]] std::size_t keys() const { return keys_.size(); }
    /// Number of keys that were dropped because there were too many.
    [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

  private:
    struct suspicion
    {
        crash_key key;
        time_point at;
    };
    struct crash
    {
        endpoint_id endpoint;
        time_point at;
    };
    struct record
    {
        /// In order of time.
        std::vector<crash> crashes;
        /// Crashes up to this time do not count.
        time_point succeeded_at;
        /// When the record was last changed or asked for.
        time_point used_at;
        /// Period in which this instance has sent a probe.
        std::optional<std::int64_t> probed_period;
    };
    struct pending_note
    {
        crash_evidence evidence = crash_evidence::crashed;
        crash_key key;
        endpoint_id endpoint;
        time_point at;
    };

    /// Returns whether the crash is new.
    bool count_crash(time_point now, crash_key key, const crash& counted,
                     bool is_remote);
    /// Returns whether the success changed anything.
    bool apply_success(time_point now, crash_key key, time_point at,
                       bool is_remote);
    bool apply_survival(time_point now, endpoint_id endpoint, time_point at,
                        bool is_remote);
    void remove_crashes(time_point now, crash_key key, record& from,
                        const std::function<bool(const crash&)>& is_void,
                        bool is_remote);
    [[nodiscard]] static bool has_reached_limit(const record& known)
    {
        return known.crashes.size() >= max_crashes;
    }
    /// Whether one of the two keys explains the crashes that they share better:
    /// it has more crashes, or as many and its last success is longer ago.
    [[nodiscard]] static bool is_stronger(const record& one,
                                          const record& other);
    /// Whether each crash of a key is also that of a stronger key. A key that
    /// many requests share is open at every endpoint that crashes, so it would
    /// reach the limit as well.
    [[nodiscard]] bool is_explained(crash_key key, const record& known) const;
    /// Whether the same crashes were counted for another key.
    [[nodiscard]] bool is_ambiguous(crash_key key, const record& known) const;
    /// Record of a key if it is quarantined; null otherwise.
    [[nodiscard]] const record* find_quarantined(crash_key key) const;
    /// Updates whether the key is in `limited_`.
    void update_limited(crash_key key, const record& known);
    [[nodiscard]] time_point probe_due(crash_key key,
                                       const record& known) const;
    /// Whether this instance may send a probe of the key now.
    [[nodiscard]] bool may_probe(time_point now, crash_key key,
                                 const record& known) const;
    [[nodiscard]] bool is_chosen(crash_key key, std::int64_t period) const;
    void drop_excess_keys();
    void expire(time_point now);
    void emit(crash_event happened) { events_.push_back(happened); }

    instance_id self_;
    std::vector<instance_id> members_;
    std::map<endpoint_id, std::vector<suspicion>> suspicions_;
    std::map<crash_key, record> keys_;
    /// Keys that have reached the limit, whether they are explained or not.
    std::set<crash_key> limited_;
    /// Endpoints whose crashes were withdrawn, with the time up to which.
    std::map<endpoint_id, time_point> survivors_;
    std::vector<pending_note> unreported_;
    std::vector<crash_event> events_;
    std::uint64_t dropped_ = 0;
};

} // namespace sycamorelock::core
