// Relays notes about cached prefixes, streams and crashes through a large
// fleet: from members to their aggregator, between aggregators, and from each
// aggregator to its members.
#pragma once

#include "sycamorelock/core/direct/exchange.hpp"

#include <vector>

namespace sycamorelock::core::direct
{

/// Collects notes between two rounds of the exchange. Without the relay an
/// instance of a large fleet knows only its own requests, one in seventy, and
/// sends prompts to engines that have evicted them long ago or never processed
/// them.
/// \tparam Max maximum number of notes per round; the oldest are dropped beyond
/// it.
template <class Note, std::size_t Max> class relay
{
  public:
    static constexpr std::size_t max_notes = Max;

    /// Adds notes of this instance's own requests.
    void add_own(std::vector<Note> notes);
    /// Adds notes of a member of this failure domain.
    void add_member(const std::vector<Note>& notes);
    /// Adds notes of another failure domain, received from its aggregator.
    void add_domain(const std::vector<Note>& notes);

    /// Returns the notes for this domain's aggregator: those of this instance
    /// since the previous call.
    [[nodiscard]] std::vector<Note> take_own();
    /// Returns the notes for the aggregators of other domains: those of this
    /// domain since the previous call.
    [[nodiscard]] std::vector<Note> take_domain();
    /// Returns the notes for the members of this domain: all since the previous
    /// call.
    [[nodiscard]] std::vector<Note> take_all();

    /// Number of notes dropped so far. A list's drops are counted when it is
    /// next taken, so lists that are never taken do not count.
    [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

  private:
    /// Pending notes, and the number dropped since they were last taken.
    struct note_list
    {
        std::vector<Note> notes;
        std::uint64_t dropped = 0;
    };
    static void append(note_list& to, const std::vector<Note>& notes);
    std::vector<Note> take(note_list& from);

    note_list own_;
    note_list domain_;
    note_list all_;
    std::uint64_t dropped_ = 0;
};

/// Holds two seconds of requests at the design size, 1,700 per second.
using note_relay = relay<cache_note, 3400>;
/// Holds all streams that are open at the design size when a second release
/// appears: 1,200 start per second and last some ten seconds.
using stream_relay = relay<stream_note, 20'000>;

/// Holds all evidence that an instance keeps about a few hundred keys.
using crash_relay = relay<crash_note, 4096>;

extern template class relay<cache_note, note_relay::max_notes>;
extern template class relay<stream_note, stream_relay::max_notes>;
extern template class relay<crash_note, crash_relay::max_notes>;

} // namespace sycamorelock::core::direct
