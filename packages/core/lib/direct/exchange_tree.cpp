// Sums are computed from scratch in each round, so that no report is counted
// twice.
#include "sycamorelock/core/direct/exchange_tree.hpp"

#include <algorithm>

namespace sycamorelock::core::direct
{

namespace
{

/// Subtracts the items of `part` from the items of `from` with the same id.
/// `from` must be sorted by id.
template <class Item, class Id>
void subtract(std::vector<Item>& from, const std::vector<Item>& part, Id id_of)
{
    for (const Item& each : part)
    {
        const auto found = std::lower_bound(
            from.begin(), from.end(), id_of(each),
            [&](const Item& item, const auto& id) { return id_of(item) < id; });
        if (found != from.end() && id_of(*found) == id_of(each))
            *found -= each;
    }
}

} // namespace

void exchange_total::add(const exchange_sum& part)
{
    for (const endpoint_work& each : part.work)
    {
        endpoint_work& sum = work[each.endpoint];
        sum.endpoint = each.endpoint;
        sum += each;
    }
    for (const account_demand& demand : part.demands)
    {
        account_demand& sum = demands[demand.account];
        sum.account = demand.account;
        sum += demand;
    }
}

exchange_sum exchange_total::without(const exchange_sum& part) const
{
    exchange_sum remainder;
    remainder.work.reserve(work.size());
    for (const auto& [id, sum] : work)
        remainder.work.push_back(sum);
    remainder.demands.reserve(demands.size());
    for (const auto& [id, sum] : demands)
        remainder.demands.push_back(sum);
    subtract(remainder.work, part.work,
             [](const endpoint_work& each) { return each.endpoint; });
    subtract(remainder.demands, part.demands,
             [](const account_demand& each) { return each.account; });
    std::erase_if(remainder.work,
                  [](const endpoint_work& each) { return each.idle(); });
    return remainder;
}

void exchange_tree::set_own(time_point now, exchange_sum own)
{
    own_ = {now, std::move(own)};
}

void exchange_tree::on_member(time_point now, const std::string& member,
                              exchange_sum own)
{
    members_[member] = {now, std::move(own)};
}

void exchange_tree::on_domain(time_point now, const std::string& domain,
                              exchange_sum sum)
{
    domains_[domain] = {now, std::move(sum)};
}

bool exchange_tree::aggregates(time_point now) const
{
    return !members(now).empty();
}

std::vector<std::string> exchange_tree::members(time_point now) const
{
    std::vector<std::string> result;
    for (const auto& [name, member] : members_)
    {
        if (is_current(now, member))
            result.push_back(name);
    }
    return result;
}

exchange_sum exchange_tree::domain_sum(time_point now) const
{
    exchange_total sum;
    add_domain(now, sum);
    return sum.without({});
}

exchange_total exchange_tree::total(time_point now) const
{
    exchange_total sum;
    add_domain(now, sum);
    for (const auto& [name, domain] : domains_)
    {
        if (is_current(now, domain))
            sum.add(domain.sum);
    }
    return sum;
}

void exchange_tree::add_domain(time_point now, exchange_total& sum) const
{
    sum.add(own_.sum);
    for (const auto& [name, member] : members_)
    {
        if (is_current(now, member))
            sum.add(member.sum);
    }
}

exchange_sum exchange_tree::total_without(const exchange_total& total,
                                          const std::string& member) const
{
    return total.without(member.empty() ? own_.sum : members_.at(member).sum);
}

} // namespace sycamorelock::core::direct
