// What endpoints have said of themselves in their answers to this instance.
#pragma once

#include "sycamorelock/core/direct/endpoint_registry.hpp"

#include <map>
#include <string>

namespace sycamorelock::core::direct
{

using std::chrono::milliseconds;

/// A notice holds for one start of an endpoint at its address. It is kept
/// beyond the endpoint's entry, which may lapse and return; another start, or
/// the same one elsewhere, has none.
class endpoint_notices
{
  public:
    /// An endpoint that is not listed any more has ended long before.
    static constexpr duration keep_unlisted = std::chrono::minutes(10);

    /// An endpoint said that it leaves. It does not change its mind. Returns
    /// whether that is new.
    bool note_leaving(time_point now, const endpoint_record& from);

    [[nodiscard]] bool is_leaving(const endpoint_record& which) const;

    /// Longest rest that is granted without a question: an absurd wish must
    /// not take an endpoint away for good.
    static constexpr milliseconds longest_rest{60'000};
    /// In the rest of a longer one, the endpoint gets one request in this
    /// time, to see whether it still means it.
    static constexpr milliseconds trial_period{15'000};

    /// An endpoint turned a request away and wants none for a time. A shorter
    /// wish does not end an earlier one.
    void note_rest(time_point now, const endpoint_record& from,
                   milliseconds asked);

    /// When the endpoint's rest ends; in the past if there is none.
    [[nodiscard]] time_point rests_until(const endpoint_record& which) const;

    /// A request was chosen for an endpoint. Within a rest longer than the
    /// longest it is a trial, and the endpoint rests on. Returns whether it is.
    bool note_trial(time_point now, const endpoint_record& which);

    /// The endpoint served a request: it rests no more.
    void end_rest(time_point now, const endpoint_record& which);

    /// Forgets endpoints that have not been listed for long.
    void keep_listed(time_point now,
                     const std::map<std::string, endpoint_record>& listed);

  private:
    struct notice
    {
        std::string address;
        bool leaving = false;
        time_point rests_until;
        /// When the rest that it asked for ends.
        time_point asked_until;
        time_point listed_at;
    };

    /// The notice of this start at its address, made if there is none.
    notice& of(time_point now, const endpoint_record& which);
    [[nodiscard]] const notice* find(const endpoint_record& which) const;

    std::map<endpoint_id, notice> notices_;
};

} // namespace sycamorelock::core::direct
