// Where requests lose their worth, counted from the log lines of any number of
// instances: which, why, and what was predicted.
#pragma once

#include <boost/json/object.hpp>

#include <istream>
#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace sycamorelock
{

/// What rows are made of.
enum class loss_group : std::uint8_t
{
    route,
    account,
    instance,
    /// Powers of two of the prompt's tokens.
    size,
    /// Ten seconds each.
    window,
};
std::optional<loss_group> loss_group_of(std::string_view name);

class loss_table
{
  public:
    explicit loss_table(loss_group by) : by_(by) {}

    void read(std::istream& in);

    /// A row for each group and fate: count, share of the group in percent, and
    /// for refusals the medians of the wait and of the limit, for late ones
    /// those of the predicted and of the seen time, in ms.
    void print(std::ostream& out) const;

    [[nodiscard]] std::size_t unreadable() const { return unreadable_; }

  private:
    struct placed
    {
        std::string group;
        double predicted_ms = 0;
        double objective_ms = 0;
        double pause_objective_ms = 0;
    };
    struct fate
    {
        std::size_t count = 0;
        /// Wait or prediction, and limit or what was seen.
        std::vector<double> first;
        std::vector<double> second;
    };

    void use(const boost::json::object& line);
    void note_refusal(const boost::json::object& line);
    void note_end(const boost::json::object& line);
    void add(const std::string& group, const std::string& what, double first,
             double second);
    [[nodiscard]] std::string group_of(const boost::json::object& line) const;

    loss_group by_;
    /// By request.
    std::map<std::string, placed> open_;
    /// By group and fate.
    std::map<std::string, std::map<std::string, fate>> fates_;
    std::size_t unreadable_ = 0;
};

} // namespace sycamorelock
