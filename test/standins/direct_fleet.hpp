// Instances that route directly, as real processes, between stand-ins of the
// store and the endpoints, and a caller that speaks the platform's dialect.
#pragma once

#include "direct_engine.hpp"
#include "direct_store.hpp"
#include "process.hpp"
#include "proxy.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace standin
{

struct direct_instance
{
    std::string ip;
    std::string settings_file;
    std::string log_file;
    /// Where it finds the store.
    std::string store_address;
    pid_t pid = -1;

    [[nodiscard]] std::string caller_address() const { return ip + ":8080"; }
    [[nodiscard]] std::string ready_address() const { return ip + ":8081"; }
    [[nodiscard]] std::string peer_address() const { return ip + ":7000"; }
    [[nodiscard]] std::string metrics_address() const { return ip + ":9100"; }
};

/// An endpoint that is none of the fleet's own.
struct other_endpoint
{
    std::string boot;
    std::string address;
    std::string service;
};

struct direct_plan
{
    std::size_t instances = 2;
    std::size_t engines = 2;
    std::size_t plain = 2;
    int events = 5;
    std::chrono::milliseconds gap{10};
    /// Start the instances while the store is away.
    bool store_down = false;
    /// Standard output goes to a pipe that nobody reads.
    bool unread_logs = false;
    /// Further lines of the settings files.
    std::string extra{};
    /// Every second engine is in the failure domain "b" instead of "a".
    bool two_domains = false;
    /// Instances reach endpoints and the store through the proxy.
    bool proxied = false;
    /// Software versions of the engines in order; the others are of "v1".
    std::vector<std::string> versions{};
    std::vector<other_endpoint> others{};
    /// What callers may send, as the configuration has it.
    std::string limits = R"("max_header_bytes":8192,"max_body_bytes":200000,
"header_timeout_ms":700,"idle_timeout_ms":5000)";
};

/// A caller's request in the platform's dialect.
struct direct_call
{
    std::string to;
    std::string id;
    std::string method = "POST";
    std::string path = "/plan/x";
    std::string key = "key-north";
    std::string body = "prompt";
    long time_left_ms = 5000;
    std::map<std::string, std::string> fields{};
    bool chunked = false;
    std::chrono::milliseconds leave_after{0};
    /// Begins to read the answer that long after the request.
    std::chrono::milliseconds read_after{0};
};

struct direct_answer
{
    /// 0 if no answer began.
    unsigned status = 0;
    /// It ended as HTTP says.
    bool whole = false;
    std::string body;
    std::string seal;
    std::string retry_after;
    bool closes = false;
    double seconds = 0;
};

/// Requests that each endpoint runs at once, as the store lists it.
constexpr unsigned endpoint_slots = 8;

class direct_fleet
{
  public:
    explicit direct_fleet(direct_plan plan);
    ~direct_fleet();
    direct_fleet(const direct_fleet&) = delete;
    direct_fleet& operator=(const direct_fleet&) = delete;

    direct_store& store() { return *store_; }
    direct_engine& engine(std::size_t index) { return *engines_.at(index); }
    direct_engine& plain(std::size_t index) { return *plain_.at(index); }
    direct_instance& at(std::size_t index) { return instances_.at(index); }
    proxy& faults() { return proxy_; }
    /// Route of the proxy to an endpoint, as the store lists it.
    [[nodiscard]] std::string route_of(const direct_engine& which) const;

    void start(direct_instance& which);
    /// Ends a process with SIGKILL and waits for it.
    void kill(direct_instance& which);
    [[nodiscard]] bool ready(const direct_instance& which);
    void wait_ready();
    /// \param born start of the engine; a later one keeps its entry's name.
    void list_engine(std::size_t index, const char* state = "ready",
                     std::uint64_t born = 1);
    /// Writes an entry beside those of the endpoints.
    void list_foreign(const std::string& name, const std::string& value);
    /// Operators drain a failure domain, or take it back.
    void drain(const std::string& domain);
    void take_back(const std::string& domain);
    void unlist_engine(std::size_t index);
    /// Engines and plain endpoints crash under such requests from now on. The
    /// entry of a start that has crashed lapses a second later.
    void set_crash(const crash_rule& rule);
    /// Crashes of all endpoints, in order of time.
    [[nodiscard]] std::vector<endpoint_crash> crashes() const;
    /// Publishes a configuration; accounts other than "north" by name.
    void publish(std::uint64_t version,
                 const std::set<std::string>& accounts = {});

    /// Asks through an instance with a new id.
    direct_call make_call(std::size_t instance,
                          const std::string& path = "/plan/x");
    /// Runs of an attempt over all endpoints.
    int runs_of(const std::string& attempt_id);
    /// Versions of the engines that ran an attempt.
    std::set<std::string> versions_of(const std::string& attempt_id);
    std::string page(const std::string& address, const std::string& path);
    /// Whether an instance's metrics hold this line.
    bool says(const direct_instance& which, const std::string& line);
    /// Instances whose metrics hold it.
    std::size_t that_say(const std::string& line);
    std::string log_of(const direct_instance& which);
    std::string settings_of(const direct_instance& which);
    void write_settings(const direct_instance& which, const std::string& text);

  private:
    void add_route(const std::string& address);
    void list_plain(std::size_t index);
    /// Removes the entry of a start that has crashed, or lists the endpoint
    /// again.
    void on_crash_change(const std::string& crashed,
                         const std::function<void()>& list);

    direct_plan plan_;
    std::string directory_;
    std::unique_ptr<direct_store> store_;
    std::vector<std::unique_ptr<direct_engine>> engines_;
    std::vector<std::unique_ptr<direct_engine>> plain_;
    /// Routes of the proxy by the address that they lead to.
    std::map<std::string, std::string> routes_;
    std::vector<direct_instance> instances_;
    std::unique_ptr<background> lapses_ = std::make_unique<background>();
    proxy proxy_;
    int next_id_ = 0;
    /// Read end of the pipe for unread logs, kept open.
    int unread_pipe_ = -1;
};

/// Describes the prompt of a call: a part that all such calls share, and its
/// own one.
void describe_prompt(direct_call& what, long shared_tokens, long own_tokens,
                     long output_tokens);

/// The request as it is sent.
std::string message_of(const direct_call& what);

direct_answer ask(const direct_call& what);

/// Asks over an open connection, which may be used again if the result is true.
asio::awaitable<bool> ask_over(beast::tcp_stream& stream, direct_call what,
                               direct_answer& got);

} // namespace standin
