// Sums are made when asked for, so that no part counts twice.
#include "sycamorelock/core/direct/exchange_tree.hpp"

namespace sycamorelock::core::direct
{

namespace
{

/// Adds up sums by endpoint and by account.
class adder
{
  public:
    void add(const exchange_sum& part)
    {
        for (const endpoint_work& work : part.work)
        {
            endpoint_work& sum = work_[work.endpoint];
            sum.endpoint = work.endpoint;
            sum += work;
        }
        for (const account_demand& demand : part.demands)
        {
            account_demand& sum = demands_[demand.account];
            sum.account = demand.account;
            sum.asked += demand.asked;
            sum.served += demand.served;
        }
    }

    [[nodiscard]] exchange_sum result() const
    {
        exchange_sum made;
        made.work.reserve(work_.size());
        for (const auto& [id, work] : work_)
            made.work.push_back(work);
        made.demands.reserve(demands_.size());
        for (const auto& [id, demand] : demands_)
            made.demands.push_back(demand);
        return made;
    }

  private:
    std::map<endpoint_id, endpoint_work> work_;
    std::map<account_id, account_demand> demands_;
};

} // namespace

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
        if (fresh(now, member))
            result.push_back(name);
    }
    return result;
}

exchange_sum exchange_tree::domain_sum(time_point now) const
{
    adder sum;
    sum.add(own_.sum);
    for (const auto& [name, member] : members_)
    {
        if (fresh(now, member))
            sum.add(member.sum);
    }
    return sum.result();
}

exchange_sum exchange_tree::rest_for(time_point now,
                                     const std::string& member) const
{
    adder sum;
    if (!member.empty())
        sum.add(own_.sum);
    for (const auto& [name, other] : members_)
    {
        if (name != member && fresh(now, other))
            sum.add(other.sum);
    }
    for (const auto& [name, domain] : domains_)
    {
        if (fresh(now, domain))
            sum.add(domain.sum);
    }
    return sum.result();
}

} // namespace sycamorelock::core::direct
