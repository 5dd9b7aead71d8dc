// Each list is emptied by the one who sends it; lists that nobody sends, at an
// instance that aggregates nothing, stay bounded.
#include "sycamorelock/core/direct/note_relay.hpp"

#include <utility>

namespace sycamorelock::core::direct
{

namespace
{

void append(std::vector<cache_note>& to, const std::vector<cache_note>& notes)
{
    to.insert(to.end(), notes.begin(), notes.end());
    if (to.size() <= note_relay::most_notes)
        return;
    const auto excess =
        static_cast<std::ptrdiff_t>(to.size() - note_relay::most_notes);
    to.erase(to.begin(), to.begin() + excess);
}

} // namespace

void note_relay::add_own(std::vector<cache_note> notes)
{
    append(own_, notes);
    append(domain_, notes);
    append(all_, notes);
}

void note_relay::add_member(const std::vector<cache_note>& notes)
{
    append(domain_, notes);
    append(all_, notes);
}

void note_relay::add_domain(const std::vector<cache_note>& notes)
{
    append(all_, notes);
}

std::vector<cache_note> note_relay::take_own()
{
    return std::exchange(own_, {});
}

std::vector<cache_note> note_relay::take_domain()
{
    return std::exchange(domain_, {});
}

std::vector<cache_note> note_relay::take_all()
{
    return std::exchange(all_, {});
}

} // namespace sycamorelock::core::direct
