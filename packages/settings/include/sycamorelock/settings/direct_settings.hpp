// Settings of a process whose entry decides by itself where requests go.
#pragma once

#include "sycamorelock/core/direct/mechanism.hpp"
#include "sycamorelock/settings/findings.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace sycamorelock::settings
{

struct direct_settings
{
    std::string name;
    std::string domain;
    /// IP:port for callers, readiness checks, other instances and operators.
    std::string caller_address;
    std::string ready_address;
    std::string peer_address;
    std::string metrics_address;
    /// Shared by the fleet; authenticates messages between instances.
    std::string fleet_key;
    /// IP:port of the configuration store.
    std::string store;
    /// Peer addresses of a few instances, possibly stale or this one's own.
    std::vector<std::string> seeds;
    /// Failure domains of the fleet, as far as they are known.
    std::vector<std::string> domains;
    /// Requests that an endpoint may get in any second while it warms up: a
    /// multiple of its service's rate, and a number more.
    double warmup_overrun = 1;
    double warmup_slack = 0;
    /// Repeats allowed over the fleet: a share of the requests, and a number
    /// more than that in the window in which repeats are counted.
    double retry_ratio = 0;
    double retry_slack = 0;
    /// Longest delay that operators accept to keep a kilobyte of traffic within
    /// the failure domain; 0 if it has no price.
    double remote_ms_per_kb = 0;
    std::chrono::milliseconds linger{0};
    /// Time from SIGTERM to the end, including `linger`.
    std::chrono::milliseconds shutdown{0};
    /// Descriptors that the process may have open.
    std::size_t max_descriptors = 0;
    /// Memory of the machine, in megabytes.
    std::size_t memory_mb = 0;
    core::direct::mechanism_set mechanisms;
    std::string log_level;
};

/// Whether a document holds settings of this kind.
bool is_direct(const std::string& text);

/// Reads the document. \throws settings_error with every finding.
direct_settings read_direct(const std::string& text, const std::string& file);

} // namespace sycamorelock::settings
