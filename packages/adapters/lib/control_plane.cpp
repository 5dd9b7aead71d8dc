// Carries events into the core and its results out.
#include "sycamorelock/adapters/control_plane.hpp"

#include "sycamorelock/adapters/clocks.hpp"

#include <boost/asio/post.hpp>

#include <random>

namespace sycamorelock::adapters
{

namespace
{

constexpr std::chrono::milliseconds tick_period{50};
constexpr core::duration seed_period = std::chrono::milliseconds(500);

std::uint32_t draw_incarnation()
{
    // Zero means "unknown" in the core.
    std::random_device device;
    return device() | 1U;
}

core::node_options options_from(const settings::process_settings& settings,
                                std::uint32_t incarnation)
{
    core::node_options options;
    options.self = core::instance_id::of(settings.name);
    options.domain = core::domain_id::of(settings.domain);
    options.incarnation = incarnation;
    options.seed = incarnation;
    options.mode = settings.scheduling;
    options.keys.window = settings.key_window;
    options.keys.membership_lag = settings.membership_lag;
    options.keys.clock_skew = settings.clock_skew;
    return options;
}

} // namespace

control_plane::control_plane(const settings::process_settings& settings,
                             boost::asio::io_context& context, event_log& log,
                             traffic_metrics& traffic)
    : settings_(settings), context_(context), log_(log), traffic_(traffic),
      incarnation_(draw_incarnation()), sink_(*this),
      node_(options_from(settings, incarnation_), current_moment(), sink_),
      timer_(context)
{
}

control_plane::~control_plane() = default;

void control_plane::start()
{
    peer_link_settings link;
    link.self = core::instance_id::of(settings_.name);
    link.incarnation = incarnation_;
    link.address = settings_.address;
    link.port = settings_.peer_port;
    link.key = settings_.fleet_key;
    links_ = std::make_unique<peer_link>(
        context_, link, peer_metrics_,
        [this](const std::string& bytes) { receive(bytes); },
        [this](const std::string& peer, std::string_view reason)
        {
            ++peer_metrics_.unreadable_connections;
            log_.write(process_event::peer_connection_unreadable,
                       {{"peer", peer}, {"reason", std::string(reason)}});
        });
    schedule_tick();
}

void control_plane::stop()
{
    timer_.cancel();
    links_.reset();
}

template <class Input> void control_plane::handle(Input&& input)
{
    node_.handle(current_moment(), std::forward<Input>(input));
}

const core::control_state& control_plane::state() const
{
    return node_.state();
}

core::request_id control_plane::next_request_id()
{
    return {core::instance_id::of(settings_.name), incarnation_,
            next_number_++};
}

void control_plane::submit(core::submission wanted,
                           std::shared_ptr<request_waiter> waiter)
{
    boost::asio::post(
        context_,
        [this, wanted = std::move(wanted), waiter = std::move(waiter)]() mutable
        {
            waiters_.emplace(wanted.id.number, std::move(waiter));
            const core::moment at = current_moment();
            node_.handle(at, [&](auto& s) { s.submit(at, wanted); });
        });
}

void control_plane::caller_left(const core::request_id& id)
{
    boost::asio::post(context_,
                      [this, id]
                      {
                          const core::moment at = current_moment();
                          node_.handle(at,
                                       [&](auto& s) { s.caller_left(at, id); });
                      });
}

void control_plane::report_progress(const core::request_id& id,
                                    std::uint32_t attempt, core::cost so_far)
{
    boost::asio::post(
        context_, [this, id, attempt, so_far]
        { handle([&](auto& s) { s.report_progress(id, attempt, so_far); }); });
}

void control_plane::finish(const core::attempt_result& result)
{
    boost::asio::post(
        context_,
        [this, result]
        {
            const bool last =
                result.end == core::attempt_end::completed ||
                result.end == core::attempt_end::failed_in_answer ||
                result.end == core::attempt_end::caller_left;
            if (last)
                waiters_.erase(result.request.number);
            const core::moment at = current_moment();
            node_.handle(at, [&](auto& s) { s.finish(at, result); });
        });
}

std::shared_ptr<const routing_table> control_plane::routes() const
{
    return routes_.load();
}

void control_plane::offer_config(const document& offered,
                                 const std::string& source)
{
    const core::topology* current = state().fleet_topology();
    if (current != nullptr && offered.version < current->version.number)
        return;
    try
    {
        core::topology fleet_topology =
            settings::read_tree(offered.text, source, offered.version);
        const auto routes =
            std::make_shared<const routing_table>(fleet_topology);
        bool installed = false;
        const core::moment at = current_moment();
        node_.handle(at,
                     [&](auto& s) {
                         installed = s.install_config(
                             at, std::move(fleet_topology), offered.text);
                     });
        if (!installed)
            return;
        routes_.store(routes);
        log_.write(
            process_event::config_installed,
            {{"version", std::to_string(offered.version)}, {"source", source}});
        update_ready();
    }
    catch (const settings::settings_error& error)
    {
        if (refused_config_ == offered.version)
            return;
        refused_config_ = offered.version;
        log_.write(process_event::config_refused,
                   {{"version", std::to_string(offered.version)},
                    {"source", source},
                    {"findings", error.what()}});
    }
}

void control_plane::offer_members(const std::string& text,
                                  const std::string& source)
{
    try
    {
        core::membership list = settings::read_members(text, source);
        const core::moment at = current_moment();
        node_.handle(at,
                     [&](auto& s)
                     {
                         if (s.install_membership(at, std::move(list), text))
                             links_->set_members(s.current_placement().list());
                     });
        update_ready();
    }
    catch (const settings::settings_error& error)
    {
        log_.write(process_event::members_refused,
                   {{"source", source}, {"findings", error.what()}});
    }
}

void control_plane::on_load(core::service_id service,
                            core::endpoint_id endpoint,
                            const core::load_report& report)
{
    const core::moment at = current_moment();
    node_.handle(at,
                 [&](auto& s) { s.on_load(at, service, endpoint, report); });
}

void control_plane::leave()
{
    leaving_ = true;
    const core::moment at = current_moment();
    node_.handle(at, [&](auto& s) { s.leave(at); });
}

void control_plane::stop_accepting()
{
    handle([](auto& s) { s.stop_accepting(); });
}

void control_sink::send(core::instance_id to,
                        std::vector<core::peer_message> messages)
{
    if (owner_.links_)
        owner_.links_->send(to, std::move(messages));
}

void control_sink::perform_action(core::action what)
{
    std::visit([this](const auto& kind) { owner_.run(kind); }, what);
}

void control_sink::record_event(core::event happened)
{
    owner_.log_.write(static_cast<std::uint16_t>(happened.number),
                      {{"detail", happened.detail}});
}

void control_plane::run(const core::dispatch& order)
{
    const auto found = waiters_.find(order.request.number);
    if (found == waiters_.end())
        return;
    boost::asio::post(found->second->executor(), [waiter = found->second, order]
                      { waiter->deliver(order); });
}

void control_plane::run(const core::refuse& answer)
{
    const auto found = waiters_.find(answer.request.number);
    if (found == waiters_.end())
        return;
    const auto waiter = found->second;
    waiters_.erase(found);
    boost::asio::post(waiter->executor(),
                      [waiter, answer] { waiter->deliver(answer); });
}

void control_plane::run(const core::check_config& offered)
{
    // Not from within the core's own call.
    boost::asio::post(context_,
                      [this, offered] {
                          offer_config({offered.version, offered.text}, "peer");
                      });
}

void control_plane::run(const core::check_membership& offered)
{
    boost::asio::post(context_,
                      [this, offered] { offer_members(offered.text, "peer"); });
}

void control_plane::receive(const std::string& bytes)
{
    if (!links_)
        return;
    const auto content = links_->accept(bytes);
    if (!content)
    {
        log_.write(process_event::peer_message_dropped, {});
        return;
    }
    const core::moment at = current_moment();
    // In one call, so that the answers to one sender share an envelope.
    node_.handle(at,
                 [&](auto& s)
                 {
                     for (const core::peer_message& message : content->messages)
                         s.receive(at, content->sender, content->incarnation,
                                   message);
                 });
}

void control_plane::schedule_tick()
{
    timer_.expires_after(tick_period);
    timer_.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (error)
                return;
            tick();
            schedule_tick();
        });
}

void control_plane::tick()
{
    const core::moment at = current_moment();
    node_.handle(at,
                 [&](auto& s)
                 {
                     s.set_broken_connections(at, links_->lost());
                     s.tick(at);
                 });
    if (state().current_placement().list().members.empty())
        ask_seeds();
    update_ready();
    cpu_seconds_ = thread_cpu_seconds();
}

void control_plane::ask_seeds()
{
    if (now() < next_seed_ask_)
        return;
    next_seed_ask_ = now() + seed_period;
    for (const std::string& seed : settings_.seeds)
        links_->send_to_seed(seed, {core::config_request{}});
}

void control_plane::update_ready()
{
    if (ready_ || !state().ready(now()))
        return;
    ready_ = true;
    log_.write(process_event::ready,
               {{"version",
                 std::to_string(state().fleet_topology()->version.number)}});
}

} // namespace sycamorelock::adapters
