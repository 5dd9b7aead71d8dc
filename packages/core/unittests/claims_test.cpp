// Idempotency keys in a fleet of several instances: when a claim must not be
// granted, and what a refusal may report about execution.
#include "fake_fleet.hpp"

#include <criterion/criterion.h>

using namespace sycamorelock::core;
using namespace sycamorelock::core::testing;

namespace
{

/// Longer than the time for which a new owner grants no key (membership lag
/// plus clock skew).
constexpr duration key_trust_delay = std::chrono::seconds(10);

/// Counts how often the endpoints executed the requests.
int count_runs(fake_fleet& fleet, const std::vector<request_id>& ids)
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

/// Submits one request for each key and waits until all have ended.
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

Test(claims, a_minority_grants_no_key_and_a_majority_still_does)
{
    fake_fleet fleet({});
    fleet.advance(key_trust_delay);
    fleet.cut_domain(2, true);
    fleet.advance(key_trust_delay);
    // About a third of the keys have owners in the partitioned failure domain.
    const auto minority = submit_keys(fleet, 4, make_keys(fleet));
    cr_assert_eq(count_runs(fleet, minority), 0);
    const auto majority = submit_keys(fleet, 0, make_keys(fleet));
    cr_assert(count_runs(fleet, majority) > 0);
}

Test(claims, a_refusal_never_denies_that_a_key_was_executed)
{
    fake_fleet fleet({});
    fleet.advance(key_trust_delay);
    const idempotency_key key = fleet.make_key(0, 1);
    const request_id first = fleet.submit(0, 0, false, key);
    fleet.advance(std::chrono::seconds(5));
    cr_assert_eq(fleet.outcomes().at(first).completed, 1);
    // The repeated request is refused before its claim is sent to the key
    // owner.
    fleet.stop_accepting(1);
    const request_id repeat = fleet.submit(1, 0, false, key);
    const outcome& result = fleet.outcomes().at(repeat);
    cr_assert_eq(result.refused, 1);
    cr_assert(result.reason == refusal_reason::shutting_down);
    cr_assert(result.ran == executed::unknown);
}

Test(claims, an_owner_suspended_during_its_removal_grants_no_key_from_that_time)
{
    fake_fleet fleet({});
    fleet.advance(key_trust_delay);
    fleet.pause(0);
    fleet.publish_members({0}, std::chrono::milliseconds(100));
    fleet.advance(key_trust_delay);
    const auto keys = make_keys(fleet);
    const auto first = submit_keys(fleet, 1, keys);
    cr_assert(count_runs(fleet, first) > 0);
    // The instance is listed again and owns some of the keys that other
    // instances granted meanwhile. It cannot detect the change by its member
    // list, which is the same as before the suspension.
    fleet.publish_members({}, std::chrono::milliseconds(100));
    fleet.resume(0);
    fleet.advance(key_trust_delay);
    const auto repeated = submit_keys(fleet, 2, keys);
    for (std::size_t i = 0; i < keys.size(); ++i)
        cr_assert(count_runs(fleet, {first[i], repeated[i]}) <= 1, "key %zu",
                  i);
}
