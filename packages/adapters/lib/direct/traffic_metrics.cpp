// Prometheus text of directly routed requests.
#include "sycamorelock/adapters/direct/traffic_metrics.hpp"

#include "../prometheus_text.hpp"

namespace sycamorelock::adapters::direct
{

namespace
{

void labelled(std::string& out, const std::string& name, const char* by,
              const char* help,
              const std::map<std::string, std::uint64_t>& values)
{
    family(out, name, "counter", help);
    for (const auto& [key, value] : values)
        sample(out, name, label(by, key), value);
}

} // namespace

void direct_metrics::distributions(
    std::string& out, const std::string& name, const char* help,
    latency_histogram service_latency::*which) const
{
    family(out, name, "histogram", help);
    for (const auto& [service, of] : latency)
        ((*of).*which).print_samples(out, name, label("service", service));
}

std::string direct_metrics::text() const
{
    std::string out;
    single(out, "requests_accepted_total", "counter",
           "Requests taken from callers.", accepted);
    single(out, "requests_open", "gauge", "Requests not yet ended.", open);
    single(out, "caller_connections", "gauge", "Connections of callers.",
           caller_connections);
    single(out, "endpoint_connects_total", "counter",
           "Connections opened to endpoints.", endpoint_connects);
    single(out, "termination_checks_total", "counter",
           "Connections made to find out whether an endpoint has terminated.",
           termination_checks);
    single(out, "endpoint_rests_total", "counter",
           "Answers of endpoints that asked for rest.", rests_asked);
    single(out, "silent_endpoints_kept_total", "counter",
           "Requests that went on at a silent endpoint, as no other took them.",
           kept);
    single(out, "requests_sent_away_total", "counter",
           "Attempts sent to an endpoint in another failure domain.",
           sent_away);
    single(out, "bytes_sent_away_total", "counter",
           "Bytes of the bodies of such requests and of their answers.",
           bytes_away);
    single(out, "reports_sent_total", "counter",
           "Reports made for other instances.", reports_sent);
    single(out, "reports_received_total", "counter",
           "Reports taken from other instances.", reports_received);
    labelled(out, "refused_total", "reason",
             "Answers of this instance's own, by reason.", refused);
    family(out, "account_refused_total", "counter",
           "Refused requests, by client account and reason.");
    for (const auto& [account, reasons] : refused_accounts.counts())
    {
        for (const auto& [reason, count] : reasons)
            sample(out, "account_refused_total",
                   label("account", account) + "," + label("reason", reason),
                   count);
    }
    labelled(out, "retried_total", "reason",
             "Attempts repeated elsewhere, by how the attempt ended.", retried);
    labelled(out, "withheld_total", "reason",
             "Attempts not sent, by what had become known of the endpoint "
             "since it was chosen.",
             withheld);
    labelled(out, "cut_total", "reason",
             "Answers cut in the middle, by why the last attempt ended and why "
             "no other followed.",
             cut);
    labelled(out, "endpoint_silences_total", "connection",
             "Limits on the silence of an endpoint that were reached, by the "
             "state of the connection.",
             silences);
    labelled(out, "handovers_total", "decided",
             "Other endpoints asked because one was silent, by which of both "
             "went on with the request and why.",
             handovers);
    labelled(out, "endpoint_endless_total", "part",
             "Answers of endpoints that were given up, by the part that was "
             "longer than it may be.",
             endless);
    labelled(out, "answers_refused_total", "reason",
             "Answers of endpoints that were not passed on, or cut, by why "
             "they must not be used.",
             answers_refused);
    labelled(out, "malformed_events_total", "fault",
             "Pieces of streams that were not the next event, by what was "
             "wrong with them.",
             malformed_events);
    labelled(out, "resumed_total", "source",
             "Requests that go on with a stream that another attempt began, by "
             "how its release became known.",
             resumed);
    labelled(out, "ended_total", "outcome", "Requests ended, by outcome.",
             ended);
    distributions(out, "first_seconds",
                  "From the request to the first event or whole answer.",
                  &service_latency::first);
    distributions(out, "pause_seconds",
                  "Longest pause between events of an answer.",
                  &service_latency::pause);
    distributions(out, "total_seconds", "From the request to its end.",
                  &service_latency::total);
    return out;
}

} // namespace sycamorelock::adapters::direct
