// The highest of a growing series of numbers that has been known for some time.
#pragma once

#include "sycamorelock/core/strong_types.hpp"

#include <cstdint>
#include <deque>

namespace sycamorelock::core::direct
{

/// Remembers since when each number of a growing series is known. A new number
/// does not restart the time of those before it.
class settled_number
{
  public:
    /// \param delay time from which on a number counts as settled.
    explicit settled_number(duration delay) : delay_(delay) {}

    /// Records the present number. Has no effect if it is not higher than the
    /// one before.
    void set(time_point now, std::uint64_t number)
    {
        if (entries_.empty() || entries_.back().number < number)
            entries_.push_back({now, number});
        while (entries_.size() > 1 && now - entries_[1].since >= delay_)
            entries_.pop_front();
    }

    /// The highest settled number; 0 if there is none.
    [[nodiscard]] std::uint64_t at(time_point now) const
    {
        std::uint64_t result = 0;
        for (const entry& each : entries_)
        {
            if (now - each.since < delay_)
                break;
            result = each.number;
        }
        return result;
    }

  private:
    struct entry
    {
        time_point since;
        std::uint64_t number = 0;
    };

    duration delay_;
    /// In ascending order of both members.
    std::deque<entry> entries_;
};

} // namespace sycamorelock::core::direct
