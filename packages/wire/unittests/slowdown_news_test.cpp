// News of endpoints' slowdowns in fleets of many instances, in virtual time:
// 15 of 100 engines are disturbed, drawn anew every 600 ms, and each answers
// eight requests a second.
#include "sycamorelock/core/direct/slowdown_relay.hpp"
#include "sycamorelock/wire/exchange_codec.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <queue>
#include <random>

using namespace sycamorelock;
using namespace sycamorelock::core;
using namespace sycamorelock::core::direct;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr time_point start{seconds(1000)};
constexpr milliseconds way{5};
constexpr milliseconds step{10};

std::size_t bytes_of(const std::vector<slowdown_note>& notes)
{
    static const std::size_t empty = wire::encode_report({}, "key").size();
    exchange_report report;
    report.slowdowns = notes;
    return wire::encode_report(report, "key").size() - empty;
}

struct instance
{
    slowdown_tracker tracker;
    slowdown_relay relay;
    std::size_t bytes_in = 0;
};

/// The first instance of each failure domain aggregates; a single domain is a
/// mesh.
class fleet
{
  public:
    fleet(std::size_t instances, std::size_t domains, std::size_t engines)
        : domains_(domains), all_(instances), slowdown_(engines, 1),
          answered_(engines)
    {
    }

    void run(duration time)
    {
        for (const time_point end = now_ + time; now_ < end; now_ += step)
        {
            const auto elapsed = now_ - start;
            if (elapsed % milliseconds(600) == duration(0))
                redraw();
            answer();
            for (; !queue_.empty() && queue_.front().first <= now_;
                 queue_.pop())
                queue_.front().second();
            for (std::size_t i = 0; i < all_.size(); ++i)
            {
                // Instances report at different times.
                const milliseconds phase =
                    step * static_cast<long>(i % (period() / step));
                if ((elapsed + phase) % period() == duration(0))
                    report(i);
            }
        }
    }
    void reset_bytes()
    {
        for (instance& each : all_)
            each.bytes_in = 0;
    }
    /// Mean bytes that an instance that does not aggregate received.
    [[nodiscard]] double mean_bytes() const
    {
        double sum = 0;
        for (std::size_t i = first_member(); i < all_.size(); ++i)
            sum += static_cast<double>(all_[i].bytes_in);
        return sum / static_cast<double>(all_.size() - first_member());
    }
    /// Beliefs that differ from what an engine reported a quarter of a second
    /// ago or earlier, whether it is disturbed or no longer.
    [[nodiscard]] unsigned wrong_beliefs() const
    {
        unsigned wrong = 0;
        for (const instance& each : all_)
        {
            for (std::size_t i = 0; i < slowdown_.size(); ++i)
            {
                if (!answered_[i] || now_ - *answered_[i] < milliseconds(250))
                    continue;
                const auto known = each.tracker.belief(now_, id_of(i));
                wrong += known && known->present == slowdown_[i] ? 0 : 1;
            }
        }
        return wrong;
    }

