// Splitting of services into shards, and rendezvous hashing.
#include "sycamorelock/core/topology.hpp"

#include <openssl/sha.h>

#include <algorithm>
#include <cstring>

namespace sycamorelock::core
{

std::vector<shard_spec> shards_of(const service_spec& service)
{
    std::map<domain_id, std::vector<endpoint_spec>> by_domain;
    for (const endpoint_spec& endpoint : service.endpoints)
        by_domain[endpoint.domain].push_back(endpoint);

    std::vector<shard_spec> shards;
    for (auto& [domain, endpoints] : by_domain)
    {
        std::sort(endpoints.begin(), endpoints.end(),
                  [](const auto& a, const auto& b) { return a.name < b.name; });
        const std::size_t shard_count =
            (endpoints.size() + max_shard_endpoints - 1) / max_shard_endpoints;
        for (std::size_t index = 0; index < shard_count; ++index)
        {
            shard_spec shard;
            shard.id = {service.id, domain, static_cast<std::uint32_t>(index)};
            for (std::size_t i = index; i < endpoints.size(); i += shard_count)
                shard.endpoints.push_back(endpoints[i]);
            shards.push_back(std::move(shard));
        }
    }
    return shards;
}

std::string rendezvous_subject(const shard_id& shard)
{
    return std::to_string(shard.service.value()) + '/' +
           std::to_string(shard.domain.value()) + '/' +
           std::to_string(shard.index);
}

std::optional<instance_id>
rendezvous(const std::vector<instance_id>& candidates,
           const std::string& subject)
{
    std::optional<instance_id> best;
    std::uint64_t best_score = 0;
    for (const instance_id candidate : candidates)
    {
        const std::string text =
            subject + '@' + std::to_string(candidate.value());
        unsigned char digest[SHA256_DIGEST_LENGTH];
        SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
               digest);
        std::uint64_t score = 0;
        std::memcpy(&score, digest, sizeof score);
        if (best && score <= best_score)
            continue;
        best = candidate;
        best_score = score;
    }
    return best;
}

} // namespace sycamorelock::core
