// Handling of the inputs of one instance, and placement of its schedulers.
#include "sycamorelock/core/control_state.hpp"

#include <cassert>
#include <type_traits>

namespace sycamorelock::core
{

namespace
{

scheduler_options options_for_mode(scheduler_options options,
                                   scheduling_mode mode)
{
    if (mode == scheduling_mode::fcfs)
        options.queue.order = queue_order::arrival;
    if (mode != scheduling_mode::full)
        options.exchange.enabled = false;
    return options;
}

} // namespace

control_state::control_state(node_options options, moment started)
    : options_(options),
      placement_(options.self, options.domain, options.incarnation,
                 options.placement, options.seed, out_),
      directory_(options.mode, placement_),
      entry_(options.entry, options.self, directory_, placement_, out_),
      keys_(options.keys, started.wall), started_(started.now),
      last_input_(started.now)
{
    options_.scheduler = options_for_mode(options.scheduler, options.mode);
}

void control_state::begin_input(moment now)
{
    const duration gap = now.now - last_input_;
    last_input_ = now.now;
    if (gap < options_.suspension_threshold)
        return;
    // Other instances went on while this process was suspended. Heartbeats are
    // missing because none were received here, requests that waited at the
    // schedulers here have been queued elsewhere, and claims of keys made in
    // the meantime are not recorded.
    out_.record_event(
        event_number::suspended_and_resumed,
        std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(gap)
                .count()) +
            "ms");
    placement_.reset_suspicion_timers(now.now);
    keys_.reset_trusted_since(now.wall);
    out_.record_event(event_number::key_owner_reset);
    for (auto& [id, scheduler] : schedulers_)
        scheduler->drop_queued_requests();
}

config_version control_state::version() const
{
    return topology_ ? topology_->version : config_version{};
}

bool control_state::install_config(moment now, topology updated,
                                   std::string text)
{
    if (topology_ && updated.version <= topology_->version)
        return false;
    const config_version before = version();
    topology_ = std::make_unique<topology>(std::move(updated));
    if (topology_->version < before)
        out_.record_event(event_number::invariant_version_down);
    config_text_ = std::move(text);
    directory_.configure(*topology_);
    entry_.configure(*topology_);
    placement_stale_ = true;
    place_shards(now);
    placement_.gossip_at_next_tick();
    return true;
}

bool control_state::install_membership(moment now, membership list,
                                       std::string text)
{
    if (!placement_.install(now.now, now.wall, std::move(list)))
        return false;
    membership_text_ = std::move(text);
    placement_stale_ = true;
    place_shards(now);
    placement_.gossip_at_next_tick();
    return true;
}

void control_state::submit(moment now, const submission& request)
{
    entry_.submit(now.now, request);
}

void control_state::caller_left(moment now, const request_id& id)
{
    entry_.caller_left(now.now, id);
}

void control_state::finish(moment now, const attempt_result& result)
{
    entry_.finish(now.now, result);
}

void control_state::report_progress(const request_id& id, std::uint32_t attempt,
                                    cost so_far)
{
    entry_.report_progress(id, attempt, so_far);
}

void control_state::on_load(moment now, service_id service,
                            endpoint_id endpoint, const load_report& report)
{
    for (auto& [id, scheduler] : schedulers_)
    {
        if (id.service != service)
            continue;
        scheduler->on_load(now.now, endpoint, report);
    }
}

void control_state::tick(moment now)
{
    placement_.tick(now.now, version());
    place_shards(now);
    keys_.expire(now.wall);
    for (auto& [id, scheduler] : schedulers_)
        scheduler->tick(now.now);
    entry_.tick(now.now);
    report_crashes(now.now);
}

void control_state::leave(moment now)
{
    leaving_ = true;
    placement_.set_leaving();
    placement_stale_ = true;
    place_shards(now);
    placement_.gossip_at_next_tick();
}

bool control_state::ready(time_point now) const
{
    if (!topology_ || placement_.list().members.empty())
        return false;
    if (version() < newest_known_config_)
        return false;
    const bool alone = placement_.list().members.size() <= 1;
    return alone || received_gossip_ || now - started_ >= options_.join_timeout;
}

bool control_state::idle() const
{
    return entry_.open_requests() == 0;
}

std::vector<const shard_scheduler*> control_state::schedulers() const
{
    std::vector<const shard_scheduler*> result;
    for (const auto& [id, scheduler] : schedulers_)
        result.push_back(scheduler.get());
    return result;
}

