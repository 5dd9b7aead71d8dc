// Bound on the memory that connections hold together, and who is evicted when
// it is reached.
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

struct connection_memory_limits
{
    /// Bytes held for all connections together.
    byte_count total;
    /// Counted for each connection from its beginning: the state of its session
    /// and a small request.
    byte_count per_connection;
    /// A connection without progress for this long may be evicted for any other
    /// one.
    duration stall_timeout;

    /// Largest body of a request that can always be received while other
    /// connections are idle. The other half is for its header, for the growth
    /// of its buffer and for serving it.
    [[nodiscard]] byte_count largest_body() const
    {
        return byte_count(total.value() / 2);
    }

    /// Limits of one thread if the total is divided evenly among several.
    [[nodiscard]] connection_memory_limits part_of(std::size_t threads) const
    {
        return {byte_count(total.value() / threads), per_connection,
                stall_timeout};
    }
};

/// Limits for the connections of callers to an instance with this much memory.
/// docs/CAPACITY.md derives them.
connection_memory_limits limits_for_callers(byte_count machine);

/// What a connection does with the memory that it holds.
enum class holder_phase : std::uint8_t
{
    /// Waits for a request or receives one.
    receiving,
    /// Serves a request. It is never evicted then, because an endpoint may have
    /// begun to execute the request.
    serving,
    /// Waits until the peer reads more of the answer.
    sending,
};

/// Grants memory to connections. When the total is reached, a connection gets
/// more only by eviction of others: first those without progress, the longest
/// first, then those that hold more than it would, the largest first. So large
/// requests cannot starve small ones, and a stalled peer keeps its memory only
/// while no other connection needs it.
class connection_memory
{
  public:
    explicit connection_memory(const connection_memory_limits& limits);

    /// Connections that may be open at once. A quarter of the total is left to
    /// requests that are larger than `per_connection`.
    [[nodiscard]] std::size_t max_connections() const;

    struct opened_connection
    {
        connection_id id;
        /// Connections that must free all they hold.
        std::vector<connection_id> evicted;
    };
    /// Counts a new connection; nothing if the memory is used up by requests
    /// that are being served.
    [[nodiscard]] std::optional<opened_connection> open(time_point at);
    void close(connection_id which);

    void enter(time_point at, connection_id which, holder_phase phase);
    /// The peer has sent or read something.
    void note_progress(time_point at, connection_id which);

    /// Connections that must free all they hold; nothing if the memory is not
    /// granted.
    using evictions = std::optional<std::vector<connection_id>>;

    /// Sets what a connection holds. Less is always granted. Evicted
    /// connections count as holding nothing and get no more until they enter a
    /// phase again.
    [[nodiscard]] evictions resize(time_point at, connection_id which,
                                   byte_count held);

    /// Bytes that count towards the total.
    [[nodiscard]] byte_count used() const { return used_; }
    [[nodiscard]] std::size_t connections() const { return connections_; }
    [[nodiscard]] const connection_memory_limits& limits() const
    {
        return limits_;
    }

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
    /// What the eviction of a connection frees.
    [[nodiscard]] byte_count reclaimable(const holder& from) const;
    /// Connections that may be evicted for one that would hold `wanted` bytes,
    /// in order.
    [[nodiscard]] std::vector<connection_id>
    eviction_candidates(time_point at, std::optional<connection_id> for_whom,
                        byte_count wanted) const;
    /// Evicts connections until `more` bytes are free, or none if that is not
    /// possible.
    evictions reclaim(time_point at, std::optional<connection_id> for_whom,
                      byte_count wanted, byte_count more);

    connection_memory_limits limits_;
    byte_count used_;
    std::size_t connections_ = 0;
    /// By id. Entries of closed connections are reused.
    std::vector<holder> holders_;
    std::vector<connection_id> free_;
};

} // namespace sycamorelock::core
