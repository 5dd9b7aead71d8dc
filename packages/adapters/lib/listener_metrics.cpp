#include "sycamorelock/adapters/listener_metrics.hpp"

#include "prometheus_text.hpp"

namespace sycamorelock::adapters
{

void print(std::string& out,
           std::initializer_list<const listener_metrics*> listeners)
{
    family(out, "accept_failures_total", "counter",
           "Times that a connection could not be accepted, by listener.");
    for (const listener_metrics* each : listeners)
        sample(out, "accept_failures_total", label("listener", each->name),
               each->accept_failures.load());
    family(out, "closed_for_room_total", "counter",
           "Connections without a request that were closed so that others can "
           "be accepted, by listener.");
    for (const listener_metrics* each : listeners)
        sample(out, "closed_for_room_total", label("listener", each->name),
               each->closed_for_room.load());
}

} // namespace sycamorelock::adapters
