// Process file, operators' tree and member list.
#include "sycamorelock/settings/documents.hpp"

#include "field_values.hpp"

#include "sycamorelock/core/connection_memory.hpp"

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <cstring>

namespace sycamorelock::settings
{

namespace
{

constexpr std::string_view hex_digits = "0123456789abcdef";
constexpr std::size_t digest_text_size = 2 * SHA256_DIGEST_LENGTH;

std::array<unsigned char, SHA256_DIGEST_LENGTH> sha256(const std::string& text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
           digest.data());
    return digest;
}

core::scheduling_mode mode_of(const std::string& text)
{
    using enum core::scheduling_mode;
    if (text == "alone")
        return alone;
    if (text == "fcfs")
        return fcfs;
    return text == "no_exchange" ? no_exchange : full;
}

/// Reports two names of one kind that share a digest, or the same name twice.
template <class Id> class name_register
{
  public:
    void add(reader& in, const YAML::Node& at, const std::string& path,
             const std::string& name)
    {
        const auto [found, fresh] = names_.emplace(Id::of(name), name);
        if (fresh)
            return;
        const bool same = found->second == name;
        in.report(at, path,
                  same ? "the name '" + name + "' is used twice"
                       : "its name has the same digest as '" + found->second +
                             "': choose another");
    }

  private:
    std::map<Id, std::string> names_;
};

void read_accounts(reader& in, const YAML::Node& root, core::topology& tree)
{
    name_register<core::account_id> names;
    std::map<std::string, std::string> key_holders;
    in.walk(root, "accounts", account_fields(), {},
            [&](const std::string& path, const std::string& name,
                const YAML::Node& map, const values& held)
            {
                names.add(in, map, path, name);
                core::account_spec account;
                account.id = core::account_id::of(name);
                account.name = name;
                account.weight = held.at("weight").as<double>(1);
                account.max_in_flight =
                    static_cast<std::size_t>(integer_of(held, "max_in_flight"));
                account.key_digests = list_of(held, "keys");
                for (const std::string& key : account.key_digests)
                {
                    const bool hex =
                        key.size() == digest_text_size &&
                        key.find_first_not_of(hex_digits) == std::string::npos;
                    if (!hex)
                        in.report(held.at("keys"), path + ".keys",
                                  "must hold lower-case hex SHA-256 digests");
                    if (!key_holders.emplace(key, name).second)
                        in.report(held.at("keys"), path + ".keys",
                                  "this key also belongs to '" +
                                      key_holders[key] + "'");
                }
                tree.accounts[account.id] = std::move(account);
            });
}

void read_endpoints(reader& in, const YAML::Node& root, const std::string& path,
                    name_register<core::endpoint_id>& names,
                    core::service_spec& service)
{
    in.walk(root, path, endpoint_fields(), {},
            [&](const std::string& where, const std::string& name,
                const YAML::Node& map, const values& held)
            {
                core::endpoint_spec endpoint;
                endpoint.name = service.name + '/' + name;
                names.add(in, map, where, endpoint.name);
                endpoint.id = core::endpoint_id::of(endpoint.name);
                endpoint.address = text_of(held, "address");
                if (!is_ip_and_port(endpoint.address))
                    in.report(held.at("address"), where + ".address",
                              "must be IP:port");
                endpoint.domain = core::domain_id::of(text_of(held, "domain"));
                endpoint.slots =
                    static_cast<std::uint32_t>(integer_of(held, "slots"));
                endpoint.fenced = held.at("fenced").as<bool>(false);
                service.endpoints.push_back(std::move(endpoint));
            });
}

void read_services(reader& in, const YAML::Node& root, core::topology& tree)
{
    name_register<core::service_id> names;
    name_register<core::endpoint_id> endpoint_names;
    static constexpr std::array<std::string_view, 1> others{"endpoints"};
    in.walk(root, "services", service_fields(), others,
            [&](const std::string& path, const std::string& name,
                const YAML::Node& map, const values& held)
            {
                names.add(in, map, path, name);
                core::service_spec service;
                service.id = core::service_id::of(name);
                service.name = name;
                service.kind = text_of(held, "kind") == "plain"
                                   ? core::service_kind::plain
                                   : core::service_kind::model;
                service.first_estimate =
                    core::cost(integer_of(held, "first_estimate"));
                service.default_deadline = ms_of(held, "deadline_ms");
                service.max_queue =
                    static_cast<std::size_t>(integer_of(held, "max_queue"));
                service.max_queue_per_account = static_cast<std::size_t>(
                    integer_of(held, "max_queue_per_account"));
                service.target_token_delay = std::chrono::microseconds(
                    integer_of(held, "token_delay_us"));
                read_endpoints(in, map["endpoints"], path + ".endpoints",
                               endpoint_names, service);
                if (service.endpoints.empty())
                    in.report(map, path + ".endpoints", "is empty");
                tree.services[service.id] = std::move(service);
            });
}

/// A request within the limits must fit into memory on an idle instance.
void check_memory(reader& in, const values& held)
{
    const auto machine =
        static_cast<std::size_t>(integer_of(held, "memory_mb"));
    const auto threads =
        static_cast<std::size_t>(integer_of(held, "traffic_threads"));
    const auto body =
        static_cast<std::size_t>(integer_of(held, "max_body_bytes"));
    const core::connection_memory_limits limits =
        core::limits_for_callers(core::megabytes(machine)).part_of(threads);
    if (limits.largest_body().value() < body)
        in.report(held.at("max_body_bytes"), "process.max_body_bytes",
                  "must be at most " +
                      std::to_string(limits.largest_body().value()) +
                      " with this memory_mb and traffic_threads");
}

} // namespace

