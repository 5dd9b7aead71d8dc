// What client accounts asked for and got in each second of a simulation, and
// the accounts that fell far behind others by the users' rule (FAIR).
#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace model
{

/// Tokens of one account in one second: prompt tokens count once, generated
/// tokens twice.
struct account_second
{
    double asked = 0;
    /// Tokens of the requests that got their first token.
    double got = 0;
    /// Whether a request was refused, or got its first token after its
    /// objective.
    bool has_unmet = false;
};

/// An account that got less than it was due over `account_seconds::window`.
struct account_shortfall
{
    std::string account;
    /// First second of the window.
    std::size_t second = 0;
    double asked = 0;
    double got = 0;
    double due = 0;
};

/// Records the tokens of all accounts, and finds those that fall short of half
/// of what they asked for or of what the best served account got, whichever is
/// less.
class account_seconds
{
  public:
    /// Time over which the rule compares, in seconds.
    static constexpr std::size_t window = 6;
    /// Number of its largest requests that the rule lets an account miss.
    static constexpr double tolerated_requests = 3;

    void note_asked(double at_ms, const std::string& account, double tokens)
    {
        at(at_ms, account).asked += tokens;
        double& largest = largest_[account];
        largest = std::max(largest, tokens);
    }
    void note_served(double at_ms, const std::string& account, double tokens)
    {
        at(at_ms, account).got += tokens;
    }
    void note_unmet(double at_ms, const std::string& account)
    {
        at(at_ms, account).has_unmet = true;
    }

    /// Returns every window that breaks the rule.
    /// \param first,last seconds of simulated time; `last` is excluded.
    [[nodiscard]] std::vector<account_shortfall>
    shortfalls(std::size_t first, std::size_t last) const
    {
        std::vector<account_shortfall> result;
        for (const auto& [account, seconds] : seconds_)
        {
            for (std::size_t i = first; i + window <= last; ++i)
            {
                const account_shortfall found = compare(account, i);
                const double tolerance =
                    tolerated_requests * largest_.at(account);
                if (is_unmet_throughout(account, i) &&
                    found.got < found.due - tolerance)
                    result.push_back(found);
            }
        }
        return result;
    }

  private:
    account_second& at(double at_ms, const std::string& account)
    {
        static constexpr double ms_per_second = 1000;
        const auto second = static_cast<std::size_t>(at_ms / ms_per_second);
        std::vector<account_second>& seconds = seconds_[account];
        if (seconds.size() <= second)
            seconds.resize(second + 1);
        return seconds[second];
    }
    [[nodiscard]] account_second get(const std::string& account,
                                     std::size_t second) const
    {
        const std::vector<account_second>& seconds = seconds_.at(account);
        return second < seconds.size() ? seconds[second] : account_second();
    }
    [[nodiscard]] bool is_unmet_throughout(const std::string& account,
                                           std::size_t first) const
    {
        for (std::size_t i = first; i < first + window; ++i)
        {
            if (!get(account, i).has_unmet)
                return false;
        }
        return true;
    }
    [[nodiscard]] account_shortfall compare(const std::string& account,
                                            std::size_t first) const
    {
        account_shortfall result{account, first, 0, 0, 0};
        for (std::size_t i = first; i < first + window; ++i)
        {
            double best = 0;
            for (const auto& [other, seconds] : seconds_)
                best = std::max(best, get(other, i).got);
            const account_second own = get(account, i);
            result.asked += own.asked;
            result.got += own.got;
            result.due += std::min(own.asked, best) / 2;
        }
        return result;
    }

    std::map<std::string, std::vector<account_second>> seconds_;
    std::map<std::string, double> largest_;
};

} // namespace model
