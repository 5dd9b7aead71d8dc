// Process control and documents of a test fleet.
#include "fleet.hpp"

#include "sycamorelock/settings/documents.hpp"

#include <csignal>
#include <unistd.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

namespace standin
{

namespace
{

constexpr std::chrono::milliseconds poll_step{20};
constexpr std::chrono::seconds ready_limit{30};

/// Reads the body of an answer; leaves it empty if there is none.
asio::awaitable<void> get(const std::string& from, const std::string& target,
                          std::string& body)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(std::chrono::seconds(2));
    auto [unconnected] =
        co_await stream.async_connect(endpoint_of(from), as_result);
    if (unconnected)
        co_return;
    http::request<http::empty_body> asked(http::verb::get, target, 11);
    auto [unsent, sent] = co_await http::async_write(stream, asked, as_result);
    beast::flat_buffer buffer;
    response got;
    auto [failed, bytes] =
        co_await http::async_read(stream, buffer, got, as_result);
    if (!unsent && !failed)
        body = got.body();
}

} // namespace

std::string make_key(std::chrono::milliseconds age)
{
    static std::mt19937_64 random(std::random_device{}());
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch()) -
                    age;
    const std::uint64_t low = random();
    std::array<char, 40> text{};
    std::snprintf(
        text.data(), text.size(), "%08llx-%04llx-7%03llx-8%03llx-%012llx",
        static_cast<unsigned long long>(at.count() >> 16),
        static_cast<unsigned long long>(at.count() & 0xffff),
        static_cast<unsigned long long>(low & 0xfff),
        static_cast<unsigned long long>(low >> 12 & 0xfff),
        static_cast<unsigned long long>(random() & 0xffffffffffffULL));
    return text.data();
}

