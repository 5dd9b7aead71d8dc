// Lines of a metrics page in Prometheus' text format.
#pragma once

#include <cstdint>
#include <string>

namespace sycamorelock::adapters
{

/// Prefix of every metric's name; the functions add it.
inline constexpr const char* metric_prefix = "sycamorelock_";

/// Appends what the samples after it are. \param type "counter", "gauge" or
/// "histogram".
void family(std::string& out, const std::string& name, const char* type,
            const char* help);

/// \param labels such as `reason="x"`, or empty.
void sample(std::string& out, const std::string& name,
            const std::string& labels, double value);
void sample(std::string& out, const std::string& name,
            const std::string& labels, std::uint64_t value);

/// A family with one sample and no labels.
template <class Value>
void single(std::string& out, const std::string& name, const char* type,
            const char* help, Value value)
{
    family(out, name, type, help);
    sample(out, name, "", value);
}

/// `name="value"`, with the value escaped as the format asks.
std::string label(const std::string& name, const std::string& value);

} // namespace sycamorelock::adapters
