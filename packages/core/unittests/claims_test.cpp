// Idempotency keys over several cores: where a claim must not be granted, and
// what may be said of a key that was refused.
#include "fake_fleet.hpp"

#include <criterion/criterion.h>

using namespace sycamorelock::core;
using namespace sycamorelock::core::testing;

namespace
{

/// Past the time in which new owners trust no key.
constexpr duration past_the_lag = std::chrono::seconds(10);

int runs_of(fake_fleet& fleet, const std::vector<request_id>& ids)
{
    int runs = 0;
    for (const request_id& id : ids)
        runs += fleet.outcomes().at(id).runs;
    return runs;
}

std::vector<idempotency_key> make_keys(fake_fleet& fleet)
{
    std::vector<idempotency_key> keys;
    for (std::uint64_t i = 0; i < 30; ++i)
        keys.push_back(fleet.make_key(0, i));
    return keys;
}

/// Submits each key once and waits for the ends.
std::vector<request_id> submit_keys(fake_fleet& fleet, std::size_t entry,
                                    const std::vector<idempotency_key>& keys)
{
    std::vector<request_id> ids;
    for (const idempotency_key& key : keys)
        ids.push_back(fleet.submit(entry, 0, false, key));
    fleet.advance(std::chrono::seconds(20));
    return ids;
}

} // namespace

Test(claims, a_minority_grants_no_key_and_a_majority_goes_on)
{
    fake_fleet fleet({});
    fleet.advance(past_the_lag);
    fleet.cut_domain(2, true);
    fleet.advance(past_the_lag);
    // A third of the keys is owned within the domain that is cut off.
    const auto minority = submit_keys(fleet, 4, make_keys(fleet));
    cr_assert_eq(runs_of(fleet, minority), 0);
    const auto majority = submit_keys(fleet, 0, make_keys(fleet));
    cr_assert(runs_of(fleet, majority) > 0);
}

Test(claims, a_key_that_ran_is_never_said_not_to_have_run)
{
    fake_fleet fleet({});
    fleet.advance(past_the_lag);
    const idempotency_key key = fleet.make_key(0, 1);
    const request_id first = fleet.submit(0, 0, false, key);
    fleet.advance(std::chrono::seconds(5));
    cr_assert_eq(fleet.outcomes().at(first).completed, 1);
    // The repeat is refused before the key's owner is asked.
    fleet.stop_accepting(1);
    const request_id repeat = fleet.submit(1, 0, false, key);
    const outcome& said = fleet.outcomes().at(repeat);
    cr_assert_eq(said.refused, 1);
    cr_assert(said.reason == refusal_reason::shutting_down);
    cr_assert(said.ran == executed::unknown);
}

Test(claims, an_owner_that_slept_through_its_removal_trusts_no_key_from_then)
{
    fake_fleet fleet({});
    fleet.advance(past_the_lag);
    fleet.pause(0);
    fleet.publish_members({0}, std::chrono::milliseconds(100));
    fleet.advance(past_the_lag);
    const auto keys = make_keys(fleet);
    const auto first = submit_keys(fleet, 1, keys);
    cr_assert(runs_of(fleet, first) > 0);
    // It is listed again and owns a part of the keys, of which others remember
    // that they ran. Its list is the same as the one that it fell asleep with.
    fleet.publish_members({}, std::chrono::milliseconds(100));
    fleet.resume(0);
    fleet.advance(past_the_lag);
    const auto again = submit_keys(fleet, 2, keys);
    for (std::size_t i = 0; i < keys.size(); ++i)
        cr_assert(runs_of(fleet, {first[i], again[i]}) <= 1, "key %zu", i);
}
