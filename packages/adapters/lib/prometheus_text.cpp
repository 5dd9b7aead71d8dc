// Numbers are written as JSON has them, which Prometheus reads.
#include "prometheus_text.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace sycamorelock::adapters
{

namespace
{

void append(std::string& out, const std::string& name,
            const std::string& labels, const std::string& value)
{
    out += metric_prefix + name;
    if (!labels.empty())
        out += '{' + labels + '}';
    out += ' ' + value + '\n';
}

} // namespace

void family(std::string& out, const std::string& name, const char* type,
            const char* help)
{
    const std::string full = metric_prefix + name;
    out +=
        "# HELP " + full + ' ' + help + "\n# TYPE " + full + ' ' + type + '\n';
}

void sample(std::string& out, const std::string& name,
            const std::string& labels, double value)
{
    append(out, name, labels,
           boost::json::serialize(boost::json::value(value)));
}

void sample(std::string& out, const std::string& name,
            const std::string& labels, std::uint64_t value)
{
    append(out, name, labels, std::to_string(value));
}

std::string label(const std::string& name, const std::string& value)
{
    std::string escaped;
    for (const char each : value)
    {
        if (each == '\n')
        {
            escaped += "\\n";
            continue;
        }
        if (each == '"' || each == '\\')
            escaped += '\\';
        escaped += each;
    }
    return name + "=\"" + escaped + '"';
}

} // namespace sycamorelock::adapters
