// Many connections at once that send the same bytes, and how they leave.
#pragma once

#include "http_server.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace standin
{

/// What one connection of a crowd sends. It then stays until the other side
/// closes or the crowd leaves.
struct crowd_script
{
    /// Sent once.
    std::string begin{};
    /// Sent over and over, up to `repeated_bytes` in all.
    std::string again{};
    std::size_t repeated_bytes = 0;
    /// Sent once after that.
    std::string end{};
    /// Pause before each byte of `end`; zero sends it at once.
    std::chrono::milliseconds byte_gap{0};
    /// Reads what the other side sends.
    bool reads = true;
};

/// Plays one connection for each script, all at the same time, and closes those
/// that are still open after `patience`.
void play_crowd(const std::string& address,
                const std::vector<crowd_script>& scripts,
                std::chrono::milliseconds patience);

/// The same script for each connection.
void play_crowd(const std::string& address, const crowd_script& script,
                std::size_t connections, std::chrono::milliseconds patience);

} // namespace standin
