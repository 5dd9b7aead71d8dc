// Log lines and counters of what becomes of requests.
#pragma once

#include "open_request.hpp"

namespace sycamorelock::adapters::direct
{

class request_log
{
  public:
    explicit request_log(traffic_context& context) : context_(context) {}

    /// The configuration in force, or its lack, does not allow the request.
    void rejected(const open_request& request, http::status status,
                  std::string_view reason);
    void refused(const open_request& request,
                 const core::direct::refusal_decision& decided);
    /// The request goes on with a stream that another attempt began.
    void resumed(const open_request& request,
                 const core::direct::stream_resolution& found);
    void placed(const open_request& request,
                const core::direct::placement_decision& decided);
    /// The request goes to another endpoint after an attempt at `boot`.
    void repeated(open_request& request, std::string_view boot, attempt_end end,
                  std::string_view why);
    /// No other endpoint took the request, so the attempt at `boot`, which was
    /// silent, goes on.
    void kept(const open_request& request, std::string_view boot);
    /// A handover has ended.
    /// \param event what decided it.
    void handed_over(const open_request& request,
                     const core::direct::endpoint_record& incumbent,
                     core::direct::handover_result result,
                     core::direct::handover_event event);
    /// \param status of the final answer, 0 if it has none.
    void ended(open_request& request, std::string_view outcome,
               unsigned status);

  private:
    traffic_context& context_;
};

} // namespace sycamorelock::adapters::direct
