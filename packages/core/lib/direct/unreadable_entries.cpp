// A bounded map from the names of entries to the reasons why they are unusable.
#include "sycamorelock/core/direct/unreadable_entries.hpp"

#include <algorithm>

namespace sycamorelock::core::direct
{

bool unreadable_entries::take_line(time_point now)
{
    if (lines_in_window_ == 0 || now - window_start_ >= line_window)
    {
        window_start_ = now;
        lines_in_window_ = 0;
    }
    if (lines_in_window_ >= max_lines)
        return false;
    ++lines_in_window_;
    return true;
}

bool unreadable_entries::note(time_point now, const unreadable_entry& seen)
{
    const std::string reason = seen.reason.substr(0, max_reason_bytes);
    const auto known = known_.find(seen.boot);
    if (known != known_.end() && known->second == reason)
        return false;
    ++seen_;
    if (known == known_.end() && known_.size() >= max_entries)
        return false;
    known_[seen.boot] = reason;
    return take_line(now);
}

void unreadable_entries::keep_only(const std::vector<unreadable_entry>& listed)
{
    std::erase_if(known_,
                  [&listed](const auto& entry)
                  {
                      return std::none_of(listed.begin(), listed.end(),
                                          [&entry](const unreadable_entry& each)
                                          { return each.boot == entry.first; });
                  });
}

} // namespace sycamorelock::core::direct
