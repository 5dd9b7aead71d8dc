// Entries of the platform's state store that don't describe a usable endpoint,
// which other writers to the store may have created. Each one is logged once,
// and again only if its fault changes or it has been removed or corrected
// meanwhile.
#pragma once

#include "sycamorelock/core/strong_types.hpp"

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace sycamorelock::core::direct
{

/// Name of an entry and the reason why it cannot be used.
struct unreadable_entry
{
    std::string boot;
    std::string reason;
    /// Revision of the store at which the entry was written.
    std::uint64_t revision = std::numeric_limits<std::uint64_t>::max();
};

/// The unreadable entries that are in the store at present.
class unreadable_entries
{
  public:
    /// Maximum number of entries kept. Further ones are counted but not logged.
    static constexpr std::size_t max_entries = 1000;

    /// Maximum number of entries to be logged per `line_window`. Another
    /// writer may change its entries with each heartbeat, and must not displace
    /// what an operator looks for in the log.
    static constexpr unsigned max_lines = 60;
    static constexpr duration line_window = std::chrono::minutes(1);

    /// Maximum number of bytes of a reason.
    static constexpr std::size_t max_reason_bytes = 120;

    /// Records an entry. Returns whether it should be logged: it is new, or
    /// unreadable for another reason than before, and few have been logged
    /// lately. Those not logged are counted.
    bool note(time_point now, const unreadable_entry& seen);
    /// Removes an entry that has left the store or has become readable.
    void forget(const std::string& boot) { known_.erase(boot); }
    /// Removes the entries that a complete listing doesn't contain.
    void keep_only(const std::vector<unreadable_entry>& listed);

    /// Number of entries kept.
    [[nodiscard]] std::size_t count() const { return known_.size(); }
    /// Number of new entries and changed reasons recorded so far.
    [[nodiscard]] std::uint64_t seen() const { return seen_; }

  private:
    /// Whether one more line may be logged; if so, it counts as logged.
    bool take_line(time_point now);

    std::map<std::string, std::string> known_;
    std::uint64_t seen_ = 0;
    time_point window_start_;
    unsigned lines_in_window_ = 0;
};

} // namespace sycamorelock::core::direct
