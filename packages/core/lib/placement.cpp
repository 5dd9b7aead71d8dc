// Gossip-style failure detection: each instance sends a few messages with
// heartbeat counters per period, so its cost does not grow with the fleet.
#include "sycamorelock/core/placement.hpp"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <cmath>

namespace sycamorelock::core
{

namespace
{

/// Number of member lists remembered to determine how long a key has been
/// owned.
constexpr std::size_t max_past_memberships = 16;

std::string key_subject(const idempotency_key& key)
{
    std::string subject = std::to_string(key.account.value()) + '#';
    subject.append(key.bytes.begin(), key.bytes.end());
    return subject;
}

} // namespace

placement::placement(instance_id self, domain_id domain,
                     std::uint32_t incarnation, placement_options options,
                     std::uint64_t seed, outbox& out)
    : self_(self), domain_(domain), incarnation_(incarnation),
      options_(options), random_(static_cast<std::uint32_t>(seed)), out_(out)
{
    // Instances start at different positions of the list. Otherwise all of them
    // would send their gossip to the same instance in each period.
    own_domain_cursor_ = random_();
    remote_cursor_ = random_();
}

bool placement::install(time_point now, wall_time wall, membership list)
{
    if (list.version <= list_.version)
        return false;
    list_ = std::move(list);
    past_membership past{wall, {}};
    for (const auto& [id, info] : list_.members)
        past.members.push_back(id);
    if (past_memberships_.empty() ||
        past_memberships_.back().members != past.members)
        past_memberships_.push_back(std::move(past));
    if (past_memberships_.size() > max_past_memberships)
        past_memberships_.erase(past_memberships_.begin());
    std::erase_if(peers_, [this](const auto& entry)
                  { return !list_.members.contains(entry.first); });
    for (const auto& [id, info] : list_.members)
    {
        if (id == self_ || peers_.contains(id))
            continue;
        peers_[id].last_alive_at = now;
    }
    ++generation_;
    out_.record_event(event_number::membership_installed,
                      "version=" + std::to_string(list_.version));
    return true;
}

void placement::mark_alive(time_point now, instance_id id, peer& state)
{
    state.last_alive_at = now;
    if (!state.suspected)
        return;
    state.suspected = false;
    ++generation_;
    out_.record_event(event_number::instance_returned,
                      list_.members.at(id).name);
}

void placement::record_message_from(time_point now, instance_id sender,
                                    std::uint32_t incarnation)
{
    const auto found = peers_.find(sender);
    if (found == peers_.end())
        return;
    peer& state = found->second;
    if (state.incarnation != incarnation)
    {
        state.incarnation = incarnation;
        state.counter = 0;
        state.leaving = false;
        ++generation_;
    }
    if (state.disconnected_since &&
        now - *state.disconnected_since > options_.max_message_transit_time)
        state.alive_since_disconnect = true;
    mark_alive(now, sender, state);
}

void placement::set_broken_connections(time_point now,
                                       const std::set<instance_id>& lost)
{
    for (auto& [id, state] : peers_)
    {
        if (!lost.contains(id))
        {
            state.disconnected_since.reset();
            state.alive_since_disconnect = false;
            continue;
        }
        if (state.disconnected_since)
            continue;
        state.disconnected_since = now;
    }
}

bool placement::has_timed_out(time_point now, const peer& state,
                              duration timeout) const
{
    if (now - state.last_alive_at > timeout)
        return true;
    const duration disconnected_timeout =
        options_.disconnected_suspicion_timeout;
    return state.disconnected_since && !state.alive_since_disconnect &&
           now - *state.disconnected_since > disconnected_timeout;
}

void placement::accept_heartbeat(time_point now, const heartbeat& received)
{
    const auto found = peers_.find(received.instance);
    if (found == peers_.end())
        return;
    peer& state = found->second;
    if (state.incarnation == 0)
        state.incarnation = received.incarnation;
    // Which of two incarnations is newer is known only from the instance
    // itself, so a relayed heartbeat of another incarnation is ignored.
    if (state.incarnation != received.incarnation)
        return;
    if (received.counter <= state.counter)
        return;
    state.counter = received.counter;
    if (state.leaving != received.leaving)
    {
        state.leaving = received.leaving;
        ++generation_;
    }
    // A relayed heartbeat may have been sent before the connection broke and
    // still be spreading, for as long as the usual suspicion timeout.
    const bool may_predate_disconnect =
        state.disconnected_since && !state.alive_since_disconnect &&
        now - *state.disconnected_since <=
            suspicion_timeout(is_in_own_domain(received.instance));
    if (may_predate_disconnect)
        return;
    state.alive_since_disconnect = state.disconnected_since.has_value();
    mark_alive(now, received.instance, state);
}

void placement::on_gossip(time_point now, const gossip& message)
{
    for (const heartbeat& received : message.heartbeats)
        accept_heartbeat(now, received);
}

bool placement::is_small_fleet() const
{
    return list_.members.size() <= options_.max_small_fleet_size;
}

bool placement::is_in_own_domain(instance_id id) const
{
    return list_.members.at(id).domain == domain_;
}

duration placement::period() const
{
    return is_small_fleet() ? options_.gossip_period
                            : options_.gossip_period * 2;
}

std::size_t placement::own_domain_size() const
{
    std::size_t count = 0;
    for (const auto& [id, info] : list_.members)
        count += info.domain == domain_ ? 1 : 0;
    return count;
}

duration placement::suspicion_timeout(bool local) const
{
    // A heartbeat reaches n instances in about 2 log2 n periods. Messages carry
    // only a sample of the heartbeats of other domains, so those take longer by
    // the number of samples that cover all of them.
    const auto own_domain_members = static_cast<double>(own_domain_size());
    const double constant = is_small_fleet()
                                ? options_.suspicion_periods
                                : options_.large_fleet_suspicion_periods;
    const double periods_per_doubling =
        is_small_fleet() ? options_.suspicion_periods_per_doubling
                         : options_.large_fleet_suspicion_periods_per_doubling;
    const double periods =
        constant + periods_per_doubling * std::log2(own_domain_members + 1);
    const auto period_ticks = static_cast<double>(period().count());
    if (local)
        return duration(static_cast<duration::rep>(period_ticks * periods));
    const double remote_members =
        static_cast<double>(list_.members.size()) - own_domain_members;
    const double samples = std::max(
        1.0, remote_members /
                 static_cast<double>(options_.reserved_remote_heartbeats));
    return duration(static_cast<duration::rep>(
        period_ticks * periods * options_.remote_timeout_factor * samples));
}

void placement::suspect_timed_out_peers(time_point now)
{
    const duration own_domain_timeout = suspicion_timeout(true);
    const duration remote_timeout = suspicion_timeout(false);
    for (auto& [id, state] : peers_)
    {
        if (state.suspected)
            continue;
        if (!has_timed_out(now, state,
                           is_in_own_domain(id) ? own_domain_timeout
                                                : remote_timeout))
            continue;
        state.suspected = true;
        ++generation_;
        out_.record_event(event_number::instance_suspected,
                          list_.members.at(id).name);
    }
}

void placement::reset_suspicion_timers(time_point now)
{
    for (auto& [id, state] : peers_)
        state.last_alive_at = now;
}

instance_id placement::next_target(const std::vector<instance_id>& from,
                                   std::size_t& cursor) const
{
    // Round-robin selection bounds the time between two messages to one
    // instance; random selection would not.
    return from[cursor++ % from.size()];
}

gossip placement::compose_gossip(domain_id receiver_domain,
                                 const config_version& config)
{
    gossip message;
    message.config = config;
    message.membership_version = list_.version;
    message.heartbeats.push_back({self_, incarnation_, own_counter_, leaving_});
    std::vector<heartbeat> local;
    std::vector<heartbeat> remote;
    for (const auto& [id, state] : peers_)
    {
        if (state.suspected || state.counter == 0)
            continue;
        const bool same_domain = list_.members.at(id).domain == receiver_domain;
        auto& group = same_domain ? local : remote;
        group.push_back({id, state.incarnation, state.counter, state.leaving});
    }
    std::shuffle(local.begin(), local.end(), random_);
    std::shuffle(remote.begin(), remote.end(), random_);
    // Heartbeats of the receiver's own failure domain have priority. Without
    // the reserved part, the receiver would get none of other domains in a
    // large fleet.
    const std::size_t max_count = options_.max_heartbeats;
    const std::size_t reserved =
        std::min(remote.size(), options_.reserved_remote_heartbeats);
    const std::size_t local_count =
        std::min(local.size(), max_count - 1 - reserved);
    message.heartbeats.insert(message.heartbeats.end(), local.begin(),
                              local.begin() +
                                  static_cast<std::ptrdiff_t>(local_count));
    const std::size_t remote_count =
        std::min(remote.size(), max_count - message.heartbeats.size());
    message.heartbeats.insert(message.heartbeats.end(), remote.begin(),
                              remote.begin() +
                                  static_cast<std::ptrdiff_t>(remote_count));
    return message;
}

void placement::send_gossip(time_point now, const config_version& config)
{
    std::vector<instance_id> local;
    std::vector<instance_id> remote;
    for (const auto& [id, info] : list_.members)
    {
        if (id == self_)
            continue;
        (info.domain == domain_ ? local : remote).push_back(id);
    }
    next_gossip_ = now + period();
    ++own_counter_;
    ++gossip_rounds_;
    const auto send_to_next =
        [&](const std::vector<instance_id>& group, std::size_t& cursor)
    {
        if (group.empty())
            return;
        const instance_id target = next_target(group, cursor);
        out_.send(target,
                  compose_gossip(list_.members.at(target).domain, config));
    };
    send_to_next(local, own_domain_cursor_);
    if (gossip_rounds_ % options_.periods_per_remote_gossip == 0 ||
        local.empty())
        send_to_next(remote, remote_cursor_);
}

void placement::tick(time_point now, const config_version& config)
{
    suspect_timed_out_peers(now);
    if (now >= next_gossip_)
        send_gossip(now, config);
}

bool placement::alive(instance_id id) const
{
    if (id == self_)
        return true;
    const auto found = peers_.find(id);
    return found != peers_.end() && !found->second.suspected;
}

std::uint32_t placement::incarnation_of(instance_id id) const
{
    if (id == self_)
        return incarnation_;
    const auto found = peers_.find(id);
    return found == peers_.end() ? 0 : found->second.incarnation;
}

std::vector<instance_id> placement::live() const
{
    std::vector<instance_id> result;
    for (const auto& [id, info] : list_.members)
    {
        const bool self = id == self_;
        const bool leaving = self ? leaving_ : peers_.at(id).leaving;
        if (info.leaving || leaving || !alive(id))
            continue;
        result.push_back(id);
    }
    return result;
}

std::vector<instance_id> placement::live_in(domain_id domain) const
{
    std::vector<instance_id> result = live();
    std::erase_if(result, [&](instance_id id)
                  { return list_.members.at(id).domain != domain; });
    return result;
}

std::optional<instance_id> placement::owner_of(const shard_id& shard) const
{
    const std::string subject = rendezvous_subject(shard);
    const auto in_domain = rendezvous(live_in(shard.domain), subject);
    if (in_domain)
        return in_domain;
    return rendezvous(live(), subject);
}

std::optional<instance_id>
placement::key_owner(const idempotency_key& key) const
{
    if (past_memberships_.empty())
        return std::nullopt;
    return rendezvous(past_memberships_.back().members, key_subject(key));
}

std::optional<wall_time>
placement::key_owned_since(const idempotency_key& key) const
{
    const std::string subject = key_subject(key);
    std::optional<wall_time> since;
    for (auto past = past_memberships_.rbegin();
         past != past_memberships_.rend(); ++past)
    {
        if (rendezvous(past->members, subject) != self_)
            break;
        since = past->installed;
    }
    return since;
}

bool placement::reaches_majority() const
{
    std::size_t reachable = 0;
    for (const auto& [id, info] : list_.members)
        reachable += alive(id) ? 1 : 0;
    return reachable * 2 > list_.members.size();
}

bool placement::is_config_reader() const
{
    static constexpr std::size_t readers_per_domain = 2;
    std::vector<instance_id> candidates = live_in(domain_);
    for (std::size_t i = 0; i < readers_per_domain; ++i)
    {
        const auto reader = rendezvous(candidates, "config-reader");
        if (!reader || *reader == self_)
            return true;
        std::erase(candidates, *reader);
    }
    return false;
}

} // namespace sycamorelock::core