shard_scheduler* control_state::scheduler(const shard_id& shard)
{
    const auto found = schedulers_.find(shard);
    return found == schedulers_.end() ? nullptr : found->second.get();
}

void control_state::configure_scheduler(shard_scheduler& target,
                                        const shard_spec& shard)
{
    // In mode `alone`, every instance schedules all endpoints of a service and
    // uses an equal part of their slots.
    std::uint32_t slot_divisor = 1;
    if (options_.mode == scheduling_mode::alone)
    {
        const std::size_t members = placement_.list().members.size();
        slot_divisor =
            static_cast<std::uint32_t>(std::max<std::size_t>(1, members));
    }
    target.configure(topology_->services.at(shard.id.service), shard,
                     topology_->accounts, placement_.list().leaving_endpoints,
                     slot_divisor);
}

void control_state::place_shards(moment now)
{
    const bool unchanged =
        !placement_stale_ && last_placed_generation_ == placement_.generation();
    if (unchanged || !topology_)
        return;
    placement_stale_ = false;
    last_placed_generation_ = placement_.generation();
    std::map<shard_id, std::unique_ptr<shard_scheduler>> before;
    before.swap(schedulers_);
    for (const auto& [service, shards] : directory_.all())
    {
        for (const shard_spec& shard : shards)
        {
            if (directory_.owner(shard.id) != options_.self)
                continue;
            auto& own = schedulers_[shard.id];
            const auto previous = before.find(shard.id);
            if (previous != before.end())
                own = std::move(previous->second);
            if (!own)
            {
                // Linear congruential step: each scheduler gets a seed of its
                // own.
                options_.seed = options_.seed * 6364136223846793005ULL + 1;
                own = std::make_unique<shard_scheduler>(
                    shard.id, options_.scheduler,
                    options_.seed ^ options_.incarnation, now.now, out_);
                out_.record_event(event_number::shard_acquired,
                                  rendezvous_subject(shard.id));
            }
            configure_scheduler(*own, shard);
        }
    }
    for (const auto& [id, lost] : before)
    {
        if (!lost)
            continue;
        // Entries enqueue their waiting requests again at the new owner and
        // report the running ones to it.
        lost->hand_over(now.now, owners_of(id.service));
        out_.record_event(event_number::shard_lost, rendezvous_subject(id));
    }
    set_scheduler_peers(now);
}

std::map<shard_id, instance_id> control_state::owners_of(service_id service)
{
    std::map<shard_id, instance_id> owners;
    const auto* shards = directory_.shards(service);
    if (shards == nullptr)
        return owners;
    for (const shard_spec& shard : *shards)
    {
        const auto owner = directory_.owner(shard.id);
        if (owner)
            owners.emplace(shard.id, *owner);
    }
    return owners;
}

void control_state::set_scheduler_peers(moment now)
{
    if (options_.mode == scheduling_mode::alone)
        return;
    for (auto& [id, scheduler] : schedulers_)
    {
        std::map<shard_id, instance_id> peers = owners_of(id.service);
        peers.erase(id);
        scheduler->set_peers(now.now, std::move(peers));
    }
}

void control_state::receive(moment now, instance_id from,
                            std::uint32_t incarnation,
                            const peer_message& content)
{
    placement_.record_message_from(now.now, from, incarnation);
    help_with_crashes(now.now, from, incarnation);
    dispatch_message(now, from, content);
}

void control_state::handle_local_message(moment now,
                                         const peer_message& content)
{
    dispatch_message(now, options_.self, content);
}

void control_state::dispatch_message(moment now, instance_id from,
                                     const peer_message& content)
{
    std::visit([&](const auto& m) { on(now, from, m); }, content);
}

template <class Message>
requires requires(const Message& m)
{
    m.shard;
}
void control_state::on(moment now, instance_id from, const Message& message)
{
    // In these messages, `shard` is the shard of the sender. They are handled
    // by all schedulers of the service.
    constexpr bool to_service = std::is_same_v<Message, advert> ||
                                std::is_same_v<Message, service_report> ||
                                std::is_same_v<Message, snapshot>;
    if constexpr (to_service)
    {
        for (auto& [id, scheduler] : schedulers_)
        {
            if (id.service != message.shard.service)
                continue;
            scheduler->on_message(now.now, from, message);
        }
    }
    else
    {
        // If the shard is not scheduled here, the sender's view of the
        // placement is outdated. It will compute the current owner after the
        // next gossip and send the message again.
        if (shard_scheduler* target = scheduler(message.shard))
            target->on_message(now.now, from, message);
        else if constexpr (std::is_same_v<Message, enqueue>)
            forward_enqueue(message);
    }
}

