#include "sycamorelock/adapters/listener_metrics.hpp"

#include "prometheus_text.hpp"

namespace sycamorelock::adapters
{

void print(std::string& out,
           std::initializer_list<const listener_metrics*> listeners)
{
    family(out, "accept_failures_total", "counter",
           "Attempts to accept a connection that failed, by listener.");
    for (const listener_metrics* each : listeners)
        sample(out, "accept_failures_total", label("listener", each->name),
               each->accept_failures.load());
}

} // namespace sycamorelock::adapters
