// Start-time fair queuing with late-bound costs: an account is charged when its
// request gets a slot, and the charge is corrected as the true cost is seen.
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
        forget_idle_accounts();
    account_state& state = accounts_[account];
    state.at = system_time_;
    state.last_used = ++sequence_;
    return state;
}

void fair_queue::forget_idle_accounts()
{
    // A tenth is dropped at a time, so that the sort is paid for rarely.
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

double fair_queue::turn_value(const account_state& state) const
{
    assert(!state.requests.empty() && "an idle account has no turn");
    const position& head = state.requests.begin()->first;
    if (options_.order == queue_order::arrival)
        return static_cast<double>(head.second);
    const bool urgent = head.first <= options_.urgent_up_to;
    return state.at.value() - (urgent ? options_.urgent_credit.value() : 0);
}

void fair_queue::reorder(account_id account, account_state& state)
{
    if (state.turn_key)
        turns_.erase(*state.turn_key);
    state.turn_key.reset();
    if (state.requests.empty())
        return;
    state.turn_key = turn{turn_value(state), account};
    turns_.insert(*state.turn_key);
}

void fair_queue::set_weight(account_id account, double weight)
{
    assert(weight > 0 && "weights are checked by the settings package");
    account_state& state = state_of(account);
    if (!state.requests.empty())
        active_weight_ += weight - state.weight;
    state.weight = weight;
}

double fair_queue::weight(account_id account) const
{
    const auto found = accounts_.find(account);
    return found == accounts_.end() ? 1 : found->second.weight;
}

bool fair_queue::push(const waiting_request& request, return_from from)
{
    if (index_.contains(request.id))
        return false;
    account_state& state = state_of(request.account);
    if (state.requests.empty())
    {
        // An account that comes back from idling starts level with the
        // backlogged ones: idling earns no credit.
        if (from == return_from::idling)
            state.at = std::max(state.at, system_time_);
        active_weight_ += state.weight;
    }
    // With arrival order urgency is ignored, also within an account.
    const std::uint8_t level =
        options_.order == queue_order::fair ? request.urgency : 0;
    const position where{level, ++sequence_};
    state.requests.emplace(where, request);
    state.waiting += request.estimate;
    index_.emplace(request.id, std::make_pair(request.account, where));
    deadlines_.emplace(request.deadline, request.id);
    reorder(request.account, state);
    return true;
}

const waiting_request* fair_queue::front() const
{
    if (turns_.empty())
        return nullptr;
    const account_state& state = accounts_.at(turns_.begin()->second);
    return &state.requests.begin()->second;
}

const waiting_request*
fair_queue::first_movable(const account_condition& allowed) const
{
    for (const turn& next : turns_)
    {
        const account_state& state = accounts_.at(next.second);
        if (!allowed(next.second, state.at))
            continue;
        for (const auto& [where, request] : state.requests)
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
    const auto [account, where] = found->second;
    account_state& state = accounts_.at(account);
    const auto entry = state.requests.find(where);
    const waiting_request request = entry->second;
    state.requests.erase(entry);
    state.waiting = state.waiting - request.estimate;
    index_.erase(found);
    deadlines_.erase({request.deadline, id});
    if (state.requests.empty())
        active_weight_ = turns_.size() == 1 ? 0 : active_weight_ - state.weight;
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
    // The system time follows the account that is being served, and never goes
    // back when an estimate is corrected downwards.
    if (amount.value() > 0)
        system_time_ = std::max(system_time_, std::min(state.at, next()));
    const double shift = static_cast<double>(amount.value()) / state.weight;
    state.at += virtual_time(shift);
    reorder(account, state);
}

void fair_queue::import(account_id account, cost amount)
{
    account_state& state = state_of(account);
    const double shift = static_cast<double>(amount.value()) / state.weight;
    state.at += virtual_time(shift);
    reorder(account, state);
}

std::vector<account_id> fair_queue::limit_debt()
{
    virtual_time most = system_time_;
    for (const turn& each : turns_)
        most = std::max(most, accounts_.at(each.second).at);
    return lift_to(most - options_.catch_up_cap);
}

std::vector<account_id> fair_queue::lift_to(virtual_time least)
{
    if (least <= system_time_)
        return {};
    // The debt beyond the cap is forgiven by lifting the others: virtual time
    // that only grows can be merged between schedulers in any order.
    system_time_ = least;
    std::vector<account_id> lifted;
    for (const account_id account : backlogged())
    {
        account_state& state = accounts_.at(account);
        if (state.at >= least)
            continue;
        state.at = least;
        reorder(account, state);
        lifted.push_back(account);
    }
    return lifted;
}

void fair_queue::raise_system_time(virtual_time to)
{
    system_time_ = std::max(system_time_, to);
}

void fair_queue::adopt(account_id account, virtual_time at)
{
    account_state& state = state_of(account);
    state.at = std::max(state.at, at);
    reorder(account, state);
}

virtual_time fair_queue::at(account_id account) const
{
    const auto found = accounts_.find(account);
    return found == accounts_.end() ? system_time_ : found->second.at;
}

virtual_time fair_queue::next() const
{
    if (turns_.empty())
        return system_time_;
    return accounts_.at(turns_.begin()->second).at;
}

std::size_t fair_queue::size_of(account_id account) const
{
    const auto found = accounts_.find(account);
    return found == accounts_.end() ? 0 : found->second.requests.size();
}

cost fair_queue::waiting_cost(account_id account) const
{
    const auto found = accounts_.find(account);
    return found == accounts_.end() ? cost{0} : found->second.waiting;
}

std::vector<std::pair<account_id, virtual_time>>
fair_queue::virtual_times() const
{
    std::vector<std::pair<account_id, virtual_time>> result;
    result.reserve(accounts_.size());
    for (const auto& [account, state] : accounts_)
        result.emplace_back(account, state.at);
    return result;
}

std::vector<account_id> fair_queue::backlogged() const
{
    std::vector<account_id> result;
    result.reserve(turns_.size());
    for (const turn& each : turns_)
        result.push_back(each.second);
    return result;
}

std::vector<waiting_request> fair_queue::moved_here() const
{
    std::vector<waiting_request> result;
    for (const turn& each : turns_)
    {
        for (const auto& [where, request] : accounts_.at(each.second).requests)
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
