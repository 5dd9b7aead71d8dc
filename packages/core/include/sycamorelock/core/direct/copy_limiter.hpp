// Limits how often an instance with outdated state is sent a copy.
#pragma once

#include "sycamorelock/core/strong_types.hpp"

#include <map>
#include <string>

namespace sycamorelock::core::direct
{

/// Rate limiter for copies, per receiving instance.
class copy_limiter
{
  public:
    /// Minimum interval between two copies to one instance. Within it the first
    /// copy arrives and the receiver's next report reflects it.
    static constexpr duration min_interval = std::chrono::milliseconds(300);

    /// Returns whether a copy may be sent to an instance; if so, it is recorded
    /// as sent.
    bool allow(time_point now, const std::string& peer)
    {
        time_point& last_sent = sent_at_[peer];
        if (now - last_sent < min_interval)
            return false;
        last_sent = now;
        return true;
    }

  private:
    std::map<std::string, time_point> sent_at_;
};

} // namespace sycamorelock::core::direct
