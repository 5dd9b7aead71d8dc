// Reads one event of a stream of server-sent events.
// Source: HTML Living Standard, section "Server-sent events".
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sycamorelock::adapters
{

/// Id of an event. Endpoints number the events of a stream in order.
enum class event_id : std::uint64_t
{
};

std::string to_string(event_id id);

/// Why a block of a stream is not an event that may be passed on.
enum class event_fault : std::uint8_t
{
    none,
    /// No line at all.
    empty,
    /// Bytes that are not UTF-8 text, or control characters.
    not_text,
    /// A line that is no field of an event.
    unknown_field,
    no_data,
    no_id,
    /// The id is not a number in its shortest decimal form.
    malformed_id,
    /// More than one id: two events have run together.
    second_id,
    /// The id is not the one that follows in the stream.
    unexpected_id,
};
std::string_view to_string(event_fault fault);

/// How the ids of a stream follow each other.
enum class id_order : std::uint8_t
{
    /// Events may be without ids, and these may be any text. They are not read.
    any,
    growing,
    /// By one from 1.
    consecutive,
};

/// How endpoints write events, beyond the standard.
struct event_dialect
{
    /// Field that an event may begin with, with a whole number; empty for none.
    std::string_view leading_field = {};
    id_order ids = id_order::growing;
    /// Lines may end with a carriage return and a line feed.
    bool allows_carriage_returns = false;
};

struct event_block
{
    event_fault fault = event_fault::none;
    /// Absent if the block has none, or more than one.
    std::optional<event_id> id = std::nullopt;
    /// Comments only. They mean nothing to a reader.
    bool is_comment = false;
};

/// Reads a block.
/// \param text what precedes the empty line, without the last line feed.
[[nodiscard]] event_block read_event_block(std::string_view text,
                                           const event_dialect& dialect);

/// What is wrong with the id of an event that follows the last one.
/// \param id absent if the event has none.
/// \param last id of the last event; absent at the beginning of a stream.
[[nodiscard]] event_fault check_order(std::optional<event_id> id,
                                      std::optional<event_id> last,
                                      id_order order);

} // namespace sycamorelock::adapters
