// Estimated work at engines that no report of another instance contains yet.
#pragma once

#include "sycamorelock/core/strong_types.hpp"

#include <cstddef>
#include <deque>

namespace sycamorelock::core::direct
{

/// Estimates how much work the other instances have sent to the engines of a
/// service since their last reports, from what this instance has sent in the
/// same time: in a flood, all of them send more at once.
///
/// Together, instances that add the estimate to a predicted wait send, within
/// the age of their reports, no more work than the engines complete in that
/// time and than fits into the longest wait that they accept.
class unseen_work
{
  public:
    /// Time within which the work of the other instances is reported, in a
    /// large fleet: two waits for a report, of up to 50 ms each, and the ticks
    /// of three processes and the network delays between them.
    static constexpr duration max_report_age = std::chrono::milliseconds(250);

    /// The estimate is used from the first of these ratios of demand to
    /// throughput on, and in full from the second on. It is the part of one
    /// instance, multiplied by the number of instances, so it varies widely;
    /// near capacity, what it refuses by mistake costs more than the waits that
    /// it prevents.
    static constexpr double min_overload = 1.5;
    static constexpr double full_overload = 2;

    /// Returns the fraction of the estimate to use, from 0 to 1.
    /// \param overload demand for tokens relative to the throughput.
    [[nodiscard]] static double weight(double overload);

    /// Records a request that this instance has sent.
    /// \param work_ms predicted prefill time, in ms, without the slowdown
    /// factor of the engine.
    void record_sent(time_point now, double work_ms);

    /// Returns the mean work, in ms, that the other instances have sent to each
    /// engine beyond what it has completed since.
    /// \param fleet_ratio traffic of the whole fleet relative to that of this
    /// instance, at least 1.
    [[nodiscard]] double excess_ms(time_point now, double fleet_ratio,
                                   std::size_t engines) const;

  private:
    struct sent_work
    {
        time_point at;
        double ms = 0;
    };

    /// Work of the last `max_report_age`, and older work until the next call of
    /// `record_sent`.
    std::deque<sent_work> sent_;
};

} // namespace sycamorelock::core::direct
