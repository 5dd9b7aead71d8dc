// Promises of room to refused callers, and how their returns are recognised.
#pragma once

#include "sycamorelock/core/direct/account_shares.hpp"
#include "sycamorelock/core/direct/catalogue.hpp"
#include "sycamorelock/core/direct/rate_meter.hpp"
#include "sycamorelock/core/direct/return_schedule.hpp"

#include <map>
#include <optional>
#include <random>
#include <string>

namespace sycamorelock::core::direct
{

/// A request that an instance refuses for lack of room.
struct refused_attempt
{
    service_id service;
    std::optional<account_id> account;
    /// Tokens charged against the client account's share.
    double tokens = 0;
    /// Response-time objective of the route.
    duration objective{0};
    /// Time until the caller gives up.
    duration time_left{0};
    /// Predicted wait, and the wait above which the request is refused, in ms.
    double wait_ms = 0;
    double allowed_ms = 0;
    /// Predicted time from the end of the wait to the first token, in ms.
    double service_ms = 0;
    /// Factor by which observed times to the first token exceed predicted ones.
    double error_factor = 1;
    /// Whether the account has consumed its share.
    bool is_beyond_share = false;
    /// Whether the caller has returned as it was told.
    bool is_return = false;
};

/// When a refused caller is told to return.
struct return_advice
{
    duration pause{0};
    /// Whether room is promised to the caller at that time.
    bool is_promised = false;
};

/// Divides a part of the work that this instance sends among refused callers.
/// Accounts within their share get places at the service; an account beyond its
/// share gets them out of its own throughput. The state is in memory and lost
/// with the process, except for the number of promises to each account, which
/// `account_shares` reports to the other instances.
class return_promises
{
  public:
    /// Drops what belongs to routes and accounts of an earlier configuration.
    void install(const catalogue& newer);
    /// Records that a request was sent to a service.
    void record_sent(time_point now, service_id service, double tokens);

    /// Time since the caller's first attempt, which has the longest time budget
    /// of the route; zero if it is shorter than any pause that a caller is
    /// told. \param budget time that the caller has left at this attempt.
    duration since_first_attempt(const std::string& route, duration budget);
    /// Redeems a promise to the caller's account. Returns false if the caller
    /// does not return as it was told.
    static bool redeem(time_point now, account_shares& accounts,
                       account_id account, duration objective,
                       duration since_first_attempt);

    /// Wait, in ms, that returns which are due soon will add to new requests of
    /// a service.
    [[nodiscard]] double promised_wait_ms(time_point now,
                                          service_id service) const;
    /// Chooses the time at which a refused caller returns, and records the
    /// promise if there will be room.
    return_advice advise(time_point now, const refused_attempt& refused,
                         account_shares& accounts, std::mt19937_64& random);

  private:
    [[nodiscard]] double tokens_per_second(time_point now,
                                           service_id service) const;
    std::optional<duration> reserve(time_point now,
                                    const refused_attempt& refused,
                                    const account_shares& accounts);

    std::map<service_id, return_schedule> places_;
    std::map<account_id, return_schedule> places_beyond_share_;
    /// Tokens that this instance sends to each service.
    std::map<service_id, rate_meter> sent_;
    /// Longest time budget of requests by the name of their route.
    std::map<std::string, duration> longest_budgets_;
};

} // namespace sycamorelock::core::direct
