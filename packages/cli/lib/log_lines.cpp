// Finds and reads the object of a line.
#include "log_lines.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>
#include <cmath>

namespace sycamorelock
{

namespace json = boost::json;

std::optional<json::object> read_log_object(std::string_view line)
{
    const std::size_t begin = line.find('{');
    if (begin == std::string_view::npos)
        return std::nullopt;
    boost::system::error_code error;
    json::value value = json::parse(line.substr(begin), error);
    if (error || !value.is_object())
        return std::nullopt;
    return std::move(value.as_object());
}

std::string log_text(const json::object& in, std::string_view name)
{
    const json::value* found = in.if_contains(name);
    if (found == nullptr)
        return {};
    return found->is_string() ? std::string(found->as_string())
                              : json::serialize(*found);
}

std::optional<double> log_number(const json::object& in, std::string_view name)
{
    const std::string text = log_text(in, name);
    double value = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || stop != end || !std::isfinite(value))
        return std::nullopt;
    return value;
}

} // namespace sycamorelock
