// Lookups of the traffic threads.
#include "sycamorelock/adapters/routing_table.hpp"

#include "sycamorelock/settings/documents.hpp"

#include <openssl/crypto.h>

namespace sycamorelock::adapters
{

namespace
{

/// Digests are found by a prefix; only the full compare decides.
constexpr std::size_t prefix_size = 8;

} // namespace

routing_table::routing_table(const core::topology& tree)
{
    for (const auto& [id, account] : tree.accounts)
    {
        for (const std::string& digest : account.key_digests)
            keys_.emplace(digest.substr(0, prefix_size), holder{digest, id});
    }
    for (const auto& [id, service] : tree.services)
    {
        services_[service.name] = {id, service.kind};
        for (const core::endpoint_spec& endpoint : service.endpoints)
        {
            const auto colon = endpoint.address.rfind(':');
            endpoint_route route;
            route.id = endpoint.id;
            route.name = endpoint.name;
            route.ip = endpoint.address.substr(0, colon);
            route.port = static_cast<std::uint16_t>(
                std::stoul(endpoint.address.substr(colon + 1)));
            endpoints_[endpoint.id] = std::move(route);
        }
    }
}

const core::account_id*
routing_table::account_of_key(const std::string& key) const
{
    const std::string digest = settings::digest_of_key(key);
    const auto [first, last] = keys_.equal_range(digest.substr(0, prefix_size));
    const core::account_id* match = nullptr;
    for (auto it = first; it != last; ++it)
    {
        const std::string& known = it->second.digest;
        const bool same =
            known.size() == digest.size() &&
            CRYPTO_memcmp(known.data(), digest.data(), digest.size()) == 0;
        if (same)
            match = &it->second.account;
    }
    return match;
}

const service_route* routing_table::service(const std::string& name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : &found->second;
}

const endpoint_route* routing_table::endpoint(core::endpoint_id id) const
{
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : &found->second;
}

} // namespace sycamorelock::adapters
