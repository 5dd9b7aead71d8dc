// Reads the documents that an instance works from: its process file, the
// operators' tree and the platform's member list.
#pragma once

#include "sycamorelock/core/shard_directory.hpp"
#include "sycamorelock/core/topology.hpp"
#include "sycamorelock/settings/findings.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sycamorelock::settings
{

/// Settings of one process.
struct process_settings
{
    std::string name;
    std::string domain;
    /// IP address of this instance, for listening and as source address.
    std::string address;
    std::uint16_t caller_port = 0;
    std::uint16_t peer_port = 0;
    std::uint16_t operator_port = 0;
    /// Shared by the fleet; authenticates messages between instances.
    std::string fleet_key;
    /// Addresses of the platform's configuration service.
    std::vector<std::string> platform;
    /// Peer addresses to ask while no member list is known.
    std::vector<std::string> seeds;
    unsigned traffic_threads = 2;
    core::scheduling_mode scheduling = core::scheduling_mode::full;
    std::string log_level = "info";
    std::size_t max_body_bytes = 0;
    /// Memory of the machine, in megabytes.
    std::size_t memory_mb = 120;
    std::chrono::milliseconds header_timeout{0};
    std::chrono::milliseconds idle_timeout{0};
    std::chrono::milliseconds write_timeout{0};
    std::chrono::milliseconds endpoint_timeout{0};
    std::chrono::milliseconds linger{0};
    std::chrono::milliseconds drain_timeout{0};
    std::chrono::milliseconds key_window{0};
    std::chrono::milliseconds membership_lag{0};
    std::chrono::milliseconds clock_skew{0};
};

/// Reads a process file. \throws settings_error with every finding.
process_settings read_process(const std::string& text, const std::string& file);

/// Reads the operators' tree. \throws settings_error with every finding.
core::topology read_tree(const std::string& text, const std::string& file,
                         std::uint64_t version);

/// Reads the platform's member list. \throws settings_error.
core::membership read_members(const std::string& text, const std::string& file);

/// Hex SHA-256 of an API key, as `keys` in the tree holds it.
std::string digest_of_key(const std::string& key);

} // namespace sycamorelock::settings
