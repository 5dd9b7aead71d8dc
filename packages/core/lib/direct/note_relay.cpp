// Sending a list empties it. The size limit also bounds the lists that are
// never sent, on an instance that is not an aggregator.
#include "sycamorelock/core/direct/note_relay.hpp"

#include <utility>

namespace sycamorelock::core::direct
{

template <class Note, std::size_t Max>
void relay<Note, Max>::append(note_list& to, const std::vector<Note>& notes)
{
    to.notes.insert(to.notes.end(), notes.begin(), notes.end());
    if (to.notes.size() <= Max)
        return;
    const std::size_t excess = to.notes.size() - Max;
    to.notes.erase(to.notes.begin(),
                   to.notes.begin() + static_cast<std::ptrdiff_t>(excess));
    to.dropped += excess;
}

template <class Note, std::size_t Max>
std::vector<Note> relay<Note, Max>::take(note_list& from)
{
    dropped_ += from.dropped;
    return std::exchange(from, {}).notes;
}

template <class Note, std::size_t Max>
void relay<Note, Max>::add_own(std::vector<Note> notes)
{
    append(own_, notes);
    append(domain_, notes);
    append(all_, notes);
}

template <class Note, std::size_t Max>
void relay<Note, Max>::add_member(const std::vector<Note>& notes)
{
    append(domain_, notes);
    append(all_, notes);
}

template <class Note, std::size_t Max>
void relay<Note, Max>::add_domain(const std::vector<Note>& notes)
{
    append(all_, notes);
}

template <class Note, std::size_t Max>
std::vector<Note> relay<Note, Max>::take_own()
{
    return take(own_);
}

template <class Note, std::size_t Max>
std::vector<Note> relay<Note, Max>::take_domain()
{
    return take(domain_);
}

template <class Note, std::size_t Max>
std::vector<Note> relay<Note, Max>::take_all()
{
    return take(all_);
}

template class relay<cache_note, note_relay::max_notes>;
template class relay<stream_note, stream_relay::max_notes>;
template class relay<crash_note, crash_relay::max_notes>;

} // namespace sycamorelock::core::direct
