// What engines read and which streams were sent, on its way through a large
// fleet: from members to their aggregator, between aggregators, and from them
// to all members.
#pragma once

#include "sycamorelock/core/direct/exchange.hpp"

#include <vector>

namespace sycamorelock::core::direct
{

/// Collects notes between two rounds of the exchange. Without it an instance
/// of a large fleet knows of its own requests only, one in seventy, and sends
/// prompts to engines that have long dropped or never read them.
/// \tparam Most notes that one round may carry; the oldest are left out beyond
/// it.
template <class Note, std::size_t Most> class relay
{
  public:
    static constexpr std::size_t most_notes = Most;

    /// Notes of this instance's own requests.
    void add_own(std::vector<Note> notes);
    /// Notes of a member of this failure domain.
    void add_member(const std::vector<Note>& notes);
    /// Notes of another failure domain, from its aggregator.
    void add_domain(const std::vector<Note>& notes);

    /// For this domain's aggregator: own ones since the previous call.
    [[nodiscard]] std::vector<Note> take_own();
    /// For other domains' aggregators: those of this domain since the previous
    /// call.
    [[nodiscard]] std::vector<Note> take_domain();
    /// For members: all since the previous call.
    [[nodiscard]] std::vector<Note> take_all();

    /// Notes left out so far. Lists that nobody takes do not count.
    [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

  private:
    /// A list, and how many notes it has lost since it was taken.
    struct list
    {
        std::vector<Note> notes;
        std::uint64_t lost = 0;
    };
    static void append(list& to, const std::vector<Note>& notes);
    std::vector<Note> take(list& from);

    list own_;
    list domain_;
    list all_;
    std::uint64_t dropped_ = 0;
};

/// Two seconds of the design size's 1,700 requests a second.
using note_relay = relay<cache_note, 3400>;
/// All streams of the design size that are open when a second release comes:
/// 1,200 begin in a second and last some ten.
using stream_relay = relay<stream_note, 20'000>;

extern template class relay<cache_note, note_relay::most_notes>;
extern template class relay<stream_note, stream_relay::most_notes>;

} // namespace sycamorelock::core::direct
