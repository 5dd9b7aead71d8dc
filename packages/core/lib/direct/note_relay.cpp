// Each list is emptied by the one who sends it; lists that nobody sends, at an
// instance that aggregates nothing, stay bounded.
#include "sycamorelock/core/direct/note_relay.hpp"

#include <utility>

namespace sycamorelock::core::direct
{

namespace
{

template <class Note>
void append(std::vector<Note>& to, const std::vector<Note>& notes,
            std::size_t most)
{
    to.insert(to.end(), notes.begin(), notes.end());
    if (to.size() <= most)
        return;
    const auto excess = static_cast<std::ptrdiff_t>(to.size() - most);
    to.erase(to.begin(), to.begin() + excess);
}

} // namespace

template <class Note, std::size_t Most>
void relay<Note, Most>::add_own(std::vector<Note> notes)
{
    append(own_, notes, Most);
    append(domain_, notes, Most);
    append(all_, notes, Most);
}

template <class Note, std::size_t Most>
void relay<Note, Most>::add_member(const std::vector<Note>& notes)
{
    append(domain_, notes, Most);
    append(all_, notes, Most);
}

template <class Note, std::size_t Most>
void relay<Note, Most>::add_domain(const std::vector<Note>& notes)
{
    append(all_, notes, Most);
}

template <class Note, std::size_t Most>
std::vector<Note> relay<Note, Most>::take_own()
{
    return std::exchange(own_, {});
}

template <class Note, std::size_t Most>
std::vector<Note> relay<Note, Most>::take_domain()
{
    return std::exchange(domain_, {});
}

template <class Note, std::size_t Most>
std::vector<Note> relay<Note, Most>::take_all()
{
    return std::exchange(all_, {});
}

template class relay<cache_note, note_relay::most_notes>;
template class relay<stream_note, stream_relay::most_notes>;

} // namespace sycamorelock::core::direct
