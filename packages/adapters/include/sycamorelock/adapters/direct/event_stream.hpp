// Splits a stream of server-sent events into complete events, so that a stream
// can go on at another endpoint exactly after the last one.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sycamorelock::adapters::direct
{

class event_splitter
{
  public:
    /// Takes bytes of the stream and returns those that complete events; the
    /// view holds until the next call.
    std::string_view feed(std::string_view bytes);

    /// Whether the stream stopped in the middle of an event.
    [[nodiscard]] bool torn() const { return !rest_.empty(); }
    /// Bytes of the event that is not complete yet.
    [[nodiscard]] std::size_t pending() const { return rest_.size(); }
    /// Complete events so far.
    [[nodiscard]] std::uint64_t count() const { return count_; }
    /// Id of the newest complete event that had a number as id.
    [[nodiscard]] std::optional<std::uint64_t> last_id() const
    {
        return last_id_;
    }
    /// Drops the beginning of an event that never came to its end.
    void drop_rest() { rest_.clear(); }

  private:
    void read_event(std::string_view event);

    std::string rest_;
    std::string whole_;
    std::uint64_t count_ = 0;
    std::optional<std::uint64_t> last_id_;
};

} // namespace sycamorelock::adapters::direct
