// Checks that tests of direct routing share.
#pragma once

#include "direct_fleet.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <vector>

namespace standin
{

inline void check_stream(const direct_answer& got, const direct_call& asked,
                         int events)
{
    cr_expect_eq(got.status, 200U, "status %u", got.status);
    cr_expect(got.whole);
    cr_expect(got.body == stream_body(asked.id, events, 0));
}

/// Requests that reached an endpoint later than a moment.
inline std::ptrdiff_t
arrived_after(const direct_engine& at,
              std::chrono::steady_clock::time_point latest)
{
    const std::vector<arrival> all = at.arrivals();
    return std::count_if(all.begin(), all.end(),
                         [latest](const arrival& each)
                         { return each.at > latest; });
}

} // namespace standin
