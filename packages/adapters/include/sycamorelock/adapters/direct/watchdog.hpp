// Time limits checked by one periodic tick. A timer for each request would
// cost a system call for each change of the earliest one.
#pragma once

#include "sycamorelock/core/strong_types.hpp"

#include <functional>
#include <map>

namespace sycamorelock::adapters::direct
{

class watchdog
{
  public:
    using action = std::function<void()>;

    /// A limit that is lifted when it goes out of scope.
    class limit
    {
      public:
        limit() = default;
        ~limit() { lift(); }
        limit(const limit&) = delete;
        limit& operator=(const limit&) = delete;

        void lift()
        {
            if (owner_ != nullptr)
                owner_->limits_.erase(place_);
            owner_ = nullptr;
        }

      private:
        friend class watchdog;
        watchdog* owner_ = nullptr;
        std::multimap<core::time_point, std::pair<limit*, action>>::iterator
            place_;
    };

    /// Calls `expired` once, at the first tick after `at`.
    void set(limit& which, core::time_point at, action expired)
    {
        which.lift();
        which.place_ = limits_.emplace(
            at, std::pair<limit*, action>(&which, std::move(expired)));
        which.owner_ = this;
    }

    void tick(core::time_point now)
    {
        while (!limits_.empty() && limits_.begin()->first <= now)
        {
            auto [which, expired] = std::move(limits_.begin()->second);
            which->lift();
            expired();
        }
    }

  private:
    std::multimap<core::time_point, std::pair<limit*, action>> limits_;
};

} // namespace sycamorelock::adapters::direct
