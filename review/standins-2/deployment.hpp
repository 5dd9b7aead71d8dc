// Instances of the deploy file before stand-ins, for the scripts of the second
// review: real processes and sockets on loopback addresses, and the real clock.
#pragma once

#include "direct_store.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace review
{

using namespace std::chrono_literals;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Exit statuses of a script.
enum verdict
{
    held = 0,
    broken = 1,
    could_not_run = 2,
};

/// Lines of record.txt, with the time since the start in ms.
class record
{
  public:
    explicit record(const std::string& file) : out_(file) {}
    template <class... Parts> void write(const Parts&... parts)
    {
        const std::lock_guard lock(mutex_);
        out_ << std::chrono::duration_cast<milliseconds>(clock::now() - start_)
                    .count()
             << " ms ";
        ((out_ << parts), ...);
        out_ << std::endl;
    }

  private:
    std::mutex mutex_;
    clock::time_point start_ = clock::now();
    std::ofstream out_;
};

inline bool disturbs()
{
    const char* given = std::getenv("TROUBLE");
    return given == nullptr || std::string(given) != "0";
}

inline sockaddr_in address_of(const std::string& text)
{
    const auto colon = text.rfind(':');
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(
        static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1))));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

/// A blocking connection with a buffer of what was read and not used yet.
class connection
{
  public:
    explicit connection(int descriptor) : descriptor_(descriptor)
    {
        const int yes = 1;
        setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    }
    ~connection() { close(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// Null if it cannot be opened.
    static std::unique_ptr<connection> open(const std::string& to)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in at = address_of(to);
        if (connect(descriptor, reinterpret_cast<const sockaddr*>(&at),
                    sizeof at) != 0)
        {
            ::close(descriptor);
            return nullptr;
        }
        return std::make_unique<connection>(descriptor);
    }

    bool write(const std::string& bytes)
    {
        std::size_t done = 0;
        while (done < bytes.size())
        {
            const ssize_t size = send(descriptor_, bytes.data() + done,
                                      bytes.size() - done, MSG_NOSIGNAL);
            if (size <= 0)
                return false;
            done += static_cast<std::size_t>(size);
        }
        return true;
    }
    /// Reads some bytes; false at the end or after the limit.
    bool read_some(milliseconds limit, std::size_t most = 65536)
    {
        pollfd state{descriptor_, POLLIN, 0};
        if (poll(&state, 1, static_cast<int>(limit.count())) <= 0)
        {
            timed_out_ = true;
            return false;
        }
        std::string piece(most, '\0');
        const ssize_t size = recv(descriptor_, piece.data(), most, 0);
        if (size <= 0)
            return false;
        buffer_.append(piece, 0, static_cast<std::size_t>(size));
        return true;
    }
    /// Reads up to and with a mark; empty if it does not come.
    std::string read_until(const std::string& mark, milliseconds limit)
    {
        const auto end = clock::now() + limit;
        for (;;)
        {
            const auto at = buffer_.find(mark);
            if (at != std::string::npos)
                return take(at + mark.size());
            const auto left =
                std::chrono::duration_cast<milliseconds>(end - clock::now());
            if (left.count() <= 0 || !read_some(left))
                return {};
        }
    }
    /// Reads that many bytes; fewer at the end.
    std::string read_bytes(std::size_t count, milliseconds limit)
    {
        const auto end = clock::now() + limit;
        while (buffer_.size() < count)
        {
            const auto left =
                std::chrono::duration_cast<milliseconds>(end - clock::now());
            if (left.count() <= 0 || !read_some(left))
                break;
        }
        return take(std::min(count, buffer_.size()));
    }
    /// Whether the other side has closed or reset it.
    [[nodiscard]] bool has_ended() const
    {
        char byte = 0;
        const ssize_t size =
            recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size == 0 ||
               (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
    [[nodiscard]] bool timed_out() const { return timed_out_; }
    void close()
    {
        if (descriptor_ >= 0)
            ::close(descriptor_);
        descriptor_ = -1;
    }
    /// Closes it with a reset.
    void reset()
    {
        const linger at_once{1, 0};
        setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once,
                   sizeof at_once);
        close();
    }
    void shutdown()
    {
        if (descriptor_ >= 0)
            ::shutdown(descriptor_, SHUT_RDWR);
    }

  private:
    std::string take(std::size_t count)
    {
        std::string taken = buffer_.substr(0, count);
        buffer_.erase(0, count);
        return taken;
    }

    int descriptor_;
    std::string buffer_;
    bool timed_out_ = false;
};

/// First line and fields of a message; names of fields in lower case.
struct message_head
{
    std::string first_line;
    std::map<std::string, std::string> fields;

    static message_head of(const std::string& text)
    {
        message_head made;
        std::istringstream in(text);
        std::getline(in, made.first_line);
        if (made.first_line.ends_with('\r'))
            made.first_line.pop_back();
        for (std::string line; std::getline(in, line) && line.size() > 1;)
        {
            const auto colon = line.find(':');
            std::string name = line.substr(0, colon);
            for (char& each : name)
                each = static_cast<char>(std::tolower(each));
            std::string value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            value.erase(value.find_last_not_of("\r ") + 1);
            made.fields[name] = value;
        }
        return made;
    }
    [[nodiscard]] std::string field(const std::string& name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
    [[nodiscard]] std::size_t content_length() const
    {
        const std::string text = field("content-length");
        return text.empty() ? 0 : std::stoul(text);
    }
};

/// A listener with a thread for each connection.
class server
{
  public:
    using handler = std::function<void(connection&)>;

    /// \param segment most bytes of a segment; 0 for what the interface allows.
    server(handler serve, int receive_buffer = 0, int segment = 0)
        : serve_(std::move(serve))
    {
        listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (receive_buffer > 0)
            setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                       sizeof receive_buffer);
        if (segment > 0)
            setsockopt(listener_, IPPROTO_TCP, TCP_MAXSEG, &segment,
                       sizeof segment);
        sockaddr_in at = address_of("127.0.0.1:0");
        if (bind(listener_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
            listen(listener_, 256) != 0)
            throw std::runtime_error("cannot listen");
        socklen_t size = sizeof at;
        getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &size);
        address_ = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
        accepting_ = std::thread([this] { accept_all(); });
    }
    ~server() { stop(); }
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    [[nodiscard]] const std::string& address() const { return address_; }
    /// Closes all connections and waits for the threads.
    void stop()
    {
        if (stopped_.exchange(true))
            return;
        ::shutdown(listener_, SHUT_RDWR);
        accepting_.join();
        ::close(listener_);
        {
            const std::lock_guard lock(mutex_);
            for (const auto& each : open_)
                each->shutdown();
        }
        for (std::thread& each : threads_)
            each.join();
    }

  private:
    void accept_all()
    {
        for (;;)
        {
            const int descriptor =
                accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0)
                return;
            auto made = std::make_shared<connection>(descriptor);
            {
                const std::lock_guard lock(mutex_);
                open_.push_back(made);
            }
            threads_.emplace_back(
                [this, made]
                {
                    serve_(*made);
                    const std::lock_guard lock(mutex_);
                    std::erase(open_, made);
                });
        }
    }

    handler serve_;
    int listener_ = -1;
    std::string address_;
    std::atomic<bool> stopped_{false};
    std::mutex mutex_;
    std::vector<std::shared_ptr<connection>> open_;
    std::vector<std::thread> threads_;
    std::thread accepting_;
};

/// Value of `run` of the role in the deploy file.
inline std::string run_command()
{
    std::ifstream in("deploy/system.toml");
    for (std::string line; std::getline(in, line);)
    {
        if (line.starts_with("run = \""))
            return line.substr(7, line.size() - 8);
    }
    throw std::runtime_error("no run line in deploy/system.toml");
}

struct instance
{
    std::string ip;
    std::string domain;
    std::string settings_file;
    std::string log_file;
    pid_t pid = -1;
    /// Status of the wait, once it has ended.
    int status = 0;
    bool ended = false;

