// Kills, pauses, cuts and late member lists of the fake fleet.
#include "fake_node.hpp"

#include <boost/random/uniform_int_distribution.hpp>

namespace sycamorelock::core::testing
{

void fake_fleet::kill(std::size_t index)
{
    fake_node& which = *nodes_.at(index);
    which.live = false;
    for (auto& [id, known] : outcomes_)
    {
        if (known.entry != index || id.incarnation != which.incarnation)
            continue;
        if (known.completed + known.refused == 0)
            known.entry_died = true;
    }
}

void fake_fleet::restart(std::size_t index)
{
    if (nodes_.at(index)->live)
        kill(index);
    start(index);
}

void fake_fleet::stop_accepting(std::size_t index)
{
    nodes_.at(index)->core->handle(current(), [](control_state& s)
                                   { s.stop_accepting(); });
}

void fake_fleet::pause(std::size_t index)
{
    nodes_.at(index)->paused = true;
}

void fake_fleet::resume(std::size_t index)
{
    fake_node& which = *nodes_.at(index);
    if (!which.paused)
        return;
    which.paused = false;
    if (!which.live)
        return;
    for (const attempt_result& result : which.results)
        take_result(which, result);
    which.results.clear();
}

void fake_fleet::cut_domain(std::size_t domain, bool cut)
{
    if (cut)
        cut_.insert(domain);
    else
        cut_.erase(domain);
}

void fake_fleet::publish_members(const std::set<std::size_t>& without,
                                 duration most_lag)
{
    ++list_version_;
    current_list_ = make_members(without);
    // An instance that sleeps finds only the newest list when it wakes.
    std::erase_if(late_lists_, [this](const late_list& each)
                  { return nodes_[each.node]->paused; });
    boost::random::uniform_int_distribution<std::int64_t> draw(
        0, most_lag.count());
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        late_lists_.push_back(
            {now_ + duration(draw(random_)), i, current_list_});
}

} // namespace sycamorelock::core::testing
