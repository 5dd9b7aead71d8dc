// Checks of YAML values against the field tables.
#include "reader.hpp"

#include <algorithm>
#include <cmath>

namespace sycamorelock::settings
{

namespace
{

constexpr int max_depth = 16;
constexpr std::size_t max_findings = 200;

bool is_choice(std::string_view choices, std::string_view value)
{
    std::size_t from = 0;
    while (from <= choices.size())
    {
        const std::size_t bar =
            std::min(choices.find('|', from), choices.size());
        if (choices.substr(from, bar - from) == value)
            return true;
        from = bar + 1;
    }
    return false;
}

const field* find(std::span<const field> fields, std::string_view name)
{
    for (const field& item : fields)
    {
        if (item.name == name)
            return &item;
    }
    return nullptr;
}

} // namespace

YAML::Node reader::parse(const std::string& text)
{
    try
    {
        return YAML::Load(text);
    }
    catch (const YAML::ParserException& error)
    {
        findings_.push_back({file_, error.mark.line + 1, error.mark.column + 1,
                             "(document)", error.msg});
        return {};
    }
}

void reader::report(const YAML::Node& at, const std::string& path,
                    std::string text)
{
    if (findings_.size() >= max_findings)
        return;
    const YAML::Mark mark = at.Mark();
    findings_.push_back(
        {file_, mark.line + 1, mark.column + 1, path, std::move(text)});
}

void reader::check_number(const YAML::Node& value, const std::string& path,
                          const field& rule)
{
    double number = 0;
    if (!YAML::convert<double>::decode(value, number) || !std::isfinite(number))
        return report(value, path, "must be a number");
    if (rule.kind == field_kind::integer && number != std::floor(number))
        return report(value, path, "must be a whole number");
    if (number < rule.low || number > rule.high)
    {
        std::string low = YAML::Dump(YAML::Node(rule.low));
        std::string high = YAML::Dump(YAML::Node(rule.high));
        report(value, path, "must be from " + low + " to " + high);
    }
}

void reader::check(const YAML::Node& value, const std::string& path,
                   const field& rule)
{
    if (rule.kind == field_kind::text_list)
    {
        if (!value.IsSequence())
            return report(value, path, "must be a list");
        const auto size = static_cast<double>(value.size());
        if (size < rule.low || size > rule.high)
            report(value, path, "has too few or too many entries");
        for (const YAML::Node& item : value)
        {
            if (!item.IsScalar())
                report(item, path, "entries must be texts");
        }
        return;
    }
    if (!value.IsScalar())
        return report(value, path, "must be a single value");
    switch (rule.kind)
    {
    case field_kind::text:
    {
        const auto size = static_cast<double>(value.Scalar().size());
        if (size < rule.low || size > rule.high)
            report(value, path, "has a wrong length");
        return;
    }
    case field_kind::integer:
    case field_kind::number:
        return check_number(value, path, rule);
    case field_kind::boolean:
    {
        bool flag = false;
        if (!YAML::convert<bool>::decode(value, flag))
            report(value, path, "must be true or false");
        return;
    }
    case field_kind::choice:
        if (!is_choice(rule.choices, value.Scalar()))
            report(value, path, "must be one of " + std::string(rule.choices));
        return;
    case field_kind::text_list:
        return;
    }
}

values reader::take(const YAML::Node& map, const std::string& path,
                    std::span<const field> fields, const values& inherited,
                    std::span<const std::string_view> others)
{
    values held = inherited;
    if (!map.IsMap())
    {
        report(map, path, "must be a map");
        return held;
    }
    std::map<std::string, bool> seen;
    for (const auto& item : map)
    {
        const std::string name =
            item.first.IsScalar() ? item.first.Scalar() : "";
        const std::string where = path + '.' + name;
        if (seen[name])
            report(item.first, where, "is given twice");
        seen[name] = true;
        const bool other =
            std::find(others.begin(), others.end(), name) != others.end();
        if (other)
            continue;
        const field* rule = find(fields, name);
        if (rule == nullptr)
        {
            report(item.first, where, "unknown setting");
            continue;
        }
        check(item.second, where, *rule);
        held[name] = item.second;
    }
    return held;
}

void reader::complete(values& held, const YAML::Node& map,
                      const std::string& path, std::span<const field> fields)
{
    for (const field& item : fields)
    {
        const std::string name(item.name);
        if (held.contains(name))
            continue;
        if (item.required)
        {
            report(map, path + '.' + name, "is required");
            held[name] = YAML::Node("0");
            continue;
        }
        held[name] = item.kind == field_kind::text_list
                         ? YAML::Node(YAML::NodeType::Sequence)
                         : YAML::Node(std::string(item.fallback));
    }
}

void reader::walk(const YAML::Node& root, const std::string& path,
                  std::span<const field> fields,
                  std::span<const std::string_view> others,
                  const leaf_handler& handle)
{
    if (!root || root.IsNull())
        return;
    if (root.IsMap() && !root["children"])
        return report(root, path, "needs 'children'");
    walk_map(root, path, path, {}, fields, others, handle, 0);
}

void reader::walk_map(const YAML::Node& map, const std::string& path,
                      const std::string& name, const values& inherited,
                      std::span<const field> fields,
                      std::span<const std::string_view> others,
                      const leaf_handler& handle, int depth)
{
    if (depth > max_depth)
        return report(map, path, "is nested too deeply");
    std::vector<std::string_view> mine(others.begin(), others.end());
    mine.push_back("children");
    const values held = take(map, path, fields, inherited, mine);
    if (!map.IsMap())
        return;
    const YAML::Node children = map["children"];
    if (!children)
    {
        values full = held;
        complete(full, map, path, fields);
        handle(path, name, map, full);
        return;
    }
    if (!children.IsMap())
        return report(children, path + ".children", "must be a map");
    for (const auto& child : children)
    {
        const std::string child_name = child.first.Scalar();
        walk_map(child.second, path + '.' + child_name, child_name, held,
                 fields, others, handle, depth + 1);
    }
}

void reader::finish() const
{
    if (!findings_.empty())
        throw settings_error(findings_);
}

} // namespace sycamorelock::settings
