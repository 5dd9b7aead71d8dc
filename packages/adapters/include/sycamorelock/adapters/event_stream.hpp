// Splits a stream of server-sent events into complete events, so that a stream
// can go on at another endpoint exactly after the last one.
#pragma once

#include "sycamorelock/adapters/event_block.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sycamorelock::adapters
{

class event_splitter
{
  public:
    event_splitter() = default;
    /// \param after id of the last event that the caller has; absent if it has
    /// none.
    event_splitter(const event_dialect& dialect, std::optional<event_id> after);

    /// Takes bytes of the stream and returns the events that they complete, up
    /// to a block that is not the next event; the view holds until the next
    /// call. After such a block nothing is taken until `drop_rest`.
    std::string_view feed(std::string_view bytes);

    /// Why the stream holds something that is not its next event.
    [[nodiscard]] event_fault fault() const { return fault_; }
    /// Whether the stream stopped in the middle of an event.
    [[nodiscard]] bool torn() const { return !rest_.empty(); }
    /// Bytes of the event that is not complete yet.
    [[nodiscard]] std::size_t pending() const { return rest_.size(); }
    /// Complete events so far.
    [[nodiscard]] std::uint64_t count() const { return count_; }
    /// Id of the newest event, or that after which the caller asked to go on.
    [[nodiscard]] std::optional<event_id> last_id() const { return last_id_; }
    /// Drops what was not taken as an event; another endpoint goes on.
    void drop_rest();

  private:
    /// Where a block ends.
    struct block_end
    {
        /// Line feed of its last line that is not empty.
        std::size_t text;
        /// First byte behind its empty line.
        std::size_t next;
    };

    [[nodiscard]] std::optional<block_end> find_end(std::size_t from) const;
    /// \param block with its empty line.
    /// \param text the block's lines.
    void read_block(std::string_view block, std::string_view text);

    event_dialect dialect_;
    std::string rest_;
    std::string whole_;
    std::uint64_t count_ = 0;
    std::optional<event_id> last_id_;
    event_fault fault_ = event_fault::none;
};

} // namespace sycamorelock::adapters
