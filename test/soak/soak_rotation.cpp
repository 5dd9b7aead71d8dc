// Instances leave at a time that is set in advance and come back when they say
// that they are ready.
#include "soak_rotation.hpp"

namespace soak
{

using namespace standin;

namespace
{

constexpr std::chrono::milliseconds question_gap{200};

} // namespace

rotation::rotation(direct_fleet& fleet, std::size_t instances)
    : fleet_(fleet), members_(instances), asker_([this] { ask_members(); })
{
}

rotation::~rotation()
{
    {
        const std::lock_guard lock(mutex_);
        stop_ = true;
    }
    stopped_.notify_all();
    asker_.join();
}

bool rotation::has(std::size_t instance) const
{
    const std::lock_guard lock(mutex_);
    return clock::now() < members_.at(instance).out_from;
}

void rotation::take_out(std::size_t instance, clock::time_point from)
{
    const std::lock_guard lock(mutex_);
    member& which = members_.at(instance);
    which.out_from = std::min(which.out_from, from);
    which.is_asked = false;
    ++which.question;
}

void rotation::take_in_when_ready(std::size_t instance)
{
    const std::lock_guard lock(mutex_);
    members_.at(instance).is_asked = true;
}

void rotation::ask_members()
{
    std::unique_lock lock(mutex_);
    while (!stop_)
    {
        lock.unlock();
        for (std::size_t i = 0; i < members_.size(); ++i)
            ask(i);
        lock.lock();
        stopped_.wait_for(lock, question_gap, [this] { return stop_; });
    }
}

void rotation::ask(std::size_t instance)
{
    std::uint64_t question = 0;
    {
        const std::lock_guard lock(mutex_);
        if (!members_[instance].is_asked || stop_)
            return;
        question = members_[instance].question;
    }
    if (!fleet_.ready(fleet_.at(instance)))
        return;
    const std::lock_guard lock(mutex_);
    member& which = members_[instance];
    if (which.question != question)
        return;
    which.is_asked = false;
    which.out_from = clock::time_point::max();
}

} // namespace soak
