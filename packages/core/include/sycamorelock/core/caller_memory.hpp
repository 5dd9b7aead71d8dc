// Bound on the memory that is held for callers, shared by their connections.
#pragma once

#include "sycamorelock/core/strong_types.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace sycamorelock::core
{

using byte_count = quantity<struct byte_tag, std::size_t>;

/// Identifies a connection as long as it is open.
using connection_id = quantity<struct connection_tag, std::size_t>;

constexpr byte_count megabytes(std::size_t count)
{
    return byte_count(count * 1000 * 1000);
}

struct caller_memory_limits
{
    /// Bytes held for all connections together.
    byte_count total;
    /// Counted for each connection from its beginning: its own state, and a
    /// small request.
    byte_count per_connection;
    /// A connection whose caller neither sends nor takes anything for this long
    /// gives way to any other.
    duration stall;

    /// Largest body of a request that is served while no other holds much: it
    /// grows by a quarter at a time, beside its header and what it takes to be
    /// served.
    [[nodiscard]] byte_count largest_body() const
    {
        return byte_count(total.value() / 2);
    }

    /// Limits for one of several threads that have an even part each.
    [[nodiscard]] caller_memory_limits part_of(std::size_t threads) const
    {
        return {byte_count(total.value() / threads), per_connection, stall};
    }
};

/// Limits on an instance whose machine has this much memory. A fifth of it is
/// for callers; docs/CAPACITY.md has the rest.
caller_memory_limits caller_memory_of(byte_count machine);

/// What a connection does with the memory that it holds.
enum class holder_phase : std::uint8_t
{
    /// A request arrives.
    receiving,
    /// A request is being served. It is never evicted, because an endpoint may
    /// run it.
    serving,
    /// The caller does not take the answer as fast as it comes.
    sending,
};

/// Decides which connections may hold how much. When the total is reached, a
/// connection gets more only at the cost of others: those whose callers have
/// stalled, and then those that hold more than it would. So many large requests
/// cannot keep a small one out, and a caller that sends nothing keeps its
/// memory only as long as nobody else needs it.
class caller_memory
{
  public:
    explicit caller_memory(const caller_memory_limits& limits);

    /// Connections that may be open at once, so that a quarter of the total is
    /// left to those that need more than each connection has.
    [[nodiscard]] std::size_t max_connections() const;

    struct opened_connection
    {
        connection_id id;
        /// Connections that must give up all they hold.
        std::vector<connection_id> evicted;
    };
    /// Counts a new connection; nothing if there is no room for it.
    [[nodiscard]] std::optional<opened_connection> open(time_point at);
    void close(connection_id which);

    void enter(time_point at, connection_id which, holder_phase phase);
    /// The caller has sent or taken something.
    void note_progress(time_point at, connection_id which);

    /// Connections that must give up all they hold before another may go on;
    /// nothing if the request for memory is refused.
    using evictions = std::optional<std::vector<connection_id>>;

    /// Sets what a connection holds. Less is always granted. Those that are
    /// evicted for it count as holding nothing from then on; they are refused
    /// more until they are closed or enter a phase again.
    [[nodiscard]] evictions resize(time_point at, connection_id which,
                                   byte_count held);

    /// Bytes that count towards the total.
    [[nodiscard]] byte_count used() const { return used_; }
    [[nodiscard]] std::size_t connections() const { return connections_; }
    [[nodiscard]] const caller_memory_limits& limits() const { return limits_; }

  private:
    struct holder
    {
        bool open = false;
        bool evicted = false;
        holder_phase phase = holder_phase::receiving;
        byte_count held;
        time_point progress;
    };

    [[nodiscard]] byte_count counted(byte_count held) const;
    /// What eviction of a connection makes free.
    [[nodiscard]] byte_count gain_of(const holder& from) const;
    /// Who gives way to a connection that would hold `wanted` bytes; in order.
    [[nodiscard]] std::vector<connection_id>
    candidates(time_point at, std::optional<connection_id> for_whom,
               byte_count wanted) const;
    /// Evicts as many as make room for `more` bytes, or none.
    evictions make_room(time_point at, std::optional<connection_id> for_whom,
                        byte_count wanted, byte_count more);

    caller_memory_limits limits_;
    byte_count used_;
    std::size_t connections_ = 0;
    /// By id; closed ones are used again.
    std::vector<holder> holders_;
    std::vector<connection_id> free_;
};

} // namespace sycamorelock::core
