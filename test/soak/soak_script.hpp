// What happens to a fleet in one round of the soak: drawn from a seed, so that
// a round can be repeated.
#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

namespace soak
{

using std::chrono::milliseconds;

enum class harm : std::uint8_t
{
    // Planned work.
    terminate_instance,
    reload_settings,
    publish_config,
    drain_engine,
    // Faults.
    kill_instance,
    freeze_instance,
    delay_engine,
    cut_engine,
    silence_engine,
    one_way_to_engine,
    truncate_engine,
    engine_declines,
    engine_errors,
    engine_loses_answers,
    engine_hangs,
    engine_sends_twice,
    replace_engine,
    cut_store_from_instance,
    silence_store_to_instance,
    store_closed,
    store_silent,
    store_busy,
    store_forgets,
};
inline constexpr std::size_t planned_harms = 4;
inline constexpr std::size_t all_harms = 23;
std::string_view to_string(harm what);

struct action
{
    milliseconds at{0};
    milliseconds length{0};
    harm what = harm::kill_instance;
    /// Index of an instance or engine, taken modulo their number.
    std::size_t target = 0;
};

struct script
{
    std::uint64_t seed = 0;
    /// Nothing but planned work: no request may fail.
    bool planned_only = false;
    std::vector<action> actions;
};

/// One round in four is planned work only. Actions come in series and overlap.
script draw_script(std::uint64_t seed, milliseconds length);

} // namespace soak
