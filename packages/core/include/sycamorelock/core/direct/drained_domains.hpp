// Failure domains whose endpoints get nothing new until operators take the
// domain back.
#pragma once

#include "sycamorelock/core/strong_types.hpp"

#include <map>
#include <set>
#include <vector>

namespace sycamorelock::core::direct
{

/// What operators last wrote about one failure domain.
struct domain_drain
{
    domain_id domain;
    /// Generation of the store at which it was written or removed.
    std::uint64_t revision = 0;
    bool active = false;
    /// Time since its end was heard of; zero while it is active.
    duration ended_for{0};

    bool operator==(const domain_drain&) const = default;
};

/// The newest statement about each domain holds, whoever tells it, so that an
/// older picture of the store neither ends a drain nor brings one back.
class drained_domains
{
  public:
    /// Domains that are kept in mind. Names that no endpoint has are kept too:
    /// an endpoint of that domain may come later.
    static constexpr std::size_t most = 1000;

    /// Takes one statement. Returns whether it is newer than what was known.
    bool put(time_point now, const domain_drain& told);

    /// Takes several. \return those that are newer than what was known.
    std::vector<domain_drain> put_all(time_point now,
                                      const std::vector<domain_drain>& told);

    /// Takes a complete listing of the active drains.
    /// \param revision generation up to which the listing is right; drains
    /// that it lacks have ended unless they are newer.
    /// \return what has changed.
    std::vector<domain_drain> replace(time_point now, std::uint64_t revision,
                                      const std::vector<domain_drain>& active);

    [[nodiscard]] bool is_drained(domain_id domain) const;
    [[nodiscard]] std::set<domain_id> active() const;
    /// All statements, for other instances.
    [[nodiscard]] std::vector<domain_drain> told_at(time_point now) const;

  private:
    struct statement
    {
        std::uint64_t revision = 0;
        bool active = false;
        time_point ended_at;
    };

    std::map<domain_id, statement> known_;
};

} // namespace sycamorelock::core::direct
