// Ways of sending that outgrow or end an instance that does not bound them, and
// instances to play them against.
#pragma once

#include "crowd.hpp"
#include "direct_fleet.hpp"
#include "fleet.hpp"

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace standin
{

/// Largest body that the settings of these instances allow.
inline constexpr std::size_t crowd_body_limit = 2UL * 1024 * 1024;
/// Time for a request to arrive, by the same settings.
inline constexpr std::chrono::milliseconds crowd_arrival_limit{1500};
/// A crowd outlasts that, then leaves.
inline constexpr std::chrono::milliseconds crowd_patience{3000};

/// Beginnings of requests that a listener serves.
struct request_forms
{
    std::string post;
    std::string get;
    std::string trace;
    /// Names nothing that the listener serves.
    std::string stray;
};

request_forms direct_forms();
request_forms scheduled_forms();
request_forms page_forms(const std::string& path);
request_forms ready_page_forms();

/// Greeting of another instance, as anybody can send it.
std::string peer_greeting();
/// What a stranger sends at the port for other instances: the largest message
/// but for its last byte.
crowd_script unfinished_peer_message();

/// Name of a way of sending, and the way.
struct crowd_case
{
    const char* name;
    std::function<crowd_script(const request_forms&)> script;
};

const std::vector<crowd_case>& crowd_cases();

/// \throws std::runtime_error if no case has the name.
crowd_script script_of(const std::string& name, const request_forms& forms);

/// Scripts drawn by a seed, for some crowds of this size.
std::vector<std::vector<crowd_script>> drawn_crowds(std::uint64_t seed,
                                                    std::size_t crowds,
                                                    std::size_t size,
                                                    const request_forms& forms);

/// An instance, alike for both ways of routing.
struct watched_process
{
    pid_t pid;
    /// Sends one ordinary request; returns whether it was answered.
    std::function<bool()> answers;
    std::function<std::string()> log;
};

class direct_process
{
  public:
    direct_process() : fleet_(plan()) {}
    watched_process watched();
    direct_instance& instance() { return fleet_.at(0); }
    direct_fleet& fleet() { return fleet_; }

  private:
    static direct_plan plan();

    direct_fleet fleet_;
};

class scheduled_process
{
  public:
    scheduled_process() : fleet_(plan()) {}
    watched_process watched();
    standin::instance& instance() { return fleet_.at(0); }

  private:
    static fleet_plan plan();

    standin::fleet fleet_;
};

} // namespace standin
