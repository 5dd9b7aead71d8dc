// What a caller's request says about itself in its target and header fields.
#pragma once

#include "http.hpp"

#include "sycamorelock/core/entry.hpp"

#include <optional>
#include <stdexcept>
#include <string>

namespace sycamorelock::adapters
{

/// A header field with a value that cannot be used.
class field_error : public std::runtime_error
{
  public:
    using std::runtime_error::runtime_error;
};

/// Service and remaining target of "/v1/services/SERVICE/REST".
struct service_target
{
    std::string service;
    std::string rest;
};

std::optional<service_target> split_target(const std::string& target);

/// Key of "Authorization: Bearer KEY".
std::optional<std::string>
bearer_key(const http::request<http::string_body>& request);

/// Whether a request has an idempotency key, readable or not.
bool has_idempotency_key(const http::fields& header);

/// Fills urgency, deadline, hint, idempotency and prompt prefix.
/// \throws field_error naming the field that cannot be used.
void read_request_fields(const http::request<http::string_body>& request,
                         core::service_kind kind, core::submission& wanted);

} // namespace sycamorelock::adapters
