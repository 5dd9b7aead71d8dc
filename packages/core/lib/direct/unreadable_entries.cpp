// A bounded map from the names of entries to the reasons why they are unusable.
#include "sycamorelock/core/direct/unreadable_entries.hpp"

#include <algorithm>

namespace sycamorelock::core::direct
{

bool unreadable_entries::note(const unreadable_entry& seen)
{
    const auto known = known_.find(seen.boot);
    if (known != known_.end() && known->second == seen.reason)
        return false;
    ++seen_;
    if (known == known_.end() && known_.size() >= max_entries)
        return false;
    known_[seen.boot] = seen.reason;
    return true;
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
