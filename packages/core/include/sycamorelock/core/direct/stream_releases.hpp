// Records which release started each resumable stream. The output of two
// releases cannot be joined, so a stream may be resumed only at the release
// that started it.
#pragma once

#include "sycamorelock/core/direct/release.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace sycamorelock::core::direct
{

using std::chrono::milliseconds;

/// A stream and the release that its request was sent to. Instances report
/// these to each other.
struct stream_note
{
    stream_key key;
    service_id service;
    release_id release;
    /// Number of the attempt, from 1. If two notes of one stream differ, the
    /// one with the higher number is valid, because an attempt that returned no
    /// data may be repeated at another release. 0 for a resumed stream.
    unsigned attempt = 1;

    bool operator==(const stream_note&) const = default;
};

/// A release that has endpoints, or had some recently.
struct known_release
{
    service_id service;
    release_id release;
    /// Time since an endpoint of the release was last listed; zero if one is
    /// listed now.
    milliseconds age{0};

    bool operator==(const known_release&) const = default;
};

/// Releases that may have started streams.
struct release_history
{
    std::vector<known_release> seen;
    /// Time up to now for which the list is complete.
    milliseconds observed_for{0};

    bool operator==(const release_history&) const = default;
};

/// State that an instance requests from another one after it has started, or
/// after its endpoint listing was outdated.
struct stream_copy
{
    std::vector<stream_note> streams;
    release_history releases;
};

/// How the release of a stream was determined.
enum class stream_source : std::uint8_t
{
    /// The release is not known.
    unknown,
    /// This instance sent the request of the stream.
    own,
    /// Another instance reported the stream. `to_string` returns "told".
    reported,
    /// The service has had endpoints of no other release during the time for
    /// which streams are remembered.
    sole,
};
std::string_view to_string(stream_source source);

/// Maps resumable streams to the releases that started them, and determines
/// which streams must be reported to other instances.
class stream_releases
{
  public:
    /// Bounds on the time for which a stream is remembered.
    static constexpr duration min_retention = std::chrono::seconds(10);
    static constexpr duration max_retention = std::chrono::seconds(60);
    /// Maximum number of remembered streams of other instances; the oldest are
    /// dropped beyond it. At the design size 1,200 streams start per second.
    static constexpr std::size_t max_remote_streams = 80'000;
    /// The same for streams of this instance.
    static constexpr std::size_t max_own_streams = 20'000;
    /// Maximum number of remembered releases of a service.
    static constexpr std::size_t max_releases_per_service = 64;
    /// An endpoint listing older than this may lack a release. A store without
    /// changes responds every two seconds.
    static constexpr duration max_listing_age = std::chrono::milliseconds(2500);
    /// Maximum difference between the times at which two instances see a
    /// release added or removed.
    static constexpr duration listing_skew = 2 * max_listing_age;
    /// Time for which an instance that has started, or whose listing was
    /// outdated, requests copies of streams and releases from others.
    static constexpr duration copy_request_period = std::chrono::seconds(3);
    /// An instance that has run, or has had current listings, for less than
    /// this sends no copy: it knows no more than the instances requesting one.
    static constexpr duration min_observation_time =
        copy_request_period + max_listing_age;
    /// Callers that resume a stream that ended here do so within this time,
    /// because they did not receive its last bytes.
    static constexpr duration resume_grace_period = std::chrono::seconds(5);
    /// Maximum number of streams in a copy, which is then some 300 KB.
    static constexpr std::size_t max_copied_streams = 40'000;

    /// Sets the maximum duration of a stream. A stream that breaks at its end
    /// may be resumed for the same time again, so streams are remembered for
    /// twice this time, within `min_retention` and `max_retention`.
    void set_max_stream_duration(milliseconds timeout);
    [[nodiscard]] duration retention() const { return retention_; }

    /// Sets the releases of which endpoints are listed now, by service.
    void set_listed(time_point now,
                    const std::map<service_id, std::set<release_id>>& listed);
    /// Sets the time at which the listing was last known to be correct. Must be
    /// called more often than `max_listing_age`: a larger step of this time is
    /// treated as a gap in which a release may have been missed.
    void set_listing_time(time_point now, time_point at);
    /// Records that a route was changed to lead to this service, so that
    /// streams of the route may have been started by another service.
    void note_route_moved(time_point now, service_id service);
    /// Sets the services that share a route with others. The route does not
    /// determine which of them started a stream.
    void set_shared(std::set<service_id> services);

    /// Records that a stream of this instance is sent to a release.
    /// \return whether the release differs from that of an earlier attempt, so
    /// that others assume the wrong release until they receive a report.
    bool note(time_point now, const stream_note& sent);
    /// The same for a stream that is resumed here and may have been started
    /// through another instance.
    void note_resumed(time_point now, stream_key key, service_id service,
                      release_id release);
    /// Records that the caller has received the whole stream.
    void end(time_point now, stream_key key);
    /// Adds streams that other instances have reported.
    void add_remote(time_point now, std::span<const stream_note> remote);

    struct stream_origin
    {
        stream_source source = stream_source::unknown;
        service_id service;
        release_id release;
    };
    /// Looks up a stream that this instance sent or another one reported.
    [[nodiscard]] stream_origin find(time_point now, stream_key key) const;
    /// Returns the release of a service's streams if only one can have started
    /// them.
    [[nodiscard]] std::optional<release_id> sole(time_point now,
                                                 service_id service) const;

    /// Whether other instances may need a report to determine the release of a
    /// service's streams.
    [[nodiscard]] bool must_report(time_point now, service_id service) const;
    /// Returns the streams that must be reported now and removes them from the
    /// queue. Also removes expired streams and releases.
    [[nodiscard]] std::vector<stream_note> take_unreported(time_point now);

    /// Queues all own streams again, for an instance that has joined and has
    /// not received earlier reports.
    void requeue_reports();

    /// Whether this instance has just started and lacks the streams that others
    /// reported before.
    [[nodiscard]] bool wants_streams(time_point now) const;
    /// Whether this instance may have missed a release and requests the release
    /// history from others.
    [[nodiscard]] bool wants_releases(time_point now) const;
    /// Returns a copy of the known streams and releases, or nothing if this
    /// instance has run or observed releases for less than
    /// `min_observation_time`.
    /// \param has_started whether the requester has just started and lacks all
    /// streams. Otherwise it may have missed a release, as all instances may
    /// have after an outage of the store.
    [[nodiscard]] std::optional<stream_copy> copy(time_point now,
                                                  bool has_started) const;
    /// Merges a copy from another instance.
    void adopt(time_point now, const stream_copy& known);

    /// Number of streams that are remembered.
    [[nodiscard]] std::size_t kept() const
    {
        return own_.size() + remote_.size();
    }
    /// Number of streams that were dropped before their retention time had
    /// passed, because a limit on the number of streams was exceeded.
    [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

  private:
    struct entry
    {
        service_id service;
        release_id release;
        unsigned attempt = 0;
        time_point at;
        std::optional<time_point> ended_at;
        /// Whether the stream is in `unreported_`.
        bool is_queued = false;
    };
    /// Streams and the order in which they were inserted or refreshed. A
    /// refreshed stream has several elements in `order`, of which only the last
    /// one has the time of the entry.
    struct stream_table
    {
        struct insertion
        {
            time_point at;
            stream_key key;
        };
        std::unordered_map<stream_key, entry> known;
        std::deque<insertion> order;

        [[nodiscard]] std::size_t size() const { return known.size(); }
        [[nodiscard]] const entry* find(stream_key key) const;
        entry& refresh(time_point now, stream_key key);
        /// Removes streams older than `oldest` and those beyond the limits on
        /// the sizes of the table and of `order`. Returns how many streams were
        /// removed only because of the limits.
        std::size_t evict(time_point oldest, std::size_t max_size);
    };
    /// Releases of a service and the time at which endpoints of each were last
    /// listed.
    struct service_history
    {
        std::map<release_id, time_point> last_listed;
        std::set<release_id> listed;
        /// Last time at which a route was changed from another service to
        /// this one.
        std::optional<time_point> route_moved_at;
    };

    [[nodiscard]] bool is_listing_current(time_point now) const
    {
        return now - listing_time_ <= max_listing_age;
    }
    /// Time after its last listing for which a release may have streams that
    /// can still be resumed.
    [[nodiscard]] duration release_lifetime() const
    {
        return retention_ + listing_skew;
    }
    /// Whether streams that are resumed now may have been started by a release
    /// that was last listed at `last`.
    [[nodiscard]] bool may_own_streams(time_point now,
                                       const service_history& history,
                                       release_id release,
                                       time_point last) const
    {
        return history.listed.contains(release) ||
               now - last <= release_lifetime();
    }
    /// Whether every release that may have started a stream is known here.
    [[nodiscard]] bool knows_all_releases(time_point now) const
    {
        return is_listing_current(now) && observed_since_ &&
               now - *observed_since_ >= release_lifetime();
    }
    [[nodiscard]] bool any_must_report(time_point now) const;
    /// Queues a stream, to be reported once its service requires that.
    void queue_report(stream_key key, entry& sent);
    /// Returns whether a queued stream must be reported now. Clears `is_queued`
    /// if so, or if the stream has ended and can no longer be resumed.
    [[nodiscard]] bool dequeue_if_due(time_point now, entry& sent) const;
    void record_release(time_point at, service_id service, release_id release);
    void store_remote(time_point now, const stream_note& remote);
    void remove_expired(time_point now);

    duration retention_ = min_retention;
    std::map<service_id, service_history> services_;
    std::set<service_id> shared_;
    time_point listing_time_;
    /// Time since which the release history is complete; empty while it may
    /// lack a release.
    std::optional<time_point> observed_since_;
    std::optional<time_point> started_;
    bool has_stream_copy_ = false;
    /// Time since which releases are requested from others, until
    /// `has_release_copy_` is set.
    time_point requesting_since_;
    bool has_release_copy_ = false;
    stream_table own_;
    stream_table remote_;
    /// Streams of this instance that have not been reported.
    std::vector<stream_key> unreported_;
    std::uint64_t dropped_ = 0;
};

} // namespace sycamorelock::core::direct
