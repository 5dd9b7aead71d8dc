// Who may hold how much, and who gives way.
#include "sycamorelock/core/caller_memory.hpp"

#include <algorithm>
#include <cassert>

namespace sycamorelock::core
{

namespace
{

constexpr std::size_t callers_part = 5;
/// A session between two requests takes about 5 KB, a usual header 2 KB.
constexpr byte_count per_connection{8UL * 1024};
/// Longer than the pauses between the packets of a caller that sends on.
constexpr duration stall = std::chrono::milliseconds(250);

} // namespace

caller_memory_limits caller_memory_of(byte_count machine)
{
    return {byte_count(machine.value() / callers_part), per_connection, stall};
}

caller_memory::caller_memory(const caller_memory_limits& limits)
    : limits_(limits)
{
}

std::size_t caller_memory::max_connections() const
{
    const std::size_t for_connections = limits_.total.value() / 4 * 3;
    return for_connections /
           std::max<std::size_t>(1, limits_.per_connection.value());
}

std::optional<caller_memory::opened_connection>
caller_memory::open(time_point at)
{
    const byte_count own = counted(byte_count());
    auto evicted = make_room(at, std::nullopt, byte_count(), own);
    if (!evicted)
        return std::nullopt;
    if (free_.empty())
    {
        free_.emplace_back(holders_.size());
        holders_.emplace_back();
    }
    const connection_id made = free_.back();
    free_.pop_back();
    holder& opened = holders_[made.value()];
    opened = holder();
    opened.open = true;
    opened.progress = at;
    used_ += own;
    ++connections_;
    return opened_connection{made, std::move(*evicted)};
}

void caller_memory::close(connection_id which)
{
    holder& closed = holders_.at(which.value());
    assert(closed.open && "a connection is closed twice");
    closed.open = false;
    used_ = used_ - counted(closed.held);
    --connections_;
    free_.push_back(which);
}

void caller_memory::enter(time_point at, connection_id which,
                          holder_phase phase)
{
    holder& changed = holders_.at(which.value());
    changed.phase = phase;
    changed.evicted = false;
    changed.progress = at;
}

void caller_memory::note_progress(time_point at, connection_id which)
{
    holders_.at(which.value()).progress = at;
}

byte_count caller_memory::counted(byte_count held) const
{
    return std::max(held, limits_.per_connection);
}

byte_count caller_memory::gain_of(const holder& from) const
{
    return counted(from.held) - counted(byte_count());
}

std::vector<connection_id>
caller_memory::candidates(time_point at, std::optional<connection_id> for_whom,
                          byte_count wanted) const
{
    std::vector<connection_id> stalled;
    std::vector<connection_id> larger;
    for (std::size_t i = 0; i < holders_.size(); ++i)
    {
        const holder& each = holders_[i];
        const bool may_give = each.open && !each.evicted &&
                              each.phase != holder_phase::serving &&
                              gain_of(each) > byte_count();
        if (!may_give || connection_id(i) == for_whom)
            continue;
        if (at - each.progress >= limits_.stall)
            stalled.emplace_back(i);
        else if (each.held > wanted)
            larger.emplace_back(i);
    }
    const auto holder_of = [this](connection_id id) -> const holder&
    { return holders_[id.value()]; };
    std::ranges::sort(stalled, {},
                      [&](connection_id id) { return holder_of(id).progress; });
    std::ranges::sort(larger, std::ranges::greater(),
                      [&](connection_id id) { return holder_of(id).held; });
    stalled.insert(stalled.end(), larger.begin(), larger.end());
    return stalled;
}

caller_memory::evictions
caller_memory::make_room(time_point at, std::optional<connection_id> for_whom,
                         byte_count wanted, byte_count more)
{
    std::vector<connection_id> evicted;
    if (used_ + more <= limits_.total)
        return evicted;
    const byte_count needed = used_ + more - limits_.total;
    byte_count gained;
    for (const connection_id each : candidates(at, for_whom, wanted))
    {
        if (gained >= needed)
            break;
        gained += gain_of(holders_[each.value()]);
        evicted.push_back(each);
    }
    if (gained < needed)
        return std::nullopt;
    for (const connection_id each : evicted)
    {
        holder& giving = holders_[each.value()];
        used_ = used_ - gain_of(giving);
        giving.held = byte_count();
        giving.evicted = true;
    }
    return evicted;
}

caller_memory::evictions
caller_memory::resize(time_point at, connection_id which, byte_count held)
{
    holder& own = holders_.at(which.value());
    assert(own.open && "a closed connection holds memory");
    evictions evicted{std::in_place};
    if (counted(held) > counted(own.held))
    {
        if (own.evicted)
            return std::nullopt;
        evicted = make_room(at, which, held, counted(held) - counted(own.held));
        if (!evicted)
            return std::nullopt;
    }
    used_ = used_ - counted(own.held) + counted(held);
    own.held = held;
    return evicted;
}

} // namespace sycamorelock::core
