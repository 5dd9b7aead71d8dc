// Read-only view of the configuration for the traffic threads.
#pragma once

#include "sycamorelock/core/topology.hpp"

#include <memory>
#include <string>
#include <unordered_map>

namespace sycamorelock::adapters
{

struct endpoint_route
{
    core::endpoint_id id;
    std::string name;
    std::string ip;
    std::uint16_t port = 0;
};

struct service_route
{
    core::service_id id;
    core::service_kind kind = core::service_kind::model;
};

class routing_table
{
  public:
    explicit routing_table(const core::topology& tree);

    /// The account that an API key belongs to, or null.
    [[nodiscard]] const core::account_id*
    account_of_key(const std::string& key) const;
    [[nodiscard]] const service_route* service(const std::string& name) const;
    [[nodiscard]] const endpoint_route* endpoint(core::endpoint_id id) const;

  private:
    struct holder
    {
        std::string digest;
        core::account_id account;
    };
    std::unordered_multimap<std::string, holder> keys_;
    std::unordered_map<std::string, service_route> services_;
    std::unordered_map<core::endpoint_id, endpoint_route> endpoints_;
};

} // namespace sycamorelock::adapters
