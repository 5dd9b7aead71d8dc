// Fault injection of the fake fleet: killed and paused nodes, cut-off domains
// and delayed membership lists.
#include "fake_node.hpp"

#include <boost/random/uniform_int_distribution.hpp>

namespace sycamorelock::core::testing
{

void fake_fleet::kill(std::size_t index)
{
    fake_node& target = *nodes_.at(index);
    target.live = false;
    for (auto& [id, recorded] : outcomes_)
    {
        if (recorded.entry != index || id.incarnation != target.incarnation)
            continue;
        if (recorded.completed + recorded.refused == 0)
            recorded.entry_killed = true;
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
    nodes_.at(index)->core->handle(current_moment(), [](control_state& s)
                                   { s.stop_accepting(); });
}

void fake_fleet::pause(std::size_t index)
{
    nodes_.at(index)->paused = true;
}

void fake_fleet::resume(std::size_t index)
{
    fake_node& target = *nodes_.at(index);
    if (!target.paused)
        return;
    target.paused = false;
    if (!target.live)
        return;
    for (const attempt_result& result : target.results)
        apply_result(target, result);
    target.results.clear();
}

void fake_fleet::cut_domain(std::size_t domain, bool cut)
{
    if (cut)
        cut_.insert(domain);
    else
        cut_.erase(domain);
}

void fake_fleet::publish_members(const std::set<std::size_t>& without,
                                 duration max_lag)
{
    ++list_version_;
    newest_list_ = make_membership(without);
    // A paused instance receives only the newest list after it resumes.
    std::erase_if(pending_lists_, [this](const pending_list& each)
                  { return nodes_[each.node]->paused; });
    boost::random::uniform_int_distribution<std::int64_t> draw(0,
                                                               max_lag.count());
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        pending_lists_.push_back(
            {now_ + duration(draw(random_)), i, newest_list_});
}

} // namespace sycamorelock::core::testing
