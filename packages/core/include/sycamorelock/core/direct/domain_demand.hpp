// Estimate of how often each shared prompt prefix is requested in this
// instance's failure domain.
#pragma once

#include "sycamorelock/core/strong_types.hpp"

#include <cstdint>
#include <unordered_map>

namespace sycamorelock::core::direct
{

/// Number of discrete events, each with a weight that decays exponentially
/// with its age.
class decaying_count
{
  public:
    static constexpr duration time_constant = std::chrono::seconds(15);

    void add(time_point now)
    {
        value_ = at(now) + 1;
        at_ = now;
    }
    [[nodiscard]] double at(time_point now) const;

  private:
    double value_ = 0;
    time_point at_;
};

/// Expects the requests with a prefix in a failure domain from those of the
/// whole fleet and the domain's part in all requests: reports do not tell which
/// domain a request came from, and one instance sees too few of them.
class domain_demand
{
  public:
    /// Sets the number of instances in this failure domain and in all.
    void set_instances(std::size_t here, std::size_t everywhere);
    /// Records a request of any instance with a shared prefix.
    void note(time_point now, std::uint64_t key);
    /// Records that the latest request was one of this instance.
    void note_own(time_point now) { own_.add(now); }
    /// Part of the fleet's requests that come from this failure domain. It
    /// presumes that the instances of a domain receive about the same number.
    [[nodiscard]] double part_of_domain(time_point now) const;
    /// Expected number of requests with a prefix, from this failure domain,
    /// within a time.
    [[nodiscard]] double expected_requests(time_point now, std::uint64_t key,
                                           duration within) const;
    /// Removes prefixes that are no longer requested. Does nothing if called
    /// again within 5 s.
    void sweep(time_point now);

  private:
    std::size_t here_ = 1;
    std::size_t everywhere_ = 1;
    decaying_count own_;
    decaying_count all_;
    std::unordered_map<std::uint64_t, decaying_count> by_key_;
    time_point swept_at_;
};

} // namespace sycamorelock::core::direct
