// Endpoints as they register themselves: starting, draining and gone. Keeps
// what is known while the platform is away.
#pragma once

#include "sycamorelock/core/direct/release.hpp"
#include "sycamorelock/core/strong_types.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace sycamorelock::core::direct
{

/// One start of an endpoint.
struct endpoint_record
{
    /// Name of the endpoint's entry. A restart has another one, or the same
    /// with another time of its start.
    std::string boot;
    service_id service;
    /// IP:port
    std::string address;
    domain_id domain;
    unsigned slots = 1;
    bool draining = false;
    /// Generation of the store at which the entry was written.
    std::uint64_t revision = 0;
    /// Unix time of the start in ms; 0 if the endpoint does not tell.
    std::uint64_t started_ms = 0;
    /// How much longer it warmed up when it wrote the entry; zero if it is
    /// warm.
    std::chrono::milliseconds warmup_left{0};
    /// Version of its software; empty if it does not tell.
    std::string version{};

    /// Tells two starts apart: a new one keeps and runs nothing of before, so
    /// nothing that is believed of the old one may hold for it.
    [[nodiscard]] endpoint_id id() const;
    /// A digest, made anew by each call.
    [[nodiscard]] release_id release() const
    {
        return release_of(service, version);
    }
};

class endpoint_registry
{
  public:
    /// Entries that lapsed during an outage of the platform are back within
    /// this time after its return if their endpoint lives. The platform
    /// promises about two seconds; a quarter is added for the way to it.
    static constexpr duration return_grace = std::chrono::milliseconds(2500);

    /// Of this part of a service's entries those that are missing after an
    /// outage count as gone at once: when entries lapse, most of them do, and
    /// when a few endpoints leave, nothing may be sent to them for as long as
    /// the grace. If a quarter did lapse, the rest serves for two seconds.
    static constexpr std::size_t few_divisor = 4;

    /// Adds or changes an entry. Returns false if nothing changed.
    bool put(endpoint_record record);

    /// Drops an entry that names no endpoint any more, also within the grace.
    /// Returns whether there was one.
    bool drop(const std::string& boot);

    /// Notes that an entry is gone. It stays in use until the grace after an
    /// outage has passed.
    void remove(const std::string& boot);

    /// Whether an entry is missing and still in use.
    [[nodiscard]] bool is_kept(const std::string& boot) const
    {
        return going_.contains(boot);
    }

    /// Takes a complete listing: entries that it lacks are removed.
    void replace(const std::vector<endpoint_record>& all);

    /// Notes that the platform answers again after an outage, since `at`.
    void platform_returned(time_point at);

    /// Notes that the platform has answered others for longer than was known:
    /// the grace ends sooner.
    void platform_up_since(time_point at);

    /// Drops entries whose grace is over or that are few. To be called after a
    /// whole batch of news. Returns those that were dropped.
    std::vector<std::string> expire(time_point now);

    /// What a complete listing changes.
    struct listing_news
    {
        std::vector<endpoint_record> changed;
        /// Entries that it lacks.
        std::vector<std::string> gone;
    };
    /// Takes over the endpoints of an instance that reads the platform's store
    /// for this one and has applied the grace. A listing that is older than one
    /// that was taken over changes nothing: it may have entries that went
    /// since.
    ///
    /// \param revision generation of the store up to which the listing is
    /// right.
    listing_news adopt(std::uint64_t revision,
                       const std::vector<endpoint_record>& all);

    /// The same for two instances that know the same endpoints.
    [[nodiscard]] std::uint64_t digest() const;

    [[nodiscard]] const std::map<std::string, endpoint_record>& all() const
    {
        return records_;
    }

  private:
    /// Adds and changes entries, and names those that the listing lacks.
    listing_news merge(const std::vector<endpoint_record>& all);
    /// Whether so few entries of a service went since the return that they
    /// have left rather than lapsed.
    [[nodiscard]] bool few_went(service_id service) const;

    std::map<std::string, endpoint_record> records_;
    /// Entries that are missing and still in use.
    std::set<std::string> going_;
    time_point grace_until_;
    std::uint64_t adopted_revision_ = 0;
    /// Entries of each service at the return of the platform, and those of
    /// them that were dropped within the grace.
    std::map<service_id, std::size_t> at_return_;
    std::map<service_id, std::size_t> dropped_;
};

} // namespace sycamorelock::core::direct
