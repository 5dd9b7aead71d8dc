// Figures from traces.
#include "trace.hpp"

#include <algorithm>

namespace standin
{

double largest_gap(const account_trace& a, const account_trace& b)
{
    // Over a stretch the gap of the worst interval is the range of the
    // difference of the two running totals.
    double gap = 0;
    double low = 0;
    double high = 0;
    bool inside = false;
    const std::size_t count = std::min(a.service.size(), b.service.size());
    for (std::size_t i = 0; i < count; ++i)
    {
        if (!a.backlogged[i] || !b.backlogged[i])
        {
            inside = false;
            continue;
        }
        const double difference =
            a.service[i] / a.weight - b.service[i] / b.weight;
        low = inside ? std::min(low, difference) : difference;
        high = inside ? std::max(high, difference) : difference;
        inside = true;
        gap = std::max(gap, high - low);
    }
    return gap;
}

double fairness_gap(const std::map<std::string, account_trace>& accounts)
{
    double gap = 0;
    for (auto a = accounts.begin(); a != accounts.end(); ++a)
    {
        for (auto b = std::next(a); b != accounts.end(); ++b)
            gap = std::max(gap, largest_gap(a->second, b->second));
    }
    return gap;
}

double percentile(std::vector<double> samples, double fraction)
{
    if (samples.empty())
        return 0;
    std::sort(samples.begin(), samples.end());
    const auto last = static_cast<double>(samples.size() - 1);
    return samples[static_cast<std::size_t>(last * fraction)];
}

} // namespace standin
