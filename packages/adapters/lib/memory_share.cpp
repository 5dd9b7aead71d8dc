// Carries out evictions and counts.
#include "memory_share.hpp"

#include "sycamorelock/adapters/clocks.hpp"

namespace sycamorelock::adapters
{

memory_pool::memory_pool(const core::connection_memory_limits& limits,
                         caller_metrics& metrics)
    : state_(limits), metrics_(metrics)
{
    metrics_.memory_limit += limits.total.value();
}

void memory_pool::count_used()
{
    // Unsigned, so that a decrease wraps around and back.
    metrics_.memory_used += state_.used().value() - counted_.value();
    counted_ = state_.used();
}

void memory_pool::evict(const std::vector<core::connection_id>& which)
{
    metrics_.evicted += which.size();
    for (const core::connection_id each : which)
        shares_[each.value()]->evict();
}

memory_share::memory_share(memory_pool& pool, std::function<void()> on_evicted)
    : pool_(pool), on_evicted_(std::move(on_evicted))
{
    const auto opened = pool_.state_.open(now());
    if (!opened)
    {
        ++pool_.metrics_.memory_refused;
        return;
    }
    id_ = opened->id;
    if (pool_.shares_.size() <= id_->value())
        pool_.shares_.resize(id_->value() + 1, nullptr);
    pool_.shares_[id_->value()] = this;
    pool_.evict(opened->evicted);
    pool_.count_used();
}

memory_share::~memory_share()
{
    if (!id_)
        return;
    pool_.shares_[id_->value()] = nullptr;
    pool_.state_.close(*id_);
    pool_.count_used();
}

bool memory_share::hold(memory_part part, std::size_t bytes)
{
    std::size_t& size = parts_.at(static_cast<std::size_t>(part));
    if (size == bytes)
        return true;
    if (!id_)
        return false;
    const std::size_t total = total_ - size + bytes;
    const auto evicted =
        pool_.state_.resize(now(), *id_, core::byte_count(total));
    if (!evicted)
    {
        ++pool_.metrics_.memory_refused;
        return false;
    }
    size = bytes;
    total_ = total;
    pool_.evict(*evicted);
    pool_.count_used();
    return true;
}

void memory_share::drop_request()
{
    for (const memory_part each :
         {memory_part::header, memory_part::body, memory_part::serving})
        drop(each);
}

void memory_share::drop_all()
{
    drop_request();
    drop(memory_part::unparsed);
    drop(memory_part::answer);
}

void memory_share::enter(core::holder_phase phase)
{
    evicted_ = false;
    if (id_)
        pool_.state_.enter(now(), *id_, phase);
}

void memory_share::note_progress()
{
    if (id_)
        pool_.state_.note_progress(now(), *id_);
}

void memory_share::evict()
{
    evicted_ = true;
    parts_.fill(0);
    total_ = 0;
    on_evicted_();
}

} // namespace sycamorelock::adapters
