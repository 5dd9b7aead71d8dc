// Checks that tests of direct routing share.
#pragma once

#include "direct_fleet.hpp"

#include <criterion/criterion.h>

namespace standin
{

inline void check_stream(const direct_answer& got, const direct_call& asked,
                         int events)
{
    cr_expect_eq(got.status, 200U, "status %u", got.status);
    cr_expect(got.whole);
    cr_expect(got.body == stream_body(asked.id, events, 0));
}

} // namespace standin
