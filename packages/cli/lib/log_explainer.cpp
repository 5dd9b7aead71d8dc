// Selects by request, instance and endpoint.
#include "log_explainer.hpp"

#include "log_lines.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace sycamorelock
{

namespace
{

namespace json = boost::json;

constexpr std::array<std::string_view, 5> common_fields{
    "ts_ms", "level", "event", "name", "instance"};

/// Events that change what an instance believes about everything it does.
constexpr std::array<std::string_view, 6> beliefs{
    "config_installed", "config_refused", "store_lost",
    "store_back",       "peers_changed",  "draining"};

log_line read_line(const json::object& in)
{
    log_line line;
    const json::value* at = in.if_contains("ts_ms");
    if (at != nullptr && at->is_number())
        line.at_ms = at->to_number<std::int64_t>();
    line.instance = log_text(in, "instance");
    line.name = log_text(in, "name");
    line.level = log_text(in, "level");
    line.request = log_text(in, "request");
    line.endpoint = log_text(in, "endpoint");
    line.resumes = log_text(in, "resumes");
    for (const auto& [name, value] : in)
    {
        if (std::find(common_fields.begin(), common_fields.end(), name) !=
            common_fields.end())
            continue;
        if (!line.fields.empty())
            line.fields += ' ';
        line.fields += std::string(name) + '=' + log_text(in, name);
    }
    return line;
}

bool is_belief(const log_line& line)
{
    return std::find(beliefs.begin(), beliefs.end(), line.name) !=
           beliefs.end();
}

} // namespace

void log_explainer::read(std::istream& in)
{
    unreadable_ += for_each_log_line(in, [this](const json::object& line)
                                     { lines_.push_back(read_line(line)); });
    std::stable_sort(lines_.begin(), lines_.end(),
                     [](const log_line& a, const log_line& b)
                     { return a.at_ms < b.at_ms; });
}

std::vector<log_line> log_explainer::lines_of(const std::string& request) const
{
    std::vector<log_line> result;
    std::copy_if(lines_.begin(), lines_.end(), std::back_inserter(result),
                 [&](const log_line& line) { return line.request == request; });
    return result;
}

std::vector<log_line> log_explainer::story(const std::string& request) const
{
    const std::vector<log_line> own = lines_of(request);
    if (own.empty())
        return {};
    std::set<std::string> instances;
    std::set<std::string> endpoints;
    std::set<std::string> begun_by;
    for (const log_line& line : own)
    {
        instances.insert(line.instance);
        if (!line.endpoint.empty())
            endpoints.insert(line.endpoint);
        if (!line.resumes.empty() && line.resumes != request)
            begun_by.insert(line.resumes);
    }
    // The newest of each kind of belief before the first decision.
    std::map<std::string, log_line> before;
    for (const log_line& line : lines_)
    {
        if (line.at_ms > own.front().at_ms)
            break;
        if (!instances.contains(line.instance) || !line.request.empty())
            continue;
        if (is_belief(line))
            before[line.instance + '/' + line.name] = line;
        else if (endpoints.contains(line.endpoint))
            before[line.instance + '/' + line.endpoint] = line;
    }
    std::vector<log_line> result;
    result.reserve(before.size() + own.size());
    for (const auto& [key, line] : before)
        result.push_back(line);
    result.insert(result.end(), own.begin(), own.end());
    for (const std::string& attempt : begun_by)
    {
        const std::vector<log_line> first = lines_of(attempt);
        result.insert(result.end(), first.begin(), first.end());
    }
    std::stable_sort(result.begin(), result.end(),
                     [](const log_line& a, const log_line& b)
                     { return a.at_ms < b.at_ms; });
    return result;
}

std::string to_string(const log_line& line)
{
    return std::to_string(line.at_ms) + ' ' + line.instance + ' ' + line.name +
           (line.fields.empty() ? "" : " " + line.fields);
}

} // namespace sycamorelock
