// Text forms of findings.
#include "sycamorelock/settings/findings.hpp"

namespace sycamorelock::settings
{

std::string to_string(const finding& found)
{
    return found.file + ':' + std::to_string(found.line) + ':' +
           std::to_string(found.column) + ": " + found.path + ": " + found.text;
}

namespace
{

std::string join(const std::vector<finding>& findings)
{
    std::string text;
    for (const finding& found : findings)
    {
        if (!text.empty())
            text += '\n';
        text += to_string(found);
    }
    return text;
}

} // namespace

settings_error::settings_error(std::vector<finding> findings)
    : std::runtime_error(join(findings)), findings_(std::move(findings))
{
}

} // namespace sycamorelock::settings
