// Start-time fair queuing with late-bound costs: an account is charged the
// estimated cost when its request gets a slot, and the charge is corrected once
// the actual cost is known.
#include "sycamorelock/core/fair_queue.hpp"

#include <algorithm>
#include <cassert>

namespace sycamorelock::core
{

fair_queue::fair_queue(fair_queue_options options) : options_(options) {}

fair_queue::account_state& fair_queue::state_of(account_id account)
{
    const auto found = accounts_.find(account);
    if (found != accounts_.end())
    {
        found->second.last_used = ++sequence_;
        return found->second;
    }
    if (accounts_.size() >= options_.max_accounts)
        evict_idle_accounts();
    account_state& state = accounts_[account];
    state.start_tag = system_time_;
    state.last_used = ++sequence_;
    return state;
}

void fair_queue::evict_idle_accounts()
{
    // Evicts a tenth of the idle accounts at a time, which amortizes the sort.
    std::vector<std::pair<std::uint64_t, account_id>> idle;
    for (const auto& [account, state] : accounts_)
    {
        if (!state.requests.empty())
            continue;
        idle.emplace_back(state.last_used, account);
    }
    std::sort(idle.begin(), idle.end());
    const std::size_t drop = std::max<std::size_t>(1, idle.size() / 10);
    for (std::size_t i = 0; i < drop && i < idle.size(); ++i)
        accounts_.erase(idle[i].second);
}

double fair_queue::service_rank_of(const account_state& state) const
{
    assert(!state.requests.empty() && "an idle account has no service rank");
    const position& head = state.requests.begin()->first;
    if (options_.order == queue_order::arrival)
        return static_cast<double>(head.second);
    const bool urgent = head.first <= options_.max_urgent_level;
    return state.start_tag.value() -
           (urgent ? options_.urgent_credit.value() : 0);
}

void fair_queue::reorder(account_id account, account_state& state)
{
    if (state.service_rank)
        service_order_.erase(*state.service_rank);
    state.service_rank.reset();
    if (state.requests.empty())
        return;
    state.service_rank = ranked_account{service_rank_of(state), account};
    service_order_.insert(*state.service_rank);
}

void fair_queue::set_weight(account_id account, double weight)
{
    assert(weight > 0 && "the settings package validates weights");
    account_state& state = state_of(account);
    if (!state.requests.empty())
        backlogged_weight_ += weight - state.weight;
    state.weight = weight;
}

double fair_queue::weight(account_id account) const
{
    const auto found = accounts_.find(account);
    return found == accounts_.end() ? 1 : found->second.weight;
}

bool fair_queue::push(const waiting_request& request, prior_state prior)
{
    if (index_.contains(request.id))
        return false;
    account_state& state = state_of(request.account);
    if (state.requests.empty())
    {
        // An idle account earns no credit: on its return it starts at the
        // system time, level with the backlogged accounts.
        if (prior == prior_state::idle)
            state.start_tag = std::max(state.start_tag, system_time_);
        backlogged_weight_ += state.weight;
    }
    // Arrival order ignores urgency, also within an account.
    const std::uint8_t level =
        options_.order == queue_order::fair ? request.urgency : 0;
    const position place{level, ++sequence_};
    state.requests.emplace(place, request);
    state.waiting_cost += request.estimate;
    index_.emplace(request.id, std::make_pair(request.account, place));
    deadlines_.emplace(request.deadline, request.id);
    reorder(request.account, state);
    return true;
}

const waiting_request* fair_queue::front() const
{
    if (service_order_.empty())
        return nullptr;
    const account_state& state = accounts_.at(service_order_.begin()->second);
    return &state.requests.begin()->second;
}

const waiting_request*
fair_queue::first_movable(const account_condition& allowed) const
{
    for (const ranked_account& next : service_order_)
    {
        const account_state& state = accounts_.at(next.second);
        if (!allowed(next.second, state.start_tag))
            continue;
        for (const auto& [place, request] : state.requests)
        {
            if (request.moved)
                continue;
            return &request;
        }
    }
    return nullptr;
}

std::optional<waiting_request> fair_queue::remove(request_id id)
{
    const auto found = index_.find(id);
    if (found == index_.end())
        return std::nullopt;
    const auto [account, place] = found->second;
    account_state& state = accounts_.at(account);
    const auto entry = state.requests.find(place);
    const waiting_request request = entry->second;
    state.requests.erase(entry);
    state.waiting_cost = state.waiting_cost - request.estimate;
    index_.erase(found);
    deadlines_.erase({request.deadline, id});
    if (state.requests.empty())
        backlogged_weight_ =
            service_order_.size() == 1 ? 0 : backlogged_weight_ - state.weight;
    reorder(account, state);
    return request;
}

bool fair_queue::contains(const request_id& id) const
{
    return index_.contains(id);
}

void fair_queue::charge(account_id account, cost amount)
{
    account_state& state = state_of(account);
    // The system time follows the virtual time of the account being served. It
    // never decreases, even if an estimate is corrected downwards.
    if (amount.value() > 0)
        system_time_ = std::max(system_time_,
                                std::min(state.start_tag, next_virtual_time()));
    const double shift = static_cast<double>(amount.value()) / state.weight;
    state.start_tag += virtual_time(shift);
    reorder(account, state);
}

void fair_queue::charge_remote(account_id account, cost amount)
{
    account_state& state = state_of(account);
    const double shift = static_cast<double>(amount.value()) / state.weight;
    state.start_tag += virtual_time(shift);
    reorder(account, state);
}

std::vector<account_id> fair_queue::limit_lag()
{
    virtual_time highest = system_time_;
    for (const ranked_account& each : service_order_)
        highest = std::max(highest, accounts_.at(each.second).start_tag);
    return raise_to(highest - options_.max_lag);
}

std::vector<account_id> fair_queue::raise_to(virtual_time least)
{
    if (least <= system_time_)
        return {};
    // Lag beyond the limit is cancelled by raising the lagging accounts instead
    // of lowering the leading one: virtual times that only grow can be merged
    // between schedulers in any order.
    system_time_ = least;
    std::vector<account_id> raised;
    for (const account_id account : backlogged())
    {
        account_state& state = accounts_.at(account);
        if (state.start_tag >= least)
            continue;
        state.start_tag = least;
        reorder(account, state);
        raised.push_back(account);
    }
    return raised;
}

void fair_queue::raise_system_time(virtual_time to)
{
    system_time_ = std::max(system_time_, to);
}

void fair_queue::adopt(account_id account, virtual_time at)
{
    account_state& state = state_of(account);
    state.start_tag = std::max(state.start_tag, at);
    reorder(account, state);
}

virtual_time fair_queue::virtual_time_of(account_id account) const
{
    const auto found = accounts_.find(account);
    return found == accounts_.end() ? system_time_ : found->second.start_tag;
}

virtual_time fair_queue::next_virtual_time() const
{
    if (service_order_.empty())
        return system_time_;
    return accounts_.at(service_order_.begin()->second).start_tag;
}

std::size_t fair_queue::size_of(account_id account) const
{
    const auto found = accounts_.find(account);
    return found == accounts_.end() ? 0 : found->second.requests.size();
}

cost fair_queue::waiting_cost(account_id account) const
{
    const auto found = accounts_.find(account);
    return found == accounts_.end() ? cost{0} : found->second.waiting_cost;
}

std::vector<std::pair<account_id, virtual_time>>
fair_queue::virtual_times() const
{
    std::vector<std::pair<account_id, virtual_time>> result;
    result.reserve(accounts_.size());
    for (const auto& [account, state] : accounts_)
        result.emplace_back(account, state.start_tag);
    return result;
}

std::vector<account_id> fair_queue::backlogged() const
{
    std::vector<account_id> result;
    result.reserve(service_order_.size());
    for (const ranked_account& each : service_order_)
        result.push_back(each.second);
    return result;
}

std::vector<waiting_request> fair_queue::moved_here() const
{
    std::vector<waiting_request> result;
    for (const ranked_account& each : service_order_)
    {
        for (const auto& [place, request] : accounts_.at(each.second).requests)
        {
            if (request.moved)
                result.push_back(request);
        }
    }
    return result;
}

std::vector<waiting_request> fair_queue::expire(time_point now)
{
    std::vector<waiting_request> expired;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now)
    {
        const request_id id = deadlines_.begin()->second;
        expired.push_back(*remove(id));
    }
    return expired;
}

void fair_queue::clear_requests()
{
    while (!index_.empty())
        remove(index_.begin()->first);
}

} // namespace sycamorelock::core
