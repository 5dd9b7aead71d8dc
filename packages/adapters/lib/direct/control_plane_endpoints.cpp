// What an instance knows of endpoints and of the platform's store: read by
// itself or told by others.
#include "sycamorelock/adapters/direct/control_plane.hpp"

#include "release_text.hpp"

#include "sycamorelock/adapters/clocks.hpp"

namespace sycamorelock::adapters::direct
{

namespace
{

/// Source of news that this instance has read itself.
constexpr const char* store_source = "store";

} // namespace

using core::direct::endpoint_record;
using core::direct::exchange_report;

void control_plane::note_endpoint(const endpoint_record& record,
                                  const std::string& source)
{
    log_.write(record.draining ? direct_event::endpoint_draining
                               : direct_event::endpoint_seen,
               {{"endpoint", record.boot},
                {"address", record.address},
                {"version", record.version},
                {"release", to_text(record.release())},
                {"started_ms", std::to_string(record.started_ms)},
                {"warmup_left_ms", std::to_string(record.warmup_left.count())},
                {"revision", std::to_string(record.revision)},
                {"source", source}});
}

void control_plane::note_gone(const std::string& boot,
                              const std::string& source)
{
    log_.write(direct_event::endpoint_gone,
               {{"endpoint", boot}, {"source", source}});
}

void control_plane::note_missing(const std::string& boot)
{
    log_.write(direct_event::endpoint_missing,
               {{"endpoint", boot}, {"source", store_source}});
}

void control_plane::log_unreadable(core::direct::unreadable_entries& known,
                                   const core::direct::unreadable_entry& seen)
{
    if (!known.note(now(), seen))
        return;
    log_.write(direct_event::entry_unreadable,
               {{"entry", seen.boot},
                {"reason",
                 seen.reason.substr(
                     0, core::direct::unreadable_entries::max_reason_bytes)}});
}

void control_plane::note_unreadable(
    const std::vector<core::direct::unreadable_entry>& entries)
{
    for (const core::direct::unreadable_entry& each : entries)
    {
        // Told late: the endpoint has written a sound entry since.
        if (registry_.knows_newer(each.boot, each.revision))
            continue;
        if (registry_.drop(each.boot, each.revision))
            note_gone(each.boot, store_source);
        log_unreadable(unreadable_, each);
    }
}

void control_plane::on_operators(const operator_page& all)
{
    unreadable_operators_.keep_only(all.unreadable);
    for (const core::direct::unreadable_entry& each : all.unreadable)
        log_unreadable(unreadable_operators_, each);
    drains_changed(drains_.replace(now(), all.revision, all.drains),
                   store_source);
}

void control_plane::drains_changed(
    const std::vector<core::direct::domain_drain>& changed,
    const std::string& source)
{
    if (changed.empty())
        return;
    std::vector<core::direct::domain_drain> ended;
    for (const core::direct::domain_drain& each : changed)
    {
        log_.write(each.active ? direct_event::domain_drained
                               : direct_event::domain_taken_back,
                   {{"domain", name_of(each.domain)},
                    {"revision", std::to_string(each.revision)},
                    {"source", source}});
        if (!each.active)
            ended.push_back(each);
    }
    traffic_.set_drained(drains_.active(), std::move(ended));
}

std::string control_plane::name_of(core::domain_id domain) const
{
    for (const std::string& name : settings_.domains)
    {
        if (core::domain_id::of(name) == domain)
            return name;
    }
    return std::to_string(domain.value());
}

void control_plane::on_list(const endpoint_page& all)
{
    registry_.replace(all.endpoints);
    unreadable_.keep_only(all.unreadable);
    note_unreadable(all.unreadable);
    drop_expired();
    for (const auto& [boot, record] : registry_.all())
    {
        if (registry_.is_kept(boot))
            note_missing(boot);
    }
    endpoints_changed();
}

void control_plane::on_news(const store_news& news)
{
    drains_changed(drains_.put_all(now(), news.drains), store_source);
    bool changed = !news.unreadable.empty();
    for (const endpoint_record& record : news.endpoints)
    {
        unreadable_.forget(record.boot);
        if (!registry_.put(record))
            continue;
        changed = true;
        note_endpoint(record, store_source);
    }
    for (const endpoint_gone& gone : news.gone)
    {
        unreadable_.forget(gone.boot);
        registry_.remove(gone.boot, gone.revision);
    }
    note_unreadable(news.unreadable);
    changed = drop_expired() || changed;
    for (const endpoint_gone& gone : news.gone)
    {
        if (registry_.is_kept(gone.boot))
            note_missing(gone.boot);
    }
    if (changed)
        endpoints_changed();
}

bool control_plane::drop_expired()
{
    const std::vector<std::string> dropped = registry_.expire(now());
    for (const std::string& boot : dropped)
        note_gone(boot, store_source);
    return !dropped.empty();
}

void control_plane::endpoints_changed()
{
    digest_ = registry_.digest();
    traffic_.set_endpoints(registry_.all());
    update_ready();
}

core::direct::store_view
control_plane::own_store_view(core::time_point at) const
{
    core::direct::store_view view;
    view.revision = store_.revision();
    view.age = std::chrono::ceil<milliseconds>(at - store_.answered_at());
    view.uptime = uptime_.for_report(at);
    view.digest = digest_;
    view.drains = drains_.for_report(at);
    return view;
}

core::direct::store_view
control_plane::confirmed_store_view(core::time_point at) const
{
    core::direct::store_view view = own_store_view(at);
    view.age = std::chrono::ceil<milliseconds>(
        at - knowledge_.current_at(store_.answered_at()));
    return view;
}

void control_plane::note_uptime(bool outage_ended)
{
    if (outage_ended)
        registry_.platform_returned(uptime_.since());
    else
        registry_.platform_up_since(uptime_.since());
}

core::time_point control_plane::endpoints_current_at() const
{
    return std::max(knowledge_.current_at(store_.answered_at()),
                    cover_.current_at());
}

std::vector<endpoint_record> control_plane::endpoints() const
{
    std::vector<endpoint_record> result;
    result.reserve(registry_.all().size());
    for (const auto& [boot, record] : registry_.all())
        result.push_back(record);
    return result;
}

void control_plane::choose_reader(core::time_point at, bool is_aggregator)
{
    store_.set_following(is_aggregator || !cover_.covered(at));
    store_.set_relied_on(is_aggregator && tree_.aggregates(at));
    store_.set_patient(!is_aggregator);
}

void control_plane::use_store_view(const exchange_report& report)
{
    const core::time_point at = now();
    const core::direct::store_view& told = report.store;
    drains_changed(drains_.put_all(at, told.drains), report.sender);
    bool wanted = told.revision > store_.revision();
    if (report.part == core::direct::report_part::rest)
    {
        cover_.process_report(at, told);
        // The aggregator may also have dropped an entry whose grace is over.
        wanted = wanted ||
                 (cover_.covered(at) && told.revision == store_.revision());
    }
    if (!wanted)
        return;
    if (told.endpoints)
        adopt(told.revision, *told.endpoints, report.sender);
    // A version that is on its way is not yet known, so it must be read.
    if (told.digest == digest_ && report.config_version <= version_)
        store_.advance_to(told.revision);
}

void control_plane::adopt(std::uint64_t revision,
                          const std::vector<endpoint_record>& all,
                          const std::string& source)
{
    const core::direct::endpoint_registry::listing_changes news =
        registry_.adopt(revision, all);
    for (const endpoint_record& record : news.changed)
        note_endpoint(record, source);
    for (const std::string& boot : news.gone)
        note_gone(boot, source);
    if (!news.changed.empty() || !news.gone.empty())
        endpoints_changed();
}

} // namespace sycamorelock::adapters::direct
