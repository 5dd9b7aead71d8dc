// Sums of own and reported work.
#include "sycamorelock/core/direct/load_ledger.hpp"

#include <algorithm>

namespace sycamorelock::core::direct
{

namespace
{

/// Part of a prompt that counts as unread until its first token comes: the
/// engine may be behind what was predicted.
constexpr double least_unread = 0.2;

} // namespace

double load_ledger::unread_prompt::left_ms(time_point now) const
{
    const double read_ms =
        std::chrono::duration<double, std::milli>(now - reads_from).count() /
        slowness;
    return std::clamp(ms - read_ms, ms * least_unread, ms);
}

endpoint_work load_ledger::as_of_now(const own_work& work) const
{
    endpoint_work made = work.sum;
    for (const unread_prompt& each : work.unread)
        made.unread_ms += each.left_ms(now_);
    return made;
}

void load_ledger::open(hold& taken)
{
    taken.number = ++opened_;
    own_work& work = own_[taken.endpoint];
    work.sum.endpoint = taken.endpoint;
    work.unread.push_back(
        {taken.number, taken.unread_ms, taken.reads_from, taken.slowness});
    work.sum.tokens += taken.tokens;
    ++work.sum.waiting;
}

void load_ledger::has_read(own_work& work, const hold& held)
{
    std::erase_if(work.unread, [&](const unread_prompt& each)
                  { return each.number == held.number; });
}

void load_ledger::begin(hold& held)
{
    if (held.begun)
        return;
    held.begun = true;
    own_work& work = own_[held.endpoint];
    has_read(work, held);
    --work.sum.waiting;
    ++work.sum.running;
}

void load_ledger::close(const hold& held)
{
    own_work& work = own_[held.endpoint];
    if (held.begun)
        --work.sum.running;
    else
    {
        has_read(work, held);
        --work.sum.waiting;
    }
    work.sum.tokens = std::max(0.0, work.sum.tokens - held.tokens);
    if (work.sum.idle())
        own_.erase(held.endpoint);
}

void load_ledger::report(time_point now, instance_id from,
                         const std::vector<endpoint_work>& work)
{
    reports_[from] = {now, work};
}

void load_ledger::refresh(time_point now)
{
    advance(now);
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
        sum += as_of_now(own->second);
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
        result.push_back(as_of_now(work));
    return result;
}

} // namespace sycamorelock::core::direct
