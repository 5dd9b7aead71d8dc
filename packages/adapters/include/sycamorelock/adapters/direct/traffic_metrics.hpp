// Counters and distributions of directly routed requests. Recorded on the
// traffic thread, read on it too.
#pragma once

#include "sycamorelock/adapters/caller_metrics.hpp"
#include "sycamorelock/adapters/metrics.hpp"

#include <map>
#include <memory>
#include <string>

namespace sycamorelock::adapters::direct
{

/// Distributions of one service, in seconds.
struct service_latency
{
    /// From the request to the first event, or to a whole answer.
    latency_histogram first;
    /// Longest pause between events of an answer.
    latency_histogram pause;
    /// From the request to its end.
    latency_histogram total;
};

/// Refusals by client account and reason. The number of accounts is bounded;
/// those beyond it are counted together.
class account_refusals
{
  public:
    /// Accounts that have counters of their own. Operators' collectors keep a
    /// series for each counter of each instance.
    static constexpr std::size_t max_accounts = 64;
    /// Name under which further accounts are counted.
    static constexpr const char* others = "others";

    void add(const std::string& account, const std::string& reason)
    {
        const bool has_room =
            counts_.contains(account) || counts_.size() < max_accounts;
        ++counts_[has_room ? account : others][reason];
    }
    /// Counts by reason, by account.
    [[nodiscard]] const std::map<std::string,
                                 std::map<std::string, std::uint64_t>>&
    counts() const
    {
        return counts_;
    }

  private:
    std::map<std::string, std::map<std::string, std::uint64_t>> counts_;
};

struct direct_metrics
{
    caller_metrics callers;
    std::uint64_t accepted = 0;
    std::uint64_t open = 0;
    std::uint64_t caller_connections = 0;
    std::uint64_t endpoint_connects = 0;
    std::uint64_t rests_asked = 0;
    /// Connections made to find out whether an endpoint has terminated.
    std::uint64_t termination_checks = 0;
    /// Attempts at silent endpoints that went on, as no other took the request.
    std::uint64_t kept = 0;
    /// Attempts sent to another failure domain, and the bytes of their request
    /// and answer bodies.
    std::uint64_t sent_away = 0;
    std::uint64_t bytes_away = 0;
    std::uint64_t reports_sent = 0;
    std::uint64_t reports_received = 0;
    std::map<std::string, std::uint64_t> refused;
    account_refusals refused_accounts;
    std::map<std::string, std::uint64_t> retried;
    std::map<std::string, std::uint64_t> ended;
    std::map<std::string, std::uint64_t> withheld;
    /// By why the last attempt ended and why none followed: "why/why".
    std::map<std::string, std::uint64_t> cut;
    /// Limits on an endpoint's silence that were reached, by what the
    /// connection held at that moment.
    std::map<std::string, std::uint64_t> silences;
    /// Handovers from a silent endpoint, by which endpoint went on and why:
    /// "who/why".
    std::map<std::string, std::uint64_t> handovers;
    /// Answers given up as they had no end, by the part that had none.
    std::map<std::string, std::uint64_t> endless;
    /// Answers that were not passed on, or cut, by why they must not be used.
    std::map<std::string, std::uint64_t> answers_refused;
    /// Pieces of streams that were not the next event, by what they lacked.
    std::map<std::string, std::uint64_t> malformed_events;
    /// By how their release became known.
    std::map<std::string, std::uint64_t> resumed;
    std::map<std::string, std::unique_ptr<service_latency>> latency;

    service_latency& of(const std::string& service)
    {
        auto& found = latency[service];
        if (!found)
            found = std::make_unique<service_latency>();
        return *found;
    }
    /// Prometheus text.
    [[nodiscard]] std::string text() const;

  private:
    void distributions(std::string& out, const std::string& name,
                       const char* help,
                       latency_histogram service_latency::*which) const;
};

} // namespace sycamorelock::adapters::direct
