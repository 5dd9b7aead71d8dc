// Events end with an empty line.
#include "sycamorelock/adapters/event_stream.hpp"

namespace sycamorelock::adapters
{

namespace
{

/// Most bytes of the end of a block that may come later than its beginning.
constexpr std::size_t longest_part_of_end = 2;

} // namespace

event_splitter::event_splitter(const event_dialect& dialect,
                               std::optional<event_id> after)
    : dialect_(dialect), last_id_(after)
{
}

std::string_view event_splitter::feed(std::string_view bytes)
{
    whole_.clear();
    if (fault_ != event_fault::none)
        return whole_;
    std::size_t from = rest_.size() < longest_part_of_end
                           ? 0
                           : rest_.size() - longest_part_of_end;
    rest_.append(bytes);
    std::size_t begin = 0;
    while (const std::optional<block_end> end = find_end(from))
    {
        const std::string_view block(rest_.data() + begin, end->next - begin);
        read_block(block, block.substr(0, end->text - begin));
        if (fault_ != event_fault::none)
            return whole_;
        begin = end->next;
        from = begin;
    }
    rest_.erase(0, begin);
    return whole_;
}

void event_splitter::drop_rest()
{
    rest_.clear();
    fault_ = event_fault::none;
}

std::optional<event_splitter::block_end>
event_splitter::find_end(std::size_t from) const
{
    for (;;)
    {
        const std::size_t line_end = rest_.find('\n', from);
        if (line_end == std::string::npos)
            return std::nullopt;
        from = line_end + 1;
        const bool has_return = dialect_.allows_carriage_returns &&
                                from < rest_.size() && rest_[from] == '\r';
        const std::size_t second = has_return ? from + 1 : from;
        if (second < rest_.size() && rest_[second] == '\n')
            return block_end{line_end, second + 1};
    }
}

void event_splitter::read_block(std::string_view block, std::string_view text)
{
    const event_block read = read_event_block(text, dialect_);
    fault_ = read.fault;
    if (read.is_comment || fault_ != event_fault::none)
        return;
    fault_ = check_order(read.id, last_id_, dialect_.ids);
    if (fault_ != event_fault::none)
        return;
    last_id_ = read.id;
    ++count_;
    whole_.append(block);
}

} // namespace sycamorelock::adapters
