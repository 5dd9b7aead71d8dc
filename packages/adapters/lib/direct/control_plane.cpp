// Everything that changes rarely, and the exchange with other instances.
#include "sycamorelock/adapters/direct/control_plane.hpp"

#include "exchange_links.hpp"

#include "../prometheus_text.hpp"

#include "sycamorelock/adapters/clocks.hpp"
#include "sycamorelock/wire/exchange_codec.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace sycamorelock::adapters::direct
{

namespace
{

/// Period of what a large fleet's instance tells a few others of all instances.
/// Those that aggregate tell it with each report; this is for finding each
/// other when one ends. With 77 instances it saves a fifth of the bytes between
/// failure domains (0.28 GB in 44 s before), although reports come twice as
/// often.
constexpr core::duration gossip_period = milliseconds(400);
/// Period in which a changed set of instances is put in force: well under the
/// time that they are given to agree on it.
constexpr core::duration members_period = milliseconds(500);
/// Stands for all other instances in what the router is told.
constexpr const char* rest_sender = "rest";

} // namespace

using core::direct::exchange_report;

control_plane::control_plane(boost::asio::io_context& io,
                             const settings::direct_settings& settings,
                             const dialect_table& dialect, event_log& log,
                             traffic_plane& traffic, std::uint64_t incarnation)
    : io_(io), settings_(settings), dialect_(dialect), log_(log),
      traffic_(traffic),
      peers_(settings.peer_address, core::domain_id::of(settings.domain),
             incarnation, settings.seeds),
      store_(io, settings.store, dialect, log,
             {[this](const std::string& text) { on_config(text, "store"); },
              [this](const operator_page& all) { on_operators(all); },
              [this](const endpoint_page& all) { on_list(all); },
              [this](const store_news& news) { on_news(news); },
              [this] { note_uptime(uptime_.answered(now())); }}),
      random_(incarnation ^
              core::instance_id::of(settings.peer_address).value())
{
}

control_plane::~control_plane() = default;

void control_plane::start()
{
    links_ = std::make_unique<exchange_links>(
        io_, settings_.peer_address,
        [this](const std::string& bytes) { on_bytes(bytes); },
        [this](const std::string& peer, std::string_view reason)
        {
            ++unreadable_connections_;
            log_.write(process_event::peer_connection_unreadable,
                       {{"peer", peer}, {"reason", std::string(reason)}});
        });
    store_.start();
}

void control_plane::on_config(const std::string& text,
                              const std::string& source)
{
    try
    {
        auto read = std::make_shared<core::direct::catalogue>(
            dialect_.read_catalogue(text));
        // Never lower, whoever offers it.
        if (read->version <= version_)
            return;
        version_ = read->version;
        config_text_ = text;
        config_knowledge_.install(now(), version_);
        log_.write(process_event::config_installed,
                   {{"version", std::to_string(version_)},
                    {"source", source},
                    {"routes", std::to_string(read->routes.size())}});
        traffic_.install(std::move(read));
        update_ready();
    }
    catch (const dialect_error& error)
    {
        log_.write(process_event::config_refused,
                   {{"source", source}, {"error", error.what()}});
    }
}

void control_plane::publish(exchange_report report)
{
    boost::asio::post(io_, [this, report = std::move(report)]() mutable
                      { send(std::move(report)); });
}

void control_plane::send(exchange_report report)
{
    const core::time_point at = now();
    if (drop_expired())
        endpoints_changed();
    traffic_.note_endpoints_current(endpoints_current_at());
    for (const core::instance_id silent : peers_.newly_unreachable(at))
        traffic_.forget_instance(silent);
    for (const std::string& stale : peers_.stale_links(at))
    {
        log_.write(direct_event::link_renewed, {{"peer", stale}});
        links_->redial(stale);
    }
    links_->close_idle(at);
    const std::size_t live = peers_.reachable_count(at);
    if (live != live_)
    {
        log_.write(direct_event::peers_changed,
                   {{"live", std::to_string(live)}});
        // Whoever was away has missed what was told meanwhile. In a large fleet
        // it asks for a copy.
        if (live > live_ && !peers_.large(at))
        {
            traffic_.requeue_stream_reports();
            traffic_.requeue_crash_reports();
        }
        live_ = live;
        traffic_.set_fleet_size(live + 1);
    }
    tell_members(at);
    report.config_version = version_;
    report.store = own_store_view(at);
    report.wants_caches = copies_.should_request(at);
    knowledge_.set_known_state(at, store_.revision(), digest_);
    peers_.fill_report(at, report);
    if (!peers_.large(at))
    {
        choose_reader(at, true);
        tell(at, report, peers_.known_addresses());
        return;
    }
    relay_.add_own(std::move(report.notes));
    report.notes.clear();
    stream_relay_.add_own(std::move(report.streams));
    report.streams.clear();
    crash_relay_.add_own(std::move(report.crashes));
    report.crashes.clear();
    slowdown_relay_.add_own(at, report.slowdowns);
    report.slowdowns.clear();
    exchange_in_tree(at, std::move(report));
}

void control_plane::tell_members(core::time_point at)
{
    if (at < next_members_)
        return;
    next_members_ = at + members_period;
    traffic_.set_members(peers_.members(at));
}

void control_plane::tell(core::time_point at, exchange_report& report,
                         const std::vector<std::string>& to)
{
    peers_.assign_number(report);
    const std::string bytes = wire::encode_report(report, settings_.fleet_key);
    for (const std::string& address : to)
        links_->send(address, bytes, at);
}

void control_plane::exchange_in_tree(core::time_point at, exchange_report own)
{
    using core::direct::report_part;
    tree_.set_own(at, {own.work, own.demands});
    exchange_report other = own;
    const std::string aggregator =
        peers_.aggregator(at, core::domain_id::of(settings_.domain));
    own.notes = relay_.take_own();
    own.streams = stream_relay_.take_own();
    own.crashes = crash_relay_.take_own();
    own.slowdowns = slowdown_relay_.take_own(at);
    choose_reader(at, aggregator.empty());
    // What the one before was told last may have ended with it.
    if (aggregator != aggregator_)
    {
        traffic_.requeue_stream_reports();
        traffic_.requeue_crash_reports();
    }
    aggregator_ = aggregator;
    if (!aggregator.empty())
    {
        own.part = report_part::member;
        own.peers.clear();
        tell(at, own, {aggregator});
    }
    if (at >= next_gossip_)
    {
        next_gossip_ = at + gossip_period;
        other.part = report_part::none;
        other.work.clear();
        other.demands.clear();
        tell(at, other, peers_.gossip_targets(at));
    }
    if (!aggregator.empty() && !tree_.aggregates(at))
        return;
    const core::direct::exchange_total total = tree_.total(at);
    if (aggregator.empty())
        use_rest(tree_.total_without(total, ""), domain_figures_);
    if (!tree_.aggregates(at))
        return;
    // Gossip asks a few already; all members would answer.
    other.wants_caches = false;
    other.wants_streams = false;
    other.wants_releases = false;
    core::direct::exchange_sum sum = tree_.domain_sum(at);
    other.part = report_part::domain;
    other.work = std::move(sum.work);
    other.demands = std::move(sum.demands);
    other.notes = relay_.take_domain();
    other.streams = stream_relay_.take_domain();
    other.crashes = crash_relay_.take_domain();
    other.slowdowns = slowdown_relay_.take_domain(at);
    const std::set<core::domain_id> domains = peers_.other_domains(at);
    for (const core::domain_id domain : domains)
        tell(at, other, {peers_.aggregator(at, domain)});
    // A failure domain that was cut off has missed reports.
    if (!std::includes(reported_domains_.begin(), reported_domains_.end(),
                       domains.begin(), domains.end()))
        traffic_.requeue_crash_reports();
    reported_domains_ = domains;
    other.part = report_part::rest;
    other.notes = relay_.take_all();
    other.streams = stream_relay_.take_all();
    other.crashes = crash_relay_.take_all();
    other.slowdowns = slowdown_relay_.take_all(at);
    const core::direct::store_view view = confirmed_store_view(at);
    for (const std::string& member : tree_.members(at))
    {
        other.store = view;
        const core::direct::store_view& known = member_views_[member];
        if (known.digest != view.digest && known.revision <= view.revision)
            other.store.endpoints = endpoints();
        core::direct::exchange_sum rest = tree_.total_without(total, member);
        other.work = std::move(rest.work);
        other.demands = std::move(rest.demands);
        tell(at, other, {member});
    }
}

void control_plane::use_rest(core::direct::exchange_sum rest,
                             std::vector<core::direct::service_figures> figures)
{
    exchange_report all;
    all.sender = rest_sender;
    all.work = std::move(rest.work);
    all.demands = std::move(rest.demands);
    all.figures = std::move(figures);
    traffic_.on_report(std::move(all));
}

void control_plane::use_notes(std::vector<core::direct::cache_note> notes)
{
    if (!notes.empty())
        traffic_.on_cache_notes(std::move(notes));
}

void control_plane::use_streams(std::vector<core::direct::stream_note> told)
{
    if (!told.empty())
        traffic_.on_streams(std::move(told));
}

void control_plane::use_crashes(std::vector<core::crash_note> notes)
{
    if (!notes.empty())
        traffic_.on_crashes(std::move(notes));
}

void control_plane::use_slowdowns(
    std::vector<core::direct::slowdown_note> notes)
{
    if (!notes.empty())
        traffic_.on_slowdowns(std::move(notes));
}

void control_plane::take(exchange_report report)
{
    using core::direct::report_part;
    const core::time_point at = now();
    switch (report.part)
    {
    case report_part::own:
        if (peers_.is_newest(report) &&
            config_knowledge_.has_version_of(report))
            knowledge_.confirm(at, report.store);
        traffic_.on_report(std::move(report));
        break;
    case report_part::member:
        tree_.on_member(at, report.sender,
                        {std::move(report.work), std::move(report.demands)});
        relay_.add_member(report.notes);
        member_views_[report.sender] = report.store;
        use_notes(std::move(report.notes));
        stream_relay_.add_member(report.streams);
        use_streams(std::move(report.streams));
        crash_relay_.add_member(report.crashes);
        use_crashes(std::move(report.crashes));
        slowdown_relay_.add_member(at, report.slowdowns);
        use_slowdowns(std::move(report.slowdowns));
        break;
    case report_part::domain:
        if (config_knowledge_.has_version_of(report))
            knowledge_.confirm(at, report.store);
        domain_figures_ = std::move(report.figures);
        tree_.on_domain(at, std::to_string(report.domain.value()),
                        {std::move(report.work), std::move(report.demands)});
        relay_.add_domain(report.notes);
        use_notes(std::move(report.notes));
        stream_relay_.add_domain(report.streams);
        use_streams(std::move(report.streams));
        crash_relay_.add_domain(report.crashes);
        use_crashes(std::move(report.crashes));
        slowdown_relay_.add_domain(at, report.slowdowns);
        use_slowdowns(std::move(report.slowdowns));
        break;
    case report_part::rest:
        use_rest({std::move(report.work), std::move(report.demands)},
                 std::move(report.figures));
        use_notes(std::move(report.notes));
        use_streams(std::move(report.streams));
        use_crashes(std::move(report.crashes));
        use_slowdowns(std::move(report.slowdowns));
        break;
    case report_part::none:
    case report_part::copy:
        break;
    }
}

void control_plane::on_bytes(const std::string& bytes)
{
    exchange_report report;
    try
    {
        report = wire::decode_report(bytes, settings_.fleet_key);
    }
    catch (const wire::decode_error& error)
    {
        log_.write(process_event::peer_message_dropped,
                   {{"error", error.what()}});
        return;
    }
    if (report.config)
        on_config(report.config->text, report.sender);
    if (!peers_.process_report(now(), report))
        return;
    if (peers_.is_newest(report))
        note_uptime(uptime_.merge_report(now(), report.store));
    use_store_view(report);
    if (!report.warming.empty())
        traffic_.on_warming(report.warming);
    // A copy for an instance that is behind holds nothing else.
    if (report.part == core::direct::report_part::copy &&
        !report.crashes.empty())
        return use_crashes(std::move(report.crashes));
    if (report.part == core::direct::report_part::copy)
        return report.releases ? learn_streams(std::move(report))
                               : learn_caches(std::move(report));
    help_with_config(report);
    help_with_endpoints(report);
    help_with_caches(report);
    help_with_streams(report);
    help_with_crashes(report);
    take(std::move(report));
}

bool control_plane::ready() const
{
    return version_ > 0 && !registry_.all().empty() && !leaving_ &&
           !traffic_.late();
}

void control_plane::update_ready()
{
    if (ready() && !was_ready_)
        log_.write(process_event::ready,
                   {{"version", std::to_string(version_)},
                    {"endpoints", std::to_string(registry_.all().size())}});
    was_ready_ = ready();
    // The traffic thread knows engines and their memory from now on.
    if (version_ > 0 && !registry_.all().empty())
        copies_.on_endpoints_known(now());
}

void control_plane::leave()
{
    leaving_ = true;
    peers_.leave();
    log_.write(process_event::draining, {});
}

std::string control_plane::status() const
{
    std::string out;
    single(out, "config_version", "gauge", "Version in force.", version_);
    single(out, "endpoints", "gauge", "Endpoints known.",
           std::uint64_t{registry_.all().size()});
    single(out, "domains_drained", "gauge",
           "Failure domains that operators drain.",
           std::uint64_t{drains_.active().size()});
    single(out, "store_entries_unreadable", "gauge",
           "Entries of the store that name no endpoint to use.",
           std::uint64_t{unreadable_.count()});
    single(out, "store_entries_unreadable_total", "counter",
           "Such entries seen so far.", unreadable_.seen());
    single(out, "peers_live", "gauge", "Other instances heard lately.",
           std::uint64_t{live_});
    single(out, "peer_connections_unreadable_total", "counter",
           "Connections of other instances closed as unreadable.",
           unreadable_connections_);
    single(out, "stream_news_dropped_total", "counter",
           "News of streams that was left out of a round of reports.",
           stream_relay_.dropped());
    single(out, "crash_news_dropped_total", "counter",
           "Evidence of crashes that was left out of a round of reports.",
           crash_relay_.dropped());
    single(
        out, "slowdown_news_relayed_total", "counter",
        "Slowdowns of endpoints that this instance passed to its aggregator.",
        slowdown_relay_.told());
    single(out, "slowdown_news_received_total", "counter",
           "Slowdowns of endpoints that other instances passed to this one as "
           "their aggregator.",
           slowdown_relay_.received());
    single(out, "slowdown_news_dropped_total", "counter",
           "Those that others had passed on before, or that were too many.",
           slowdown_relay_.dropped());
    single(out, "store_followed", "gauge",
           "Whether this instance reads the store itself.",
           std::uint64_t{store_.following() ? 1U : 0U});
    single(out, "store_calls_total", "counter", "Calls to the store.",
           store_.calls());
    return out;
}

} // namespace sycamorelock::adapters::direct
