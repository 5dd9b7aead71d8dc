// News of streams in fleets of many instances, in virtual time: when all know
// the release of a stream, and what that costs an instance.
#include "sycamorelock/core/direct/note_relay.hpp"
#include "sycamorelock/core/direct/stream_releases.hpp"
#include "sycamorelock/wire/exchange_codec.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <random>

using namespace sycamorelock;
using namespace sycamorelock::core;
using namespace sycamorelock::core::direct;
using std::chrono::seconds;

namespace
{

constexpr time_point start{seconds(1000)};
const service_id drafts = service_id::of("drafts");
const std::vector<release_id> releases{release_of(drafts, "v1"),
                                       release_of(drafts, "v2")};
/// Time for a message from one instance to another.
constexpr milliseconds way{5};
/// Step of the clock.
constexpr milliseconds step{5};

struct plan
{
    std::size_t instances = 0;
    std::size_t domains = 1;
    /// Every instance tells every other one; else by aggregators.
    bool is_mesh = false;
    milliseconds report_period{50};
    /// Over the whole fleet.
    double streams_per_second = 0;
};

struct message
{
    std::size_t to = 0;
    time_point at;
    report_part part = report_part::own;
    std::vector<stream_note> streams;
};

struct instance
{
    stream_releases streams;
    stream_relay relay;
    time_point next_report;
    bool is_down = false;
    std::size_t bytes_in = 0;
    std::size_t bytes_out = 0;
};

std::size_t bytes_of(const std::vector<stream_note>& told)
{
    static const std::size_t empty = wire::encode_report({}, "key").size();
    exchange_report report;
    report.streams = told;
    return wire::encode_report(report, "key").size() - empty;
}

/// Instances whose services have two releases. The first of each failure domain
/// aggregates.
class fleet
{
  public:
    explicit fleet(const plan& of) : plan_(of)
    {
        for (std::size_t i = 0; i < of.instances; ++i)
        {
            all_.push_back(std::make_unique<instance>());
            all_.back()->streams.set_max_stream_duration(seconds(10));
            all_.back()->streams.set_listed(
                start, {{drafts, {releases.begin(), releases.end()}}});
            std::uniform_int_distribution<milliseconds::rep> phase(
                0, of.report_period.count() - 1);
            all_.back()->next_report = start + milliseconds(phase(random_));
        }
    }

    void run(duration time)
    {
        const time_point until = now_ + time;
        while (now_ < until)
        {
            now_ += step;
            begin_streams();
            deliver();
            for (std::size_t i = 0; i < all_.size(); ++i)
                report(i);
        }
    }
    /// No more streams begin.
    void rest() { plan_.streams_per_second = 0; }
    void kill(std::size_t which) { all_[which]->is_down = true; }

    /// Streams of one instance that have begun so far.
    [[nodiscard]] std::vector<stream_note> begun_at(std::size_t which) const
    {
        std::vector<stream_note> result;
        for (std::size_t i = 0; i < begun_.size(); ++i)
        {
            if (i % all_.size() == which)
                result.push_back(begun_[i]);
        }
        return result;
    }
    /// Whether all instances that live know the release of a stream.
    [[nodiscard]] bool all_know(const stream_note& stream) const
    {
        return std::all_of(all_.begin(), all_.end(),
                           [&](const auto& each)
                           {
                               const auto found =
                                   each->streams.find(now_, stream.key);
                               return each->is_down ||
                                      (found.source != stream_source::unknown &&
                                       found.release == stream.release);
                           });
    }
    [[nodiscard]] const std::vector<stream_note>& begun() const
    {
        return begun_;
    }
    [[nodiscard]] const instance& at(std::size_t which) const
    {
        return *all_[which];
    }

  private:
    [[nodiscard]] std::size_t domain_of(std::size_t which) const
    {
        return which % plan_.domains;
    }

