// Stand-ins for the platform's store, replicas and clients, and instances of
// the project's own program. Blocking sockets and one thread a connection.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace review
{

using clock = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

inline void sleep_ms(long count)
{
    std::this_thread::sleep_for(ms(count));
}

/// What was sent, answered and run, with the time since the start in ms.
class record
{
  public:
    explicit record(const std::string& path)
        : out_(std::fopen(path.c_str(), "w"))
    {
        if (out_ == nullptr)
            throw std::runtime_error("cannot write " + path);
    }
    ~record() { std::fclose(out_); }
    record(const record&) = delete;
    record& operator=(const record&) = delete;

    __attribute__((format(printf, 2, 3))) void line(const char* format, ...)
    {
        const std::lock_guard lock(mutex_);
        const auto at =
            std::chrono::duration_cast<ms>(clock::now() - begin_).count();
        std::fprintf(out_, "%7lld ", static_cast<long long>(at));
        va_list values;
        va_start(values, format);
        std::vfprintf(out_, format, values);
        va_end(values);
        std::fputc('\n', out_);
        std::fflush(out_);
    }

  private:
    std::mutex mutex_;
    std::FILE* out_;
    clock::time_point begin_ = clock::now();
};

struct address
{
    std::string ip;
    std::uint16_t port = 0;
    [[nodiscard]] std::string text() const
    {
        return ip + ':' + std::to_string(port);
    }
};

inline sockaddr_in raw(const address& of)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(of.port);
    inet_pton(AF_INET, of.ip.c_str(), &out.sin_addr);
    return out;
}

/// Loopback addresses that belong to this process: one each call.
inline std::string own_ip()
{
    static std::atomic<unsigned> next{0};
    const auto pid = static_cast<unsigned>(getpid());
    return "127." + std::to_string(1 + (pid >> 8U) % 250U) + '.' +
           std::to_string(pid % 256U) + '.' + std::to_string(1 + ++next % 250U);
}

