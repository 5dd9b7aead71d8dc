// Tables of the fields of every settings document.
#include "sycamorelock/settings/schema.hpp"

#include <array>

namespace sycamorelock::settings
{

namespace
{

using enum field_kind;

constexpr std::array process_table{
    field{"name", text, true, 1, 64, "", "",
          "Name of this instance, as the platform's member list has it."},
    field{"domain", text, true, 1, 64, "", "",
          "Failure domain of this instance."},
    field{"address", text, true, 1, 45, "", "",
          "IP address to listen on and to connect from."},
    field{"caller_port", integer, true, 0, 65535, "", "",
          "TCP port for callers; 0 lets the kernel choose."},
    field{"peer_port", integer, true, 1, 65535, "", "",
          "TCP port for other instances, as in the member list."},
    field{"operator_port", integer, true, 0, 65535, "", "",
          "TCP port for operators; 0 lets the kernel choose."},
    field{"fleet_key", text, true, 16, 256, "", "",
          "Secret shared by the fleet; authenticates messages between "
          "instances."},
    field{"platform", text_list, true, 1, 16, "", "",
          "Addresses (IP:port) of the configuration service."},
    field{"seeds", text_list, false, 0, 64, "", "",
          "Peer addresses (IP:port) to ask for the member list while the "
          "platform is away."},
    field{"traffic_threads", integer, false, 1, 64, "2", "",
          "Threads that carry callers' traffic."},
    field{"scheduling", choice, false, 0, 0, "full",
          "full|alone|fcfs|no_exchange",
          "Scheduling design; all but `full` are baselines for measurements."},
    field{"log_level", choice, false, 0, 0, "info", "debug|info|warn|error",
          "Least level that is logged."},
    field{"max_body_bytes", integer, false, 1, 67108864, "1048576", "",
          "Largest request body, in bytes."},
    field{"memory_mb", integer, false, 32, 10000000, "120", "",
          "Memory of the machine, in megabytes. A fifth of it is for what is "
          "held for callers; the rest is explained in docs/CAPACITY.md."},
    field{"header_timeout_ms", integer, false, 100, 600000, "10000", "",
          "Time for a caller to send a request's header and body, in "
          "milliseconds."},
    field{"idle_timeout_ms", integer, false, 100, 3600000, "60000", "",
          "Time a caller's connection may idle between requests, in "
          "milliseconds."},
    field{"write_timeout_ms", integer, false, 100, 600000, "30000", "",
          "Time a caller may take to read a piece of an answer, in "
          "milliseconds."},
    field{"endpoint_timeout_ms", integer, false, 100, 3600000, "60000", "",
          "Longest silence of an endpoint, in milliseconds."},
    field{"linger_ms", integer, false, 0, 600000, "2000", "",
          "Time after SIGTERM in which new requests are still served, in "
          "milliseconds."},
    field{"drain_timeout_ms", integer, false, 0, 3600000, "600000", "",
          "Longest graceful shutdown, in milliseconds."},
    field{"key_window_ms", integer, false, 1000, 86400000, "900000", "",
          "How long idempotency keys are remembered, in milliseconds."},
    field{"membership_lag_ms", integer, false, 0, 600000, "5000", "",
          "Longest time by which two instances' member lists differ, in "
          "milliseconds."},
    field{"clock_skew_ms", integer, false, 0, 600000, "2000", "",
          "Largest difference between the clocks of callers and instances, in "
          "milliseconds."},
};

constexpr std::array direct_table{
    field{"routing", choice, true, 0, 0, "", "direct",
          "Tells this document from the process file of the other kind."},
    field{"name", text, true, 1, 64, "", "",
          "Name of this instance, for logs."},
    field{"domain", text, true, 1, 64, "", "",
          "Failure domain of this instance."},
    field{"caller_address", text, true, 1, 64, "", "",
          "IP:port to listen on for callers."},
    field{"ready_address", text, true, 1, 64, "", "",
          "IP:port to listen on for the balancer's readiness checks."},
    field{"peer_address", text, true, 1, 64, "", "",
          "IP:port to listen on for other instances."},
    field{"metrics_address", text, true, 1, 64, "", "",
          "IP:port to listen on for metrics and status."},
    field{"fleet_key", text, true, 16, 256, "", "",
          "Secret shared by the fleet; authenticates messages between "
          "instances."},
    field{"store", text, true, 1, 64, "", "",
          "IP:port of the configuration store."},
    field{"seeds", text_list, false, 0, 64, "", "",
          "Peer addresses (IP:port) of a few instances; may be stale."},
    field{"domains", text_list, false, 0, 64, "", "",
          "Failure domains of the fleet. The allowance of an endpoint that "
          "warms up is divided among them, also while some are cut off; those "
          "of instances that are heard are added."},
    field{"warmup_overrun", number, false, 0, 1000, "1", "",
          "Requests a second that an endpoint may get while it warms up, as a "
          "multiple of what its service states."},
    field{"warmup_slack", number, false, 0, 1000000, "0", "",
          "Requests more than that in any second."},
    field{"retry_ratio", number, false, 0, 1, "0.2", "",
          "Share of the requests that the fleet may send a second time."},
    field{"retry_slack", number, false, 0, 1000000, "50", "",
          "Repeats allowed beyond that in ten seconds, over the fleet."},
    field{"remote_ms_per_kb", number, false, 0, 10000, "0", "",
          "Longest delay accepted to keep a kilobyte of requests and answers "
          "within the failure domain, in milliseconds; 0: traffic between "
          "failure domains has no price. Applies to services whose endpoints "
          "report the slowdown of their machines, or whose engines move 10,000 "
          "cached tokens within 10 ms."},
    field{"linger_ms", integer, false, 0, 600000, "3000", "",
          "Time after SIGTERM in which new connections are still served, in "
          "milliseconds."},
    field{"shutdown_ms", integer, false, 100, 3600000, "8000", "",
          "Longest graceful shutdown, `linger_ms` included, in milliseconds."},
    field{"max_descriptors", integer, false, 100, 10000000, "4096", "",
          "Descriptors that the process may have open; six in ten are for "
          "callers."},
    field{"memory_mb", integer, false, 32, 10000000, "120", "",
          "Memory of the machine, in megabytes. A fifth of it is for what is "
          "held for callers; the rest is explained in docs/CAPACITY.md."},
    field{"switched_off", text_list, false, 0, 64, "", "",
          "Mechanisms of the decisions that are not used, to measure what each "
          "is worth (docs/OPERATING.md)."},
    field{"log_level", choice, false, 0, 0, "info", "debug|info|warn|error",
          "Least level that is logged."},
};

constexpr std::array account_table{
    field{"weight", number, false, 0.001, 1000000, "1", "",
          "Share of the account relative to the others."},
    field{"max_in_flight", integer, false, 1, 1000000, "1000", "",
          "Most open requests of the account at one instance."},
    field{"keys", text_list, false, 0, 100, "", "",
          "Hex SHA-256 of each API key (`sycamorelock digest`)."},
};

constexpr std::array service_table{
    field{"kind", choice, false, 0, 0, "model", "model|plain",
          "What the service is: cost counts in tokens or in milliseconds."},
    field{"first_estimate", integer, false, 1, 1000000000, "200", "",
          "Cost assumed before anything is known."},
    field{"deadline_ms", integer, false, 1, 86400000, "60000", "",
          "Longest wait for a slot if the caller names none, in milliseconds."},
    field{"max_queue", integer, false, 1, 1000000, "2000", "",
          "Most waiting requests of one scheduler."},
    field{"max_queue_per_account", integer, false, 1, 1000000, "500", "",
          "The same for each account."},
    field{"token_delay_us", integer, false, 0, 10000000, "25000", "",
          "Delay between tokens that limits are adapted to, in microseconds; 0 "
          "turns it off."},
};

constexpr std::array endpoint_table{
    field{"address", text, true, 1, 64, "", "",
          "Address (IP:port) of the endpoint."},
    field{"domain", text, true, 1, 64, "", "",
          "Failure domain of the endpoint."},
    field{"slots", integer, false, 1, 100000, "8", "",
          "Most requests that it runs at once."},
    field{"fenced", boolean, false, 0, 1, "false", "",
          "Whether it refuses orders with an old fencing number."},
};

constexpr std::array member_table{
    field{"name", text, true, 1, 64, "", "", "Name of the instance."},
    field{"domain", text, true, 1, 64, "", "", "Its failure domain."},
    field{"address", text, true, 1, 64, "", "",
          "Its address (IP:port) for other instances."},
    field{"state", choice, false, 0, 0, "live", "live|leaving",
          "Whether it takes new work."},
};

constexpr std::string_view kind_name(field_kind kind)
{
    switch (kind)
    {
    case text:
        return "text";
    case integer:
        return "integer";
    case number:
        return "number";
    case boolean:
        return "boolean";
    case text_list:
        return "list of texts";
    case choice:
        return "choice";
    }
    return "";
}

void append_table(std::string& out, std::string_view title,
                  std::span<const field> fields)
{
    out += "\n### " + std::string(title) +
           "\n\n| field | type | default | meaning |\n|---|---|---|---|\n";
    for (const field& item : fields)
    {
        std::string type(kind_name(item.kind));
        if (item.kind == choice)
        {
            type.clear();
            for (const char c : item.choices)
            {
                if (c == '|')
                    type += ", ";
                else
                    type += c;
            }
        }
        const std::string fallback =
            item.required ? "required" : std::string(item.fallback);
        out += "| `" + std::string(item.name) + "` | " + type + " | " +
               fallback + " | " + std::string(item.description) + " |\n";
    }
}

} // namespace

std::span<const field> process_fields()
{
    return process_table;
}
std::span<const field> direct_fields()
{
    return direct_table;
}

std::span<const field> account_fields()
{
    return account_table;
}
std::span<const field> service_fields()
{
    return service_table;
}
std::span<const field> endpoint_fields()
{
    return endpoint_table;
}
std::span<const field> member_fields()
{
    return member_table;
}

std::string reference_tables()
{
    std::string out;
    append_table(out, "Process file", process_table);
    append_table(out, "Process file for direct routing", direct_table);
    append_table(out, "Accounts in the tree", account_table);
    append_table(out, "Services in the tree", service_table);
    append_table(out, "Endpoints of a service", endpoint_table);
    append_table(out, "Instances in the member list", member_table);
    return out;
}

} // namespace sycamorelock::settings