    [[nodiscard]] std::string callers() const { return ip + ":8783"; }
};

/// Instances with the settings that platform/settings.template gives a machine
/// of sites/afca-sched.toml.
class deployment
{
  public:
    /// \param domains failure domain of each instance.
    deployment(record& lines, std::string store,
               const std::vector<std::string>& domains)
        : lines_(lines), store_(std::move(store))
    {
        directory_ = std::filesystem::temp_directory_path() /
                     ("review-2-" + std::to_string(getpid()));
        std::filesystem::create_directories(directory_);
        for (std::size_t i = 0; i < domains.size(); ++i)
        {
            instance made;
            const auto pid = static_cast<unsigned>(getpid());
            made.ip = "127." + std::to_string(1 + (pid >> 8U) % 250U) + '.' +
                      std::to_string(pid % 256U) + '.' + std::to_string(i + 1);
            made.domain = domains[i];
            made.settings_file =
                directory_ / ("edge-" + std::to_string(i) + ".yaml");
            made.log_file = directory_ / ("edge-" + std::to_string(i) + ".log");
            instances_.push_back(made);
        }
        for (std::size_t i = 0; i < instances_.size(); ++i)
            start(i);
    }
    ~deployment()
    {
        for (instance& each : instances_)
            end(each, SIGKILL, 5s);
        std::error_code ignored;
        std::filesystem::remove_all(directory_, ignored);
    }
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    instance& at(std::size_t index) { return instances_.at(index); }

