// Requests are told apart by instance through the callers' records.
#include "soak_notices.hpp"

#include <algorithm>
#include <optional>

namespace soak
{

namespace
{

using standin::arrival;

/// Time for which a leaving endpoint may still be sent requests, as operators
/// see it.
constexpr milliseconds leaving_bound{2000};
/// What is on its way when an endpoint asks for rest.
constexpr milliseconds rest_slack{500};
constexpr std::ptrdiff_t most_in_rest = 2;

} // namespace

bool overlaps(const std::vector<excuse>& excuses, std::size_t of,
              clock::time_point from, clock::time_point to)
{
    return std::ranges::any_of(
        excuses, [=](const excuse& each)
        { return each.of == of && each.from <= to && each.to >= from; });
}

std::vector<notice_action> draw_notices(std::uint64_t seed, milliseconds length)
{
    static constexpr std::uint64_t stream = 0x6e6f74696365;
    static constexpr int most = 6;
    std::mt19937_64 random(seed ^ stream);
    std::uniform_int_distribution<milliseconds::rep> at(500, length.count());
    std::uniform_int_distribution<milliseconds::rep> lasts(200, 2500);
    std::uniform_int_distribution<std::size_t> target(0, 1000);
    std::vector<notice_action> made;
    for (int i = 0; i < most; ++i)
        made.push_back({milliseconds(at(random)), milliseconds(lasts(random)),
                        i == 0, target(random)});
    return made;
}

notice_check::notice_check(const std::vector<record>& records,
                           std::vector<excuse> instances,
                           std::vector<excuse> endpoints)
    : instances_(std::move(instances)), endpoints_(std::move(endpoints))
{
    for (const record& each : records)
        records_[each.call.id] = &each;
}

std::vector<std::string>
notice_check::broken_at(std::size_t index,
                        const standin::direct_engine& endpoint) const
{
    const std::vector<arrival> all = endpoint.arrivals();
    std::map<std::size_t, arrivals> by_instance;
    for (const arrival& each : all)
    {
        const auto asked = records_.find(each.attempt_id);
        if (asked != records_.end())
            by_instance[asked->second->instance].push_back(&each);
    }
    std::vector<std::string> broken;
    for (const auto& [instance, arrived] : by_instance)
    {
        check_leaving(arrived, instance, endpoint.boot(), broken);
        check_rest(arrived, instance, index, endpoint.boot(), broken);
    }
    return broken;
}

void notice_check::check_leaving(const arrivals& all, std::size_t instance,
                                 const std::string& boot,
                                 std::vector<std::string>& broken) const
{
    std::optional<clock::time_point> told;
    for (const arrival* each : all)
    {
        const record& asked = *records_.at(each->attempt_id);
        const bool passed_on = asked.got.status == 200 && asked.got.whole;
        if (each->leaving && passed_on && (!told || asked.end < *told))
            told = asked.end;
    }
    if (!told)
        return;
    for (const arrival* each : all)
    {
        const record& asked = *records_.at(each->attempt_id);
        const bool late = asked.start > *told + leaving_bound;
        if (late && !overlaps(instances_, instance, *told, each->at))
            broken.push_back(each->attempt_id + " reached " + boot +
                             " from instance " + std::to_string(instance) +
                             " after it had said there that it leaves");
    }
}

void notice_check::check_rest(const arrivals& all, std::size_t instance,
                              std::size_t index, const std::string& boot,
                              std::vector<std::string>& broken) const
{
    for (const arrival* asked : all)
    {
        const clock::time_point from = asked->at + rest_slack;
        const clock::time_point to = asked->at + asked->rest;
        if (from >= to || overlaps(instances_, instance, asked->at, to) ||
            overlaps(endpoints_, index, asked->at, to))
            continue;
        const auto arrived =
            std::ranges::count_if(all, [=](const arrival* each)
                                  { return each->at > from && each->at < to; });
        if (arrived > most_in_rest)
            broken.push_back(boot + " had asked instance " +
                             std::to_string(instance) + " for " +
                             std::to_string(asked->rest.count()) +
                             " ms of rest and got " + std::to_string(arrived) +
                             " requests in it");
    }
}

} // namespace soak
