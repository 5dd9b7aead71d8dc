// Inputs of one instance and the placement of its shards.
#include "sycamorelock/core/control_state.hpp"

#include <cassert>
#include <type_traits>

namespace sycamorelock::core
{

namespace
{

scheduler_options for_mode(scheduler_options options, scheduling_mode mode)
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
      entry_(options.entry, directory_, placement_, out_),
      keys_(options.keys, started.wall), started_(started.now),
      last_input_(started.now)
{
    options_.scheduler = for_mode(options.scheduler, options.mode);
}

void control_state::begin(moment now)
{
    const duration gap = now.now - last_input_;
    last_input_ = now.now;
    if (gap < options_.suspended_after)
        return;
    // Others have acted without us: silence was ours, waiting requests have
    // been queued elsewhere, and our memory of keys has a hole.
    out_.note(event_number::suspended_and_resumed,
              std::to_string(
                  std::chrono::duration_cast<std::chrono::milliseconds>(gap)
                      .count()) +
                  "ms");
    placement_.forgive_all(now.now);
    keys_.restart(now.wall);
    out_.note(event_number::key_owner_reset);
    for (auto& [id, scheduler] : schedulers_)
        scheduler->abandon();
}

config_version control_state::version() const
{
    return tree_ ? tree_->version : config_version{};
}

bool control_state::install_config(moment now, topology tree, std::string text)
{
    if (tree_ && tree.version <= tree_->version)
        return false;
    const config_version before = version();
    tree_ = std::make_unique<topology>(std::move(tree));
    if (tree_->version < before)
        out_.note(event_number::invariant_version_down);
    config_text_ = std::move(text);
    directory_.configure(*tree_);
    entry_.configure(*tree_);
    placement_stale_ = true;
    place_shards(now);
    placement_.hurry();
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
    placement_.hurry();
    return true;
}

void control_state::submit(moment now, const submission& wanted)
{
    entry_.submit(now.now, wanted);
}

void control_state::caller_left(moment now, const request_id& id)
{
    entry_.caller_left(now.now, id);
}

void control_state::finish(moment now, const attempt_result& result)
{
    entry_.finish(now.now, result);
}

void control_state::progress(const request_id& id, std::uint32_t attempt,
                             cost so_far)
{
    entry_.progress(id, attempt, so_far);
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
}

void control_state::leave(moment now)
{
    leaving_ = true;
    placement_.set_leaving();
    placement_stale_ = true;
    place_shards(now);
    placement_.hurry();
}

bool control_state::ready(time_point now) const
{
    if (!tree_ || placement_.list().members.empty())
        return false;
    if (version() < highest_seen_)
        return false;
    const bool alone = placement_.list().members.size() <= 1;
    return alone || heard_peer_ || now - started_ >= options_.join_wait;
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
    std::uint32_t divide = 1;
    if (options_.mode == scheduling_mode::alone)
    {
        const std::size_t members = placement_.list().members.size();
        divide = static_cast<std::uint32_t>(std::max<std::size_t>(1, members));
    }
    target.configure(tree_->services.at(shard.id.service), shard,
                     tree_->accounts, placement_.list().leaving_endpoints,
                     divide);
}

void control_state::place_shards(moment now)
{
    const bool unchanged =
        !placement_stale_ && placed_generation_ == placement_.generation();
    if (unchanged || !tree_)
        return;
    placement_stale_ = false;
    placed_generation_ = placement_.generation();
    std::map<shard_id, std::unique_ptr<shard_scheduler>> before;
    before.swap(schedulers_);
    for (const auto& [service, shards] : directory_.all())
    {
        for (const shard_spec& shard : shards)
        {
            if (directory_.owner(shard.id) != options_.self)
                continue;
            auto& mine = schedulers_[shard.id];
            const auto kept = before.find(shard.id);
            if (kept != before.end())
                mine = std::move(kept->second);
            if (!mine)
            {
                options_.seed = options_.seed * 6364136223846793005ULL + 1;
                mine = std::make_unique<shard_scheduler>(
                    shard.id, options_.scheduler,
                    options_.seed ^ options_.incarnation, now.now, out_);
                out_.note(event_number::shard_acquired,
                          rendezvous_subject(shard.id));
            }
            configure_scheduler(*mine, shard);
        }
    }
    for (const auto& [id, gone] : before)
    {
        if (!gone)
            continue;
        // Entries queue anew at the next owner and report what runs.
        gone->hand_over(now.now, owners_of(id.service));
        out_.note(event_number::shard_lost, rendezvous_subject(id));
    }
    connect_peers(now);
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

void control_state::connect_peers(moment now)
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
    placement_.heard_from(now.now, from, incarnation);
    dispatch_message(now, from, content);
}

void control_state::receive_own(moment now, const peer_message& content)
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
    // These name the sender's shard and concern every scheduler of the service.
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
        // Without the shard here the sender's view is old: it will learn the
        // owner from gossip and send again.
        if (shard_scheduler* target = scheduler(message.shard))
            target->on_message(now.now, from, message);
        else if constexpr (std::is_same_v<Message, enqueue>)
            pass_on(message);
    }
}

void control_state::pass_on(const enqueue& message)
{
    // No entry follows the owner of a shard to which a scheduler moved its
    // request. Passed on once, as two instances may each hold the other one for
    // the owner.
    if (!message.moved || message.requeued)
        return;
    const auto owner = directory_.owner(message.shard);
    if (!owner || *owner == options_.self)
        return;
    enqueue again = message;
    again.requeued = true;
    out_.send(*owner, again);
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

void control_state::on(moment now, instance_id from, const gossip& message)
{
    placement_.on_gossip(now.now, message);
    heard_peer_ = true;
    highest_seen_ = std::max(highest_seen_, message.config);
    const bool newer = message.config > version() ||
                       message.membership_version > placement_.list().version;
    if (newer)
        out_.send(from, config_request{version(), placement_.list().version});
    const bool older = message.config < version() ||
                       message.membership_version < placement_.list().version;
    if (older)
        tell_versions(from);
}

void control_state::tell_versions(instance_id to)
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
    if (tree_ && message.have < tree_->version)
        out_.send(from, config_document{tree_->version.number, config_text_});
}

void control_state::on(moment, instance_id, const config_document& message)
{
    if (message.version < version().number)
        return;
    out_.act(check_config{message.version, message.text});
}

void control_state::on(moment, instance_id, const membership_document& message)
{
    out_.act(check_membership{message.text});
}

void control_state::on(moment now, instance_id from, const claim& message)
{
    claim_result answer;
    answer.request = message.request;
    const auto since = placement_.key_owned_since(message.key);
    const bool agreed = message.membership_version == placement_.list().version;
    if (!agreed || !since)
        answer.verdict = claim_verdict::not_owner;
    else if (!placement_.hears_majority())
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
