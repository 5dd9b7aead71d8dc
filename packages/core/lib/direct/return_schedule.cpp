// Slots are numbered from the start of the clock and reused in turn.
#include "sycamorelock/core/direct/return_schedule.hpp"

#include <algorithm>
#include <cmath>

namespace sycamorelock::core::direct
{

namespace
{

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

double decaying_sum::left(duration age)
{
    return std::exp(-std::max(0.0, seconds(age)) / seconds(time_constant));
}

double decaying_sum::at(time_point now) const
{
    return sum_ * left(now - at_);
}

void decaying_sum::add(time_point now, double amount)
{
    sum_ = at(now) + amount;
    at_ = now;
}

std::int64_t return_schedule::number_at(time_point at)
{
    return at.time_since_epoch() / slot_length;
}

double return_schedule::tokens_in(std::int64_t number) const
{
    const slot& found =
        slots_.at(static_cast<std::size_t>(number) % slot_count);
    return found.number == number ? found.tokens : 0;
}

std::optional<duration> return_schedule::reserve(time_point now,
                                                 const return_query& query)
{
    const std::int64_t first = number_at(now + query.earliest) + 1;
    const std::int64_t last =
        std::min(number_at(now + query.in_budget),
                 number_at(now) + static_cast<std::int64_t>(slot_count) - 1);
    const double room = query.tokens_per_second * seconds(slot_length) * window;
    if (room <= 0)
        return std::nullopt;
    for (std::int64_t number = first; number <= last; ++number)
    {
        double promised_tokens = 0;
        for (std::int64_t each = number - window + 1; each <= number; ++each)
            promised_tokens += tokens_in(each);
        // A request that is larger than the room gets a window of its own.
        if (promised_tokens > 0 && promised_tokens + query.tokens > room)
            continue;
        slot& chosen = slots_.at(static_cast<std::size_t>(number) % slot_count);
        if (chosen.number != number)
            chosen = {number, 0};
        chosen.tokens += query.tokens;
        return time_point(number * slot_length) - now;
    }
    return std::nullopt;
}

double return_schedule::promised(time_point now, duration within) const
{
    double sum = 0;
    const std::int64_t last = number_at(now + within);
    for (std::int64_t each = number_at(now); each <= last; ++each)
        sum += tokens_in(each);
    return sum;
}

} // namespace sycamorelock::core::direct
