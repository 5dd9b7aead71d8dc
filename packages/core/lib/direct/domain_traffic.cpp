// Averages the sizes of answers by route.
#include "sycamorelock/core/direct/domain_traffic.hpp"

#include <algorithm>

namespace sycamorelock::core::direct
{

namespace
{

/// Size assumed of an answer to a route without observations: some twenty
/// events of a stream.
constexpr double default_answer_bytes = 2000;
/// Number of latest answers that the average covers.
constexpr double max_weight = 200;

} // namespace

void domain_traffic::note_answer(const std::string& route, double bytes)
{
    answer_sizes& known =
        answers_.try_emplace(route, answer_sizes{default_answer_bytes, 1})
            .first->second;
    known.weight = std::min(known.weight + 1, max_weight);
    known.mean_bytes += (bytes - known.mean_bytes) / known.weight;
}

double domain_traffic::expected_answer_bytes(const std::string& route) const
{
    const auto known = answers_.find(route);
    return known == answers_.end() ? default_answer_bytes
                                   : known->second.mean_bytes;
}

} // namespace sycamorelock::core::direct
