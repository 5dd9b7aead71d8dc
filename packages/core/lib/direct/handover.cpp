// Transitions of a handover.
#include "sycamorelock/core/direct/handover.hpp"

namespace sycamorelock::core::direct
{

std::string_view to_string(handover_event event)
{
    using enum handover_event;
    switch (event)
    {
    case incumbent_sent:
        return "incumbent_sent";
    case incumbent_ended:
        return "incumbent_ended";
    case candidate_accepted:
        return "candidate_accepted";
    case candidate_declined:
        return "candidate_declined";
    case overlap_over:
        return "overlap_over";
    }
    return "unknown";
}

std::string_view to_string(handover_result result)
{
    using enum handover_result;
    switch (result)
    {
    case undecided:
        return "undecided";
    case incumbent:
        return "incumbent";
    case candidate:
        return "candidate";
    }
    return "unknown";
}

void handover::begin(std::optional<std::uint64_t> answered)
{
    is_in_doubt_ = is_in_doubt_ && answered == answered_;
    answered_ = answered;
    is_open_ = true;
}

handover_result handover::on(handover_event event)
{
    if (!is_open_)
        return handover_result::undecided;
    const handover_result result = decide(event);
    is_open_ = false;
    is_in_doubt_ = result == handover_result::incumbent &&
                   (event == handover_event::overlap_over ||
                    (is_in_doubt_ && event != handover_event::incumbent_sent));
    return result;
}

handover_result handover::decide(handover_event event) const
{
    switch (event)
    {
    case handover_event::incumbent_sent:
    case handover_event::candidate_declined:
        return handover_result::incumbent;
    case handover_event::incumbent_ended:
    case handover_event::candidate_accepted:
        return handover_result::candidate;
    case handover_event::overlap_over:
        break;
    }
    return answered_ && !is_in_doubt_ ? handover_result::incumbent
                                      : handover_result::candidate;
}

handover::milliseconds handover::next_limit(milliseconds limit) const
{
    // Callers leave a stream that is silent for two limits, and a candidate
    // needs time to begin.
    return is_in_doubt_ ? limit / 2 : limit;
}

} // namespace sycamorelock::core::direct
