// Load pattern: engines of one service whose machines differ for good, and are
// disturbed for parts of a second at a time.
#pragma once

#include "fleet_simulation.hpp"

#include <array>

namespace model
{

class uneven_engines
{
  public:
    static constexpr std::array lasting{0.7, 0.7, 1.7};
    static constexpr double disturbed_factor = 2.5;
    static constexpr double disturbed_fraction = 0.15;
    static constexpr double redraw_s = 0.6;

    /// What an engine reports, given its true slowdown; empty: the truth.
    using report = std::function<std::optional<double>(std::size_t, double)>;

    explicit uneven_engines(simulation_config plan, report reported = {})
        : slowdown_(plan.engines, 1), random_(plan.seed),
          fleet_(with_reports(std::move(plan), std::move(reported)))
    {
    }
    uneven_engines(const uneven_engines&) = delete;
    uneven_engines& operator=(const uneven_engines&) = delete;

    void run(double seconds)
    {
        for (double at = 0; at < seconds; at += redraw_s)
        {
            redraw();
            fleet_.run(redraw_s);
        }
    }
    [[nodiscard]] fleet_simulation& fleet() { return fleet_; }
    /// Requests sent to all engines of one lasting slowdown.
    [[nodiscard]] unsigned sent_to(double slowdown) const
    {
        unsigned sum = 0;
        for (std::size_t i = 0; i < slowdown_.size(); ++i)
        {
            if (lasting.at(i % lasting.size()) == slowdown)
                sum += fleet_.requests_sent_to(i, 1);
        }
        return sum;
    }

  private:
    simulation_config with_reports(simulation_config plan, report reported)
    {
        plan.reported_slowdown =
            [this, reported](std::size_t engine) -> std::optional<double>
        {
            const double truth = slowdown_[engine];
            return reported ? reported(engine, truth) : truth;
        };
        return plan;
    }
    void redraw()
    {
        std::bernoulli_distribution is_disturbed(disturbed_fraction);
        for (std::size_t i = 0; i < slowdown_.size(); ++i)
        {
            slowdown_[i] = lasting.at(i % lasting.size()) *
                           (is_disturbed(random_) ? disturbed_factor : 1);
            fleet_.slow_engines(i, 1, slowdown_[i]);
        }
    }

    std::vector<double> slowdown_;
    std::mt19937_64 random_;
    fleet_simulation fleet_;
};

} // namespace model
