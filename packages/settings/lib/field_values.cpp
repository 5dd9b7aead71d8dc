// Conversion of checked fields.
#include "field_values.hpp"

#include <boost/asio/ip/address.hpp>

#include <algorithm>

namespace sycamorelock::settings
{

std::string text_of(const values& held, const char* name)
{
    return held.at(name).Scalar();
}

std::int64_t integer_of(const values& held, const char* name)
{
    // Checked before; the double covers every allowed range exactly.
    return static_cast<std::int64_t>(held.at(name).as<double>(0));
}

double number_of(const values& held, const char* name)
{
    return held.at(name).as<double>(0);
}

std::chrono::milliseconds ms_of(const values& held, const char* name)
{
    return std::chrono::milliseconds(integer_of(held, name));
}

std::vector<std::string> list_of(const values& held, const char* name)
{
    std::vector<std::string> result;
    const YAML::Node& list = held.at(name);
    if (!list.IsSequence())
        return result;
    for (const YAML::Node& item : list)
        result.push_back(item.IsScalar() ? item.Scalar() : "");
    return result;
}

bool is_ip(const std::string& text)
{
    boost::system::error_code error;
    boost::asio::ip::make_address(text, error);
    return !error;
}

bool is_ip_and_port(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || !is_ip(text.substr(0, colon)))
        return false;
    const std::string port = text.substr(colon + 1);
    static constexpr std::size_t longest_port = 5;
    return !port.empty() && port.size() <= longest_port &&
           std::all_of(port.begin(), port.end(),
                       [](unsigned char c) { return std::isdigit(c) != 0; });
}

} // namespace sycamorelock::settings
