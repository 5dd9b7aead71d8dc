// Sums of the work of this instance and of the reported work of others.
#include "sycamorelock/core/direct/load_ledger.hpp"

#include <algorithm>

namespace sycamorelock::core::direct
{

namespace
{

/// Smallest remaining fraction of a prompt's prefill before its first token:
/// the engine may be slower than predicted.
constexpr double min_remaining = 0.2;

} // namespace

double load_ledger::pending_prompt::remaining_ms(time_point now) const
{
    const double elapsed_ms =
        std::chrono::duration<double, std::milli>(now - prefill_starts_at)
            .count() /
        slowdown;
    return std::clamp(ms - elapsed_ms, ms * min_remaining, ms);
}

endpoint_work load_ledger::current_work(const own_work& work) const
{
    endpoint_work result = work.sum;
    for (const pending_prompt& each : work.pending)
        result.unread_ms += each.remaining_ms(progress_at_);
    return result;
}

void load_ledger::open(request_load& request)
{
    request.number = ++last_number_;
    own_work& work = own_[request.endpoint];
    work.sum.endpoint = request.endpoint;
    work.pending.push_back({request.number, request.unread_ms,
                            request.prefill_starts_at, request.slowdown});
    work.sum.tokens += request.tokens;
    ++work.sum.waiting;
}

void load_ledger::erase_prompt(own_work& work, const request_load& request)
{
    std::erase_if(work.pending, [&](const pending_prompt& each)
                  { return each.number == request.number; });
}

void load_ledger::begin(request_load& request)
{
    if (request.has_first_token)
        return;
    request.has_first_token = true;
    own_work& work = own_[request.endpoint];
    erase_prompt(work, request);
    --work.sum.waiting;
    ++work.sum.running;
}

void load_ledger::close(const request_load& request)
{
    own_work& work = own_[request.endpoint];
    if (request.has_first_token)
        --work.sum.running;
    else
    {
        erase_prompt(work, request);
        --work.sum.waiting;
    }
    work.sum.tokens = std::max(0.0, work.sum.tokens - request.tokens);
    if (work.sum.idle())
        own_.erase(request.endpoint);
}

void load_ledger::report(time_point now, instance_id from,
                         const std::vector<endpoint_work>& work)
{
    reports_[from] = {now, work};
    has_new_report_ = true;
}

void load_ledger::advance(time_point now)
{
    progress_at_ = now;
    if (has_new_report_)
        refresh(now);
}

void load_ledger::refresh(time_point now)
{
    progress_at_ = now;
    has_new_report_ = false;
    others_.clear();
    std::erase_if(reports_, [now](const auto& entry)
                  { return now - entry.second.at > report_lifetime; });
    for (const auto& [instance, report] : reports_)
    {
        for (const endpoint_work& work : report.work)
            others_[work.endpoint] += work;
    }
}

endpoint_work load_ledger::total(endpoint_id endpoint) const
{
    endpoint_work sum;
    sum.endpoint = endpoint;
    const auto own = own_.find(endpoint);
    if (own != own_.end())
        sum += current_work(own->second);
    const auto others = others_.find(endpoint);
    if (others != others_.end())
        sum += others->second;
    return sum;
}

unsigned load_ledger::open_elsewhere(endpoint_id endpoint) const
{
    const auto known = others_.find(endpoint);
    return known == others_.end()
               ? 0
               : known->second.waiting + known->second.running;
}

unsigned load_ledger::open_elsewhere() const
{
    unsigned count = 0;
    for (const auto& [endpoint, work] : others_)
        count += work.waiting + work.running;
    return count;
}

std::vector<endpoint_work> load_ledger::own() const
{
    std::vector<endpoint_work> result;
    result.reserve(own_.size());
    for (const auto& [endpoint, work] : own_)
        result.push_back(current_work(work));
    return result;
}

} // namespace sycamorelock::core::direct
