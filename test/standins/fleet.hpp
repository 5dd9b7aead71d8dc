// Starts a fleet of real processes behind the proxy, with stand-ins around it.
#pragma once

#include "caller.hpp"
#include "endpoint.hpp"
#include "platform.hpp"
#include "process.hpp"
#include "proxy.hpp"

#include <sys/types.h>

#include <memory>
#include <vector>

namespace standin
{

struct account_plan
{
    std::string name;
    double weight = 1;
};

struct service_plan
{
    std::string name;
    std::string kind = "model";
    /// Endpoints in each failure domain.
    std::size_t endpoints_per_domain = 1;
    std::size_t slots = 4;
    endpoint_options engine{};
    /// Further lines of the service in the tree, indented by six spaces.
    std::string extra{};
};

struct fleet_plan
{
    std::vector<std::string> domains{"a", "b", "c"};
    std::size_t instances_per_domain = 2;
    std::vector<account_plan> accounts{{"north"}, {"south"}};
    std::vector<service_plan> services;
    std::string scheduling = "full";
    /// Further lines of the process files.
    std::string extra{};
    /// Endpoints are reached through the proxy, as peers and the platform are.
    bool endpoints_proxied = false;
};

/// One sycamorelockd.
struct instance
{
    std::string name;
    std::string domain;
    std::string ip;
    std::string settings_file;
    std::string log_file;
    std::string peer_route;
    std::string platform_route;
    pid_t pid = -1;

    [[nodiscard]] std::string caller_address() const { return ip + ":8080"; }
    [[nodiscard]] std::string operator_address() const { return ip + ":9100"; }
    [[nodiscard]] std::string peer_address() const { return ip + ":7000"; }
};

class fleet
{
  public:
    explicit fleet(fleet_plan plan);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    [[nodiscard]] std::vector<instance>& instances() { return instances_; }
    instance& at(std::size_t index) { return instances_.at(index); }
    std::vector<std::unique_ptr<endpoint>>&
    endpoints(const std::string& service)
    {
        return endpoints_.at(service);
    }
    standin::platform& platform() { return *platform_; }
    proxy& faults() { return *proxy_; }

    void start(instance& which);
    void signal(instance& which, int number);
    /// Waits for the end of a process; false if it takes too long.
    bool wait_exit(instance& which, std::chrono::seconds limit,
                   int* status = nullptr);
    void kill_and_wait(instance& which);
    /// Starts an instance that has ended and waits until it serves.
    void start_and_wait(instance& which);
    void wait_ready(instance& which);
    void wait_all_ready();

    /// Cuts all traffic between instances of a failure domain and the others,
    /// and between the domain and the platform if asked.
    void partition(const std::string& domain, bool from_platform,
                   const fault& harm = {.cut = true});
    /// Sets a fault for all traffic to the endpoints of a service.
    void harm_endpoints(const std::string& service, const fault& harm);
    /// All endpoints of a service close connections instead of answering.
    void drop_answers(const std::string& service, bool drop);
    /// Publishes the tree as a new version; `extra_accounts` changes it.
    std::uint64_t publish_tree(const std::vector<account_plan>& accounts);
    void publish_members(const std::vector<std::string>& leaving_endpoints,
                         const std::vector<std::string>& removed = {});
    [[nodiscard]] std::string
    tree_text(const std::vector<account_plan>& accounts) const;

    call make_call(std::size_t instance_index, const std::string& account,
                   const std::string& service);
    /// Index of the instance that schedules the first shard of a service in a
    /// failure domain; the number of instances if none does.
    std::size_t scheduler_of(const std::string& service,
                             const std::string& domain);
    /// How often a mark was started over all endpoints of a service.
    int runs(const std::string& service, const std::string& mark);
    /// Value of a metric without labels, or with exactly these labels.
    double metric(const instance& which, const std::string& name);
    std::string operator_get(const instance& which, const std::string& target);

  private:
    void write_settings(instance& which);

    fleet_plan plan_;
    std::string directory_;
    std::unique_ptr<standin::platform> platform_;
    std::unique_ptr<proxy> proxy_;
    std::map<std::string, std::vector<std::unique_ptr<endpoint>>> endpoints_;
    std::map<std::string, std::vector<std::string>> endpoint_domains_;
    std::map<std::string, std::vector<std::string>> endpoint_routes_;
    std::vector<instance> instances_;
    std::uint64_t config_version_ = 0;
    std::uint64_t members_version_ = 0;
};

/// A fresh UUID of version 7 made `age` ago.
std::string make_key(std::chrono::milliseconds age = {});

} // namespace standin
