// Tests of the keys by which requests with the same content are recognised.
#include "sycamorelock/core/crash_key.hpp"

#include <criterion/criterion.h>

#include <array>
#include <set>

using namespace sycamorelock::core;

Test(crash_key, equal_content_has_the_same_key)
{
    const std::array<std::uint64_t, 2> parts{1, 2};
    const std::array<std::uint64_t, 2> same_parts{1, 2};
    cr_expect(crash_key_of({"host", "POST", "/a/b?c", "body", parts}) ==
              crash_key_of({"host", "POST", "/a/b?c", "body", same_parts}));
}

Test(crash_key, each_field_changes_the_key)
{
    const std::array<std::uint64_t, 2> parts{1, 2};
    const std::array<std::uint64_t, 2> swapped_parts{2, 1};
    const std::array<std::uint64_t, 1> joined_parts{12};
    const std::set<crash_key> keys{
        crash_key_of({"host", "POST", "/a", "body", parts}),
        crash_key_of({"other", "POST", "/a", "body", parts}),
        crash_key_of({"host", "PUT", "/a", "body", parts}),
        crash_key_of({"host", "POST", "/b", "body", parts}),
        crash_key_of({"host", "POST", "/a", "", parts}),
        crash_key_of({"host", "POST", "/a", "body", swapped_parts}),
        crash_key_of({"host", "POST", "/a", "body", joined_parts}),
        crash_key_of({"host", "POST", "/a", "body"}),
        // The same bytes, split differently.
        crash_key_of({"hostP", "OST", "/a", "body"}),
        crash_key_of({"host", "POST/", "a", "body"}),
    };
    cr_expect_eq(keys.size(), 10U, "%zu", keys.size());
}

Test(crash_key, log_lines_show_sixteen_digits)
{
    cr_expect(to_string(crash_key(0xab)) == "00000000000000ab");
}
