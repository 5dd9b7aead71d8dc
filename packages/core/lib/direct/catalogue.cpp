// Lookup of routes and of the objectives of services.
#include "sycamorelock/core/direct/catalogue.hpp"

#include <algorithm>

namespace sycamorelock::core::direct
{

void catalogue::index()
{
    by_host_.clear();
    tightest_.clear();
    for (std::size_t i = 0; i < routes.size(); ++i)
    {
        by_host_[routes[i].host].push_back(i);
        for (const route_target& target : routes[i].targets)
        {
            const auto [found, inserted] =
                tightest_.emplace(target.service, routes[i].objective);
            if (!inserted)
                found->second = std::min(found->second, routes[i].objective);
        }
    }
    for (auto& [host, indexes] : by_host_)
        std::stable_sort(
            indexes.begin(), indexes.end(),
            [this](std::size_t a, std::size_t b)
            { return routes[a].prefix.size() > routes[b].prefix.size(); });
}

const route* catalogue::find_route(std::string_view host,
                                   std::string_view path) const
{
    const auto found = by_host_.find(std::string(host));
    if (found == by_host_.end())
        return nullptr;
    for (const std::size_t i : found->second)
    {
        if (path.starts_with(routes[i].prefix))
            return &routes[i];
    }
    return nullptr;
}

milliseconds catalogue::tightest_objective(service_id service) const
{
    const auto found = tightest_.find(service);
    return found == tightest_.end() ? milliseconds(0) : found->second;
}

} // namespace sycamorelock::core::direct
