// Bounded table of request records.
#include "sycamorelock/core/request_records.hpp"

namespace sycamorelock::core
{

namespace
{

constexpr std::size_t max_records = 4096;

} // namespace

request_record& request_records::find_or_add(const request_record& initial)
{
    const auto [found, inserted] = records_.try_emplace(initial.id, initial);
    if (!inserted)
        return found->second;
    order_.push_back(initial.id);
    if (order_.size() > max_records)
    {
        records_.erase(order_.front());
        order_.pop_front();
    }
    return found->second;
}

const request_record* request_records::find(const request_id& id) const
{
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second;
}

} // namespace sycamorelock::core
