// Which release began each resumable stream. What two releases write does not
// fit together, so a stream may go on only at the one that began it.
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

/// A stream and the release that it was sent to.
struct stream_note
{
    stream_key key;
    service_id service;
    release_id release;
    /// Number of the attempt, from 1; of one stream the highest holds, as an
    /// attempt that brought nothing may be repeated elsewhere. 0: resumed.
    unsigned attempt = 1;

    bool operator==(const stream_note&) const = default;
};

/// A release that has endpoints, or had some lately.
struct release_sight
{
    service_id service;
    release_id release;
    /// Since one was listed last; zero if one is.
    milliseconds age{0};

    bool operator==(const release_sight&) const = default;
};

/// Releases that streams may have begun at.
struct release_history
{
    std::vector<release_sight> seen;
    /// For this time no release can have been missed.
    milliseconds watched_for{0};

    bool operator==(const release_history&) const = default;
};

/// What an instance that has just started cannot know by itself.
struct stream_copy
{
    std::vector<stream_note> streams;
    release_history releases;
};

/// How the release of a stream became known.
enum class stream_source : std::uint8_t
{
    /// It is not known.
    unknown,
    /// This instance sent it.
    own,
    /// Another instance told it.
    told,
    /// The service has had endpoints of no other release.
    sole,
};
std::string_view to_string(stream_source source);

class stream_releases
{
  public:
    /// Bounds on the time for which a stream is remembered.
    static constexpr duration least_kept = std::chrono::seconds(10);
    static constexpr duration most_kept = std::chrono::seconds(60);
    /// Streams of other instances that are remembered; the oldest are dropped
    /// beyond it. The design size begins 1,200 a second.
    static constexpr std::size_t most_told = 80'000;
    /// The same for streams of this instance.
    static constexpr std::size_t most_own = 20'000;
    /// Releases of a service that are remembered.
    static constexpr std::size_t most_releases = 64;
    /// News of endpoints that is older may lack a release. A quiet store
    /// answers every two seconds.
    static constexpr duration fresh_for = std::chrono::milliseconds(2500);
    /// Two instances may see a release come and go this much apart.
    static constexpr duration listing_skew = 2 * fresh_for;
    /// An instance that has started asks others for what they know, and for no
    /// longer than this.
    static constexpr duration patience = std::chrono::seconds(3);
    /// Whoever has run or watched for less than others ask knows no more than
    /// they.
    static constexpr duration settled_after = patience + fresh_for;
    /// Callers that take up a stream that had ended here do so within this
    /// time: they lost its last bytes.
    static constexpr duration ended_for = std::chrono::seconds(5);
    /// Streams that a copy tells of: some 300 KB.
    static constexpr std::size_t most_copied = 40'000;

    /// The longest time of a stream; it may break at its end and be resumed
    /// for as long.
    void set_longest(milliseconds timeout);
    [[nodiscard]] duration kept_for() const { return kept_for_; }

    /// Endpoints of these releases are listed, and of no others.
    void set_listed(time_point now,
                    const std::map<service_id, std::set<release_id>>& listed);
    /// Up to when the listing was right. To be called often: it notices when
    /// news stays away.
    void set_current(time_point now, time_point at);
    /// Streams of routes that lead to this service now may have begun at
    /// another one.
    void note_moved(time_point now, service_id service);
    /// Services that share a route with others: which of them began a stream
    /// is not plain.
    void set_shared(std::set<service_id> services);

    /// A stream of this instance is sent to a release.
    /// \return whether others may take it for that of another release until
    /// they are told.
    bool note(time_point now, const stream_note& sent);
    /// The same for a stream that was begun before, maybe elsewhere.
    void note_resumed(time_point now, stream_key key, service_id service,
                      release_id release);
    /// Its caller has got all of it.
    void end(time_point now, stream_key key);
    /// Streams of other instances.
    void hear(time_point now, std::span<const stream_note> told);

    struct finding
    {
        stream_source source = stream_source::unknown;
        service_id service;
        release_id release;
    };
    /// The release of a stream that was sent here or told.
    [[nodiscard]] finding find(time_point now, stream_key key) const;
    /// The only release that streams of a service can have begun at.
    [[nodiscard]] std::optional<release_id> sole(time_point now,
                                                 service_id service) const;

