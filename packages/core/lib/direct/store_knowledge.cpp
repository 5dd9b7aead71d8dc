// Revisions show which instance is behind, digests whether its endpoints
// differ.
#include "sycamorelock/core/direct/store_knowledge.hpp"

namespace sycamorelock::core::direct
{

void store_knowledge::set_known_state(time_point now, std::uint64_t revision,
                                      std::uint64_t digest)
{
    digest_ = digest;
    revisions_.set(now, revision);
}

bool store_knowledge::needs_endpoints(time_point now, const std::string& peer,
                                      const store_view& reported)
{
    if (reported.digest == digest_ || reported.revision >= revisions_.at(now))
        return false;
    return pace_.allow(now, peer);
}

void store_knowledge::confirm(time_point now, const store_view& reported)
{
    if (reported.revision > 0 && reported.digest == digest_)
        confirmed_at_ = std::max(confirmed_at_, now - reported.age);
}

} // namespace sycamorelock::core::direct
