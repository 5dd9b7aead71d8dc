// Structured log: one JSON object a line, one number per kind of event.
// docs/EVENTS.md is the catalogue; a test holds the two together.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
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
    failed = 1006,
    config_installed = 1101,
    config_refused = 1102,
    members_refused = 1103,
    platform_unreachable = 1104,
    platform_returned = 1105,
    peer_message_dropped = 1201,
    peer_connection_unreadable = 1202,
    accept_failed = 1203,
    accept_recovered = 1204,
    bad_request = 1301,
    endpoint_endless = 1302,
    event_malformed = 1303,
    session_failed = 1304,
    handler_failed = 1305,
    answer_refused = 1306,
    invariant_answer_mixed = 1901,
};

/// Events of an instance that routes directly.
enum class direct_event : std::uint16_t
{
    request_placed = 3001,
    request_refused = 3002,
    request_ended = 3003,
    attempt_repeated = 3004,
    foreign_answer = 3005,
    request_rejected = 3006,
    endpoint_silent = 3007,
    stream_resumed = 3008,
    silent_endpoint_kept = 3009,
    crash_evidence = 3010,
    endpoint_endless = 3011,
    event_malformed = 3012,
    request_unreadable = 3013,
    session_failed = 3014,
    handler_failed = 3015,
    attempt_failed = 3016,
    handover_ended = 3017,
    answer_refused = 3018,
    endpoint_seen = 3101,
    endpoint_draining = 3102,
    endpoint_gone = 3103,
    entry_unreadable = 3104,
    endpoint_missing = 3105,
    endpoint_rests = 3106,
    domain_drained = 3107,
    domain_taken_back = 3108,
    peers_changed = 3201,
    link_renewed = 3202,
    config_passed_on = 3203,
    endpoints_passed_on = 3204,
    caches_passed_on = 3205,
    caches_learned = 3206,
    streams_passed_on = 3207,
    streams_learned = 3208,
    store_lost = 3301,
    store_back = 3302,
    store_history_gone = 3303,
    store_answer_malformed = 3304,
    store_followed = 3305,
    lines_dropped = 3401,
    lines_left_out = 3402,
    accept_failed = 3403,
    traffic_late = 3404,
    accept_recovered = 3405,
    settings_reloaded = 3501,
    settings_refused = 3502,
};

/// Name and value pairs of one line.
using log_fields =
    std::initializer_list<std::pair<std::string_view, std::string>>;

/// Where lines go, and who writes them.
enum class log_output : std::uint8_t
{
    /// Standard error, written by the thread that logs.
    standard_error,
    /// Standard output, written by a thread of its own from a bounded queue.
    /// Nobody who logs ever waits; what does not fit is counted.
    standard_output_queued,
};

/// Writes numbered events and counts them.
class event_log
{
  public:
    /// \param least "debug", "info", "warn" or "error".
    event_log(std::string instance, const std::string& least,
              log_output output = log_output::standard_error);
    ~event_log();
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;

    void write(std::uint16_t number, log_fields fields);
    void write(process_event number, log_fields fields)
    {
        write(static_cast<std::uint16_t>(number), fields);
    }
    void write(direct_event number, log_fields fields)
    {
        write(static_cast<std::uint16_t>(number), fields);
    }
    /// Counter of every kind of event, as Prometheus text.
    [[nodiscard]] std::string text() const;
    /// Occurrences by number since start.
    [[nodiscard]] std::map<std::uint16_t, std::uint64_t> counts() const;

  private:
    /// Whether a line still fits in this second; `left_out` gets the number of
    /// those that did not fit in an earlier one.
    bool fits(std::uint16_t number, std::int64_t second,
              std::uint64_t& left_out);

    std::string instance_;
    severity least_;
    mutable std::mutex mutex_;
    std::map<std::uint16_t, std::uint64_t> counts_;
    /// Lines written in the second that began at `second_`, by number.
    std::map<std::uint16_t, unsigned> written_;
    std::int64_t second_ = 0;
    std::uint64_t left_out_ = 0;
    class queued_writer;
    std::unique_ptr<queued_writer> queue_;
};

} // namespace sycamorelock::adapters
