// Many instances before engines in virtual time: how many engines end under one
// part of prompts, what is sent later, and what becomes of sound requests.
#include "sycamorelock/core/crash_tracker.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <queue>
#include <random>

using namespace sycamorelock::core;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr time_point start{seconds(1000)};
constexpr crash_key bad_part{1};
/// Engines that may end under one part, requests with it that may be sent
/// later, and the time after which they count as late.
constexpr std::size_t allowed_crashes = 5;
constexpr std::size_t allowed_late = 3;
constexpr duration contact_time = seconds(3);
/// Share of refusals from which callers are no longer served as before.
constexpr double noticeable = 0.05;

struct fleet_size
{
    std::size_t instances = 8;
    std::size_t engines = 18;
    double requests_per_second = 240;
    /// Time until all instances have a report.
    milliseconds max_delay{250};
};

struct totals
{
    std::vector<time_point> crashes;
    std::vector<time_point> bad_sent;
    std::size_t sound = 0;
    std::size_t refused = 0;
    std::size_t notes = 0;

    [[nodiscard]] std::size_t late() const
    {
        if (crashes.empty())
            return 0;
        const time_point latest =
            crashes[std::min(crashes.size(), allowed_crashes) - 1] +
            contact_time;
        return static_cast<std::size_t>(
            std::count_if(bad_sent.begin(), bad_sent.end(),
                          [latest](time_point at) { return at > latest; }));
    }
};

/// Events in order of time.
class part_model
{
  public:
    part_model(fleet_size size, std::uint64_t seed)
        : size_(size), random_(seed), boots_(size.engines),
          down_until_(size.engines)
    {
        std::vector<instance_id> all;
        for (std::size_t i = 0; i < size.instances; ++i)
            all.push_back(instance_id::of("i" + std::to_string(i)));
        for (const instance_id each : all)
        {
            trackers_.push_back(std::make_unique<crash_tracker>(each));
            trackers_.back()->set_members(all);
        }
    }

    /// \param herds crashes of a quarter of the engines at once.
    totals play(seconds length, bool has_bad_part, int herds)
    {
        arrive(false);
        if (has_bad_part)
            at(start + seconds(5), [this] { arrive(true); });
        for (int i = 0; i < herds; ++i)
            at(start + seconds(8 + 5 * i), [this] { crash_herd(); });
        while (!events_.empty() && events_.top().at < start + length)
        {
            const event next = events_.top();
            events_.pop();
            now_ = next.at;
            next.action();
        }
        return result_;
    }

  private:
    struct event
    {
        time_point at;
        std::uint64_t number = 0;
        std::function<void()> action;

        bool operator<(const event& other) const
        {
            return std::pair(other.at, other.number) < std::pair(at, number);
        }
    };
    struct request
    {
        std::vector<crash_key> parts;
        bool is_bad = false;
        std::size_t instance = 0;
        std::size_t engine = 0;
        int boot = 0;
        int repeats_left = 1;
        bool has_begun = false;
    };
    using request_ptr = std::shared_ptr<request>;

