// What instances tell each other, as plain data. The wire package encodes it.
#pragma once

#include "sycamorelock/core/direct/account_shares.hpp"
#include "sycamorelock/core/direct/load_ledger.hpp"
#include "sycamorelock/core/direct/prefix_cache.hpp"

#include <optional>
#include <string>
#include <vector>

namespace sycamorelock::core::direct
{

/// An engine reads these parts; told so that all know what it keeps.
struct cache_note
{
    endpoint_id engine;
    std::vector<prompt_part> parts;
};

/// Another instance as the sender knows it.
struct peer_sight
{
    /// IP:port of its exchange.
    std::string address;
    std::uint64_t incarnation = 0;
    /// Number of the newest report that the sender got from it.
    std::uint64_t heard = 0;
};

/// The operators' configuration as the platform published it.
struct config_copy
{
    std::uint64_t version = 0;
    std::string text;
};

/// Periodic report of one instance. Ledger and demands are complete states;
/// the cache notes are those since the previous report.
struct exchange_report
{
    std::string sender;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;
    bool leaving = false;
    std::vector<peer_sight> peers;
    std::uint64_t config_version = 0;
    std::optional<config_copy> config;
    std::vector<endpoint_work> work;
    std::vector<cache_note> notes;
    std::vector<account_demand> demands;
};

} // namespace sycamorelock::core::direct
