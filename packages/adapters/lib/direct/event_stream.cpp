// Events end with an empty line.
#include "sycamorelock/adapters/direct/event_stream.hpp"

namespace sycamorelock::adapters::direct
{

namespace
{

constexpr std::string_view event_end = "\n\n";

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
    std::size_t from = rest_.size() < event_end.size() ? 0 : rest_.size() - 1;
    rest_.append(bytes);
    std::size_t begin = 0;
    for (;;)
    {
        const std::size_t end = rest_.find(event_end, from);
        if (end == std::string::npos)
            break;
        from = end + event_end.size();
        read_block(std::string_view(rest_).substr(begin, from - begin));
        if (fault_ != event_fault::none)
            return whole_;
        begin = from;
    }
    rest_.erase(0, begin);
    return whole_;
}

void event_splitter::drop_rest()
{
    rest_.clear();
    fault_ = event_fault::none;
}

void event_splitter::read_block(std::string_view block)
{
    const std::string_view text =
        block.substr(0, block.size() - event_end.size());
    const event_block read = read_event_block(text, dialect_);
    fault_ = read.fault;
    if (read.is_comment || fault_ != event_fault::none)
        return;
    if (!read.id)
        fault_ = event_fault::no_id;
    else if (!follows(*read.id, last_id_, dialect_))
        fault_ = event_fault::unexpected_id;
    if (fault_ != event_fault::none)
        return;
    last_id_ = read.id;
    ++count_;
    whole_.append(block);
}

} // namespace sycamorelock::adapters::direct
