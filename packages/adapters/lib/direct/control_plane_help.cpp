// What an instance sends others that lack it: the configuration, endpoints,
// what engines keep, and which releases streams began at.
#include "sycamorelock/adapters/direct/control_plane.hpp"

#include "sycamorelock/adapters/clocks.hpp"

#include <boost/asio/post.hpp>

namespace sycamorelock::adapters::direct
{

using core::direct::exchange_report;

exchange_report control_plane::copy_at(core::time_point at)
{
    exchange_report copy;
    peers_.fill_report(at, copy);
    copy.part = core::direct::report_part::copy;
    copy.config_version = version_;
    return copy;
}

bool control_plane::is_drawn(core::time_point at)
{
    std::uniform_int_distribution<std::size_t> draw(0, live_);
    return peers_.large(at) || draw(random_) == 0;
}

void control_plane::help_with_config(const exchange_report& behind)
{
    const core::time_point at = now();
    if (!config_knowledge_.needs_copy(at, behind))
        return;
    if (behind.part == core::direct::report_part::member || is_drawn(at))
        pass_config_to(behind.sender);
}

void control_plane::pass_config_to(const std::string& peer)
{
    const core::time_point at = now();
    if (!config_pace_.allow(at, peer))
        return;
    exchange_report copy = copy_at(at);
    copy.config = core::direct::config_copy{version_, config_text_};
    log_.write(direct_event::config_passed_on,
               {{"peer", peer}, {"version", std::to_string(version_)}});
    tell(at, copy, {peer});
}

void control_plane::help_with_endpoints(const exchange_report& behind)
{
    const core::time_point at = now();
    if (!peers_.is_newest(behind) ||
        !knowledge_.needs_endpoints(at, behind.sender, behind.store))
        return;
    exchange_report copy = copy_at(at);
    copy.store = own_store_view(at);
    copy.store.endpoints = endpoints();
    log_.write(direct_event::endpoints_passed_on,
               {{"peer", behind.sender},
                {"revision", std::to_string(copy.store.revision)},
                {"behind", std::to_string(behind.store.revision)}});
    tell(at, copy, {behind.sender});
}

void control_plane::help_with_caches(const exchange_report& started)
{
    const core::time_point at = now();
    if (!started.wants_caches || !copies_.can_provide(at) || !is_drawn(at) ||
        !caches_pace_.allow(at, started.sender))
        return;
    traffic_.copy_caches(
        [this,
         peer = started.sender](std::vector<core::direct::cache_note> known)
        {
            boost::asio::post(io_,
                              [this, peer, known = std::move(known)]() mutable
                              { pass_caches_to(peer, std::move(known)); });
        });
}

void control_plane::pass_caches_to(const std::string& peer,
                                   std::vector<core::direct::cache_note> known)
{
    if (known.empty())
        return;
    exchange_report copy = copy_at(now());
    copy.notes = std::move(known);
    log_.write(
        direct_event::caches_passed_on,
        {{"peer", peer}, {"engines", std::to_string(copy.notes.size())}});
    tell(now(), copy, {peer});
}

void control_plane::learn_caches(exchange_report copy)
{
    if (copy.notes.empty())
        return;
    copies_.on_copy_received();
    log_.write(direct_event::caches_learned,
               {{"peer", copy.sender},
                {"engines", std::to_string(copy.notes.size())}});
    traffic_.adopt_caches(std::move(copy.notes));
}

void control_plane::help_with_streams(const exchange_report& started)
{
    const core::time_point at = now();
    // It has not heard what was told before it started, and a copy comes only
    // from those that have run for some time.
    std::uint64_t& retold = retold_to_[started.sender];
    if (started.wants_streams && retold != started.incarnation &&
        !peers_.large(at))
    {
        retold = started.incarnation;
        traffic_.requeue_stream_reports();
    }
    const bool asks = started.wants_streams || started.wants_releases;
    if (!asks || !is_drawn(at) || !streams_pace_.allow(at, started.sender))
        return;
    traffic_.copy_streams(
        started.wants_streams,
        [this, peer = started.sender](core::direct::stream_copy known)
        {
            boost::asio::post(io_,
                              [this, peer, known = std::move(known)]() mutable
                              { pass_streams_to(peer, std::move(known)); });
        });
}

void control_plane::help_with_crashes(const exchange_report& started)
{
    if (!started.wants_streams || !crashes_pace_.allow(now(), started.sender))
        return;
    traffic_.copy_crashes(
        [this, peer = started.sender](std::vector<core::crash_note> known)
        {
            boost::asio::post(io_,
                              [this, peer, known = std::move(known)]() mutable
                              { pass_crashes_to(peer, std::move(known)); });
        });
}

void control_plane::pass_crashes_to(const std::string& peer,
                                    std::vector<core::crash_note> known)
{
    if (known.empty())
        return;
    exchange_report copy = copy_at(now());
    copy.crashes = std::move(known);
    tell(now(), copy, {peer});
}

void control_plane::pass_streams_to(const std::string& peer,
                                    core::direct::stream_copy known)
{
    exchange_report copy = copy_at(now());
    copy.streams = std::move(known.streams);
    copy.releases = std::move(known.releases);
    log_.write(direct_event::streams_passed_on,
               {{"peer", peer},
                {"streams", std::to_string(copy.streams.size())},
                {"releases", std::to_string(copy.releases->seen.size())}});
    tell(now(), copy, {peer});
}

void control_plane::learn_streams(exchange_report copy)
{
    // One that a cut has held up says nothing of what came since.
    if (!peers_.is_newest(copy))
        copy.releases->observed_for = milliseconds(0);
    log_.write(
        direct_event::streams_learned,
        {{"peer", copy.sender},
         {"streams", std::to_string(copy.streams.size())},
         {"releases", std::to_string(copy.releases->seen.size())},
         {"watched_ms", std::to_string(copy.releases->observed_for.count())}});
    traffic_.adopt_streams(
        {std::move(copy.streams), std::move(*copy.releases)});
}

} // namespace sycamorelock::adapters::direct
