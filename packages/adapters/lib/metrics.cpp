// Distributions on Boost.Histogram with atomic cells.
#include "sycamorelock/adapters/metrics.hpp"

#include "prometheus_text.hpp"

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

namespace sycamorelock::adapters
{

namespace
{

namespace bh = boost::histogram;

constexpr unsigned buckets = 40;
constexpr double shortest_seconds = 1e-5;
constexpr double longest_seconds = 1e3;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using atomic_cells =
    bh::dense_storage<bh::accumulators::count<std::uint64_t, true>>;

auto make_cells()
{
    return bh::make_histogram_with(
        atomic_cells(), log_axis(buckets, shortest_seconds, longest_seconds));
}

} // namespace

struct latency_histogram::state
{
    decltype(make_cells()) cells = make_cells();
    std::atomic<std::uint64_t> sum_us{0};
};

latency_histogram::latency_histogram() : state_(std::make_unique<state>()) {}
latency_histogram::~latency_histogram() = default;

void latency_histogram::record(double seconds)
{
    static constexpr double microseconds = 1e6;
    state_->cells(std::max(seconds, shortest_seconds));
    state_->sum_us +=
        static_cast<std::uint64_t>(std::max(0.0, seconds) * microseconds);
}

void latency_histogram::print(std::string& out, const std::string& name,
                              const char* help) const
{
    family(out, name, "histogram", help);
    print_samples(out, name, "");
}

void latency_histogram::print_samples(std::string& out, const std::string& name,
                                      const std::string& labels) const
{
    const std::string more = labels.empty() ? "" : labels + ',';
    const auto bucket = [&](const std::string& upper, std::uint64_t count)
    { sample(out, name + "_bucket", more + label("le", upper), count); };
    const auto& axis = state_->cells.axis(0);
    std::uint64_t total = state_->cells.at(-1).value();
    for (int i = 0; i < axis.size(); ++i)
    {
        total += state_->cells.at(i).value();
        bucket(std::to_string(axis.bin(i).upper()), total);
    }
    total += state_->cells.at(axis.size()).value();
    bucket("+Inf", total);
    static constexpr double microseconds = 1e6;
    sample(out, name + "_sum", labels,
           static_cast<double>(state_->sum_us.load()) / microseconds);
    sample(out, name + "_count", labels, total);
}

} // namespace sycamorelock::adapters
