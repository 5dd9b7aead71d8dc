// Decides which of two endpoints goes on with a request: the incumbent, which
// has it and has gone silent, or the candidate that is asked to take it over.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace sycamorelock::core::direct
{

enum class handover_event : std::uint8_t
{
    /// More of the incumbent's answer has arrived.
    incumbent_sent,
    /// The connection to the incumbent has ended.
    incumbent_ended,
    /// The candidate has begun its answer, and neither declined nor failed.
    candidate_accepted,
    /// The candidate declined, failed, or could not be reached.
    candidate_declined,
    /// `handover::max_overlap` has passed since the candidate was asked.
    overlap_over,
};
std::string_view to_string(handover_event event);

/// Which endpoint goes on with the request; the other one is left.
enum class handover_result : std::uint8_t
{
    undecided,
    incumbent,
    candidate,
};
std::string_view to_string(handover_result result);

/// Handovers of one request, one at a time. The candidate is asked by sending
/// it the request, so that both may work on it until one of them is left.
///
/// An incumbent that has begun its answer is left only for a candidate that
/// has accepted, when its connection ends, or when it stays silent while a
/// candidate is asked for the second time. One that has not begun may never
/// have received the request, and is left at the end of the overlap.
class handover
{
  public:
    using milliseconds = std::chrono::milliseconds;

    /// Longest time for which two endpoints have the request. Work that is done
    /// twice is bounded by 400 ms; the rest covers delays of this instance and
    /// of the network.
    static constexpr milliseconds max_overlap{300};

    /// Records that a candidate is to be asked.
    /// \param answered bytes of the answer that the incumbent has sent; empty
    /// if it has not begun.
    void begin(std::optional<std::uint64_t> answered);
    /// Records an event. Only the first one that decides has an effect.
    handover_result on(handover_event event);

    /// Whether a candidate is being asked.
    [[nodiscard]] bool is_open() const { return is_open_; }
    /// How long an incumbent that was kept may stay silent before a candidate
    /// is asked again.
    /// \param limit limit on the incumbent's silence.
    [[nodiscard]] milliseconds next_limit(milliseconds limit) const;

  private:
    [[nodiscard]] handover_result decide(handover_event event) const;

    std::optional<std::uint64_t> answered_;
    bool is_open_ = false;
    /// A candidate was withdrawn, and the incumbent has sent nothing since.
    bool is_in_doubt_ = false;
};

} // namespace sycamorelock::core::direct
