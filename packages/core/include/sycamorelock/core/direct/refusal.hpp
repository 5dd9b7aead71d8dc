// Why a request is not sent to any endpoint, and what its caller is told.
#pragma once

#include "sycamorelock/core/direct/catalogue.hpp"
#include "sycamorelock/core/direct/endpoint_survey.hpp"

#include <cstdint>
#include <string_view>

namespace sycamorelock::core::direct
{

/// Why a request is refused.
enum class refusal : std::uint8_t
{
    /// No endpoint of the service is known or usable.
    no_endpoint,
    /// Operators drain the failure domains of all endpoints of the service
    /// that are not leaving.
    drained,
    /// All endpoints of the service that are not leaving have requested
    /// back-off.
    backing_off,
    /// All usable endpoints are warming up and have received this instance's
    /// quota.
    warming_up,
    /// The predicted wait is longer than the objective of the service allows.
    overloaded,
    /// The client account demands more than its share of a busy pool.
    beyond_share,
    /// The deadline of the request has passed.
    too_late,
    /// The request resumes a stream, and no reachable instance knows the
    /// release that began it.
    release_unknown,
    /// No listed endpoint runs the release of the stream, or all that do are
    /// leaving.
    release_gone,
    /// This instance is shutting down and may exit before the request
    /// completes.
    instance_shutting_down,
    /// Several endpoints have crashed under the request.
    quarantined,
};
std::string_view to_string(refusal reason);

/// A refusal and the predictions behind it.
struct refusal_decision
{
    refusal reason = refusal::no_endpoint;
    /// Time after which the caller is told to return.
    milliseconds retry_after{0};
    /// Predicted wait, in ms.
    double wait_ms = 0;
    /// Wait, in ms, above which the request is refused.
    double allowed_ms = 0;
    /// Predicted time to the first token, in ms.
    double predicted_ms = 0;
    /// Part of the wait, in ms, that is for work that no report contained yet,
    /// at an engine of usual speed.
    double unseen_ms = 0;
    /// Whether room is promised to the caller at its return.
    bool is_promised = false;
    /// Empty if the request was refused before endpoints were compared.
    endpoint_survey survey = {};
};

} // namespace sycamorelock::core::direct
