#include "sycamorelock/adapters/caller_metrics.hpp"

#include "prometheus_text.hpp"

namespace sycamorelock::adapters
{

void print(std::string& out, const caller_metrics& of)
{
    single(out, "caller_memory_limit_bytes", "gauge",
           "Bound on the memory for callers.",
           std::uint64_t{of.memory_limit.load()});
    single(out, "caller_memory_bytes", "gauge", "Memory held for callers.",
           std::uint64_t{of.memory_used.load()});
    single(out, "caller_memory_evictions_total", "counter",
           "Connections evicted for another one.", of.evicted.load());
    single(out, "caller_memory_refused_total", "counter",
           "Requests for memory that were not granted.",
           of.memory_refused.load());
    single(out, "sessions_failed_total", "counter",
           "Connections of callers that ended by an unexpected error.",
           of.sessions_failed.load());
    family(out, "requests_unreadable_total", "counter",
           "Requests that could not be read, by reason.");
    for (std::size_t i = 1; i < request_error_count; ++i)
        sample(out, "requests_unreadable_total",
               label("reason",
                     std::string(to_string(static_cast<request_error>(i)))),
               of.unreadable.at(i).load());
}

} // namespace sycamorelock::adapters
