#include "accept_report.hpp"

namespace sycamorelock::adapters
{

accept_report::accept_report(event_log* log, events numbers,
                             listener_metrics& metrics)
    : log_(log), numbers_(numbers), metrics_(metrics)
{
}

void accept_report::failed(core::time_point at, const std::string& why,
                           std::size_t connections)
{
    const std::uint64_t before = metrics_.accept_failures++;
    if (failing_)
        return;
    failing_ = true;
    failing_since_ = at;
    failures_before_ = before;
    if (log_ != nullptr)
        log_->write(numbers_.failed,
                    {{"listener", metrics_.name},
                     {"error", why},
                     {"connections", std::to_string(connections)}});
}

void accept_report::recovered(core::time_point at)
{
    if (!failing_)
        return;
    failing_ = false;
    const auto lasted = std::chrono::duration_cast<std::chrono::milliseconds>(
        at - failing_since_);
    const std::uint64_t failures = metrics_.accept_failures - failures_before_;
    if (log_ != nullptr)
        log_->write(numbers_.recovered,
                    {{"listener", metrics_.name},
                     {"failures", std::to_string(failures)},
                     {"lasted_ms", std::to_string(lasted.count())}});
}

} // namespace sycamorelock::adapters
