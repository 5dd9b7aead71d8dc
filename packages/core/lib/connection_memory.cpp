// Accounts of connections, and the choice of those that are evicted.
#include "sycamorelock/core/connection_memory.hpp"

#include <algorithm>
#include <cassert>

namespace sycamorelock::core
{

namespace
{

/// Part of the machine's memory that is for callers, as a divisor. The other
/// parts are for the control plane, the allocator's overhead and the kernel.
constexpr std::size_t callers_part = 5;
/// Covers a session with a usual header and a small body, so that a small
/// request needs no grant.
constexpr byte_count caller_connection{8UL * 1024};
/// Longer than a retransmission on the way of a caller that still sends.
constexpr duration caller_stall_timeout = std::chrono::milliseconds(250);

} // namespace

connection_memory_limits limits_for_callers(byte_count machine)
{
    return {byte_count(machine.value() / callers_part), caller_connection,
            caller_stall_timeout};
}

connection_memory::connection_memory(const connection_memory_limits& limits)
    : limits_(limits)
{
}

std::size_t connection_memory::max_connections() const
{
    const std::size_t for_connections = limits_.total.value() / 4 * 3;
    return for_connections /
           std::max<std::size_t>(1, limits_.per_connection.value());
}

std::optional<connection_memory::opened_connection>
connection_memory::open(time_point at)
{
    const byte_count own = counted(byte_count());
    auto evicted = reclaim(at, std::nullopt, byte_count(), own);
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

void connection_memory::close(connection_id which)
{
    holder& closed = holders_.at(which.value());
    assert(closed.open && "a connection is closed twice");
    closed.open = false;
    used_ = used_ - counted(closed.held);
    --connections_;
    free_.push_back(which);
}

void connection_memory::enter(time_point at, connection_id which,
                              holder_phase phase)
{
    holder& changed = holders_.at(which.value());
    changed.phase = phase;
    changed.evicted = false;
    changed.progress = at;
}

void connection_memory::note_progress(time_point at, connection_id which)
{
    holders_.at(which.value()).progress = at;
}

byte_count connection_memory::counted(byte_count held) const
{
    return std::max(held, limits_.per_connection);
}

byte_count connection_memory::reclaimable(const holder& from) const
{
    return counted(from.held) - counted(byte_count());
}

std::vector<connection_id>
connection_memory::eviction_candidates(time_point at,
                                       std::optional<connection_id> for_whom,
                                       byte_count wanted) const
{
    std::vector<connection_id> stalled;
    std::vector<connection_id> larger;
    for (std::size_t i = 0; i < holders_.size(); ++i)
    {
        const holder& each = holders_[i];
        const bool is_candidate = each.open && !each.evicted &&
                                  each.phase != holder_phase::serving &&
                                  reclaimable(each) > byte_count();
        if (!is_candidate || connection_id(i) == for_whom)
            continue;
        if (at - each.progress >= limits_.stall_timeout)
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

connection_memory::evictions
connection_memory::reclaim(time_point at, std::optional<connection_id> for_whom,
                           byte_count wanted, byte_count more)
{
    std::vector<connection_id> evicted;
    if (used_ + more <= limits_.total)
        return evicted;
    const byte_count needed = used_ + more - limits_.total;
    byte_count reclaimed;
    for (const connection_id each : eviction_candidates(at, for_whom, wanted))
    {
        if (reclaimed >= needed)
            break;
        reclaimed += reclaimable(holders_[each.value()]);
        evicted.push_back(each);
    }
    if (reclaimed < needed)
        return std::nullopt;
    for (const connection_id each : evicted)
    {
        holder& victim = holders_[each.value()];
        used_ = used_ - reclaimable(victim);
        victim.held = byte_count();
        victim.evicted = true;
    }
    return evicted;
}

connection_memory::evictions
connection_memory::resize(time_point at, connection_id which, byte_count held)
{
    holder& own = holders_.at(which.value());
    assert(own.open && "a closed connection holds memory");
    evictions evicted{std::in_place};
    if (counted(held) > counted(own.held))
    {
        if (own.evicted)
            return std::nullopt;
        evicted = reclaim(at, which, held, counted(held) - counted(own.held));
        if (!evicted)
            return std::nullopt;
    }
    used_ = used_ - counted(own.held) + counted(held);
    own.held = held;
    return evicted;
}

} // namespace sycamorelock::core