    void begin_streams()
    {
        due_ += plan_.streams_per_second *
                std::chrono::duration<double>(step).count();
        for (; due_ >= 1; --due_)
        {
            const std::size_t number = begun_.size();
            const stream_note made{
                stream_key_of(std::nullopt, std::to_string(number)), drafts,
                releases[number / all_.size() % releases.size()], 1};
            instance& sender = *all_[number % all_.size()];
            if (!sender.is_down)
                sender.streams.note(now_, made);
            begun_.push_back(made);
        }
    }

    void send(std::size_t from, std::size_t to, report_part part,
              const std::vector<stream_note>& streams, std::size_t bytes)
    {
        if (streams.empty())
            return;
        all_[from]->bytes_out += bytes;
        all_[to]->bytes_in += bytes;
        on_the_way_.push_back({to, now_ + way, part, streams});
    }

    void deliver()
    {
        std::vector<message> later;
        for (message& each : on_the_way_)
        {
            if (each.at > now_)
            {
                later.push_back(std::move(each));
                continue;
            }
            instance& to = *all_[each.to];
            to.streams.add_remote(now_, each.streams);
            if (each.part == report_part::member)
                to.relay.add_member(each.streams);
            if (each.part == report_part::domain)
                to.relay.add_domain(each.streams);
        }
        on_the_way_ = std::move(later);
    }

    void report(std::size_t which)
    {
        instance& from = *all_[which];
        if (from.is_down || now_ < from.next_report)
            return;
        from.next_report += plan_.report_period;
        std::vector<stream_note> own = from.streams.take_unreported(now_);
        if (plan_.is_mesh)
        {
            const std::size_t bytes = bytes_of(own);
            for (std::size_t to = 0; to < all_.size(); ++to)
            {
                if (to != which)
                    send(which, to, report_part::own, own, bytes);
            }
            return;
        }
        from.relay.add_own(std::move(own));
        if (which >= plan_.domains)
            tell_aggregator(which);
        else
            aggregate(which);
    }

    void tell_aggregator(std::size_t which)
    {
        const auto own = all_[which]->relay.take_own();
        send(which, domain_of(which), report_part::member, own, bytes_of(own));
    }

    void aggregate(std::size_t which)
    {
        const auto domain = all_[which]->relay.take_domain();
        const std::size_t domain_bytes = bytes_of(domain);
        for (std::size_t to = 0; to < plan_.domains; ++to)
        {
            if (to != which)
                send(which, to, report_part::domain, domain, domain_bytes);
        }
        const auto all = all_[which]->relay.take_all();
        const std::size_t all_bytes = bytes_of(all);
        for (std::size_t to = plan_.domains; to < all_.size(); ++to)
        {
            if (domain_of(to) == which)
                send(which, to, report_part::rest, all, all_bytes);
        }
    }

    plan plan_;
    time_point now_ = start;
    std::minstd_rand random_{7};
    double due_ = 0;
    std::vector<std::unique_ptr<instance>> all_;
    std::vector<message> on_the_way_;
    std::vector<stream_note> begun_;
};

const plan small{8, 3, true, milliseconds(100), 60};
const plan large{195, 5, false, milliseconds(50), 630};
/// The design size begins 1,200 streams a second.
const plan design{370, 7, false, milliseconds(50), 1200};

/// An instance that is asked to go on with a stream waits this long for news.
constexpr milliseconds patience{300};

/// Bytes a second for an instance that does not aggregate, and for the one that
/// aggregates most, with all its messages.
struct volume
{
    double member = 0;
    double aggregator = 0;
};

volume volume_of(const plan& of, seconds time)
{
    fleet world(of);
    world.run(time);
    const auto per_second = [&](std::size_t bytes)
    { return static_cast<double>(bytes) / static_cast<double>(time.count()); };
    volume result;
    for (std::size_t i = 0; i < of.instances; ++i)
    {
        const instance& each = world.at(i);
        const double bytes = per_second(each.bytes_in + each.bytes_out);
        double& most =
            i < of.domains && !of.is_mesh ? result.aggregator : result.member;
        most = std::max(most, bytes);
    }
    std::printf("%zu instances, %.0f streams a second of two releases: "
                "%.0f bytes a second at an instance, %.0f at an aggregator\n",
                of.instances, of.streams_per_second, result.member,
                result.aggregator);
    return result;
}

/// Longest time until all know a stream, in steps of the clock.
milliseconds slowest_news(const plan& of)
{
    fleet world(of);
    world.run(seconds(1));
    milliseconds slowest{0};
    for (int probe = 0; probe < 20; ++probe)
    {
        const std::size_t before = world.begun().size();
        while (world.begun().size() == before)
            world.run(step);
        const stream_note stream = world.begun().back();
        milliseconds passed{0};
        while (!world.all_know(stream) && passed < seconds(2))
        {
            world.run(step);
            passed += step;
        }
        slowest = std::max(slowest, passed);
        world.run(milliseconds(35));
    }
    std::printf("%zu instances: all know a stream after at most %lld ms\n",
                of.instances, static_cast<long long>(slowest.count()));
    return slowest;
}

} // namespace

