// Entries come and go at once, but after an outage a missing entry waits.
#include "sycamorelock/core/direct/endpoint_registry.hpp"

#include "sycamorelock/core/direct/prefix_cache.hpp"

#include <string_view>

namespace sycamorelock::core::direct
{

endpoint_id endpoint_record::id() const
{
    if (started_ms == 0)
        return endpoint_id::of(boot);
    return endpoint_id::of(boot + '@' + std::to_string(started_ms));
}

bool endpoint_registry::drop(const std::string& boot)
{
    going_.erase(boot);
    return records_.erase(boot) > 0;
}

bool endpoint_registry::put(endpoint_record record)
{
    going_.erase(record.boot);
    endpoint_record& known = records_[record.boot];
    // An instance of an earlier build passes entries on without versions.
    if (record.version.empty() && record.revision == known.revision)
        record.version = known.version;
    const bool older = known.revision > record.revision;
    const bool same =
        known.service == record.service && known.address == record.address &&
        known.domain == record.domain && known.slots == record.slots &&
        known.draining == record.draining &&
        known.started_ms == record.started_ms &&
        known.version == record.version &&
        // What is left of a warm-up only shrinks, unless another one begins.
        record.warmup_left <= known.warmup_left;
    if (older)
        return false;
    known = std::move(record);
    return !same;
}

void endpoint_registry::remove(const std::string& boot)
{
    if (records_.contains(boot))
        going_.insert(boot);
}

endpoint_registry::listing_news
endpoint_registry::merge(const std::vector<endpoint_record>& all)
{
    listing_news result;
    std::set<std::string_view> listed;
    for (const endpoint_record& record : all)
    {
        listed.insert(record.boot);
        if (put(record))
            result.changed.push_back(record);
    }
    for (const auto& [boot, record] : records_)
    {
        if (!listed.contains(boot))
            result.gone.push_back(boot);
    }
    return result;
}

void endpoint_registry::replace(const std::vector<endpoint_record>& all)
{
    for (const std::string& boot : merge(all).gone)
        remove(boot);
}

endpoint_registry::listing_news
endpoint_registry::adopt(std::uint64_t revision,
                         const std::vector<endpoint_record>& all)
{
    if (revision < adopted_revision_)
        return {};
    adopted_revision_ = revision;
    listing_news result = merge(all);
    for (const std::string& boot : result.gone)
        drop(boot);
    return result;
}

std::uint64_t endpoint_registry::digest() const
{
    std::uint64_t key = 0;
    for (const auto& [boot, record] : records_)
    {
        key = extend_key(key, boot);
        key = extend_key(key, record.draining ? "leaves" : "stays");
        key = extend_key(key, std::to_string(record.started_ms));
        if (!record.version.empty())
            key = extend_key(key, record.version);
    }
    return key;
}

void endpoint_registry::platform_up_since(time_point at)
{
    grace_until_ = std::min(grace_until_, at + return_grace);
}

void endpoint_registry::platform_returned(time_point at)
{
    grace_until_ = at + return_grace;
    at_return_.clear();
    dropped_.clear();
    for (const auto& [boot, record] : records_)
        ++at_return_[record.service];
}

bool endpoint_registry::few_went(service_id service) const
{
    const auto count = [service](const auto& counts) -> std::size_t
    {
        const auto found = counts.find(service);
        return found == counts.end() ? 0 : found->second;
    };
    std::size_t went = count(dropped_);
    for (const std::string& boot : going_)
        went += records_.at(boot).service == service ? 1 : 0;
    return went <= count(at_return_) / few_divisor;
}

std::vector<std::string> endpoint_registry::expire(time_point now)
{
    std::vector<std::string> due;
    for (const std::string& boot : going_)
    {
        if (now >= grace_until_ || few_went(records_.at(boot).service))
            due.push_back(boot);
    }
    for (const std::string& boot : due)
    {
        if (now < grace_until_)
            ++dropped_[records_.at(boot).service];
        drop(boot);
    }
    return due;
}

} // namespace sycamorelock::core::direct
