// Changes of entries apply at once, except that removals are deferred for a
// grace period after an outage of the state store.
#include "sycamorelock/core/direct/endpoint_registry.hpp"

#include "sycamorelock/core/direct/prefix_cache.hpp"

#include <algorithm>
#include <string_view>

namespace sycamorelock::core::direct
{

endpoint_id endpoint_record::id() const
{
    if (started_ms == 0)
        return endpoint_id::of(boot);
    return endpoint_id::of(boot + '@' + std::to_string(started_ms));
}

bool endpoint_registry::knows_newer(const std::string& boot,
                                    std::uint64_t revision) const
{
    const auto known = records_.find(boot);
    return known != records_.end() && known->second.revision > revision;
}

bool endpoint_registry::was_removed(const endpoint_record& record) const
{
    const auto removed = removed_at_.find(record.boot);
    // A record without a revision has no place in the order.
    return record.revision > 0 && removed != removed_at_.end() &&
           removed->second >= record.revision;
}

void endpoint_registry::note_removal(const std::string& boot,
                                     std::uint64_t revision)
{
    if (revision == newest_revision)
        return;
    std::uint64_t& at = removed_at_[boot];
    at = std::max(at, revision);
    if (removed_at_.size() <= max_removals)
        return;
    removed_at_.erase(std::min_element(removed_at_.begin(), removed_at_.end(),
                                       [](const auto& a, const auto& b)
                                       { return a.second < b.second; }));
}

bool endpoint_registry::drop(const std::string& boot, std::uint64_t revision)
{
    if (knows_newer(boot, revision))
        return false;
    note_removal(boot, revision);
    missing_.erase(boot);
    return records_.erase(boot) > 0;
}

bool endpoint_registry::put(endpoint_record record)
{
    return !was_removed(record) && apply(std::move(record));
}

bool endpoint_registry::apply(endpoint_record record)
{
    endpoint_record& known = records_[record.boot];
    // Instances of earlier builds forward entries without the version.
    if (record.version.empty() && record.revision == known.revision)
        record.version = known.version;
    const bool is_older = known.revision > record.revision;
    const bool unchanged =
        known.service == record.service && known.address == record.address &&
        known.domain == record.domain && known.slots == record.slots &&
        known.draining == record.draining &&
        known.started_ms == record.started_ms &&
        known.version == record.version &&
        // The remaining time only decreases, unless another warm-up begins.
        record.warmup_left <= known.warmup_left;
    if (is_older)
        return false;
    missing_.erase(record.boot);
    removed_at_.erase(record.boot);
    known = std::move(record);
    return !unchanged;
}

void endpoint_registry::remove(const std::string& boot, std::uint64_t revision)
{
    if (knows_newer(boot, revision))
        return;
    note_removal(boot, revision);
    if (records_.contains(boot))
        missing_.insert(boot);
}

endpoint_registry::listing_changes
endpoint_registry::merge(const std::vector<endpoint_record>& all,
                         std::uint64_t revision)
{
    listing_changes result;
    std::set<std::string_view> listed;
    for (const endpoint_record& record : all)
    {
        listed.insert(record.boot);
        if (apply(record))
            result.changed.push_back(record);
    }
    for (const auto& [boot, record] : records_)
    {
        if (!listed.contains(boot) && record.revision <= revision)
            result.gone.push_back(boot);
    }
    return result;
}

void endpoint_registry::replace(const std::vector<endpoint_record>& all)
{
    removed_at_.clear();
    for (const std::string& boot : merge(all, newest_revision).gone)
        remove(boot);
}

endpoint_registry::listing_changes
endpoint_registry::adopt(std::uint64_t revision,
                         const std::vector<endpoint_record>& all)
{
    if (revision < adopted_revision_)
        return {};
    adopted_revision_ = revision;
    listing_changes result = merge(all, revision);
    for (const std::string& boot : result.gone)
        drop(boot, revision);
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
    entries_after_outage_.clear();
    dropped_in_grace_.clear();
    for (const auto& [boot, record] : records_)
        ++entries_after_outage_[record.service];
}

bool endpoint_registry::few_missing(service_id service) const
{
    const auto count = [service](const auto& counts) -> std::size_t
    {
        const auto found = counts.find(service);
        return found == counts.end() ? 0 : found->second;
    };
    std::size_t missing = count(dropped_in_grace_);
    for (const std::string& boot : missing_)
        missing += records_.at(boot).service == service ? 1 : 0;
    return missing <= count(entries_after_outage_) / few_divisor;
}

std::vector<std::string> endpoint_registry::expire(time_point now)
{
    std::vector<std::string> due;
    for (const std::string& boot : missing_)
    {
        if (now >= grace_until_ || few_missing(records_.at(boot).service))
            due.push_back(boot);
    }
    for (const std::string& boot : due)
    {
        if (now < grace_until_)
            ++dropped_in_grace_[records_.at(boot).service];
        drop(boot);
    }
    return due;
}

} // namespace sycamorelock::core::direct