// Guards against streams that are refused, as news of them comes after the
// request that goes on with them has been given up.
Test(stream_news, all_know_a_stream_within_the_wait_for_news)
{
    for (const plan& of : {small, large, design})
        cr_expect_leq(slowest_news(of).count(), patience.count(),
                      "%zu instances", of.instances);
}

// Guards against streams that only an instance knew that is gone since. What it
// had not sent yet is unknown to all.
Test(stream_news, what_an_instance_has_told_outlives_it)
{
    constexpr std::size_t killed = 11;
    for (const plan& of : {large, design})
    {
        fleet world(of);
        world.run(seconds(2));
        const std::vector<stream_note> told = world.begun_at(killed);
        cr_assert(told.size() >= 6U);
        world.run(of.report_period + step);
        world.kill(killed);
        world.run(patience);
        for (const stream_note& each : told)
            cr_expect(world.all_know(each));
    }
}

// Guards against rounds that grow without bound, and against news that is lost
// unseen. An instance that aggregates for nobody loses nothing by its lists.
Test(stream_news, what_a_round_leaves_out_is_counted)
{
    stream_relay relay;
    constexpr std::size_t excess = 10;
    std::vector<stream_note> news;
    for (std::size_t i = 0; i < stream_relay::max_notes + excess; ++i)
        news.push_back({stream_key(i), drafts, releases.front(), 1});
    relay.add_domain(news);
    cr_expect_eq(relay.dropped(), 0U);
    const auto told = relay.take_all();
    cr_expect_eq(told.size(), stream_relay::max_notes);
    cr_expect(told.front().key == stream_key(excess));
    cr_expect_eq(relay.dropped(), excess);
    cr_expect(relay.take_all().empty());
    cr_expect_eq(relay.dropped(), excess);
    relay.add_own(news);
    cr_expect_eq(relay.take_own().size(), stream_relay::max_notes);
    cr_expect_eq(relay.dropped(), 2 * excess);
}

// Guards against news that costs more than the keys, told once to each. It is
// sent only while a service has two releases.
Test(stream_news, an_instance_receives_each_stream_once)
{
    constexpr seconds time{5};
    constexpr double key_bytes = 8;
    for (const plan& of : {small, large, design})
    {
        const volume found = volume_of(of, time);
        // Each report has up to two releases beside the keys.
        constexpr double header_bytes = 64;
        const auto reports =
            static_cast<double>(of.is_mesh ? of.instances - 1 : 1);
        const double headers =
            2 * reports * header_bytes *
            static_cast<double>(seconds(1) / of.report_period);
        const double copies =
            of.is_mesh ? 2 : 1 + 1.0 / static_cast<double>(of.instances);
        cr_expect_leq(found.member,
                      of.streams_per_second * key_bytes * copies + headers,
                      "%zu instances", of.instances);
    }
}
