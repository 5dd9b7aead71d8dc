// Failure domains that operators have drained: their endpoints get no new
// requests until the drain is removed.
#pragma once

#include "sycamorelock/core/strong_types.hpp"

#include <map>
#include <set>
#include <vector>

namespace sycamorelock::core::direct
{

/// Drain state of one failure domain as operators last wrote it.
struct domain_drain
{
    domain_id domain;
    /// Revision of the store at which the drain was written or removed.
    std::uint64_t revision = 0;
    bool active = false;
    /// Time since the end of the drain became known; zero while it is active.
    duration ended_for{0};

    bool operator==(const domain_drain&) const = default;
};

/// Keeps the state with the highest revision of each domain, regardless of
/// which instance reported it, so that an outdated view of the store neither
/// ends a drain nor restores one.
class drained_domains
{
  public:
    /// Maximum number of domains. Domains without endpoints are kept too, since
    /// an endpoint of that domain may register later.
    static constexpr std::size_t max_domains = 1000;

    /// Takes over the state of one domain. Returns whether it was stored: it is
    /// not if the known state is as new, or if the domain is unknown and
    /// `max_domains` domains are kept already.
    bool put(time_point now, const domain_drain& drain);

    /// Takes over the states of several domains. \return those that were
    /// stored.
    std::vector<domain_drain> put_all(time_point now,
                                      const std::vector<domain_drain>& drains);

    /// Applies a complete listing of the active drains.
    /// \param revision revision of the store up to which the listing is
    /// complete; drains that it lacks have ended unless they are newer.
    /// \return the states that have changed.
    std::vector<domain_drain> replace(time_point now, std::uint64_t revision,
                                      const std::vector<domain_drain>& active);

    /// Whether a domain has an active drain.
    [[nodiscard]] bool is_drained(domain_id domain) const;
    /// All domains with an active drain.
    [[nodiscard]] std::set<domain_id> active() const;
    /// The states of all domains, to report to other instances.
    [[nodiscard]] std::vector<domain_drain> for_report(time_point now) const;

  private:
    struct drain_state
    {
        std::uint64_t revision = 0;
        bool active = false;
        /// When the end of the drain became known.
        time_point ended_at;
    };

    std::map<domain_id, drain_state> known_;
};

} // namespace sycamorelock::core::direct
