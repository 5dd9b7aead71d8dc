// Endpoints as they register themselves: starting, draining and gone. Keeps
// what is known while the platform is away.
#pragma once

#include "sycamorelock/core/strong_types.hpp"

#include <map>
#include <string>
#include <vector>

namespace sycamorelock::core::direct
{

/// One start of an endpoint.
struct endpoint_record
{
    /// Names this start of the endpoint; a restart has another one.
    std::string boot;
    service_id service;
    /// IP:port
    std::string address;
    domain_id domain;
    unsigned slots = 1;
    bool draining = false;
    /// Generation of the store at which the entry was written.
    std::uint64_t revision = 0;

    [[nodiscard]] endpoint_id id() const { return endpoint_id::of(boot); }
};

class endpoint_registry
{
  public:
    /// Entries that lapsed during an outage of the platform are back within
    /// this time after its return if their endpoint lives. The platform
    /// promises about two seconds; a quarter is added for the way to it.
    static constexpr duration return_grace = std::chrono::milliseconds(2500);

    /// Adds or changes an entry. Returns false if nothing changed.
    bool put(endpoint_record record);

    /// Notes that an entry is gone. It stays in use until the grace after an
    /// outage has passed.
    void remove(time_point now, const std::string& boot);

    /// Takes a complete listing: entries that it lacks are removed.
    void replace(time_point now, const std::vector<endpoint_record>& all);

    /// Notes that the platform answers again after an outage.
    void platform_returned(time_point now)
    {
        grace_until_ = now + return_grace;
    }

    /// Drops entries whose grace is over. Returns whether any was dropped.
    bool expire(time_point now);

    [[nodiscard]] const std::map<std::string, endpoint_record>& all() const
    {
        return records_;
    }

  private:
    std::map<std::string, endpoint_record> records_;
    std::map<std::string, time_point> going_;
    time_point grace_until_;
};

} // namespace sycamorelock::core::direct
