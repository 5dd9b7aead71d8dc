// An instance gets SIGTERM while streams run. Their engines, which are full,
// preempt them and go on after a pause.
#include "standin.hpp"

using namespace review;

namespace
{

constexpr int streams = 4;
constexpr int events = 16;
constexpr int paused_event = 8;
constexpr long gap_ms = 100;
/// Under the 3.2 s (four times the objective) after which clients leave.
constexpr long pause_ms = 1600;
/// Time that a full engine takes to refuse.
constexpr long refusal_ms = 250;

int play()
{
    record out(record_path());
    run_list runs(out);
    folder files;
    store platform;
    platform.put("op/config", configuration(3));
    std::atomic<bool> full{false};
    const auto engine = [&](const std::string& name)
    {
        return std::make_unique<server>(
            [&, name](connection& to)
            {
                for (message asked; read_message(to, asked, false, 60000);)
                {
                    const std::string id = asked.field("Attempt-Id");
                    if (full)
                    {
                        sleep_ms(refusal_ms);
                        out.line("refuse   %s at %s", id.c_str(), name.c_str());
                        to.send("HTTP/1.1 503 Service Unavailable\r\n"
                                "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                        continue;
                    }
                    runs.add(id, name);
                    bool open =
                        to.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
                                "\r\nServer-Seal: s-" + id +
                                "\r\nContent-Type: text/event-stream\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n");
                    for (int i = 1; i <= events && open; ++i)
                    {
                        sleep_ms(gap_ms);
                        if (i == paused_event && trouble())
                            sleep_ms(pause_ms);
                        const std::string event = "id: " + std::to_string(i) +
                                                  "\ndata: " + id + "\n\n";
                        char size[20];
                        std::snprintf(size, sizeof size, "%zx\r\n",
                                      event.size());
                        open =
                            !to.is_closed() && to.send(size + event + "\r\n");
                    }
                    out.line("%s %s at %s", open ? "done    " : "closed  ",
                             id.c_str(), name.c_str());
                    if (!open || !to.send("0\r\n\r\n"))
                        return;
                }
            });
    };
    const auto one = engine("engine1");
    const auto two = engine("engine2");
    platform.put("servers/engine1", entry(one->at(), "planner", "za"));
    platform.put("servers/engine2", entry(two->at(), "planner", "zb"));
    const std::string ip = own_ip();
    instance only("edge-1", "za", platform.at(), {ip}, files.path(), ip);
    only.start();
    only.wait_ready();
    // Longer than contact_ms after the start.
    sleep_ms(3500);
    std::vector<std::unique_ptr<connection>> links;
    for (int i = 0; i < streams; ++i)
    {
        links.push_back(connection::open(only.frontend()));
        const std::string id = "stream-" + std::to_string(i);
        out.line("send     %s", id.c_str());
        links.back()->send(
            with_body(request_head("POST", "/plan/1", id, 12000) +
                          "Model: m\r\nToken-Usage: 460,80\r\nPrefix-Hash: "
                          "5c1e07a2:400,91bd3f06:60\r\n",
                      "prompt"));
    }
    sleep_ms(400);
    // From here on the engines have no room for another request.
    full = true;
    out.line("SIGTERM  edge-1");
    only.signal(SIGTERM);
    int whole = 0;
    int cut = 0;
    for (int i = 0; i < streams; ++i)
    {
        message got;
        read_message(*links[static_cast<std::size_t>(i)], got, true, 12000);
        ++(got.whole ? whole : cut);
        out.line("answer   stream-%d %d %s, %zu bytes", i, got.status(),
                 got.whole ? "whole" : "cut", got.body.size());
    }
    only.wait();
    std::printf("whole %d, cut %d\n", whole, cut);
    if (runs.total() < streams)
        return exit_not_run;
    return cut > 0 ? exit_broken : exit_held;
}

} // namespace

int main()
{
    return guarded(play);
}
