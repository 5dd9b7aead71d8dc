// A report that was taken stays in its list for as long as repetitions of it
// may arrive.
#include "sycamorelock/core/direct/slowdown_relay.hpp"

#include <utility>

namespace sycamorelock::core::direct
{

void slowdown_relay::append(report_list& to, time_point now,
                            const std::vector<slowdown_note>& notes)
{
    for (const slowdown_note& note : notes)
    {
        if (note.age < duration(0) || note.age >= slowdown_tracker::lifetime)
            continue;
        const report next{now - note.age, note.slowdown, true};
        const auto found = to.find(note.endpoint);
        if (found == to.end())
        {
            if (to.size() < max_endpoints)
                to.emplace(note.endpoint, next);
            else
                ++dropped_;
            continue;
        }
        const report& known = found->second;
        const bool is_repeated =
            !slowdown_tracker::differs(next.slowdown, known.slowdown) &&
            next.at < known.at + slowdown_tracker::disturbance_time / 2;
        if (is_repeated || next.at <= known.at)
            ++dropped_;
        else
            found->second = next;
    }
}

std::vector<slowdown_note> slowdown_relay::take(report_list& from,
                                                time_point now)
{
    std::vector<slowdown_note> result;
    for (auto& [endpoint, known] : from)
    {
        if (std::exchange(known.pending, false))
            result.push_back({endpoint, now - known.at, known.slowdown});
    }
    std::erase_if(
        from, [now](const auto& entry)
        { return now - entry.second.at >= slowdown_tracker::repeat_interval; });
    return result;
}

void slowdown_relay::add_own(time_point now,
                             const std::vector<slowdown_note>& notes)
{
    append(own_, now, notes);
    append(domain_, now, notes);
    append(all_, now, notes);
}

void slowdown_relay::add_member(time_point now,
                                const std::vector<slowdown_note>& notes)
{
    received_ += notes.size();
    append(domain_, now, notes);
    append(all_, now, notes);
}

void slowdown_relay::add_domain(time_point now,
                                const std::vector<slowdown_note>& notes)
{
    received_ += notes.size();
    append(all_, now, notes);
}

std::vector<slowdown_note> slowdown_relay::take_own(time_point now)
{
    std::vector<slowdown_note> result = take(own_, now);
    told_ += result.size();
    return result;
}

std::vector<slowdown_note> slowdown_relay::take_domain(time_point now)
{
    return take(domain_, now);
}

std::vector<slowdown_note> slowdown_relay::take_all(time_point now)
{
    return take(all_, now);
}

} // namespace sycamorelock::core::direct
