// Tests of the table of claimed idempotency keys.
#include "sycamorelock/core/key_owner.hpp"

#include "test_keys.hpp"

#include <criterion/criterion.h>

using namespace sycamorelock::core;

using enum claim_verdict;

namespace
{

constexpr wall_time start(1'700'000'000'000);

idempotency_key make_key_at(wall_time at)
{
    return testing::make_key_at(account_id::of("north"), at);
}

claim make_claim(const idempotency_key& key, std::uint64_t number)
{
    claim message;
    message.request = {instance_id::of("entry"), 1, number};
    message.key = key;
    return message;
}

claim make_claim_at(wall_time at, std::uint64_t number)
{
    return make_claim(make_key_at(at), number);
}

} // namespace

Test(key_owner, one_request_gets_a_key_and_others_are_duplicates)
{
    key_owner owner({}, start);
    const wall_time later = start + std::chrono::minutes(1);
    const auto key = make_key_at(later);
    cr_assert(owner.claim_key(later, start, make_claim(key, 1)) == granted);
    cr_assert(owner.claim_key(later, start, make_claim(key, 1)) == granted);
    cr_assert(owner.claim_key(later, start, make_claim(key, 2)) == duplicate);
}

Test(key_owner, a_restarted_owner_accepts_only_newer_keys)
{
    const wall_time restarted = start + std::chrono::minutes(10);
    key_owner owner({}, restarted);
    const auto before = make_key_at(restarted - std::chrono::seconds(1));
    const auto within_lag = make_key_at(restarted + std::chrono::seconds(6));
    const auto after = make_key_at(restarted + std::chrono::seconds(8));
    const wall_time now = restarted + std::chrono::seconds(9);
    cr_assert(owner.claim_key(now, start, make_claim(before, 1)) ==
              outside_memory);
    cr_assert(owner.claim_key(now, start, make_claim(within_lag, 2)) ==
              outside_memory);
    cr_assert(owner.claim_key(now, start, make_claim(after, 3)) == granted);
}

Test(key_owner, a_new_owner_accepts_only_keys_made_after_the_lag)
{
    key_owner owner({}, start);
    const wall_time since = start + std::chrono::minutes(5);
    const wall_time now = since + std::chrono::seconds(20);
    cr_assert(owner.claim_key(now, since,
                              make_claim_at(since + std::chrono::seconds(5),
                                            1)) == outside_memory);
    cr_assert(owner.claim_key(now, since,
                              make_claim_at(since + std::chrono::seconds(10),
                                            2)) == granted);
}

Test(key_owner, keys_outside_the_window_are_refused)
{
    key_owner owner({}, start);
    const wall_time now = start + std::chrono::hours(2);
    cr_assert(owner.claim_key(now, start,
                              make_claim_at(now - std::chrono::minutes(16),
                                            1)) == outside_memory);
    cr_assert(owner.claim_key(now, start,
                              make_claim_at(now + std::chrono::minutes(1),
                                            2)) == outside_memory);
}

Test(key_owner, a_key_is_remembered_for_as_long_as_it_is_acceptable)
{
    key_owner owner({}, start);
    const wall_time now = start + std::chrono::hours(1);
    // The clock that created the key is ahead by almost the tolerated skew.
    const auto key = make_key_at(now + std::chrono::milliseconds(1900));
    cr_assert(owner.claim_key(now, start, make_claim(key, 1)) == granted);
    const wall_time last =
        now + std::chrono::minutes(15) + std::chrono::milliseconds(1800);
    owner.expire(last);
    cr_assert(owner.claim_key(last, start, make_claim(key, 2)) == duplicate);
    owner.expire(last + std::chrono::minutes(1));
    cr_assert_eq(owner.size(), 0U);
}

Test(key_owner, a_key_can_be_released_only_by_the_request_that_claimed_it)
{
    key_owner owner({}, start);
    const wall_time now = start + std::chrono::minutes(1);
    const auto key = make_key_at(now);
    owner.claim_key(now, start, make_claim(key, 1));
    owner.release({make_claim(key, 2).request, key});
    cr_assert(owner.claim_key(now, start, make_claim(key, 3)) == duplicate);
    owner.release({make_claim(key, 1).request, key});
    cr_assert(owner.claim_key(now, start, make_claim(key, 3)) == granted);
}

Test(key_owner, a_full_table_refuses_instead_of_evicting)
{
    key_owner_options options;
    options.max_claims = 2;
    key_owner owner(options, start);
    const wall_time now = start + std::chrono::minutes(1);
    for (int i = 0; i < 2; ++i)
    {
        const auto key = make_key_at(now + wall_time(i));
        cr_assert(owner.claim_key(now, start, make_claim(key, 1)) == granted);
    }
    cr_assert(
        owner.claim_key(now, start, make_claim_at(now + wall_time(9), 1)) ==
        table_full);
}