  private:
    [[nodiscard]] bool is_mesh() const { return domains_ == 1; }
    [[nodiscard]] milliseconds period() const
    {
        return milliseconds(is_mesh() ? 100 : 50);
    }
    [[nodiscard]] std::size_t first_member() const
    {
        return is_mesh() ? 0 : domains_;
    }
    static endpoint_id id_of(std::size_t engine)
    {
        return endpoint_id::of("engine-" + std::to_string(engine));
    }
    void redraw()
    {
        std::fill(answered_.begin(), answered_.end(), std::nullopt);
        std::bernoulli_distribution is_disturbed(0.15);
        for (std::size_t i = 0; i < slowdown_.size(); ++i)
        {
            slowdown_[i] =
                (i % 3 == 2 ? 1.75 : 0.75) * (is_disturbed(random_) ? 2 : 1);
        }
    }
    void answer()
    {
        std::bernoulli_distribution answers(0.08);
        std::uniform_int_distribution<std::size_t> any(0, all_.size() - 1);
        for (std::size_t i = 0; i < slowdown_.size(); ++i)
        {
            endpoint_load load;
            load.slowdown = slowdown_[i];
            if (!answers(random_))
                continue;
            answered_[i] = std::min(answered_[i].value_or(now_), now_);
            all_[any(random_)].tracker.note_load(now_, id_of(i), load);
        }
    }
    using action = void (slowdown_relay::*)(time_point,
                                            const std::vector<slowdown_note>&);
    void send(std::size_t to, const std::vector<slowdown_note>& notes,
              action relayed)
    {
        if (notes.empty())
            return;
        queue_.emplace(now_ + way,
                       [this, to, notes, relayed]
                       {
                           instance& receiver = all_[to];
                           receiver.bytes_in += bytes_of(notes);
                           for (const slowdown_note& each : notes)
                               receiver.tracker.add_remote(now_, each);
                           if (relayed != nullptr)
                               (receiver.relay.*relayed)(now_, notes);
                       });
    }
    void report(std::size_t from)
    {
        instance& self = all_[from];
        const auto notes = self.tracker.take_unreported(now_);
        if (is_mesh())
        {
            for (std::size_t to = 0; to < all_.size(); ++to)
            {
                if (to != from)
                    send(to, notes, nullptr);
            }
            return;
        }
        self.relay.add_own(now_, notes);
        const auto own = self.relay.take_own(now_);
        if (from >= domains_)
            return send(from % domains_, own, &slowdown_relay::add_member);
        const auto domain = self.relay.take_domain(now_);
        const auto all = self.relay.take_all(now_);
        for (std::size_t to = 0; to < domains_; ++to)
        {
            if (to != from)
                send(to, domain, &slowdown_relay::add_domain);
        }
        for (std::size_t to = domains_ + from; to < all_.size(); to += domains_)
            send(to, all, nullptr);
    }

    std::size_t domains_;
    std::vector<instance> all_;
    std::vector<double> slowdown_;
    /// First answer with the present slowdown.
    std::vector<std::optional<time_point>> answered_;
    std::mt19937_64 random_{1};
    time_point now_ = start;
    std::queue<std::pair<time_point, std::function<void()>>> queue_;
};

void expect_few_bytes(std::size_t instances, std::size_t domains,
                      std::size_t engines)
{
    static constexpr int time_s = 10;
    static constexpr double max_bytes_per_second = 400;
    fleet world(instances, domains, engines);
    world.run(seconds(20));
    world.reset_bytes();
    world.run(seconds(time_s));
    const double bytes = world.mean_bytes() / time_s;
    cr_expect_leq(bytes, max_bytes_per_second, "%.0f bytes a second", bytes);
}

void expect_news_in_time(std::size_t instances, std::size_t domains,
                         std::size_t engines)
{
    fleet world(instances, domains, engines);
    world.run(seconds(30));
    world.run(milliseconds(500));
    cr_expect_eq(world.wrong_beliefs(), 0U, "%u of %zu x %zu",
                 world.wrong_beliefs(), instances, engines);
}

} // namespace

// A tenth of what an instance may send and receive for control, 4 KB a second,
// in fleets as large as today's.
Test(slowdown_news, eight_instances)
{
    expect_few_bytes(8, 1, 18);
}
Test(slowdown_news, eighty_three_instances)
{
    expect_few_bytes(83, 4, 60);
}
Test(slowdown_news, fifty_nine_instances)
{
    expect_few_bytes(59, 3, 90);
}
Test(slowdown_news, hundred_ninety_five_instances)
{
    expect_few_bytes(195, 5, 117);
}

Test(slowdown_news, all_instances_know_of_a_change_in_a_quarter_second)
{
    expect_news_in_time(8, 1, 18);
    expect_news_in_time(83, 4, 60);
    expect_news_in_time(59, 3, 90);
    expect_news_in_time(195, 5, 117);
}
