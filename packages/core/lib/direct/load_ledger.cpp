// Sums of own and reported work.
#include "sycamorelock/core/direct/load_ledger.hpp"

#include <algorithm>

namespace sycamorelock::core::direct
{

void load_ledger::open(const hold& taken)
{
    endpoint_work& work = own_[taken.endpoint];
    work.endpoint = taken.endpoint;
    work.unread_ms += taken.unread_ms;
    work.tokens += taken.tokens;
    ++work.waiting;
}

void load_ledger::begin(hold& held)
{
    if (held.begun)
        return;
    held.begun = true;
    endpoint_work& work = own_[held.endpoint];
    work.unread_ms = std::max(0.0, work.unread_ms - held.unread_ms);
    --work.waiting;
    ++work.running;
}

void load_ledger::close(const hold& held)
{
    endpoint_work& work = own_[held.endpoint];
    if (held.begun)
        --work.running;
    else
    {
        work.unread_ms = std::max(0.0, work.unread_ms - held.unread_ms);
        --work.waiting;
    }
    work.tokens = std::max(0.0, work.tokens - held.tokens);
    if (work.idle())
        own_.erase(held.endpoint);
}

void load_ledger::report(time_point now, instance_id from,
                         const std::vector<endpoint_work>& work)
{
    reports_[from] = {now, work};
}

void load_ledger::refresh(time_point now)
{
    others_.clear();
    std::erase_if(reports_, [now](const auto& entry)
                  { return now - entry.second.at > report_life; });
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
        sum += own->second;
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
        result.push_back(work);
    return result;
}

} // namespace sycamorelock::core::direct
