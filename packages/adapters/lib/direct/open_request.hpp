// A caller's request while it is served.
#pragma once

#include "attempt.hpp"

#include "sycamorelock/core/crash_key.hpp"
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
    unsigned attempts = 0;
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
