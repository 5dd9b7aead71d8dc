// Accepts the fields that the standard names, and no other.
#include "sycamorelock/adapters/event_block.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace sycamorelock::adapters
{

namespace
{

constexpr std::uint64_t first_id = 1;

/// Length of the UTF-8 character that a text begins with; 0 if it begins with
/// none. Source: Unicode Standard, table 3-7.
std::size_t utf8_length(std::string_view text)
{
    const auto byte = [text](std::size_t at)
    { return at < text.size() ? static_cast<unsigned char>(text[at]) : 0U; };
    const auto continues = [&byte](std::size_t from, std::size_t to)
    {
        for (std::size_t at = from; at < to; ++at)
        {
            if (byte(at) < 0x80U || byte(at) > 0xBFU)
                return false;
        }
        return true;
    };
    const unsigned lead = byte(0);
    const unsigned second = byte(1);
    if (lead < 0x80U)
        return 1;
    if (lead >= 0xC2U && lead <= 0xDFU)
        return continues(1, 2) ? 2 : 0;
    if (lead >= 0xE0U && lead <= 0xEFU)
    {
        const bool is_overlong = lead == 0xE0U && second < 0xA0U;
        const bool is_surrogate = lead == 0xEDU && second > 0x9FU;
        return continues(1, 3) && !is_overlong && !is_surrogate ? 3 : 0;
    }
    if (lead >= 0xF0U && lead <= 0xF4U)
    {
        const bool is_overlong = lead == 0xF0U && second < 0x90U;
        const bool is_beyond = lead == 0xF4U && second > 0x8FU;
        return continues(1, 4) && !is_overlong && !is_beyond ? 4 : 0;
    }
    return 0;
}

bool is_text(std::string_view text)
{
    while (!text.empty())
    {
        const auto first = static_cast<unsigned char>(text.front());
        const bool is_control =
            (first < 0x20U && first != '\t') || first == 0x7FU;
        const std::size_t length = is_control ? 0 : utf8_length(text);
        if (length == 0)
            return false;
        text.remove_prefix(length);
    }
    return true;
}

std::optional<std::uint64_t> whole_number(std::string_view text)
{
    const bool has_leading_zero = text.size() > 1 && text.front() == '0';
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || stop != end || has_leading_zero)
        return std::nullopt;
    return value;
}

struct field
{
    std::string_view name;
    std::string_view value;
};

/// Splits a line; a name without a colon gives an empty name.
field read_field(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos)
        return {};
    std::string_view value = line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    return {line.substr(0, colon), value};
}

/// Reads the lines of a block in order.
class block_reader
{
  public:
    explicit block_reader(const event_dialect& dialect) : dialect_(dialect) {}

    /// \return a fault that ends the block, or none.
    event_fault read_line(std::string_view line)
    {
        if (dialect_.allows_carriage_returns && line.ends_with('\r'))
            line.remove_suffix(1);
        const bool is_first = std::exchange(is_first_, false);
        if (!is_text(line))
            return event_fault::not_text;
        if (line.starts_with(':'))
            return event_fault::none;
        has_fields_ = true;
        const field read = read_field(line);
        if (read.name == "id")
            return read_id(read.value);
        if (read.name == "data")
        {
            has_data_ = true;
            return event_fault::none;
        }
        const bool is_leading = is_first && !read.name.empty() &&
                                read.name == dialect_.leading_field;
        const bool is_number = whole_number(read.value).has_value();
        const bool is_known = read.name == "event" ||
                              (read.name == "retry" && is_number) ||
                              (is_leading && is_number);
        return is_known ? event_fault::none : event_fault::unknown_field;
    }

    [[nodiscard]] event_block result() const
    {
        if (!has_fields_)
            return {.is_comment = true};
        return {has_data_ ? event_fault::none : event_fault::no_data, id_};
    }

  private:
    event_fault read_id(std::string_view value)
    {
        if (dialect_.ids == id_order::any)
            return event_fault::none;
        if (id_)
            return event_fault::second_id;
        const std::optional<std::uint64_t> number = whole_number(value);
        if (!number)
            return event_fault::malformed_id;
        id_ = event_id(*number);
        return event_fault::none;
    }

    const event_dialect& dialect_;
    std::optional<event_id> id_;
    bool is_first_ = true;
    bool has_fields_ = false;
    bool has_data_ = false;
};

} // namespace

std::string to_string(event_id id)
{
    return std::to_string(static_cast<std::uint64_t>(id));
}

std::string_view to_string(event_fault fault)
{
    using enum event_fault;
    switch (fault)
    {
    case none:
        return "none";
    case empty:
        return "empty";
    case not_text:
        return "not_text";
    case unknown_field:
        return "unknown_field";
    case no_data:
        return "no_data";
    case no_id:
        return "no_id";
    case malformed_id:
        return "malformed_id";
    case second_id:
        return "second_id";
    case unexpected_id:
        return "unexpected_id";
    }
    return "unknown";
}

event_block read_event_block(std::string_view text,
                             const event_dialect& dialect)
{
    if (text.empty())
        return {event_fault::empty};
    block_reader reader(dialect);
    while (!text.empty())
    {
        const std::size_t end = std::min(text.find('\n'), text.size());
        const event_fault fault = reader.read_line(text.substr(0, end));
        if (fault != event_fault::none)
            return {fault};
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return reader.result();
}

event_fault check_order(std::optional<event_id> id,
                        std::optional<event_id> last, id_order order)
{
    if (order == id_order::any)
        return event_fault::none;
    if (!id)
        return event_fault::no_id;
    const auto number = static_cast<std::uint64_t>(*id);
    const auto before = last ? static_cast<std::uint64_t>(*last) : first_id - 1;
    const bool grows = !last || number > before;
    const bool is_next = grows && number - before == 1;
    const bool follows = order == id_order::consecutive ? is_next : grows;
    return follows ? event_fault::none : event_fault::unexpected_id;
}

} // namespace sycamorelock::adapters
