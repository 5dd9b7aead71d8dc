// Metrics, status and explanations as text.
#include "sycamorelock/adapters/report.hpp"

#include "prometheus_text.hpp"

#include "sycamorelock/adapters/clocks.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace sycamorelock::adapters
{

namespace
{

namespace json = boost::json;

double number(std::uint64_t value)
{
    return static_cast<double>(value);
}

void request_metrics(std::string& out, const core::control_state& state)
{
    const core::entry_counters& counters = state.requests().counters();
    single(out, "requests_accepted_total", "counter",
           "Requests taken from callers.", number(counters.accepted));
    single(out, "requests_completed_total", "counter",
           "Requests whose whole answer was passed on.",
           number(counters.completed));
    single(out, "requests_cut_total", "counter",
           "Answers cut short because the endpoint failed.",
           number(counters.cut));
    single(out, "requests_caller_left_total", "counter",
           "Requests whose caller went away.", number(counters.caller_left));
    single(out, "requests_open", "gauge", "Requests not yet ended.",
           number(state.requests().open_requests()));
    family(out, "refused_total", "counter", "Refused requests by reason.");
    for (std::size_t i = 0; i < core::refusal_reason_count; ++i)
    {
        const auto reason = static_cast<core::refusal_reason>(i);
        sample(out, "refused_total",
               "reason=\"" + std::string(to_string(reason)) + '"',
               number(counters.refused.at(i)));
    }
    family(out, "retries_total", "counter", "Repeated attempts by reason.");
    for (std::size_t i = 0; i < core::retry_reason_count; ++i)
    {
        const auto reason = static_cast<core::retry_reason>(i);
        sample(out, "retries_total",
               "reason=\"" + std::string(to_string(reason)) + '"',
               number(state.retries().at(i)));
    }
}

std::string service_name(const core::control_state& state, core::service_id id)
{
    if (state.fleet_topology() == nullptr)
        return {};
    const auto found = state.fleet_topology()->services.find(id);
    return found == state.fleet_topology()->services.end() ? ""
                                                           : found->second.name;
}

std::string shard_labels(const core::control_state& state,
                         const core::shard_id& shard)
{
    return "service=\"" + service_name(state, shard.service) + "\",domain=\"" +
           std::to_string(shard.domain.value()) + "\",index=\"" +
           std::to_string(shard.index) + '"';
}

void shard_metrics(std::string& out, const core::control_state& state)
{
    family(out, "shard_backlog", "gauge",
           "Requests waiting at a shard scheduled here.");
    for (const core::shard_scheduler* shard : state.schedulers())
        sample(out, "shard_backlog", shard_labels(state, shard->id()),
               number(shard->backlog()));
    family(out, "shard_used_slots", "gauge", "Slots in use of a shard.");
    for (const core::shard_scheduler* shard : state.schedulers())
        sample(out, "shard_used_slots", shard_labels(state, shard->id()),
               number(shard->used_slots()));
    family(out, "shard_usable_slots", "gauge",
           "Slots that the shard's limits allow.");
    for (const core::shard_scheduler* shard : state.schedulers())
        sample(out, "shard_usable_slots", shard_labels(state, shard->id()),
               number(shard->usable_slots()));
}

void process_metrics(std::string& out, const control_plane& control)
{
    const core::control_state& state = control.state();
    const peer_metrics& peers = control.peers();
    const traffic_metrics& traffic = control.traffic();
    single(out, "config_version", "gauge", "Configuration in force.",
           state.fleet_topology() != nullptr
               ? number(state.fleet_topology()->version.number)
               : 0);
    single(out, "membership_version", "gauge", "Member list in force.",
           number(state.current_placement().list().version));
    single(out, "claims", "gauge", "Idempotency keys remembered.",
           number(state.claims()));
    single(out, "ready", "gauge", "1 if callers are served.",
           number(control.ready() && !control.leaving() ? 1 : 0));
    single(out, "peer_sent_bytes_total", "counter",
           "Bytes to other instances, framing included.",
           number(peers.sent_bytes));
    single(out, "peer_received_bytes_total", "counter",
           "Bytes from other instances, framing included.",
           number(peers.received_bytes));
    single(out, "peer_sent_datagrams_total", "counter",
           "Datagrams to other instances.", number(peers.sent_messages));
    single(out, "peer_received_datagrams_total", "counter",
           "Datagrams from other instances.", number(peers.received_messages));
    family(out, "peer_sent_messages_total", "counter",
           "Messages to other instances by type.");
    for (std::size_t i = 0; i < core::message_type_count; ++i)
        sample(out, "peer_sent_messages_total",
               "type=\"" + std::string(core::message_type_name(i)) + '"',
               number(peers.sent_by_type.at(i)));
    single(out, "peer_dropped_full_total", "counter",
           "Datagrams dropped because a peer does not read.",
           number(peers.dropped_full));
    single(out, "peer_dropped_invalid_total", "counter",
           "Datagrams dropped as forged, repeated or malformed.",
           number(peers.dropped_invalid));
    single(out, "peer_connections_unreadable_total", "counter",
           "Connections of other instances closed as unreadable.",
           number(peers.unreadable_connections));
    single(out, "platform_bytes_total", "counter",
           "Bytes to and from the platform.", number(traffic.platform_bytes));
    single(out, "platform_calls_total", "counter", "Calls to the platform.",
           number(traffic.platform_calls));
    single(out, "tokens_total", "counter", "Tokens passed to callers.",
           number(traffic.tokens));
    single(out, "bad_requests_total", "counter",
           "Connections that sent something other than a request.",
           number(traffic.bad_requests));
    single(out, "connections_total", "counter", "Connections from callers.",
           number(traffic.connections));
    single(out, "endpoint_connects_total", "counter",
           "Connections opened to endpoints.",
           number(traffic.endpoint_connects));
    single(out, "endpoint_endless_total", "counter",
           "Answers of endpoints that were given up, as a part of them was "
           "longer than it may be.",
           number(traffic.endpoint_endless));
    family(out, "answers_refused_total", "counter",
           "Answers of endpoints that were not passed on, or cut, by why they "
           "must not be used.");
    for (std::size_t i = 1; i < answer_error_count; ++i)
        sample(out, "answers_refused_total",
               label("reason",
                     std::string(to_string(static_cast<answer_error>(i)))),
               traffic.answers_refused.at(i));
    single(out, "malformed_events_total", "counter",
           "Pieces of streams that were no events.",
           number(traffic.malformed_events));
    print(out, traffic.requests);
    print(out, {&traffic.callers, &traffic.operators});
    single(out, "control_cpu_seconds_total", "counter",
           "Processor time of the control thread.", control.cpu_seconds());
    single(out, "process_cpu_seconds_total", "counter",
           "Processor time of the process.", process_cpu_seconds());
    single(out, "resident_bytes", "gauge", "Resident memory.",
           number(resident_bytes()));
}

} // namespace

std::string metrics_text(const control_plane& control)
{
    std::string out;
    request_metrics(out, control.state());
    shard_metrics(out, control.state());
    process_metrics(out, control);
    out += control.log().text();
    const traffic_metrics& traffic = control.traffic();
    traffic.queue_wait.print(out, "queue_wait_seconds",
                             "Time from acceptance to the first grant.");
    traffic.first_byte.print(
        out, "first_byte_seconds",
        "Time from acceptance to the first byte of the answer's body.");
    traffic.relay_delay.print(out, "relay_delay_seconds",
                              "Time a piece of an answer spends here.");
    return out;
}

std::string status_json(const control_plane& control)
{
    const core::control_state& state = control.state();
    json::object root;
    root["name"] = control.settings().name;
    root["domain"] = control.settings().domain;
    root["ready"] = control.ready() && !control.leaving();
    root["leaving"] = control.leaving();
    root["config_version"] = state.fleet_topology() != nullptr
                                 ? state.fleet_topology()->version.number
                                 : 0;
    root["membership_version"] = state.current_placement().list().version;
    root["open_requests"] = state.requests().open_requests();
    root["config_reader"] = state.current_placement().is_config_reader();
    json::array members;
    for (const auto& [id, member] : state.current_placement().list().members)
    {
        json::object item;
        item["name"] = member.name;
        item["alive"] = state.current_placement().alive(id);
        item["leaving"] = member.leaving;
        members.push_back(std::move(item));
    }
    root["members"] = std::move(members);
    json::array shards;
    for (const core::shard_scheduler* shard : state.schedulers())
    {
        json::object item;
        item["service"] = service_name(state, shard->id().service);
        item["index"] = shard->id().index;
        item["backlog"] = shard->backlog();
        item["used_slots"] = shard->used_slots();
        item["usable_slots"] = shard->usable_slots();
        shards.push_back(std::move(item));
    }
    root["shards"] = std::move(shards);
    return json::serialize(root);
}

std::string explain_json(const control_plane& control,
                         const core::request_id& id)
{
    const core::control_state& state = control.state();
    const core::request_record* record = state.requests().explain(id);
    if (record == nullptr)
        return {};
    const auto ms_since = [&](core::time_point at)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   at - record->accepted)
            .count();
    };
    json::object root;
    root["request"] = to_string(record->id);
    root["service"] = service_name(state, record->service);
    if (state.fleet_topology() != nullptr)
    {
        const auto& accounts = state.fleet_topology()->accounts;
        const auto account = accounts.find(record->account);
        root["account"] = account == accounts.end() ? "" : account->second.name;
        const auto service =
            state.fleet_topology()->services.find(record->service);
        if (service != state.fleet_topology()->services.end())
        {
            for (const auto& endpoint : service->second.endpoints)
            {
                if (endpoint.id == record->endpoint)
                    root["endpoint"] = endpoint.name;
            }
        }
    }
    root["urgency"] = record->urgency;
    root["attempts"] = record->attempts;
    root["estimated_cost"] = record->estimate.value();
    root["cost"] = record->total.value();
    if (record->first_grant != core::time_point{})
        root["waited_ms"] = ms_since(record->first_grant);
    if (!record->open)
        root["took_ms"] = ms_since(record->ended);
    root["state"] =
        record->open ? "open" : (record->refused ? "refused" : "ended");
    if (record->refused)
    {
        root["reason"] = to_string(record->reason);
        root["executed"] = to_string(record->ran);
    }
    return json::serialize(root);
}

} // namespace sycamorelock::adapters
