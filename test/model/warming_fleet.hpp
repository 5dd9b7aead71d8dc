// Model of instances that discover each other by gossip and send requests to
// one endpoint that warms up, in virtual time, with network partitions, freezes
// and restarts. The template parameter is the policy by which the instances
// divide the endpoint's allowance.
#pragma once

#include "sycamorelock/core/direct/peers.hpp"
#include "sycamorelock/core/direct/slow_start.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace model
{

namespace core = sycamorelock::core;
namespace direct = sycamorelock::core::direct;
using std::chrono::milliseconds;

/// Configuration of an instance when it starts.
struct sharing_setup
{
    core::instance_id self;
    core::domain_id domain;
    std::set<core::domain_id> domains;
    core::endpoint_id endpoint;
    unsigned allowance = 0;
};

/// Policy that decides whether an instance may send one more request.
template <class S>
concept allowance_sharing = std::constructible_from<S, const sharing_setup&> &&
    requires(S sharing, core::time_point now,
             std::vector<direct::fleet_member> members, std::size_t live)
{
    {sharing.set_members(now, members, live)};
    {
        sharing.admits(now)
        } -> std::same_as<bool>;
    {sharing.sent(now)};
};

/// Divides the allowance by rendezvous hashing.
class hashed_sharing
{
  public:
    explicit hashed_sharing(const sharing_setup& setup)
        : setup_(setup),
          allowance_shares_(setup.self, setup.domain, setup.domains)
    {
    }
    void set_members(core::time_point now,
                     std::vector<direct::fleet_member> members, std::size_t)
    {
        allowance_shares_.set_members(now, std::move(members));
    }
    [[nodiscard]] bool admits(core::time_point now) const
    {
        const unsigned share =
            allowance_shares_.own_share(now, setup_.endpoint, setup_.allowance);
        return limits_.admits(now, setup_.endpoint, share, 0);
    }
    void sent(core::time_point now) { limits_.sent(now, setup_.endpoint); }

  private:
    sharing_setup setup_;
    direct::allowance_shares allowance_shares_;
    direct::slow_start limits_;
};

/// Divides the allowance evenly among the reachable instances, and sends single
/// requests at the resulting interval.
class even_sharing
{
  public:
    explicit even_sharing(const sharing_setup& setup) : setup_(setup) {}
    void set_members(core::time_point, const std::vector<direct::fleet_member>&,
                     std::size_t live)
    {
        interval_ = std::chrono::duration_cast<core::duration>(
            std::chrono::duration<double>(double(live + 1) / setup_.allowance));
    }
    [[nodiscard]] bool admits(core::time_point now) const
    {
        return now - last_sent_ >= interval_;
    }
    void sent(core::time_point now) { last_sent_ = now; }

  private:
    sharing_setup setup_;
    core::duration interval_{std::chrono::seconds(1)};
    core::time_point last_sent_;
};

/// Requests that arrived at the endpoint.
struct warming_result
{
    /// Largest number of requests that arrived within one second.
    unsigned max_per_second = 0;
    /// Arrivals as a fraction of the allowance.
    double utilization = 0;
};

template <allowance_sharing Sharing> class warming_fleet
{
  public:
    /// Returns whether a message from the first instance reaches the second.
    using reachability = std::function<bool(std::size_t, std::size_t)>;

    static constexpr std::size_t domain_count = 3;

    warming_fleet(std::size_t instances, unsigned allowance, std::uint64_t seed)
        : allowance_(allowance), random_(seed), running_(instances)
    {
        for (std::size_t i = 0; i < domain_count; ++i)
            domains_.insert(domain_of(i));
        for (std::size_t i = 0; i < instances; ++i)
            start(i);
    }

    void start(std::size_t index)
    {
        ++incarnation_;
        const std::vector<std::string> seeds{address_of(0), address_of(1),
                                             address_of(2)};
        const core::instance_id self = core::instance_id::of(address_of(index));
        running_[index] = std::make_unique<instance>(instance{
            direct::peers(address_of(index), domain_of(index), incarnation_,
                          seeds),
            Sharing({self, domain_of(index), domains_, endpoint_, allowance_}),
            now_, now_});
    }
    void kill(std::size_t index) { running_[index].reset(); }
    void freeze(std::size_t index, core::duration time)
    {
        if (running_[index])
            running_[index]->awake_at = now_ + time;
    }
    /// Sets which messages arrive; with an empty function all do.
    void set_reachability(reachability reachable)
    {
        reachable_ = std::move(reachable);
    }
    [[nodiscard]] std::size_t size() const { return running_.size(); }

    /// Advances the virtual time.
    /// \param request_probability In each step of 10 ms an instance may have as
    /// many requests for the endpoint as the allowance; this is the probability
    /// of each of them.
    void run(core::duration time, double request_probability)
    {
        const core::time_point end = now_ + time;
        for (; now_ < end; now_ += step)
        {
            for (std::size_t i = 0; i < running_.size(); ++i)
                step_instance(i, request_probability);
        }
    }
    /// Discards the arrivals so far; the result covers the time from now on.
    void forget_arrivals()
    {
        arrivals_.clear();
        counted_since_ = now_;
    }
    [[nodiscard]] warming_result result() const
    {
        warming_result counted;
        std::size_t first = 0;
        for (std::size_t last = 0; last < arrivals_.size(); ++last)
        {
            while (arrivals_[last] - arrivals_[first] >=
                   std::chrono::seconds(1))
                ++first;
            counted.max_per_second =
                std::max(counted.max_per_second,
                         static_cast<unsigned>(last - first + 1));
        }
        const double seconds =
            std::chrono::duration<double>(now_ - counted_since_).count();
        counted.utilization = double(arrivals_.size()) / (seconds * allowance_);
        return counted;
    }

  private:
    static constexpr core::duration step = milliseconds(10);
    static constexpr core::duration gossip_period = milliseconds(100);
    static constexpr core::duration members_period = milliseconds(500);

    struct instance
    {
        direct::peers known;
        Sharing sharing;
        core::time_point awake_at;
        core::time_point next_gossip;
        core::time_point next_members{};
    };

    static std::string address_of(std::size_t index)
    {
        return "10.0.0." + std::to_string(index) + ":7000";
    }
    static core::domain_id domain_of(std::size_t index)
    {
        return core::domain_id::of("d" + std::to_string(index % domain_count));
    }

    void step_instance(std::size_t index, double request_probability)
    {
        if (!running_[index] || now_ < running_[index]->awake_at)
            return;
        instance& self = *running_[index];
        if (now_ >= self.next_gossip)
        {
            self.next_gossip = now_ + gossip_period;
            gossip(index);
        }
        if (now_ >= self.next_members)
        {
            self.next_members = now_ + members_period;
            self.sharing.set_members(now_, self.known.members(now_),
                                     self.known.reachable_count(now_));
        }
        std::bernoulli_distribution has_request(request_probability);
        // An instance may have as many requests at once as the whole allowance.
        for (unsigned i = 0; i < allowance_; ++i)
        {
            if (!has_request(random_) || !self.sharing.admits(now_))
                continue;
            self.sharing.sent(now_);
            arrivals_.push_back(now_);
        }
    }

    void gossip(std::size_t index)
    {
        instance& self = *running_[index];
        direct::exchange_report report;
        self.known.fill_report(now_, report);
        self.known.assign_number(report);
        std::vector<std::string> targets = self.known.gossip_targets(now_);
        // An instance that knows no other one sends to the seeds.
        if (targets.empty())
            targets = self.known.known_addresses();
        for (std::size_t to = 0; to < running_.size(); ++to)
        {
            const bool is_target = std::find(targets.begin(), targets.end(),
                                             address_of(to)) != targets.end();
            const bool arrives = is_target && to != index && running_[to] &&
                                 now_ >= running_[to]->awake_at &&
                                 (!reachable_ || reachable_(index, to));
            if (arrives)
                running_[to]->known.process_report(now_, report);
        }
    }

    unsigned allowance_;
    std::mt19937_64 random_;
    core::endpoint_id endpoint_ = core::endpoint_id::of("cold");
    core::time_point now_{std::chrono::seconds(1000)};
    core::time_point counted_since_ = now_;
    std::uint64_t incarnation_ = 0;
    std::set<core::domain_id> domains_;
    std::vector<std::unique_ptr<instance>> running_;
    reachability reachable_;
    std::vector<core::time_point> arrivals_;
};

} // namespace model
