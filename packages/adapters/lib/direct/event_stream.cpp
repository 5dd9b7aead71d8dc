// Events end with an empty line.
#include "sycamorelock/adapters/direct/event_stream.hpp"

#include <charconv>

namespace sycamorelock::adapters::direct
{

namespace
{

constexpr std::string_view event_end = "\n\n";
constexpr std::string_view id_field = "id:";

} // namespace

std::string_view event_splitter::feed(std::string_view bytes)
{
    const std::size_t searched =
        rest_.size() < event_end.size() ? 0 : rest_.size() - 1;
    rest_.append(bytes);
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
    while (!event.empty())
    {
        const std::size_t line_end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, line_end);
        event.remove_prefix(std::min(line_end + 1, event.size()));
        if (!line.starts_with(id_field))
            continue;
        line.remove_prefix(id_field.size());
        while (line.starts_with(' '))
            line.remove_prefix(1);
        std::uint64_t id = 0;
        const auto [stop, error] =
            std::from_chars(line.data(), line.data() + line.size(), id);
        if (error == std::errc())
            last_id_ = id;
    }
}

} // namespace sycamorelock::adapters::direct
