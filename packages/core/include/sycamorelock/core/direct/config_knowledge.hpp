// Compares the version of the configuration that is in force here with those
// that other instances report.
#pragma once

#include "sycamorelock/core/direct/exchange.hpp"
#include "sycamorelock/core/direct/settled_number.hpp"

namespace sycamorelock::core::direct
{

/// Finds the instances that must be sent the configuration, and tells whose
/// confirmation shows that it is current here. The store may reject calls of
/// some instances for many seconds while it serves the others.
class config_knowledge
{
  public:
    /// An instance that still lacks a version that has been in force here for
    /// this time is sent a copy. One that can read the store has the version
    /// within 500 ms plus the duration of a call; a copy to each from each
    /// would fill the links.
    static constexpr duration help_delay = std::chrono::milliseconds(400);

    /// Records the version in force.
    void install(time_point now, std::uint64_t version)
    {
        version_ = version;
        settled_.set(now, version);
    }

    /// Whether the sender of a report must be sent the configuration.
    ///
    /// A later version does not restart the delay of those before it: while
    /// versions follow each other faster than the delay, an instance that
    /// cannot read the store would get none of them.
    [[nodiscard]] bool needs_copy(time_point now,
                                  const exchange_report& report) const
    {
        // Members rely on this instance and do not read the store.
        if (report.part == report_part::member)
            return report.config_version < version_;
        return report.config_version < settled_.at(now);
    }

    /// Whether this instance has every version that the sender of a report has.
    /// Otherwise the sender cannot confirm that what is known here is current.
    [[nodiscard]] bool has_version_of(const exchange_report& report) const
    {
        return report.config_version <= version_;
    }

  private:
    std::uint64_t version_ = 0;
    settled_number settled_{help_delay};
};

} // namespace sycamorelock::core::direct
