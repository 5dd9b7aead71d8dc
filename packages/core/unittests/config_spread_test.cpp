// Tests in virtual time of how soon every instance of a large fleet has a new
// configuration while the store rejects the calls of some instances.
#include "sycamorelock/core/direct/aggregator_coverage.hpp"
#include "sycamorelock/core/direct/config_knowledge.hpp"
#include "sycamorelock/core/direct/copy_limiter.hpp"
#include "sycamorelock/core/direct/store_knowledge.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>

using namespace sycamorelock::core;
using namespace sycamorelock::core::direct;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr time_point start{seconds(1000)};
constexpr milliseconds step{5};
/// Longest time from the store's acknowledgement of a version until all
/// instances have it: the users' bound.
constexpr milliseconds bound{3000};
/// All instances know the same endpoints.
constexpr std::uint64_t digest = 1;

/// Drawn order of events. Message delays and phases are drawn too.
struct scenario
{
    std::size_t instances = 0;
    std::size_t domains = 3;
    std::uint64_t seed = 1;
    /// Time between two versions.
    milliseconds gap{180};
    /// Share of the instances whose calls the store rejects.
    double rejected = 0.35;
    /// Aggregators whose calls it rejects in any case.
    std::size_t rejected_aggregators = 1;
};

struct message
{
    time_point at;
    std::size_t to = 0;
    exchange_report report;
};

/// The parts of an instance that read the store and pass on configurations, as
/// `control_plane` and `store_watch` combine them.
struct instance
{
    std::size_t domain = 0;
    bool is_rejected = false;
    std::uint64_t version = 0;
    std::uint64_t revision = 0;
    time_point answered_at;
    config_knowledge configs;
    store_knowledge store;
    aggregator_coverage cover;
    copy_limiter pace;
    bool is_following = true;
    time_point next_call;
    /// End of a call that waits for a change.
    std::optional<time_point> waits_until;
    time_point next_report;
    time_point next_gossip;
    /// Members by the time of their last report.
    std::map<std::size_t, time_point> members;
};

class fleet
{
  public:
    explicit fleet(const scenario& drawn)
        : scenario_(drawn), random_(drawn.seed), all_(drawn.instances)
    {
        std::bernoulli_distribution is_rejected(drawn.rejected);
        for (std::size_t i = 0; i < all_.size(); ++i)
        {
            instance& each = all_[i];
            each.domain = i % drawn.domains;
            each.is_rejected = i < drawn.domains
                                   ? i < drawn.rejected_aggregators
                                   : is_rejected(random_);
            each.next_report = start + draw(0, 50);
            each.next_gossip = start + draw(0, 400);
            each.next_call = start + draw(0, 500);
        }
    }

    void run(duration time)
    {
        const time_point until = now_ + time;
        while (now_ < until)
        {
            now_ += step;
            publish();
            deliver();
            for (std::size_t i = 0; i < all_.size(); ++i)
            {
                read_store(all_[i]);
                report(i);
            }
            note_lag();
        }
    }
    void reject() { is_rejecting_ = true; }
    void begin_changes() { next_version_at_ = now_; }
    void end_changes() { next_version_at_.reset(); }

    /// Longest time for which an instance has lacked a version.
    [[nodiscard]] milliseconds longest_lag() const { return longest_lag_; }
    [[nodiscard]] std::size_t copies() const { return copies_; }

  private:
    [[nodiscard]] milliseconds draw(milliseconds::rep from,
                                    milliseconds::rep to)
    {
        return milliseconds(std::uniform_int_distribution<milliseconds::rep>(
            from, to)(random_));
    }
    /// The first instance of each failure domain.
    [[nodiscard]] bool is_aggregator(std::size_t which) const
    {
        return which < scenario_.domains;
    }

    void publish()
    {
        if (!next_version_at_ || now_ < *next_version_at_)
            return;
        published_.push_back(now_);
        next_version_at_ = now_ + scenario_.gap;
    }

