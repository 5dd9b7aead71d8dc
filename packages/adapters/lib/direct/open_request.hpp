// A caller's request while it is served.
#pragma once

#include "attempt.hpp"

#include "sycamorelock/core/crash_key.hpp"
#include "sycamorelock/core/direct/handover.hpp"
#include "sycamorelock/core/direct/router.hpp"

#include <memory>
#include <set>

namespace sycamorelock::adapters::direct
{

/// An attempt with the placement that it refers to.
struct placed_attempt
{
    core::direct::placement_decision placed;
    std::optional<attempt> tried;
    attempt_end end = attempt_end::unreachable;
    /// Its endpoint had not been sent the request before.
    bool is_first = true;
};

/// An endpoint that was left before it had answered, refused or failed.
struct left_endpoint
{
    core::direct::placement_decision placed;
    /// It had the request when another endpoint was asked.
    bool was_incumbent = false;
};

struct open_request
{
    caller_message message;
    request_meta meta;
    core::direct::request_profile profile;
    std::shared_ptr<const core::direct::catalogue> config;
    core::service_id service;
    std::string service_name;
    std::string account_name;
    /// Its stream, if callers may resume it and have named it.
    std::optional<core::direct::stream_key> stream;
    std::set<core::endpoint_id> tried;
    /// Where the request goes after the attempt that is under way, if an
    /// endpoint was secured for that.
    std::optional<core::direct::placement_decision> next;
    core::direct::handover handover;
    /// When the candidate of the handover was sent the request; empty before.
    std::optional<core::time_point> candidate_asked;
    /// Endpoint that may be asked again.
    std::optional<left_endpoint> left;
    /// Endpoints that it was sent to.
    std::set<core::endpoint_id> asked;
    /// When the first event, or a whole answer, came; zero if none did.
    core::time_point first;
    core::duration longest_pause{0};
    /// An endpoint may have begun to run it.
    bool may_have_run = false;
    /// Why the last attempt ended before its answer did, and why none follows
    /// it; empty if that did not happen.
    std::string_view stopped_by;
    std::string_view not_repeated;
    /// It is quarantined and sent once, to find out whether endpoints still
    /// crash under it.
    bool is_probe = false;
    event_splitter events;
    /// Set by the first call of `content_key`.
    std::optional<core::crash_key> known_content_key;

    /// Key of what endpoints execute of this request. Computed when it is first
    /// needed, because few requests need it.
    [[nodiscard]] core::crash_key content_key();
    /// That key and those of the shared parts of its prompt.
    [[nodiscard]] std::vector<core::crash_key> crash_keys();
    /// Whether it goes on with a stream that another attempt began.
    [[nodiscard]] bool resumes_stream() const
    {
        return (meta.last_event || !meta.resumes.empty()) &&
               profile.route_config->resumable;
    }
    void set_service(core::service_id id)
    {
        service = id;
        const auto found = config->services.find(id);
        service_name = found == config->services.end() ? std::string()
                                                       : found->second.name;
    }
    /// Whether operators allow it to be sent to one more endpoint.
    [[nodiscard]] bool may_ask_another() const
    {
        return asked.size() < profile.route_config->max_attempts;
    }
    /// Host field without a port.
    [[nodiscard]] std::string_view host() const
    {
        const std::string_view text = message[http::field::host];
        return text.substr(0, text.rfind(':'));
    }
    /// Target without its query.
    [[nodiscard]] std::string_view path() const
    {
        const std::string_view text = message.target();
        return text.substr(0, text.find('?'));
    }
};

} // namespace sycamorelock::adapters::direct
