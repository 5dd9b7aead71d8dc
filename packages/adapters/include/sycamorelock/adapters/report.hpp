// Texts of the operators' port.
#pragma once

#include "sycamorelock/adapters/control_plane.hpp"

#include <string>

namespace sycamorelock::adapters
{

/// Prometheus text exposition of all counters and distributions.
std::string metrics_text(const control_plane& control);
/// Status of the instance as JSON.
std::string status_json(const control_plane& control);
/// What happened to one request, as JSON; empty if it is not remembered.
std::string explain_json(const control_plane& control,
                         const core::request_id& id);

} // namespace sycamorelock::adapters
