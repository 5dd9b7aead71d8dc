// Logs and counts accepts that fail.
#pragma once

#include "http.hpp"

#include "sycamorelock/adapters/event_log.hpp"
#include "sycamorelock/adapters/listener_metrics.hpp"
#include "sycamorelock/core/strong_types.hpp"

namespace sycamorelock::adapters
{

/// Writes one line when accepts begin to fail and one when they have stopped;
/// the counter has each failure.
class accept_report
{
  public:
    /// Events of the two lines.
    struct events
    {
        std::uint16_t failed;
        std::uint16_t recovered;
    };

    /// \param log may be missing; failures are then only counted.
    accept_report(event_log* log, events numbers, listener_metrics& metrics);

    /// \param connections open at the listener.
    void failed(core::time_point at, const std::string& why,
                std::size_t connections);
    /// No accept has failed for a while.
    void recovered(core::time_point at);

  private:
    event_log* log_;
    events numbers_;
    listener_metrics& metrics_;
    bool failing_ = false;
    core::time_point failing_since_;
    std::uint64_t failures_before_ = 0;
};

inline constexpr accept_report::events scheduled_accept_events{
    static_cast<std::uint16_t>(process_event::accept_failed),
    static_cast<std::uint16_t>(process_event::accept_recovered)};
inline constexpr accept_report::events direct_accept_events{
    static_cast<std::uint16_t>(direct_event::accept_failed),
    static_cast<std::uint16_t>(direct_event::accept_recovered)};

} // namespace sycamorelock::adapters
