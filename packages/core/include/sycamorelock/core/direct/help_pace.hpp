// How often an instance that is behind is sent what it lacks.
#pragma once

#include "sycamorelock/core/strong_types.hpp"

#include <map>
#include <string>

namespace sycamorelock::core::direct
{

class help_pace
{
  public:
    /// Least time between two copies to one instance: the first one has
    /// arrived and is told of by then.
    static constexpr duration again_after = std::chrono::milliseconds(300);

    /// Whether a copy may go to an instance; if so, it counts as sent.
    bool allow(time_point now, const std::string& peer)
    {
        time_point& sent = sent_at_[peer];
        if (now - sent < again_after)
            return false;
        sent = now;
        return true;
    }

  private:
    std::map<std::string, time_point> sent_at_;
};

} // namespace sycamorelock::core::direct
