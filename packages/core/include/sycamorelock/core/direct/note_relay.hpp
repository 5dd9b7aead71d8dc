// What engines read, on its way through a large fleet: from members to their
// aggregator, between aggregators, and from them to all members.
#pragma once

#include "sycamorelock/core/direct/exchange.hpp"

#include <vector>

namespace sycamorelock::core::direct
{

/// Collects notes between two rounds of the exchange. Without it an instance
/// of a large fleet knows of its own requests only, one in seventy, and sends
/// prompts to engines that have long dropped or never read them.
class note_relay
{
  public:
    /// Notes that one round may carry; the oldest are left out beyond it. Two
    /// seconds of the design size's 1,700 requests a second.
    static constexpr std::size_t most_notes = 3400;

    /// Notes of this instance's own requests.
    void add_own(std::vector<cache_note> notes);
    /// Notes of a member of this failure domain.
    void add_member(const std::vector<cache_note>& notes);
    /// Notes of another failure domain, from its aggregator.
    void add_domain(const std::vector<cache_note>& notes);

    /// For this domain's aggregator: own ones since the previous call.
    [[nodiscard]] std::vector<cache_note> take_own();
    /// For other domains' aggregators: those of this domain since the previous
    /// call.
    [[nodiscard]] std::vector<cache_note> take_domain();
    /// For members: all since the previous call.
    [[nodiscard]] std::vector<cache_note> take_all();

  private:
    std::vector<cache_note> own_;
    std::vector<cache_note> domain_;
    std::vector<cache_note> all_;
};

} // namespace sycamorelock::core::direct
