// Pairs placements with ends and sorts them by what went wrong.
#include "loss_table.hpp"

#include "log_lines.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <utility>

namespace sycamorelock
{

namespace
{

namespace json = boost::json;

constexpr std::array<std::pair<std::string_view, loss_group>, 5> names{
    {{"route", loss_group::route},
     {"account", loss_group::account},
     {"instance", loss_group::instance},
     {"size", loss_group::size},
     {"window", loss_group::window}}};

double median(std::vector<double> values)
{
    if (values.empty())
        return 0;
    const auto middle =
        values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

/// Lower bound of the power of two that a size lies in.
std::string size_class(double tokens)
{
    if (tokens < 1)
        return "no prompt";
    static constexpr std::size_t digits = 6;
    static constexpr double largest = 2147483648;
    const double shown = std::min(tokens, largest);
    std::string bound =
        std::to_string(1U << static_cast<unsigned>(std::log2(shown)));
    bound.insert(0, digits - std::min(digits, bound.size()), ' ');
    return bound + " tokens or more";
}

std::string window_of(const json::object& line)
{
    static constexpr double window_ms = 10'000;
    const double at = log_number(line, "ts_ms").value_or(0);
    return std::to_string(
        static_cast<std::int64_t>(std::floor(at / window_ms) * window_ms));
}

} // namespace

std::optional<loss_group> loss_group_of(std::string_view name)
{
    for (const auto& [text, group] : names)
    {
        if (text == name)
            return group;
    }
    return std::nullopt;
}

void loss_table::read(std::istream& in)
{
    unreadable_ +=
        for_each_log_line(in, [this](const json::object& line) { use(line); });
}

std::string loss_table::group_of(const json::object& line) const
{
    switch (by_)
    {
    case loss_group::route:
        return log_text(line, "route");
    case loss_group::account:
        return log_text(line, "account");
    case loss_group::instance:
        return log_text(line, "instance");
    case loss_group::size:
        return size_class(log_number(line, "prompt_tokens").value_or(0));
    case loss_group::window:
        return window_of(line);
    }
    return {};
}

void loss_table::add(const std::string& group, const std::string& what,
                     double first, double second)
{
    fate& of = fates_[group][what];
    ++of.count;
    of.first.push_back(first);
    of.second.push_back(second);
}

void loss_table::use(const json::object& line)
{
    const std::string name = log_text(line, "name");
    if (name == "request_refused_directly")
    {
        note_refusal(line);
        return;
    }
    if (name == "request_ended")
    {
        note_end(line);
        return;
    }
    if (name != "request_placed")
        return;
    // A repeated attempt does not make another request.
    open_.try_emplace(
        log_text(line, "request"),
        placed{group_of(line), log_number(line, "predicted_ms").value_or(0),
               log_number(line, "objective_ms").value_or(0),
               log_number(line, "pause_objective_ms").value_or(0)});
}

void loss_table::note_refusal(const json::object& line)
{
    add(group_of(line), "refused: " + log_text(line, "reason"),
        log_number(line, "wait_ms").value_or(0),
        log_number(line, "allowed_ms").value_or(0));
}

void loss_table::note_end(const json::object& line)
{
    const auto found = open_.find(log_text(line, "request"));
    if (found == open_.end())
        return;
    const placed was = found->second;
    open_.erase(found);
    const std::string outcome = log_text(line, "outcome");
    const double first_ms = log_number(line, "first_ms").value_or(0);
    const double pause_ms = log_number(line, "pause_ms").value_or(0);
    if (outcome != "complete")
        add(was.group, "ended: " + outcome, was.predicted_ms, first_ms);
    else if (was.objective_ms > 0 && first_ms > was.objective_ms)
        add(was.group,
            was.predicted_ms > was.objective_ms ? "late, as predicted"
                                                : "late, predicted in time",
            was.predicted_ms, first_ms);
    else if (was.pause_objective_ms > 0 && pause_ms > was.pause_objective_ms)
        add(was.group, "paused too long", was.pause_objective_ms, pause_ms);
    else
        add(was.group, "in time", was.predicted_ms, first_ms);
}

void loss_table::print(std::ostream& out) const
{
    static constexpr int number_width = 9;
    static constexpr double hundred = 100;
    out << "   count percent  ms      ms      fate of the group "
           "(medians: wait and limit, or predicted and seen)\n";
    for (const auto& [group, fates] : fates_)
    {
        std::size_t all = 0;
        for (const auto& [what, of] : fates)
            all += of.count;
        out << group << " (" << all << ")\n";
        for (const auto& [what, of] : fates)
            out << std::setw(number_width - 1) << of.count << std::setw(8)
                << std::fixed << std::setprecision(1)
                << hundred * static_cast<double>(of.count) /
                       static_cast<double>(all)
                << std::setprecision(0) << std::setw(number_width)
                << median(of.first) << std::setw(number_width)
                << median(of.second) << "  " << what << '\n';
    }
}

} // namespace sycamorelock