    void install(instance& here, std::uint64_t version)
    {
        if (version <= here.version)
            return;
        here.version = version;
        here.configs.install(now_, version);
    }

    void read_store(instance& here)
    {
        static constexpr milliseconds wait{2000};
        static constexpr milliseconds short_wait{500};
        static constexpr milliseconds gap{500};
        static constexpr milliseconds short_gap{250};
        const bool is_relied_on = !here.members.empty();
        if (here.waits_until)
        {
            const bool changed = here.revision < published_.size();
            if (!changed && now_ < *here.waits_until)
                return;
            here.waits_until.reset();
            // A call that was waiting when rejection began is cut.
            if (!is_rejected(here))
                take_answer(here);
            return;
        }
        if (!here.is_following || now_ < here.next_call)
            return;
        if (is_rejected(here))
        {
            here.next_call =
                now_ + (is_relied_on ? draw(200, 400) : draw(1200, 2400));
            return;
        }
        here.next_call = now_ + (is_relied_on ? short_gap : gap);
        here.waits_until = now_ + (is_relied_on ? short_wait : wait);
    }
    [[nodiscard]] bool is_rejected(const instance& here) const
    {
        return is_rejecting_ && here.is_rejected;
    }
    void take_answer(instance& here)
    {
        here.answered_at = now_;
        here.revision = published_.size();
        install(here, published_.size());
    }

    [[nodiscard]] exchange_report make_report(std::size_t from) const
    {
        const instance& here = all_[from];
        exchange_report result;
        result.sender = std::to_string(from);
        result.config_version = here.version;
        result.store.revision = here.revision + 1;
        result.store.digest = digest;
        result.store.age =
            std::chrono::ceil<milliseconds>(now_ - here.answered_at);
        return result;
    }
    void send(std::size_t to, exchange_report report)
    {
        in_transit_.push_back({now_ + draw(5, 30), to, std::move(report)});
    }

    void report(std::size_t which)
    {
        instance& here = all_[which];
        if (now_ < here.next_report)
            return;
        here.next_report = now_ + milliseconds(50);
        here.store.set_known_state(now_, here.revision + 1, digest);
        here.is_following = is_aggregator(which) || !here.cover.covered(now_);
        exchange_report own = make_report(which);
        if (!is_aggregator(which))
        {
            own.part = report_part::member;
            send(here.domain, own);
        }
        if (now_ >= here.next_gossip)
        {
            here.next_gossip = now_ + milliseconds(400);
            own.part = report_part::none;
            std::uniform_int_distribution<std::size_t> any(0, all_.size() - 1);
            for (int i = 0; i < 2; ++i)
                send(any(random_), own);
        }
        if (!is_aggregator(which))
            return;
        own.part = report_part::domain;
        for (std::size_t i = 0; i < scenario_.domains; ++i)
        {
            if (i != which)
                send(i, own);
        }
        own.part = report_part::rest;
        own.store.age = std::chrono::ceil<milliseconds>(
            now_ - here.store.current_at(here.answered_at));
        for (const auto& [member, reported_at] : here.members)
            send(member, own);
    }

    void deliver()
    {
        const auto due = std::stable_partition(
            in_transit_.begin(), in_transit_.end(),
            [this](const message& each) { return each.at > now_; });
        const std::vector<message> arrived(
            std::make_move_iterator(due),
            std::make_move_iterator(in_transit_.end()));
        in_transit_.erase(due, in_transit_.end());
        for (const message& each : arrived)
            receive(each.to, each.report);
    }
    void receive(std::size_t which, const exchange_report& report)
    {
        instance& here = all_[which];
        if (report.config)
            install(here, report.config->version);
        if (report.part == report_part::rest)
            here.cover.process_report(now_, report.store);
        if (report.store.revision > here.revision + 1 &&
            report.config_version <= here.version)
            here.revision = report.store.revision - 1;
        if (report.part == report_part::copy)
            return;
        const std::size_t sender = std::stoul(report.sender);
        if (here.configs.needs_copy(now_, report) &&
            here.pace.allow(now_, report.sender))
            pass_config(which, sender);
        if (report.part == report_part::member)
            here.members[sender] = now_;
        if (report.part == report_part::domain &&
            here.configs.has_version_of(report))
            here.store.confirm(now_, report.store);
    }
    void pass_config(std::size_t from, std::size_t to)
    {
        exchange_report copy = make_report(from);
        copy.part = report_part::copy;
        copy.config = config_copy{all_[from].version, {}};
        ++copies_;
        send(to, copy);
    }

