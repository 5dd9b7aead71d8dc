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
    const std::size_t searched =
        rest_.size() < event_end.size() ? 0 : rest_.size() - 1;
    rest_.append(bytes);
    fault_ = event_fault::none;
    std::size_t begin = 0;
    std::size_t from = searched;
    for (;;)
    {
        const std::size_t end = rest_.find(event_end, from);
        if (end == std::string::npos)
            break;
        from = end + event_end.size();
        read_event(std::string_view(rest_).substr(begin, end - begin));
        begin = from;
    }
    whole_.assign(rest_, 0, begin);
    rest_.erase(0, begin);
    return whole_;
}

void event_splitter::read_event(std::string_view event)
{
    ++count_;
    event_block read = read_event_block(event, dialect_);
    if (read.fault == event_fault::none && !read.is_comment)
    {
        if (!read.id)
            read.fault = event_fault::no_id;
        else if (!follows(*read.id, last_id_, dialect_))
            read.fault = event_fault::unexpected_id;
    }
    if (read.id)
        last_id_ = read.id;
    if (fault_ == event_fault::none)
        fault_ = read.fault;
}

} // namespace sycamorelock::adapters::direct
