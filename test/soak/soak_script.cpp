// Draws the actions of a round.
#include "soak_script.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace soak
{

std::string_view to_string(harm what)
{
    static constexpr std::array<std::string_view, all_harms> names{
        "terminate_instance",
        "reload_settings",
        "publish_config",
        "drain_engine",
        "kill_instance",
        "freeze_instance",
        "delay_engine",
        "cut_engine",
        "silence_engine",
        "one_way_to_engine",
        "truncate_engine",
        "engine_declines",
        "engine_errors",
        "engine_loses_answers",
        "engine_hangs",
        "engine_sends_twice",
        "replace_engine",
        "cut_store_from_instance",
        "silence_store_to_instance",
        "store_closed",
        "store_silent",
        "store_busy",
        "store_forgets",
    };
    return names.at(static_cast<std::size_t>(what));
}

script draw_script(std::uint64_t seed, milliseconds length)
{
    static constexpr std::uint64_t one_planned_in = 4;
    static constexpr milliseconds first{500};
    static constexpr milliseconds longest{4000};
    static constexpr milliseconds between{700};
    std::mt19937_64 random(seed);
    script made;
    made.seed = seed;
    made.planned_only = seed % one_planned_in == 0;
    const auto draw = [&](milliseconds::rep from, milliseconds::rep to)
    {
        return milliseconds(
            std::uniform_int_distribution<milliseconds::rep>(from, to)(random));
    };
    std::uniform_int_distribution<std::size_t> kind(
        0, made.planned_only ? planned_harms - 1 : all_harms - 1);
    std::uniform_int_distribution<std::size_t> target(0, 1000);
    for (milliseconds at = first; at < length;
         at += draw(100, 2 * between.count()))
    {
        action next{at, draw(300, longest.count()),
                    static_cast<harm>(kind(random)), target(random)};
        // A series: the same to one after the other.
        std::bernoulli_distribution series(0.2);
        const int repeats = series(random) ? 3 : 1;
        for (int i = 0; i < repeats; ++i)
        {
            made.actions.push_back(next);
            next.at += next.length / 2;
            ++next.target;
        }
    }
    std::sort(made.actions.begin(), made.actions.end(),
              [](const action& a, const action& b) { return a.at < b.at; });
    return made;
}

} // namespace soak
