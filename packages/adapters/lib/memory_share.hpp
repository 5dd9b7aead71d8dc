// Shares of connections in a bounded pool of memory.
#pragma once

#include "sycamorelock/adapters/caller_metrics.hpp"
#include "sycamorelock/core/connection_memory.hpp"

#include <array>
#include <functional>
#include <optional>
#include <vector>

namespace sycamorelock::adapters
{

class memory_share;

/// Memory for the connections of one thread.
class memory_pool
{
  public:
    /// \param metrics are shared by the pools of all threads.
    memory_pool(const core::connection_memory_limits& limits,
                caller_metrics& metrics);
    memory_pool(const memory_pool&) = delete;
    memory_pool& operator=(const memory_pool&) = delete;

    [[nodiscard]] std::size_t max_connections() const
    {
        return state_.max_connections();
    }
    /// In bytes.
    [[nodiscard]] std::size_t largest_body() const
    {
        return state_.limits().largest_body().value();
    }

  private:
    friend class memory_share;

    /// Updates the metrics.
    void count_used();
    void evict(const std::vector<core::connection_id>& which);

    core::connection_memory state_;
    caller_metrics& metrics_;
    core::byte_count counted_;
    /// By connection id.
    std::vector<memory_share*> shares_;
};

/// What a connection holds memory for.
enum class memory_part : std::uint8_t
{
    /// Bytes received and not parsed yet.
    unparsed,
    header,
    body,
    /// State of a request that is being served.
    serving,
    /// Bytes of an answer that the peer has not read.
    answer,
};

/// A connection's share of a pool, released by its destructor. Used on the
/// pool's thread.
class memory_share
{
  public:
    /// Not open if the pool has no memory for another connection.
    /// \param on_evicted frees what the share holds. Called while its phase is
    /// `receiving` or `sending`; must not destroy the share.
    memory_share(memory_pool& pool, std::function<void()> on_evicted);
    ~memory_share();
    memory_share(const memory_share&) = delete;
    memory_share& operator=(const memory_share&) = delete;

    [[nodiscard]] bool is_open() const { return id_.has_value(); }

    /// Sets the size of a part. Returns false, and leaves it, if that is not
    /// granted. Less is always granted.
    [[nodiscard]] bool hold(memory_part part, std::size_t bytes);
    void drop(memory_part part) { static_cast<void>(hold(part, 0)); }
    /// Releases what a request held that has been served.
    void drop_request();
    void drop_all();

    void enter(core::holder_phase phase);
    void note_progress();

    /// Whether it has been evicted since its phase began.
    [[nodiscard]] bool is_evicted() const { return evicted_; }

  private:
    friend class memory_pool;

    static constexpr std::size_t part_count = 5;

    void evict();

    memory_pool& pool_;
    std::function<void()> on_evicted_;
    std::optional<core::connection_id> id_;
    std::array<std::size_t, part_count> parts_{};
    std::size_t total_ = 0;
    bool evicted_ = false;
};

} // namespace sycamorelock::adapters
