// Each list is emptied by the one who sends it; lists that nobody sends, at an
// instance that aggregates nothing, stay bounded.
#include "sycamorelock/core/direct/note_relay.hpp"

#include <utility>

namespace sycamorelock::core::direct
{

template <class Note, std::size_t Most>
void relay<Note, Most>::append(list& to, const std::vector<Note>& notes)
{
    to.notes.insert(to.notes.end(), notes.begin(), notes.end());
    if (to.notes.size() <= Most)
        return;
    const std::size_t excess = to.notes.size() - Most;
    to.notes.erase(to.notes.begin(),
                   to.notes.begin() + static_cast<std::ptrdiff_t>(excess));
    to.lost += excess;
}

template <class Note, std::size_t Most>
std::vector<Note> relay<Note, Most>::take(list& from)
{
    dropped_ += from.lost;
    return std::exchange(from, {}).notes;
}

template <class Note, std::size_t Most>
void relay<Note, Most>::add_own(std::vector<Note> notes)
{
    append(own_, notes);
    append(domain_, notes);
    append(all_, notes);
}

template <class Note, std::size_t Most>
void relay<Note, Most>::add_member(const std::vector<Note>& notes)
{
    append(domain_, notes);
    append(all_, notes);
}

template <class Note, std::size_t Most>
void relay<Note, Most>::add_domain(const std::vector<Note>& notes)
{
    append(all_, notes);
}

template <class Note, std::size_t Most>
std::vector<Note> relay<Note, Most>::take_own()
{
    return take(own_);
}

template <class Note, std::size_t Most>
std::vector<Note> relay<Note, Most>::take_domain()
{
    return take(domain_);
}

template <class Note, std::size_t Most>
std::vector<Note> relay<Note, Most>::take_all()
{
    return take(all_);
}

template class relay<cache_note, note_relay::most_notes>;
template class relay<stream_note, stream_relay::most_notes>;

} // namespace sycamorelock::core::direct
