// Predicted time to transfer a prompt's KV cache from another engine, which can
// replace the prefill.
#pragma once

#include "sycamorelock/core/direct/catalogue.hpp"

#include <map>

namespace sycamorelock::core::direct
{

/// Transfer of a prompt's cached prefix to an engine that lacks it.
struct fetch_plan
{
    /// Engine that the prefix is fetched from.
    endpoint_id source;
    /// IP:port of the source.
    std::string address;
    /// Number of tokens to transfer: cached at the source, not at the target.
    double tokens = 0;
    /// Predicted time until the transfer has ended, in ms.
    double transfer_ms = 0;
};

/// Tracks until when the network links of engines are busy with transfers. An
/// engine's transfers run one after another. Those that other instances
/// initiated are not known: at twenty a second of 20 ms each, a link is seldom
/// busy.
class fetch_links
{
  public:
    /// Predicted time, in ms, for a transfer that is requested now: connection
    /// setup, the wait for both links, and the transfer itself.
    /// \param engines the service of both engines.
    [[nodiscard]] double transfer_ms(time_point now, const service& engines,
                                     endpoint_id source, endpoint_id target,
                                     double tokens) const;
    /// Records a transfer that was requested.
    void record_transfer(time_point now, const fetch_plan& plan,
                         endpoint_id target);
    /// Drops the state of an engine that was removed or restarted.
    void forget(endpoint_id engine) { busy_until_.erase(engine); }
    /// Remaining time, in ms, for which an engine's link is busy.
    [[nodiscard]] double busy_ms(time_point now, endpoint_id engine) const;

  private:
    std::map<endpoint_id, time_point> busy_until_;
};

} // namespace sycamorelock::core::direct
