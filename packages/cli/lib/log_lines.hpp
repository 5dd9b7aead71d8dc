// Reads log lines of instances: a JSON object each, after whatever a collector
// put before it.
#pragma once

#include <boost/json/object.hpp>

#include <istream>
#include <optional>
#include <string>
#include <string_view>

namespace sycamorelock
{

/// The object of a line; nothing if it holds none.
std::optional<boost::json::object> read_log_object(std::string_view line);

/// A field as text; empty if it is not there.
std::string log_text(const boost::json::object& in, std::string_view name);

/// A field as a finite number, also where it is written as text; nothing if it
/// is neither.
std::optional<double> log_number(const boost::json::object& in,
                                 std::string_view name);

/// Calls back with the object of each line. Returns how many held none.
template <class Use>
std::size_t for_each_log_line(std::istream& in, const Use& use)
{
    std::size_t unreadable = 0;
    std::string text;
    while (std::getline(in, text))
    {
        const auto object = read_log_object(text);
        if (object)
            use(*object);
        else
            ++unreadable;
    }
    return unreadable;
}

} // namespace sycamorelock
