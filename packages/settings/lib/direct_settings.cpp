// Process file of an instance that routes directly.
#include "sycamorelock/settings/direct_settings.hpp"

#include "field_values.hpp"

namespace sycamorelock::settings
{

bool is_direct(const std::string& text)
{
    return text.starts_with("routing:") ||
           text.find("\nrouting:") != std::string::npos;
}

direct_settings read_direct(const std::string& text, const std::string& file)
{
    static const std::string path = "process";
    reader in(file);
    const YAML::Node root = in.parse(text);
    in.finish();
    values held = in.take(root, path, direct_fields(), {}, {});
    in.complete(held, root, path, direct_fields());
    for (const char* name : {"caller_address", "ready_address", "peer_address",
                             "metrics_address", "store"})
    {
        if (root[name] && !is_ip_and_port(text_of(held, name)))
            in.report(held.at(name), path + '.' + name, "must be IP:port");
    }
    for (const std::string& seed : list_of(held, "seeds"))
    {
        if (!is_ip_and_port(seed))
            in.report(held.at("seeds"), path + ".seeds", "must hold IP:port");
    }
    direct_settings result;
    for (const std::string& name : list_of(held, "switched_off"))
    {
        const auto which = core::direct::mechanism_of(name);
        if (which)
            result.mechanisms.switch_off(*which);
        else
            in.report(held.at("switched_off"), path + ".switched_off",
                      "no mechanism is named " + name);
    }
    result.linger = ms_of(held, "linger_ms");
    result.shutdown = ms_of(held, "shutdown_ms");
    if (result.linger >= result.shutdown)
        in.report(held.at("linger_ms"), path + ".linger_ms",
                  "must be shorter than shutdown_ms");
    in.finish();
    result.name = text_of(held, "name");
    result.domain = text_of(held, "domain");
    result.caller_address = text_of(held, "caller_address");
    result.ready_address = text_of(held, "ready_address");
    result.peer_address = text_of(held, "peer_address");
    result.metrics_address = text_of(held, "metrics_address");
    result.fleet_key = text_of(held, "fleet_key");
    result.store = text_of(held, "store");
    result.seeds = list_of(held, "seeds");
    result.domains = list_of(held, "domains");
    result.warmup_overrun = number_of(held, "warmup_overrun");
    result.warmup_slack = number_of(held, "warmup_slack");
    result.retry_ratio = number_of(held, "retry_ratio");
    result.retry_slack = number_of(held, "retry_slack");
    result.remote_ms_per_kb = number_of(held, "remote_ms_per_kb");
    result.max_descriptors =
        static_cast<std::size_t>(integer_of(held, "max_descriptors"));
    result.memory_mb = static_cast<std::size_t>(integer_of(held, "memory_mb"));
    result.log_level = text_of(held, "log_level");
    return result;
}

} // namespace sycamorelock::settings
