// Structured log: one JSON object a line, one number per kind of event.
// docs/EVENTS.md is the catalogue; a test holds the two together.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <span>
#include <string>
#include <string_view>

namespace sycamorelock::adapters
{

enum class severity : std::uint8_t
{
    debug,
    info,
    warn,
    error,
};

/// A kind of event.
struct event_kind
{
    std::uint16_t number;
    severity level;
    std::string_view name;
    std::string_view meaning;
};

/// Every kind that this release logs, ordered by number.
std::span<const event_kind> event_catalogue();

/// Events of the process itself. Those of the decisions are numbered in
/// core::event_number, from 2000 on.
enum class process_event : std::uint16_t
{
    started = 1001,
    ready = 1002,
    draining = 1003,
    stopped = 1004,
    start_failed = 1005,
    config_installed = 1101,
    config_refused = 1102,
    members_refused = 1103,
    platform_unreachable = 1104,
    platform_returned = 1105,
    peer_message_dropped = 1201,
    bad_request = 1301,
    invariant_answer_mixed = 1901,
};

/// Name and value pairs of one line.
using log_fields =
    std::initializer_list<std::pair<std::string_view, std::string>>;

/// Writes numbered events to standard error and counts them.
class event_log
{
  public:
    /// \param least "debug", "info", "warn" or "error".
    event_log(std::string instance, const std::string& least);
    ~event_log();
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;

    void write(std::uint16_t number, log_fields fields);
    void write(process_event number, log_fields fields)
    {
        write(static_cast<std::uint16_t>(number), fields);
    }
    /// Occurrences by number since start.
    [[nodiscard]] std::map<std::uint16_t, std::uint64_t> counts() const;

  private:
    std::string instance_;
    severity least_;
    mutable std::mutex mutex_;
    std::map<std::uint16_t, std::uint64_t> counts_;
};

} // namespace sycamorelock::adapters
