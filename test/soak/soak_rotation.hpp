// The balancer before the instances of the soak.
#pragma once

#include "direct_fleet.hpp"

#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

namespace soak
{

/// Decides by the clock, or in a thread of its own, so that it is in time also
/// while the thread that plays the actions is busy.
class rotation
{
  public:
    using clock = std::chrono::steady_clock;

    /// All instances are in rotation.
    rotation(standin::direct_fleet& fleet, std::size_t instances);
    ~rotation();
    rotation(const rotation&) = delete;
    rotation& operator=(const rotation&) = delete;

    [[nodiscard]] bool has(std::size_t instance) const;
    void take_out(std::size_t instance, clock::time_point from);
    /// Asks the instance from now on until it is ready.
    void take_in_when_ready(std::size_t instance);

  private:
    struct member
    {
        clock::time_point out_from = clock::time_point::max();
        bool is_asked = false;
        /// Changes when an answer to an open question no longer counts.
        std::uint64_t question = 0;
    };

    void ask_members();
    void ask(std::size_t instance);

    standin::direct_fleet& fleet_;
    mutable std::mutex mutex_;
    std::vector<member> members_;
    bool stop_ = false;
    std::condition_variable stopped_;
    std::thread asker_;
};

} // namespace soak