void control_state::forward_enqueue(const enqueue& message)
{
    // An entry does not track the owner of a shard to which a scheduler moved
    // its request, so the request is forwarded here. It is forwarded only once,
    // because two instances may each consider the other one the owner.
    if (!message.moved || message.requeued)
        return;
    const auto owner = directory_.owner(message.shard);
    if (!owner || *owner == options_.self)
        return;
    enqueue forwarded = message;
    forwarded.requeued = true;
    out_.send(*owner, forwarded);
}

void control_state::on(moment now, instance_id from, const grant& message)
{
    entry_.on_message(now.now, from, message);
}

void control_state::on(moment now, instance_id from, const reject& message)
{
    entry_.on_message(now.now, from, message);
}

void control_state::on(moment now, instance_id from,
                       const claim_result& message)
{
    entry_.on_message(now.now, from, message);
}

void control_state::on(moment now, instance_id, const crash_report& message)
{
    entry_.crashes().add_remote(now.now, message.notes);
}

void control_state::report_crashes(time_point now)
{
    crash_tracker& crashes = entry_.crashes();
    for (const crash_event& each : crashes.take_events())
        out_.record_event(event_number::crash_evidence,
                          "change=" + std::string(to_string(each.what)) +
                              " content=" + to_string(each.key) +
                              " crashes=" + std::to_string(each.crashes) +
                              " source=" + (each.is_remote ? "peer" : "own"));
    const std::vector<crash_note> notes = crashes.take_unreported(now);
    std::vector<instance_id> others = placement_.live();
    std::erase(others, options_.self);
    for (const instance_id to : others)
    {
        if (!notes.empty())
            out_.send(to, crash_report{notes});
    }
    crashes.set_members(std::move(others));
}

void control_state::help_with_crashes(time_point now, instance_id to,
                                      std::uint32_t incarnation)
{
    std::uint32_t& informed = informed_incarnations_[to];
    if (informed == incarnation)
        return;
    informed = incarnation;
    std::vector<crash_note> known = entry_.crashes().copy(now);
    if (!known.empty())
        out_.send(to, crash_report{std::move(known)});
}

void control_state::on(moment now, instance_id from, const gossip& message)
{
    placement_.on_gossip(now.now, message);
    received_gossip_ = true;
    newest_known_config_ = std::max(newest_known_config_, message.config);
    const bool newer = message.config > version() ||
                       message.membership_version > placement_.list().version;
    if (newer)
        out_.send(from, config_request{version(), placement_.list().version});
    const bool older = message.config < version() ||
                       message.membership_version < placement_.list().version;
    if (older)
        send_versions(from);
}

void control_state::send_versions(instance_id to)
{
    gossip versions;
    versions.config = version();
    versions.membership_version = placement_.list().version;
    out_.send(to, versions);
}

void control_state::on(moment, instance_id from, const config_request& message)
{
    if (message.membership_version < placement_.list().version)
        out_.send(from, membership_document{membership_text_});
    if (topology_ && message.have < topology_->version)
        out_.send(from,
                  config_document{topology_->version.number, config_text_});
}

void control_state::on(moment, instance_id, const config_document& message)
{
    if (message.version < version().number)
        return;
    out_.perform_action(check_config{message.version, message.text});
}

void control_state::on(moment, instance_id, const membership_document& message)
{
    out_.perform_action(check_membership{message.text});
}

void control_state::on(moment now, instance_id from, const claim& message)
{
    claim_result answer;
    answer.request = message.request;
    const auto since = placement_.key_owned_since(message.key);
    const bool same_membership =
        message.membership_version == placement_.list().version;
    if (!same_membership || !since)
        answer.verdict = claim_verdict::not_owner;
    else if (!placement_.reaches_majority())
        answer.verdict = claim_verdict::no_majority;
    else
        answer.verdict = keys_.claim_key(now.wall, *since, message);
    out_.send(from, answer);
}

void control_state::on(moment, instance_id, const claim_release& message)
{
    keys_.release(message);
}

} // namespace sycamorelock::core
