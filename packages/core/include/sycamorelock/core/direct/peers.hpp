// Which other instances live, found from a few seeds and from what those tell.
#pragma once

#include "sycamorelock/core/direct/exchange.hpp"

#include <map>
#include <set>

namespace sycamorelock::core::direct
{

class peers
{
  public:
    /// An instance that was not heard for this time counts as gone. Thirty
    /// reports; a machine under load is late by a few of them.
    static constexpr duration silent_after = std::chrono::seconds(3);
    /// Afterwards it is still tried for this time, in case a cut heals.
    static constexpr duration forget_after = std::chrono::seconds(60);
    /// A link whose reports are not acknowledged for this time is dialled
    /// anew: connections can go silent without a reset.
    static constexpr duration stale_link_after = std::chrono::seconds(2);

    peers(std::string self, std::uint64_t incarnation,
          const std::vector<std::string>& seeds);

    /// Takes a report. Returns false if it is an old one or from a process
    /// that has ended.
    bool heard(time_point now, const exchange_report& report);

    /// Fills in the sender, its number and what it knows of others.
    void fill_report(time_point now, exchange_report& report);

    /// Addresses to send reports to.
    [[nodiscard]] std::vector<std::string> targets(time_point now) const;

    /// Addresses whose link must be dialled anew.
    std::vector<std::string> stale_links(time_point now);

    /// Instances heard lately, without this one.
    [[nodiscard]] std::size_t live(time_point now) const;

    /// Those that fell silent since the last call.
    std::vector<instance_id> newly_silent(time_point now);

    /// Addresses of live peers whose configuration is older than `version`.
    [[nodiscard]] std::vector<std::string> behind(time_point now,
                                                  std::uint64_t version) const;

  private:
    struct peer
    {
        std::uint64_t incarnation = 0;
        std::uint64_t number = 0;
        std::uint64_t config_version = 0;
        /// Newest of our reports that it has acknowledged.
        std::uint64_t acknowledged = 0;
        time_point acknowledged_at;
        time_point heard_at;
        time_point known_since;
        bool live = false;
        bool leaving = false;
    };

    std::string self_;
    std::uint64_t incarnation_;
    std::set<std::string> seeds_;
    std::uint64_t number_ = 0;
    std::map<std::string, peer> peers_;
};

} // namespace sycamorelock::core::direct
