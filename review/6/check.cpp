// Replicas answer before they have read a long body, without a length; some of
// them crash in the middle of such an answer. Whether a caller gets the part as
// a whole success.
#include "deployment.hpp"

#include <sys/prctl.h>

using namespace review;

namespace
{

constexpr std::size_t request_bytes = 4'000'000;
/// Segments of an Ethernet link and small windows, as links between machines
/// have. With the loopback interface's 64 KB the kernel's buffers hold the whole
/// request.
constexpr int segment = 1460;
constexpr int receive_buffer = 32 * 1024;
constexpr std::size_t part_bytes = 10'000;
constexpr std::size_t replica_count = 8;
constexpr int requests = 10;

/// The whole body of a replica's answer.
std::string body_of(const std::string& attempt)
{
    std::string body;
    while (body.size() < 2 * part_bytes)
        body += "answer to " + attempt + '\n';
    return body;
}

void serve(connection& peer, const std::string& id, int to_script)
{
    const auto head = message_head::of(peer.read_until("\r\n\r\n", 60s));
    if (head.first_line.empty())
        return;
    if (head.field("expect-instance") != id)
    {
        peer.write("HTTP/1.1 421 Misdirected Request\r\nInstance: " + id +
                   "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        return;
    }
    const std::string attempt = head.field("attempt-id");
    const std::string body = body_of(attempt);
    const std::string begun = peer.read_bytes(1000, 5s);
    // No length: the answer ends with its channel.
    peer.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt +
               "\r\nServer-Seal: seal-" + attempt +
               "\r\nConnection: close\r\n\r\n" + body.substr(0, part_bytes));
    const std::string line = id + " answers " + attempt + '\n';
    if (write(to_script, line.data(), line.size()) < 0)
        return;
    std::this_thread::sleep_for(300ms);
    peer.read_bytes(head.content_length() - begun.size(), 5s);
    peer.write(body.substr(part_bytes));
}

/// Lines that the replicas write.
struct news
{
    int ends[2] = {-1, -1};

    news()
    {
        if (pipe(ends) != 0)
            throw std::runtime_error("no pipe");
    }
    /// Empty if none comes.
    [[nodiscard]] std::string read_line(int limit_ms) const
    {
        std::string line;
        pollfd state{ends[0], POLLIN, 0};
        char byte = 0;
        while (poll(&state, 1, line.empty() ? limit_ms : 1000) > 0 &&
               read(ends[0], &byte, 1) == 1 && byte != '\n')
            line += byte;
        return line;
    }
};

/// A replica as a process of its own.
struct replica
{
    std::string id;
    std::string address;
    pid_t pid = -1;

    replica(std::size_t number, const news& told)
        : id("i-" + std::to_string(number))
    {
        pid = fork();
        if (pid == 0)
        {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const server listening([this, &told](connection& peer)
                                   { serve(peer, id, told.ends[1]); },
                                   receive_buffer, segment);
            const std::string line = listening.address() + '\n';
            if (write(told.ends[1], line.data(), line.size()) > 0)
                pause();
            _exit(0);
        }
        address = told.read_line(5000);
    }
    void crash()
    {
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
        pid = -1;
    }
};

int run(record& lines)
{
    // Processes are forked before this one has threads.
    const news told;
    std::vector<replica> replicas;
    for (std::size_t i = 0; i < replica_count; ++i)
        replicas.emplace_back(i + 1, told);
    standin::direct_store store("127.0.0.1:0");
    store.put(
        "op/config",
        R"({"version":1,"routes":[{"name":"job-card-fetch","host":"fleet",)"
        R"("prefix":"/order/","type":"unsafe","timeout_ms":5000,)"
        R"("ttft_slo_ms":1500,"priority":1,"service":"desk","max_attempts":1,)"
        R"("public":true}],"services":[{"name":"desk",)"
        R"("health_path":"/healthz","max_conns":110}],"limits":)" +
            limits_text +
            R"(,"tenants":[{"name":"north","api_keys":["k"]}]})");
    for (const replica& each : replicas)
        store.put("servers/" + each.id,
                  entry_of("desk", each.address, "hall-ain-sebaa", 6));
    deployment fleet(lines, store.address(), {"hall-ain-sebaa"});
    if (!fleet.wait_ready(20s))
        return could_not_run;
    int crashes = 0;
    int wrong = 0;
    int whole = 0;
    for (int i = 0; i < requests; ++i)
    {
        const std::string attempt = "a" + std::to_string(i);
        const auto caller = connection::open(fleet.at(0).callers());
        if (!caller)
            return could_not_run;
        caller->write("POST /order/x HTTP/1.1\r\nHost: fleet\r\nAttempt-Id: " +
                      attempt + "\r\nDeadline-Ms: 5000\r\nContent-Length: " +
                      std::to_string(request_bytes) + "\r\n\r\n" +
                      std::string(request_bytes, 'b'));
        lines.write("sent ", attempt, ", body of ", request_bytes, " bytes");
        // One replica in eight at a time, two in all.
        const bool crashes_now = disturbs() && (i == 3 || i == 7);
        const std::string line = told.read_line(3000);
        const std::string id = line.substr(0, line.find(' '));
        for (replica& each : replicas)
        {
            if (!crashes_now || each.id != id)
                continue;
            std::this_thread::sleep_for(100ms);
            each.crash();
            ++crashes;
            lines.write("replica ", id, " crashed (SIGKILL) after ",
                        part_bytes, " of ", body_of(attempt).size(),
                        " bytes of its answer to ", attempt);
        }
        const auto head = message_head::of(caller->read_until("\r\n\r\n", 7s));
        const std::string body = caller->read_bytes(head.content_length(), 3s);
        const bool succeeds = head.first_line.starts_with("HTTP/1.1 2");
        const bool is_whole = body == body_of(attempt);
        lines.write(attempt, " answered: ", head.first_line, ", Server-Seal \"",
                    head.field("server-seal"), "\", Content-Length ",
                    head.field("content-length"), ", Transfer-Encoding \"",
                    head.field("transfer-encoding"), "\", body of ",
                    body.size(), " bytes, ",
                    is_whole ? "the replica's whole body"
                             : "not the replica's whole body");
        const bool looks_complete = !head.field("content-length").empty() &&
                                    body.size() == head.content_length();
        wrong += succeeds && looks_complete && !is_whole ? 1 : 0;
        whole += succeeds && is_whole ? 1 : 0;
    }
    for (replica& each : replicas)
    {
        if (each.pid > 0)
            each.crash();
    }
    lines.write(requests, " requests, ", crashes, " crashes, ", whole,
                " whole answers, ", wrong,
                " successes with a part of the replica's body");
    if (fleet.has_ended(0) || whole == 0 || (disturbs() && crashes == 0))
        return could_not_run;
    return wrong > 0 ? broken : held;
}

} // namespace

int main(int, char** arguments)
{
    record lines(arguments[1]);
    try
    {
        return run(lines);
    }
    catch (const std::exception& error)
    {
        lines.write("could not run: ", error.what());
        return could_not_run;
    }
}