    void at(time_point when, std::function<void()> action)
    {
        events_.push({when, ++number_, std::move(action)});
    }
    double draw(double from, double to)
    {
        return std::uniform_real_distribution<double>(from, to)(random_);
    }
    std::size_t draw_index(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0,
                                                          count - 1)(random_);
    }
    static duration ms(double value)
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::milli>(value));
    }

    /// A request arrives, and the next one after it.
    void arrive(bool is_bad)
    {
        const double per_second =
            is_bad ? size_.requests_per_second / 20 : size_.requests_per_second;
        std::exponential_distribution<double> gap(per_second);
        at(now_ + ms(1000 * gap(random_)), [this, is_bad] { arrive(is_bad); });
        auto made = std::make_shared<request>();
        made->is_bad = is_bad;
        made->instance = draw_index(size_.instances);
        made->parts = {crash_key(100 + draw_index(20)),
                       crash_key(1000 + draw_index(136))};
        if (is_bad)
            made->parts.insert(made->parts.begin() + 1, bad_part);
        result_.sound += is_bad ? 0 : 1;
        send(made);
    }

    void send(const request_ptr& which)
    {
        crash_tracker& tracker = *trackers_[which->instance];
        if (tracker.admit(now_, which->parts) ==
            crash_tracker::admission::refused)
        {
            result_.refused += which->is_bad ? 0 : 1;
            return;
        }
        std::vector<std::size_t> up;
        for (std::size_t i = 0; i < size_.engines; ++i)
        {
            if (down_until_[i] <= now_)
                up.push_back(i);
        }
        if (up.empty())
            return;
        which->engine = up[draw_index(up.size())];
        which->boot = boots_[which->engine];
        open_.push_back(which);
        if (which->is_bad)
            result_.bad_sent.push_back(now_);
        std::lognormal_distribution<double> begin(5.5, 0.7);
        at(now_ + ms(begin(random_)), [this, which] { answer(which); });
    }

    void answer(const request_ptr& which)
    {
        if (which->boot != boots_[which->engine])
            return;
        if (which->is_bad)
        {
            crash(which->engine);
            return;
        }
        which->has_begun = true;
        for (const crash_key part : which->parts)
            trackers_[which->instance]->note_success(now_, part);
        report(which->instance);
        std::exponential_distribution<double> rest(1 / 2500.0);
        at(now_ + ms(rest(random_)),
           [this, which] { std::erase(open_, which); });
    }

    void crash(std::size_t engine)
    {
        result_.crashes.push_back(now_);
        const endpoint_id boot = endpoint_id::of(
            std::to_string(engine) + '/' + std::to_string(boots_[engine]++));
        down_until_[engine] = now_ + seconds(4);
        std::vector<request_ptr> broken;
        std::copy_if(open_.begin(), open_.end(), std::back_inserter(broken),
                     [engine](const request_ptr& each)
                     { return each->engine == engine; });
        for (const request_ptr& each : broken)
        {
            std::erase(open_, each);
            crash_tracker& tracker = *trackers_[each->instance];
            if (!each->has_begun)
            {
                for (const crash_key part : each->parts)
                    tracker.suspect(now_, boot, part);
            }
            tracker.note_terminated(now_, boot);
            report(each->instance);
            if (!each->has_begun && each->repeats_left-- > 0)
                at(now_ + milliseconds(6), [this, each] { send(each); });
        }
    }

    void crash_herd()
    {
        for (std::size_t i = 0; i < size_.engines / 4; ++i)
            crash(draw_index(size_.engines));
    }

    /// Tells all other instances what one has learned.
    void report(std::size_t from)
    {
        const auto notes = std::make_shared<const std::vector<crash_note>>(
            trackers_[from]->take_unreported(now_));
        static_cast<void>(trackers_[from]->take_events());
        if (notes->empty())
            return;
        result_.notes += notes->size();
        for (std::size_t i = 0; i < size_.instances; ++i)
        {
            if (i == from)
                continue;
            at(now_ + ms(draw(50, to_ms(size_.max_delay))),
               [this, i, notes] { trackers_[i]->add_remote(now_, *notes); });
        }
    }

    fleet_size size_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<crash_tracker>> trackers_;
    std::vector<int> boots_;
    std::vector<time_point> down_until_;
    std::vector<request_ptr> open_;
    std::priority_queue<event> events_;
    std::uint64_t number_ = 0;
    time_point now_ = start;
    totals result_;
};

/// The deployments of today and the design size.
const std::array<fleet_size, 3> sizes{{{8, 18, 240, milliseconds(250)},
                                       {195, 117, 700, milliseconds(400)},
                                       {370, 600, 1700, milliseconds(400)}}};

void check_play(const fleet_size& size, std::uint64_t seed, int herds)
{
    const totals played = part_model(size, seed).play(seconds(25), true, herds);
    cr_expect_geq(played.crashes.size(), crash_tracker::max_crashes);
    cr_expect_leq(played.late(), allowed_late,
                  "%zu instances, seed %llu: %zu later", size.instances,
                  static_cast<unsigned long long>(seed), played.late());
    const double refused =
        static_cast<double>(played.refused) / static_cast<double>(played.sound);
    cr_expect_lt(refused, noticeable,
                 "%zu instances, seed %llu: %.4f of %zu refused",
                 size.instances, static_cast<unsigned long long>(seed), refused,
                 played.sound);
    cr_log_info("%zu instances, seed %llu, %d herds: %zu crashes, %zu later, "
                "%zu of %zu sound refused, %zu notes\n",
                size.instances, static_cast<unsigned long long>(seed), herds,
                played.crashes.size(), played.late(), played.refused,
                played.sound, played.notes);
}

} // namespace

// Guards against BUDGET and LOST at the sizes of the deployments.
Test(crash_fleet,
     one_bad_part_ends_few_engines_and_costs_sound_requests_nothing)
{
    for (const fleet_size& size : sizes)
    {
        for (std::uint64_t seed = 700; seed < 703; ++seed)
            check_play(size, seed, 0);
    }
}

// Guards against the quarantine of shared parts when engines crash in herds
// beside a bad part.
Test(crash_fleet, herds_of_crashes_beside_a_bad_part_quarantine_no_sound_one)
{
    for (std::uint64_t seed = 700; seed < 710; ++seed)
        check_play(sizes[0], seed, 4);
}

// Guards against the quarantine of shared parts where no part is bad.
Test(crash_fleet, herds_of_crashes_alone_quarantine_nothing_for_long)
{
    for (std::uint64_t seed = 700; seed < 710; ++seed)
    {
        const totals played =
            part_model(sizes[0], seed).play(seconds(30), false, 4);
        const double refused = static_cast<double>(played.refused) /
                               static_cast<double>(played.sound);
        cr_expect_lt(refused, noticeable, "seed %llu: %.4f refused",
                     static_cast<unsigned long long>(seed), refused);
    }
}