fleet::fleet(fleet_plan plan) : plan_(std::move(plan))
{
    std::string pattern =
        (std::filesystem::temp_directory_path() / "sycamorelock-XXXXXX")
            .string();
    if (mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("no temporary directory");
    directory_ = pattern;
    platform_ = std::make_unique<standin::platform>("127.0.0.1:0");
    proxy_ = std::make_unique<proxy>();
    for (const service_plan& service : plan_.services)
    {
        for (const std::string& domain : plan_.domains)
        {
            for (std::size_t i = 0; i < service.endpoints_per_domain; ++i)
            {
                endpoint_options options = service.engine;
                options.slots = service.slots;
                endpoints_[service.name].push_back(
                    std::make_unique<endpoint>(options));
                endpoint_domains_[service.name].push_back(domain);
                const std::string address =
                    endpoints_[service.name].back()->address();
                endpoint_routes_[service.name].push_back(
                    plan_.endpoints_proxied
                        ? proxy_->forward("127.0.0.1:0", address)
                        : address);
            }
        }
    }
    for (const std::string& domain : plan_.domains)
    {
        for (std::size_t i = 0; i < plan_.instances_per_domain; ++i)
        {
            instance made;
            made.name = domain + std::to_string(i + 1);
            made.domain = domain;
            made.ip = unique_ip(instances_.size());
            made.settings_file = directory_ + '/' + made.name + ".yaml";
            made.log_file = directory_ + '/' + made.name + ".log";
            made.peer_route =
                proxy_->forward("127.0.0.1:0", made.peer_address());
            made.platform_route =
                proxy_->forward("127.0.0.1:0", platform_->address());
            instances_.push_back(made);
        }
    }
    publish_tree(plan_.accounts);
    publish_members({});
    for (instance& which : instances_)
        start(which);
    wait_all_ready();
}

fleet::~fleet()
{
    for (instance& which : instances_)
    {
        if (which.pid <= 0)
            continue;
        kill(which.pid, SIGCONT);
        kill_and_wait(which);
    }
    if (std::getenv("SYCAMORELOCK_KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(directory_);
}

void fleet::write_settings(instance& which)
{
    std::ofstream out(which.settings_file);
    out << "name: " << which.name << "\ndomain: " << which.domain
        << "\naddress: " << which.ip
        << "\ncaller_port: 8080\npeer_port: 7000\noperator_port: 9100\n"
        << "fleet_key: a-key-for-tests-only\nplatform: ['"
        << which.platform_route << "']\nscheduling: " << plan_.scheduling
        << '\n';
    if (plan_.extra.find("linger_ms") == std::string::npos)
        out << "linger_ms: 1500\n";
    out << "seeds: [";
    bool first = true;
    for (const instance& other : instances_)
    {
        if (other.name == which.name)
            continue;
        out << (first ? "'" : ", '") << other.peer_route << '\'';
        first = false;
    }
    out << "]\n" << plan_.extra;
}

void fleet::start(instance& which)
{
    write_settings(which);
    which.pid = start_daemon(which.settings_file, which.log_file);
}

void fleet::signal(instance& which, int number)
{
    kill(which.pid, number);
}

bool fleet::wait_exit(instance& which, std::chrono::seconds limit, int* status)
{
    const bool ended = wait_for_exit(which.pid, limit, status);
    if (ended)
        which.pid = -1;
    return ended;
}

void fleet::kill_and_wait(instance& which)
{
    kill(which.pid, SIGKILL);
    wait_exit(which, std::chrono::seconds(10));
}

void fleet::start_and_wait(instance& which)
{
    start(which);
    wait_ready(which);
}

void fleet::wait_ready(instance& which)
{
    const bool ready = eventually(
        [&] { return operator_get(which, "/ready").starts_with("ready"); },
        ready_limit);
    if (!ready)
        throw std::runtime_error(which.name +
                                 " is not ready: " + text_of(which.log_file));
}

void fleet::wait_all_ready()
{
    for (instance& which : instances_)
        wait_ready(which);
    // Everybody must also have heard of everybody.
    const bool known = eventually(
        [&]
        {
            for (const instance& which : instances_)
            {
                if (operator_get(which, "/status").find("\"alive\":false") !=
                    std::string::npos)
                    return false;
            }
            return true;
        },
        ready_limit);
    if (!known)
        throw std::runtime_error("the instances do not know each other");
}

void fleet::partition(const std::string& domain, bool from_platform,
                      const fault& harm)
{
    for (const instance& from : instances_)
    {
        if (from_platform && from.domain == domain)
            proxy_->set("*", from.platform_route, harm);
        for (const instance& to : instances_)
        {
            if ((from.domain == domain) != (to.domain == domain))
                proxy_->set(from.ip, to.peer_route, harm);
        }
    }
}

void fleet::harm_endpoints(const std::string& service, const fault& harm)
{
    for (const std::string& route : endpoint_routes_.at(service))
        proxy_->set("*", route, harm);
}

void fleet::drop_answers(const std::string& service, bool drop)
{
    for (const auto& each : endpoints_.at(service))
        each->drop_answers(drop);
}

std::string fleet::tree_text(const std::vector<account_plan>& accounts) const
{
    std::ostringstream out;
    out << "accounts:\n  children:\n";
    for (const account_plan& account : accounts)
        out << "    " << account.name << ":\n      weight: " << account.weight
            << "\n      keys: ['"
            << sycamorelock::settings::digest_of_key("key-" + account.name)
            << "']\n";
    out << "services:\n  children:\n";
    for (const service_plan& service : plan_.services)
    {
        out << "    " << service.name << ":\n      kind: " << service.kind
            << '\n'
            << service.extra
            << "      endpoints:\n        slots: " << service.slots
            << "\n        children:\n";
        const auto& domains = endpoint_domains_.at(service.name);
        for (std::size_t i = 0; i < domains.size(); ++i)
            out << "          e" << i << ": {address: '"
                << endpoint_routes_.at(service.name)[i]
                << "', domain: " << domains[i] << "}\n";
    }
    return out.str();
}

std::uint64_t fleet::publish_tree(const std::vector<account_plan>& accounts)
{
    platform_->publish_config(++config_version_, tree_text(accounts));
    return config_version_;
}

void fleet::publish_members(const std::vector<std::string>& leaving_endpoints,
                            const std::vector<std::string>& removed)
{
    std::ostringstream out;
    out << "version: " << ++members_version_ << "\ninstances:\n";
    for (const instance& which : instances_)
    {
        const bool gone = std::find(removed.begin(), removed.end(),
                                    which.name) != removed.end();
        if (gone)
            continue;
        out << "  - {name: " << which.name << ", domain: " << which.domain
            << ", address: '" << which.peer_route << "', state: live}\n";
    }
    out << "leaving_endpoints: [";
    for (std::size_t i = 0; i < leaving_endpoints.size(); ++i)
        out << (i == 0 ? "" : ", ") << leaving_endpoints[i];
    out << "]\n";
    platform_->publish_members(members_version_, out.str());
}

call fleet::make_call(std::size_t instance_index, const std::string& account,
                      const std::string& service)
{
    static std::atomic<int> marks{0};
    call made;
    made.to = instances_.at(instance_index).caller_address();
    made.key = "key-" + account;
    made.service = service;
    made.mark = "m" + std::to_string(++marks);
    return made;
}

std::size_t fleet::scheduler_of(const std::string& service,
                                const std::string& domain)
{
    std::size_t index = 0;
    for (const instance& which : instances_)
    {
        const std::string status =
            which.domain == domain ? operator_get(which, "/status") : "";
        if (status.find("\"service\":\"" + service + '"') != std::string::npos)
            return index;
        ++index;
    }
    return index;
}

int fleet::runs(const std::string& service, const std::string& mark)
{
    int total = 0;
    for (const auto& each : endpoints_.at(service))
        total += each->started(mark);
    return total;
}

std::string fleet::operator_get(const instance& which,
                                const std::string& target)
{
    std::string body;
    run_to_end(get(which.operator_address(), target, body));
    return body;
}

double fleet::metric(const instance& which, const std::string& name)
{
    std::istringstream lines(operator_get(which, "/metrics"));
    std::string line;
    while (std::getline(lines, line))
    {
        if (line.starts_with(name + ' '))
            return std::stod(line.substr(name.size() + 1));
    }
    return 0;
}

} // namespace standin