    /// Whether others may be unable to tell the release of a service's streams.
    [[nodiscard]] bool must_tell(time_point now, service_id service) const;
    /// What they must be told, each stream once. Also drops what is too old.
    [[nodiscard]] std::vector<stream_note> take_untold(time_point now);

    /// An instance has come that has not heard what was told.
    void retell();

    /// Whether this instance has just started and lacks what others told.
    [[nodiscard]] bool wants_streams(time_point now) const;
    /// Whether it may have missed a release, and others can tell.
    [[nodiscard]] bool wants_releases(time_point now) const;
    /// What is known here; nothing if that is too little.
    /// \param has_started the one who asks lacks all streams. Otherwise it has
    /// missed a release, as have all if the store was away.
    [[nodiscard]] std::optional<stream_copy> copy(time_point now,
                                                  bool has_started) const;
    void adopt(time_point now, const stream_copy& known);

    /// Streams that are remembered.
    [[nodiscard]] std::size_t kept() const
    {
        return own_.size() + told_.size();
    }
    /// Those dropped before their time, since there were too many.
    [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

  private:
    struct entry
    {
        service_id service;
        release_id release;
        unsigned attempt = 0;
        time_point at;
        std::optional<time_point> ended;
        /// It is in `untold_`.
        bool is_pending = false;
    };
    /// Streams in the order in which they were noted. One that was noted again
    /// is in `order` twice.
    struct memory
    {
        struct noted
        {
            time_point at;
            stream_key key;
        };
        std::unordered_map<stream_key, entry> known;
        std::deque<noted> order;

        [[nodiscard]] std::size_t size() const { return known.size(); }
        [[nodiscard]] const entry* find(stream_key key) const;
        entry& renew(time_point now, stream_key key);
        /// Returns how many were dropped as there were more than `most`.
        std::size_t drop(time_point oldest, std::size_t most);
    };
    /// Releases of a service, and when endpoints of each were listed last.
    struct history
    {
        std::map<release_id, time_point> seen;
        std::set<release_id> listed;
        /// A route has led to it instead of another service since then.
        std::optional<time_point> moved;
    };

    [[nodiscard]] bool is_fresh(time_point now) const
    {
        return now - current_at_ <= fresh_for;
    }
    /// Time within which a release that was listed may have begun a stream.
    [[nodiscard]] duration history_for() const
    {
        return kept_for_ + listing_skew;
    }
    /// Whether streams that go on now may have begun at a release that was
    /// listed last at `last`.
    [[nodiscard]] bool may_have_begun(time_point now, const history& of,
                                      release_id release, time_point last) const
    {
        return of.listed.contains(release) || now - last <= history_for();
    }
    /// Whether no release that may have begun a stream can be missing here.
    [[nodiscard]] bool is_complete(time_point now) const
    {
        return is_fresh(now) && watched_since_ &&
               now - *watched_since_ >= history_for();
    }
    [[nodiscard]] bool any_must_tell(time_point now) const;
    /// To be told as soon as that is needed.
    void remember_untold(stream_key key, entry& sent);
    /// Whether a stream of `untold_` is to be told; clears it if so, or if
    /// nobody will ask for it any more.
    [[nodiscard]] bool is_due(time_point now, entry& sent) const;
    void see(time_point at, service_id service, release_id release);
    void learn(time_point now, const stream_note& told);
    void sweep(time_point now);

    duration kept_for_ = least_kept;
    std::map<service_id, history> services_;
    std::set<service_id> shared_;
    time_point current_at_;
    /// Since when no release can have been missed.
    std::optional<time_point> watched_since_;
    std::optional<time_point> started_;
    bool has_copy_ = false;
    /// Since when others are asked for releases, until one has told them.
    time_point asked_since_;
    bool is_informed_ = false;
    memory own_;
    memory told_;
    /// Streams of this instance that it has not told.
    std::vector<stream_key> untold_;
    std::uint64_t dropped_ = 0;
};

} // namespace sycamorelock::core::direct
