// Notices from endpoints: statements about their own state that they put into
// responses to this instance.
#pragma once

#include "sycamorelock/core/direct/endpoint_registry.hpp"

#include <map>
#include <string>

namespace sycamorelock::core::direct
{

using std::chrono::milliseconds;

/// Keeps which endpoints are leaving and which have requested back-off. A
/// notice applies to one start of an endpoint at one address: a restarted
/// endpoint, or one at another address, has none. It outlives the endpoint's
/// entry in the state store, which may lapse and return.
class endpoint_notices
{
  public:
    /// How long the notice of an endpoint that is no longer listed is kept.
    /// Such an endpoint has terminated long before.
    static constexpr duration notice_retention = std::chrono::minutes(10);

    /// Records that an endpoint announced its shutdown, which is final. Returns
    /// whether the announcement is its first.
    bool note_leaving(time_point now, const endpoint_record& endpoint);

    [[nodiscard]] bool is_leaving(const endpoint_record& endpoint) const;

    /// Longest back-off that is honoured without probes, so that an absurdly
    /// long one does not remove an endpoint for good.
    static constexpr milliseconds max_backoff{60'000};
    /// Once `max_backoff` of a longer back-off has passed, the endpoint gets
    /// one probe request per this interval, to find out whether it still
    /// refuses requests.
    static constexpr milliseconds probe_interval{15'000};

    /// Records that an endpoint rejected a request and requested back-off, as
    /// with `Retry-After`. A shorter back-off does not cut an earlier one
    /// short.
    void note_backoff(time_point now, const endpoint_record& endpoint,
                      milliseconds requested);

    /// When the next request may be sent; in the past if there is no back-off.
    [[nodiscard]] time_point backoff_end(const endpoint_record& endpoint) const;

    /// Records that a request is about to be sent to an endpoint. Within the
    /// back-off that the endpoint requested, the request is a probe and no
    /// other one may be sent for `probe_interval`. Returns whether it is a
    /// probe.
    bool note_probe(time_point now, const endpoint_record& endpoint);

    /// Ends the back-off of an endpoint, which has served a request.
    void end_backoff(time_point now, const endpoint_record& endpoint);

    /// Removes the notices of endpoints that have not been listed for
    /// `notice_retention`.
    void expire_unlisted(time_point now,
                         const std::map<std::string, endpoint_record>& listed);

  private:
    struct notice
    {
        std::string address;
        bool leaving = false;
        /// When the next request may be sent.
        time_point backoff_end;
        /// When the whole back-off that it requested ends.
        time_point requested_until;
        /// When it was last found in a listing.
        time_point listed_at;
    };

    /// Returns the notice of an endpoint, newly created if there is none.
    notice& find_or_create(time_point now, const endpoint_record& endpoint);
    /// Returns the notice of an endpoint, or null.
    [[nodiscard]] const notice* find(const endpoint_record& endpoint) const;

    std::map<endpoint_id, notice> notices_;
};

} // namespace sycamorelock::core::direct