    void note_lag()
    {
        for (const instance& each : all_)
        {
            if (each.version >= published_.size())
                continue;
            longest_lag_ =
                std::max(longest_lag_, std::chrono::ceil<milliseconds>(
                                           now_ - published_[each.version]));
        }
    }

    scenario scenario_;
    std::mt19937_64 random_;
    std::vector<instance> all_;
    std::vector<message> in_transit_;
    time_point now_ = start;
    /// When each version was acknowledged; version 1 is the first element.
    std::vector<time_point> published_;
    std::optional<time_point> next_version_at_;
    bool is_rejecting_ = false;
    milliseconds longest_lag_{0};
    std::size_t copies_ = 0;
};

milliseconds longest_lag(const scenario& drawn)
{
    fleet world(drawn);
    world.run(seconds(5));
    world.reject();
    world.run(seconds(4));
    world.begin_changes();
    world.run(seconds(4));
    world.end_changes();
    world.run(seconds(4));
    return world.longest_lag();
}

void expect_bound(scenario drawn, std::uint64_t seeds)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        drawn.seed = seed;
        const milliseconds lag = longest_lag(drawn);
        cr_expect_leq(lag.count(), bound.count(),
                      "%lld ms, seed %llu, a version each %lld ms, %zu "
                      "aggregators rejected",
                      static_cast<long long>(lag.count()),
                      static_cast<unsigned long long>(seed),
                      static_cast<long long>(drawn.gap.count()),
                      drawn.rejected_aggregators);
    }
}

} // namespace

// Guards against an old configuration at members of a rejected aggregator.
// Load: the store rejects a third of the instances, one aggregator among them,
// and a version comes every 0.1 to 2 s.
Test(config_spread, versions_in_a_row_reach_members_of_a_rejected_aggregator)
{
    for (const int gap : {100, 180, 330, 600, 2000})
        expect_bound({59, 3, 1, milliseconds(gap), 0.35, 1}, 10);
}

// Guards against members that rely on aggregators of which none can read.
// Load: the same with the aggregators of all failure domains rejected.
Test(config_spread, versions_in_a_row_while_all_aggregators_are_rejected)
{
    for (const int gap : {100, 180, 330, 600, 2000})
        expect_bound({59, 3, 1, milliseconds(gap), 0.35, 3}, 10);
}

// Guards against an old configuration where few instances can read the store.
// Load: four in five instances rejected, a version every 0.18 s.
Test(config_spread, most_instances_are_rejected)
{
    for (const std::size_t aggregators : {0, 2, 3})
        expect_bound({59, 3, 1, milliseconds(180), 0.8, aggregators}, 5);
}

// Guards against a bound that holds in fleets of one size only.
// Load: a third of 195 instances rejected, a version every 0.18 s.
Test(config_spread, a_hundred_and_ninety_five_instances)
{
    for (const std::size_t aggregators : {1, 5})
        expect_bound({195, 5, 1, milliseconds(180), 0.35, aggregators}, 2);
}

// Guards against copies to instances that get the version anyway.
// Load: ten versions, one every 0.6 s, while the store rejects nobody.
Test(config_spread, a_fleet_that_the_store_serves_needs_few_copies)
{
    fleet world({59, 3, 1, milliseconds(600), 0, 0});
    world.run(seconds(5));
    world.begin_changes();
    world.run(seconds(6));
    // Each instance needs at most one copy of each version.
    cr_expect_leq(world.copies(), 10 * 59U, "%zu", world.copies());
}
