// Finds out whether an endpoint has terminated after one of its connections
// broke.
#pragma once

#include "traffic_context.hpp"

#include "../http.hpp"

#include <functional>
#include <memory>
#include <set>

namespace sycamorelock::adapters::direct
{

/// Connects to endpoints. One that refuses the connection has terminated. A
/// connection that is established is kept for later requests: the one that
/// broke has to be replaced anyway.
class termination_check
{
  public:
    explicit termination_check(traffic_context& context) : context_(context) {}

    /// Checks an endpoint, unless a check of it is running. If it has
    /// terminated, the router is told.
    void start(const core::direct::endpoint_record& endpoint);

  private:
    struct pending_check;

    void finish(const std::shared_ptr<pending_check>& check, error_code error);

    traffic_context& context_;
    std::set<core::endpoint_id> running_;
};

} // namespace sycamorelock::adapters::direct