/// A connection that is read line by line or in bytes.
class connection
{
  public:
    explicit connection(int fd) : fd_(fd)
    {
        const int on = 1;
        setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~connection() { close(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// \throws std::runtime_error
    static std::unique_ptr<connection> open(const address& to)
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in at = raw(to);
        if (connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0)
        {
            ::close(fd);
            throw std::runtime_error("cannot connect to " + to.text());
        }
        return std::make_unique<connection>(fd);
    }

    void close()
    {
        if (fd_ >= 0)
            ::close(fd_);
        fd_ = -1;
    }
    /// Ends the connection with a reset.
    void reset()
    {
        const linger now{1, 0};
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }
    void shut_down() { shutdown(fd_, SHUT_RDWR); }

    bool send(const std::string& bytes)
    {
        std::size_t done = 0;
        while (done < bytes.size())
        {
            const ssize_t n = ::send(fd_, bytes.data() + done,
                                     bytes.size() - done, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            done += static_cast<std::size_t>(n);
        }
        return true;
    }

    /// Reads more; false at the end or when nothing comes in time.
    bool fill(long timeout_ms = 30000)
    {
        pollfd state{fd_, POLLIN, 0};
        if (poll(&state, 1, static_cast<int>(timeout_ms)) <= 0)
        {
            timed_out_ = true;
            return false;
        }
        char bytes[65536];
        const ssize_t n = recv(fd_, bytes, sizeof bytes, 0);
        if (n <= 0)
        {
            was_reset_ = n < 0;
            return false;
        }
        held_.append(bytes, static_cast<std::size_t>(n));
        return true;
    }
    /// Whether the other side has closed, without waiting.
    bool is_closed()
    {
        char byte = 0;
        const ssize_t n = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
    std::string& held() { return held_; }
    [[nodiscard]] bool was_reset() const { return was_reset_; }
    [[nodiscard]] bool timed_out() const { return timed_out_; }
    [[nodiscard]] int fd() const { return fd_; }

  private:
    int fd_;
    std::string held_;
    bool was_reset_ = false;
    bool timed_out_ = false;
};

struct message
{
    std::string first_line;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    /// The body ended as its framing says.
    bool whole = false;

    [[nodiscard]] std::string field(const std::string& name) const
    {
        for (const auto& [each, value] : fields)
        {
            if (strcasecmp(each.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }
    [[nodiscard]] std::size_t count(const std::string& name) const
    {
        std::size_t n = 0;
        for (const auto& [each, value] : fields)
            n += strcasecmp(each.c_str(), name.c_str()) == 0 ? 1 : 0;
        return n;
    }
    [[nodiscard]] std::string method() const
    {
        return first_line.substr(0, first_line.find(' '));
    }
    [[nodiscard]] std::string target() const
    {
        const std::size_t at = first_line.find(' ') + 1;
        return first_line.substr(at, first_line.find(' ', at) - at);
    }
    [[nodiscard]] int status() const
    {
        const std::size_t at = first_line.find(' ');
        return at == std::string::npos ? 0 : std::atoi(first_line.c_str() + at);
    }
};

inline bool read_line(connection& from, std::string& line, long timeout_ms)
{
    for (;;)
    {
        const std::size_t at = from.held().find("\r\n");
        if (at != std::string::npos)
        {
            line = from.held().substr(0, at);
            from.held().erase(0, at + 2);
            return true;
        }
        if (!from.fill(timeout_ms))
            return false;
    }
}

inline bool read_bytes(connection& from, std::string& out, std::size_t count,
                       long timeout_ms)
{
    while (from.held().size() < count)
    {
        if (!from.fill(timeout_ms))
            return false;
    }
    out.append(from.held(), 0, count);
    from.held().erase(0, count);
    return true;
}

/// Reads a message. An answer without a length ends with its connection.
inline bool read_message(connection& from, message& out, bool is_answer,
                         long timeout_ms = 30000)
{
    out = {};
    if (!read_line(from, out.first_line, timeout_ms))
        return false;
    for (std::string line;;)
    {
        if (!read_line(from, line, timeout_ms))
            return false;
        if (line.empty())
            break;
        const std::size_t colon = line.find(':');
        std::string value =
            colon == std::string::npos ? std::string() : line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        out.fields.emplace_back(line.substr(0, colon), value);
    }
    if (out.field("Transfer-Encoding") == "chunked")
    {
        for (std::string line;;)
        {
            if (!read_line(from, line, timeout_ms))
                return is_answer;
            const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
            if (!read_bytes(from, out.body, size, timeout_ms) ||
                !read_line(from, line, timeout_ms))
            {
                out.body += from.held();
                return is_answer;
            }
            if (size == 0)
                break;
        }
        out.whole = true;
        return true;
    }
    const std::string length = out.field("Content-Length");
    if (!length.empty())
    {
        out.whole =
            read_bytes(from, out.body,
                       std::strtoul(length.c_str(), nullptr, 10), timeout_ms);
        return out.whole || is_answer;
    }
    if (is_answer)
    {
        while (from.fill(timeout_ms))
        {
        }
        out.body.swap(from.held());
        out.whole = !from.was_reset() && !from.timed_out();
        return true;
    }
    out.whole = true;
    return true;
}

/// Listens on a loopback address and serves each connection on a thread.
class server
{
  public:
    using handler = std::function<void(connection&)>;

    explicit server(handler serve, std::string ip = own_ip(),
                    std::uint16_t port = 0)
        : serve_(std::move(serve)), at_{std::move(ip), port}
    {
        listen();
    }
    ~server() { stop(); }
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    void listen()
    {
        fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in at = raw(at_);
        if (bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
            ::listen(fd_, 512) != 0)
            throw std::runtime_error("cannot listen on " + at_.text());
        socklen_t size = sizeof at;
        getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
        at_.port = ntohs(at.sin_port);
        stopping_ = false;
        acceptor_ = std::thread([this] { accept_all(); });
    }
    /// Closes the listener and resets all connections, as a crash does.
    void stop()
    {
        if (fd_ < 0)
            return;
        stopping_ = true;
        shutdown(fd_, SHUT_RDWR);
        acceptor_.join();
        ::close(fd_);
        fd_ = -1;
        std::vector<std::thread> threads;
        {
            const std::lock_guard lock(mutex_);
            for (const int each : open_)
                shutdown(each, SHUT_RDWR);
            threads.swap(threads_);
        }
        for (std::thread& each : threads)
            each.join();
    }
    [[nodiscard]] const address& at() const { return at_; }
    [[nodiscard]] bool stopping() const { return stopping_; }

  private:
    void accept_all()
    {
        for (;;)
        {
            const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0 || stopping_)
            {
                if (fd >= 0)
                    ::close(fd);
                if (stopping_)
                    return;
                continue;
            }
            const std::lock_guard lock(mutex_);
            open_.insert(fd);
            threads_.emplace_back(
                [this, fd]
                {
                    connection from(fd);
                    serve_(from);
                    const std::lock_guard inner(mutex_);
                    open_.erase(fd);
                    from.close();
                });
        }
    }

    handler serve_;
    address at_;
    int fd_ = -1;
    std::atomic<bool> stopping_{false};
    std::thread acceptor_;
    std::mutex mutex_;
    std::set<int> open_;
    std::vector<std::thread> threads_;
};

inline std::string base64(const std::string& in)
{
    static const char* digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3)
    {
        unsigned value = 0;
        for (std::size_t j = 0; j < 3; ++j)
            value = value << 8U |
                    (i + j < in.size() ? static_cast<unsigned char>(in[i + j])
                                       : 0U);
        out += digits[value >> 18U & 63U];
        out += digits[value >> 12U & 63U];
        out += i + 1 < in.size() ? digits[value >> 6U & 63U] : '=';
        out += i + 2 < in.size() ? digits[value & 63U] : '=';
    }
    return out;
}

/// The platform's store: listings and waiting watches.
class store
{
  public:
    store() : server_([this](connection& from) { serve(from); }) {}

    [[nodiscard]] const address& at() const { return server_.at(); }
    std::uint64_t put(const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(mutex_);
        items_[key] = {++revision_, value};
        history_.push_back({revision_, key, value, false});
        changed_.notify_all();
        return revision_;
    }
    std::uint64_t remove(const std::string& key)
    {
        const std::lock_guard lock(mutex_);
        items_.erase(key);
        history_.push_back({++revision_, key, "", true});
        changed_.notify_all();
        return revision_;
    }
    void stop() { server_.stop(); }
    void start() { server_.listen(); }

  private:
    struct item
    {
        std::uint64_t revision;
        std::string value;
    };
    struct change
    {
        std::uint64_t revision;
        std::string key;
        std::string value;
        bool gone;
    };

    static std::string decoded(const std::string& text)
    {
        std::string out;
        for (std::size_t i = 0; i < text.size(); ++i)
        {
            if (text[i] == '%' && i + 2 < text.size())
            {
                out += static_cast<char>(
                    std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            }
            else
                out += text[i];
        }
        return out;
    }
    static std::string query(const std::string& target, const std::string& name)
    {
        std::size_t at = target.find('?');
        while (at != std::string::npos)
        {
            const std::size_t end = target.find('&', at + 1);
            const std::string part = target.substr(at + 1, end - at - 1);
            if (part.starts_with(name + '='))
                return decoded(part.substr(name.size() + 1));
            at = end;
        }
        return {};
    }
    static std::string json(const std::string& key, const item& held)
    {
        return R"({"key":")" + key + R"(","value":")" + base64(held.value) +
               R"(","revision":)" + std::to_string(held.revision) +
               R"(,"created":)" + std::to_string(held.revision) +
               R"(,"lease":0})";
    }

    void serve(connection& from)
    {
        for (message asked; read_message(from, asked, false, 60000);)
        {
            const std::string target = asked.target();
            const std::string body = target.starts_with("/v1/kv-watch")
                                         ? watch(target)
                                         : range(target);
            if (!from.send("HTTP/1.1 200 OK\r\nContent-Type: application/json"
                           "\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body))
                return;
        }
    }
    std::string range(const std::string& target)
    {
        const std::string prefix = query(target, "prefix");
        const std::string after = query(target, "after");
        const std::lock_guard lock(mutex_);
        std::string entries;
        for (const auto& [key, held] : items_)
        {
            if (!key.starts_with(prefix) || key <= after)
                continue;
            entries += (entries.empty() ? "" : ",") + json(key, held);
        }
        return R"({"entries":[)" + entries +
               R"(],"more_pages":false,"as_of":)" + std::to_string(revision_) +
               '}';
    }
    std::string watch(const std::string& target)
    {
        const std::string prefix = query(target, "prefix");
        const std::uint64_t after =
            std::strtoull(query(target, "after").c_str(), nullptr, 10);
        const long wait =
            std::strtol(query(target, "wait_ms").c_str(), nullptr, 10);
        std::unique_lock lock(mutex_);
        const auto has_news = [&]
        {
            return std::any_of(history_.begin(), history_.end(),
                               [&](const change& each) {
                                   return each.revision > after &&
                                          each.key.starts_with(prefix);
                               });
        };
        const auto end = clock::now() + ms(wait);
        while (!has_news() && clock::now() < end && !server_.stopping())
            changed_.wait_for(lock, ms(20));
        std::string events;
        for (const change& each : history_)
        {
            if (each.revision <= after || !each.key.starts_with(prefix))
                continue;
            events += events.empty() ? "" : ",";
            events += each.gone
                          ? R"({"key":")" + each.key + R"(","revision":)" +
                                std::to_string(each.revision) +
                                R"(,"tombstone":true})"
                          : json(each.key, {each.revision, each.value});
        }
        return R"({"events":[)" + events + R"(],"as_of":)" +
               std::to_string(revision_) + '}';
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 1;
    std::map<std::string, item> items_;
    std::vector<change> history_;
    server server_;
};

/// Value of a replica's entry.
inline std::string entry(const address& at, const std::string& service,
                         const std::string& zone,
                         const std::string& state = "ready", unsigned slots = 8,
                         const std::string& version = "v1")
{
    return R"({"service":")" + service + R"(","address":")" + at.text() +
           R"(","zone":")" + zone + R"(","version":")" + version +
           R"(","slots":)" + std::to_string(slots) + R"(,"state":")" + state +
           R"(","warmup_left_ms":0,"seq":1})";
}

/// Runs of requests at the replicas.
class run_list
{
  public:
    explicit run_list(record& out) : out_(out) {}

    void add(const std::string& id, const std::string& replica,
             const std::string& what = "")
    {
        out_.line("run      %s at %s %s", id.c_str(), replica.c_str(),
                  what.c_str());
        const std::lock_guard lock(mutex_);
        runs_[id].push_back(replica);
    }
    [[nodiscard]] std::size_t count(const std::string& id) const
    {
        const std::lock_guard lock(mutex_);
        const auto found = runs_.find(id);
        return found == runs_.end() ? 0 : found->second.size();
    }
    [[nodiscard]] std::size_t total() const
    {
        const std::lock_guard lock(mutex_);
        std::size_t sum = 0;
        for (const auto& [id, where] : runs_)
            sum += where.size();
        return sum;
    }
    [[nodiscard]] std::vector<std::string> ids() const
    {
        const std::lock_guard lock(mutex_);
        std::vector<std::string> out;
        for (const auto& [id, where] : runs_)
            out.push_back(id);
        return out;
    }

  private:
    record& out_;
    mutable std::mutex mutex_;
    std::map<std::string, std::vector<std::string>> runs_;
};

/// An instance of the project's program, with settings made from its template.
class instance
{
  public:
    instance(std::string name, const std::string& zone, const address& store_at,
             const std::vector<std::string>& seed_ips,
             const std::string& folder, std::string ip = own_ip())
        : name_(std::move(name)), ip_(std::move(ip)),
          settings_(folder + '/' + name_ + ".settings"),
          log_(folder + '/' + name_ + ".log")
    {
        std::string seeds;
        for (const std::string& each : seed_ips)
            seeds += (seeds.empty() ? "\"" : ",\"") + each + ":8785\"";
        values_ = {{"node_name", name_},
                   {"zone", zone},
                   {"ip", ip_},
                   {"port_range.0", "7400"},
                   {"listen.frontend", ip_ + ":8783"},
                   {"listen.readiness_addr", ip_ + ":8780"},
                   {"listen.control", ip_ + ":8785"},
                   {"platform.address", store_at.text()},
                   {"seeds", '[' + seeds + ']'},
                   {"bounds.retry_ratio", "0.2"},
                   {"bounds.retry_slack", "56"},
                   {"bounds.grace_s", "8"},
                   {"limits.max_fds", "4100"}};
        write_settings();
    }
    ~instance() { kill(SIGKILL); }
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    [[nodiscard]] const std::string& ip() const { return ip_; }
    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] address frontend() const { return {ip_, 8783}; }
    [[nodiscard]] address readiness() const { return {ip_, 8780}; }
    [[nodiscard]] address metrics() const { return {ip_, 7400}; }
    [[nodiscard]] pid_t pid() const { return pid_; }

    void start()
    {
        const pid_t parent = getpid();
        pid_ = fork();
        if (pid_ < 0)
            throw std::runtime_error("cannot fork");
        if (pid_ > 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(127);
        const int out =
            ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, 1);
        dup2(out, 2);
        setenv("SYCAMORELOCK_CONFIG", settings_.c_str(), 1);
        execl("target/bin/sycamorelockd", "target/bin/sycamorelockd",
              static_cast<char*>(nullptr));
        _exit(127);
    }
    void signal(int which) const
    {
        if (pid_ > 0)
            ::kill(pid_, which);
    }
    /// Sends a signal and waits for the end; its status as waitpid tells it.
    int kill(int which)
    {
        if (pid_ <= 0)
            return 0;
        ::kill(pid_, which);
        return wait();
    }
    int wait()
    {
        int status = 0;
        if (pid_ > 0)
            waitpid(pid_, &status, 0);
        pid_ = -1;
        return status;
    }
    /// Whether the process has ended; then its status.
    bool has_ended(int& status)
    {
        if (pid_ <= 0)
            return true;
        if (waitpid(pid_, &status, WNOHANG) != pid_)
            return false;
        pid_ = -1;
        return true;
    }
    [[nodiscard]] bool ready() const
    {
        try
        {
            auto link = connection::open(readiness());
            link->send("GET /v1/readyz HTTP/1.1\r\nHost: x\r\n"
                       "Connection: close\r\n\r\n");
            message got;
            return read_message(*link, got, true, 1000) && got.status() == 200;
        }
        catch (const std::exception&)
        {
            return false;
        }
    }
    void wait_ready(long limit_ms = 15000) const
    {
        const auto end = clock::now() + ms(limit_ms);
        while (!ready())
        {
            if (clock::now() > end)
                throw std::runtime_error(name_ + " is not ready in time");
            sleep_ms(50);
        }
    }
    void set(const std::string& name, const std::string& value)
    {
        values_[name] = value;
        write_settings();
    }

  private:
    /// Fills in the template as DEPLOY.md tells, as far as it is used there.
    void write_settings() const
    {
        std::ifstream in("platform/settings.template");
        std::stringstream read;
        read << in.rdbuf();
        std::string text = read.str();
        if (text.empty())
            throw std::runtime_error("no settings template");
        for (std::size_t at = 0; (at = text.find("{{#", at)) != text.npos;)
        {
            const std::size_t head = text.find("}}", at);
            const std::string name = text.substr(at + 3, head - at - 3);
            const std::string close = "{{/" + name + "}}";
            const std::size_t end = text.find(close, head);
            std::string inner = text.substr(head + 2, end - head - 2);
            if (name == "zones")
                inner = R"("za","zb")";
            else if (!values_.contains(name))
                inner.clear();
            text.replace(at, end + close.size() - at, inner);
        }
        for (std::size_t at = 0; (at = text.find("{{", at)) != text.npos;)
        {
            const std::size_t end = text.find("}}", at);
            std::string name = text.substr(at + 2, end - at - 2);
            const bool is_json = name.ends_with("|json");
            if (is_json)
                name.resize(name.size() - 5);
            const auto found = values_.find(name);
            std::string value =
                found == values_.end() ? std::string() : found->second;
            if (is_json && name != "seeds")
                value = '"' + value + '"';
            text.replace(at, end + 2 - at, value);
        }
        std::ofstream(settings_) << text;
    }

    std::string name_;
    std::string ip_;
    std::string settings_;
    std::string log_;
    std::map<std::string, std::string> values_;
    pid_t pid_ = -1;
};

/// A temporary folder that goes with its owner.
class folder
{
  public:
    folder()
    {
        char name[] = "/tmp/review-XXXXXX";
        if (mkdtemp(name) == nullptr)
            throw std::runtime_error("no temporary folder");
        path_ = name;
    }
    ~folder()
    {
        if (std::getenv("KEEP") != nullptr)
        {
            std::fprintf(stderr, "kept %s\n", path_.c_str());
            return;
        }
        const std::string command = "rm -rf '" + path_ + "'";
        if (std::system(command.c_str()) != 0)
            std::fprintf(stderr, "cannot remove %s\n", path_.c_str());
    }
    folder(const folder&) = delete;
    folder& operator=(const folder&) = delete;
    [[nodiscard]] const std::string& path() const { return path_; }

  private:
    std::string path_;
};

/// The routes of a small deployment: a safe, an unsafe and two stream routes.
inline std::string configuration(std::uint64_t version,
                                 const std::string& more = "")
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[
{"name":"plan","host":"fleet.example","prefix":"/plan/","type":"stream",
 "timeout_ms":12000,"ttft_slo_ms":800,"itl_target_ms":250,"service":"planner",
 "max_attempts":2,"resumable":true,"priority":1},
{"name":"draft","host":"fleet.example","prefix":"/draft/","type":"stream",
 "timeout_ms":6000,"ttft_slo_ms":1200,"itl_target_ms":250,"service":"planner",
 "max_attempts":1,"resumable":false,"priority":1},
{"name":"stock","host":"fleet.example","prefix":"/stock/","type":"safe",
 "timeout_ms":1500,"ttft_slo_ms":150,"service":"shelf","max_attempts":2,
 "priority":2},
{"name":"order","host":"fleet.example","prefix":"/order/","type":"unsafe",
 "timeout_ms":1500,"ttft_slo_ms":150,"service":"desk","max_attempts":2,
 "priority":2})" +
           more + R"(],
"services":[{"name":"planner","max_conns":370,"engine":{"kv_capacity":598455}},
{"name":"desk","max_conns":110},{"name":"shelf","max_conns":110}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":560000},
"tenants":[{"name":"north","api_keys":["key-north"]},
{"name":"south","api_keys":["key-south"]}]})";
}

/// Header of a client's request, up to its framing.
inline std::string request_head(const std::string& method,
                                const std::string& path, const std::string& id,
                                long deadline_ms = 1500,
                                const std::string& key = "key-north")
{
    return method + ' ' + path +
           " HTTP/1.1\r\nHost: fleet.example\r\nAttempt-Id: " + id +
           "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
           "\r\nAuthorization: Bearer " + key + "\r\n";
}

inline std::string with_body(const std::string& head, const std::string& body)
{
    return head + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

inline std::string record_path()
{
    const char* given = std::getenv("RECORD");
    return given == nullptr ? "record.txt" : given;
}

inline bool trouble()
{
    const char* given = std::getenv("TROUBLE");
    return given == nullptr || std::string(given) != "0";
}

/// Runs a case; what goes wrong in it is no result.
inline int guarded(const std::function<int()>& play)
{
    signal(SIGPIPE, SIG_IGN);
    try
    {
        return play();
    }
    catch (const std::exception& error)
    {
        std::fprintf(stderr, "not run: %s\n", error.what());
        return exit_not_run;
    }
}

} // namespace review