    void start(std::size_t index)
    {
        instance& which = instances_.at(index);
        write_settings(which);
        const std::string program = run_command();
        std::string setting =
            "SYCAMORELOCK_CONFIG=" + which.settings_file;
        std::string path = "PATH=/usr/bin:/bin";
        std::string words = program;
        char* arguments[] = {words.data(), nullptr};
        char* environment[] = {path.data(), setting.data(), nullptr};
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
                                         which.log_file.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO,
                                         STDERR_FILENO);
        const int failed = posix_spawn(&which.pid, program.c_str(), &actions,
                                       nullptr, arguments, environment);
        posix_spawn_file_actions_destroy(&actions);
        if (failed != 0)
            throw std::runtime_error("cannot start " + program);
        which.ended = false;
        lines_.write("instance ", index, " started, process ", which.pid);
    }
    /// Whether the process has ended, which is noted.
    bool has_ended(std::size_t index)
    {
        instance& which = instances_.at(index);
        if (!which.ended && waitpid(which.pid, &which.status, WNOHANG) ==
                                which.pid)
        {
            which.ended = true;
            lines_.write("instance ", index, " ended: ",
                         WIFSIGNALED(which.status)
                             ? "signal " +
                                   std::to_string(WTERMSIG(which.status))
                             : "status " +
                                   std::to_string(WEXITSTATUS(which.status)));
        }
        return which.ended;
    }
    void signal(std::size_t index, int number)
    {
        lines_.write("signal ", number, " to instance ", index);
        ::kill(instances_.at(index).pid, number);
    }
    /// Waits until all say that they are ready; false after the limit.
    bool wait_ready(milliseconds limit)
    {
        const auto end = clock::now() + limit;
        for (const instance& each : instances_)
        {
            while (!is_ready(each))
            {
                if (clock::now() > end)
                    return false;
                std::this_thread::sleep_for(50ms);
            }
        }
        lines_.write("all instances are ready");
        return true;
    }
    static bool is_ready(const instance& which)
    {
        const auto asked = connection::open(which.ip + ":8780");
        return asked &&
               asked->write("GET /v1/readyz HTTP/1.1\r\nHost: x\r\n"
                            "Connection: close\r\n\r\n") &&
               asked->read_until("\r\n", 2s).find(" 200 ") !=
                   std::string::npos;
    }
    [[nodiscard]] std::string log_of(std::size_t index) const
    {
        std::ifstream in(instances_.at(index).log_file);
        std::ostringstream text;
        text << in.rdbuf();
        return text.str();
    }

  private:
    void end(instance& which, int number, milliseconds limit)
    {
        if (which.pid <= 0 || which.ended)
            return;
        ::kill(which.pid, number);
        const auto latest = clock::now() + limit;
        while (waitpid(which.pid, &which.status, WNOHANG) != which.pid &&
               clock::now() < latest)
            std::this_thread::sleep_for(10ms);
        which.ended = true;
    }
    void write_settings(const instance& which) const
    {
        std::ofstream out(which.settings_file);
        out << "routing: direct\nname: " << which.ip
            << "\ndomain: " << which.domain
            << "\ncaller_address: " << which.callers()
            << "\nready_address: " << which.ip << ":8780"
            << "\npeer_address: " << which.ip << ":8785"
            << "\nmetrics_address: " << which.ip << ":7400"
            << "\nfleet_key: sycamorelock-on-a-private-network\nstore: "
            << store_ << "\nseeds: [";
        for (std::size_t i = 0; i < std::min<std::size_t>(3, instances_.size());
             ++i)
            out << (i > 0 ? "," : "") << '"' << instances_[i].ip << ":8785\"";
        out << "]\nretry_ratio: 0.2\nretry_slack: 56\n"
            << "domains: [hall-ain-sebaa, hall-berrechid, hall-mohammedia]\n"
            << "linger_ms: 2700\nshutdown_ms: 8000\nremote_ms_per_kb: 4\n"
            << "max_descriptors: 4100\nmemory_mb: 260\n"
            << "switched_off: [unseen_requests, reading_progress, "
               "domain_homes, objective_admission, promised_returns]\n";
    }

    record& lines_;
    std::string store_;
    std::filesystem::path directory_;
    std::vector<instance> instances_;
};

/// Entry of an endpoint, as it writes it to the store.
inline std::string entry_of(const std::string& service,
                            const std::string& address,
                            const std::string& domain, unsigned slots,
                            const std::string& state = "ready")
{
    return R"({"service":")" + service + R"(","address":")" + address +
           R"(","zone":")" + domain + R"(","version":"v1","slots":)" +
           std::to_string(slots) + R"(,"state":")" + state +
           R"(","warmup_left_ms":0,"seq":1})";
}

/// Limits as `fleetbench wire` shows them for sites/afca-sched.toml.
inline const std::string limits_text =
    R"({"max_header_bytes":16384,"max_body_bytes":4194304,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":560000})";

} // namespace review