std::string digest_of_key(const std::string& key)
{
    std::string text;
    for (const unsigned char byte : sha256(key))
    {
        text += hex_digits[byte >> 4U];
        text += hex_digits[byte & 0xfU];
    }
    return text;
}

process_settings read_process(const std::string& text, const std::string& file)
{
    reader in(file);
    const YAML::Node root = in.parse(text);
    in.finish();
    values held = in.take(root, "process", process_fields(), {}, {});
    in.complete(held, root, "process", process_fields());

    process_settings result;
    result.address = text_of(held, "address");
    if (!is_ip(result.address))
        in.report(held.at("address"), "process.address",
                  "must be an IP address");
    result.platform = list_of(held, "platform");
    result.seeds = list_of(held, "seeds");
    for (const char* name : {"platform", "seeds"})
    {
        for (const std::string& address : list_of(held, name))
        {
            if (!is_ip_and_port(address))
                in.report(held.at(name), std::string("process.") + name,
                          "must hold IP:port");
        }
    }
    check_memory(in, held);
    in.finish();
    result.name = text_of(held, "name");
    result.domain = text_of(held, "domain");
    result.caller_port =
        static_cast<std::uint16_t>(integer_of(held, "caller_port"));
    result.peer_port =
        static_cast<std::uint16_t>(integer_of(held, "peer_port"));
    result.operator_port =
        static_cast<std::uint16_t>(integer_of(held, "operator_port"));
    result.fleet_key = text_of(held, "fleet_key");
    result.traffic_threads =
        static_cast<unsigned>(integer_of(held, "traffic_threads"));
    result.scheduling = mode_of(text_of(held, "scheduling"));
    result.log_level = text_of(held, "log_level");
    result.max_body_bytes =
        static_cast<std::size_t>(integer_of(held, "max_body_bytes"));
    result.memory_mb = static_cast<std::size_t>(integer_of(held, "memory_mb"));
    result.header_timeout = ms_of(held, "header_timeout_ms");
    result.idle_timeout = ms_of(held, "idle_timeout_ms");
    result.write_timeout = ms_of(held, "write_timeout_ms");
    result.endpoint_timeout = ms_of(held, "endpoint_timeout_ms");
    result.linger = ms_of(held, "linger_ms");
    result.drain_timeout = ms_of(held, "drain_timeout_ms");
    result.key_window = ms_of(held, "key_window_ms");
    result.membership_lag = ms_of(held, "membership_lag_ms");
    result.clock_skew = ms_of(held, "clock_skew_ms");
    return result;
}

core::topology read_tree(const std::string& text, const std::string& file,
                         std::uint64_t version)
{
    reader in(file);
    const YAML::Node root = in.parse(text);
    in.finish();
    static constexpr std::array<std::string_view, 2> sections{"accounts",
                                                              "services"};
    in.take(root, "tree", {}, {}, sections);
    in.finish();
    core::topology tree;
    tree.version.number = version;
    const auto digest = sha256(text);
    std::memcpy(&tree.version.digest, digest.data(),
                sizeof tree.version.digest);
    read_accounts(in, root["accounts"], tree);
    read_services(in, root["services"], tree);
    in.finish();
    return tree;
}

core::membership read_members(const std::string& text, const std::string& file)
{
    reader in(file);
    const YAML::Node root = in.parse(text);
    in.finish();
    static constexpr std::array<std::string_view, 3> sections{
        "version", "instances", "leaving_endpoints"};
    in.take(root, "members", {}, {}, sections);
    in.finish();
    core::membership list;
    if (!root["version"] ||
        !YAML::convert<std::uint64_t>::decode(root["version"], list.version))
        in.report(root, "members.version", "must be a whole number");
    name_register<core::instance_id> names;
    for (const YAML::Node& item : root["instances"])
    {
        const std::string path = "members.instances";
        values held = in.take(item, path, member_fields(), {}, {});
        in.complete(held, item, path, member_fields());
        if (!in.clean())
            continue;
        core::member member;
        member.name = text_of(held, "name");
        names.add(in, item, path, member.name);
        member.id = core::instance_id::of(member.name);
        member.domain = core::domain_id::of(text_of(held, "domain"));
        member.address = text_of(held, "address");
        if (!is_ip_and_port(member.address))
            in.report(item, path + ".address", "must be IP:port");
        member.leaving = text_of(held, "state") == "leaving";
        list.members[member.id] = std::move(member);
    }
    for (const YAML::Node& item : root["leaving_endpoints"])
    {
        if (item.IsScalar())
            list.leaving_endpoints.push_back(
                core::endpoint_id::of(item.Scalar()));
    }
    in.finish();
    return list;
}

} // namespace sycamorelock::settings
