// Two instances before sound replicas, with clients whose kept channels always
// have a request at a replica. Counts the channels that end without an answer.
#pragma once

#include "standin.hpp"

namespace review
{

class busy_fleet
{
  public:
    static constexpr int kept_channels = 12;
    static constexpr long work_ms = 500;

    /// What a replica does before it takes a request, given its name. It goes
    /// on as a sound one unless the result is true.
    using spoiler =
        std::function<bool(const std::string&, connection&, const message&)>;

    explicit busy_fleet(record& out, spoiler spoil = {},
                        const std::vector<std::string>& replicas = {"desk1",
                                                                    "desk2",
                                                                    "desk3",
                                                                    "shelf1"},
                        unsigned slots = 32)
        : out_(out), runs_(out), spoil_(std::move(spoil))
    {
        store_.put("op/config", configuration(3));
        for (const std::string& name : replicas)
        {
            replicas_[name] = std::make_unique<server>(
                [this, name](connection& from) { serve(from, name); });
            const std::string service = name.substr(0, name.size() - 1);
            store_.put(std::string("servers/") + name,
                       entry(replicas_[name]->at(), service,
                             name.back() == '2' ? "zb" : "za", "ready", slots));
        }
        const std::vector<std::string> seeds{own_ip(), own_ip()};
        for (std::size_t i = 0; i < seeds.size(); ++i)
            instances_.push_back(std::make_unique<instance>(
                "edge-" + std::to_string(i + 1), i == 0 ? "za" : "zb",
                store_.at(), seeds, folder_.path(), seeds[i]));
        for (const auto& each : instances_)
            each->start();
        for (const auto& each : instances_)
            each->wait_ready();
        for (int i = 0; i < kept_channels; ++i)
            clients_.emplace_back([this, i] { keep_asking(i); });
    }
    ~busy_fleet() { finish(); }
    busy_fleet(const busy_fleet&) = delete;
    busy_fleet& operator=(const busy_fleet&) = delete;

    /// Where the kept channels lead to.
    [[nodiscard]] instance& first() { return *instances_.front(); }
    void finish()
    {
        done_ = true;
        for (std::thread& each : clients_)
            each.join();
        clients_.clear();
    }
    /// Ends the clients and tells whether the rule is broken: more than three
    /// kept channels of an instance ended without an answer after their request
    /// had been passed on to a sound replica.
    int verdict()
    {
        finish();
        int status = 0;
        const bool ended = first().has_ended(status);
        if (ended)
            out_.line("ended    %s by itself, status 0x%x",
                      first().name().c_str(), static_cast<unsigned>(status));
        out_.line("result   %d requests answered on kept channels, %d kept "
                  "channels ended without an answer after their request had "
                  "been passed on",
                  answered_.load(), lost_.load());
        std::printf("answered %d, lost %d, instance %s\n", answered_.load(),
                    lost_.load(), ended ? "ended by itself" : "runs");
        if (answered_ < kept_channels)
            return exit_not_run;
        return lost_ > 3 ? exit_broken : exit_held;
    }

    /// Ends the clients and tells whether a client got a success that was not
    /// the replica's answer to its request.
    int verdict_on_answers()
    {
        finish();
        out_.line("result   %d requests answered on kept channels, %d answers "
                  "of success without the seal of their request",
                  answered_.load(), mixed_.load());
        std::printf("answered %d, mixed %d\n", answered_.load(), mixed_.load());
        if (answered_ < kept_channels)
            return exit_not_run;
        return mixed_ > 0 ? exit_broken : exit_held;
    }

    /// Ends the clients and tells whether a request ran more than once. All of
    /// them must be on the unsafe route.
    int verdict_on_runs()
    {
        finish();
        int repeated = 0;
        for (const std::string& id : runs_.ids())
        {
            if (runs_.count(id) < 2)
                continue;
            ++repeated;
            out_.line("twice    %s ran %zu times", id.c_str(), runs_.count(id));
        }
        out_.line("result   %d requests answered on kept channels, %d ran more "
                  "than once",
                  answered_.load(), repeated);
        std::printf("answered %d, ran more than once %d\n", answered_.load(),
                    repeated);
        if (answered_ < kept_channels)
            return exit_not_run;
        return repeated > 0 ? exit_broken : exit_held;
    }

    /// Asks once over a channel; the answer's status, 0 without one.
    int ask(connection& over, const std::string& bytes, const std::string& id,
            message& got)
    {
        out_.line("send     %s", id.c_str());
        if (!over.send(bytes))
            return 0;
        const bool answered = read_message(over, got, true, 20000);
        const int status = answered ? got.status() : 0;
        const std::string seal = got.field("Server-Seal");
        out_.line("answer   %s %d%s seal '%s'", id.c_str(), status,
                  answered && !got.whole ? " cut" : "", seal.c_str());
        if (status / 100 == 2 && seal != "s-" + id)
        {
            ++mixed_;
            out_.line("mixed    %s got '%s'", id.c_str(), got.body.c_str());
        }
        return status;
    }

  private:
    void serve(connection& from, const std::string& name)
    {
        for (message asked; read_message(from, asked, false, 60000);)
        {
            const std::string id = asked.field("Attempt-Id");
            if (asked.field("Expect-Instance") != name)
            {
                from.send("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " +
                          id + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            if (spoil_ && spoil_(name, from, asked))
                continue;
            runs_.add(id, name);
            if (asked.target().starts_with("/order/kept"))
                sleep_ms(work_ms);
            const std::string body = "answer to " + id;
            const bool sent = from.send(
                "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Seal: s-" +
                id + "\r\nKeep-Alive: timeout=5\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
            if (!sent)
                return;
        }
    }
    void keep_asking(int number)
    {
        // So that their requests end at different moments.
        sleep_ms(number * work_ms / kept_channels);
        const auto link = connection::open(first().frontend());
        for (int i = 0; !done_; ++i)
        {
            const std::string id =
                "kept-" + std::to_string(number) + '-' + std::to_string(i);
            message got;
            const int status =
                ask(*link,
                    with_body(request_head("POST", "/order/kept", id), "order"),
                    id, got);
            if (status == 0)
            {
                if (i > 0 && runs_.count(id) > 0)
                {
                    ++lost_;
                    out_.line("lost     %s", id.c_str());
                }
                return;
            }
            ++answered_;
            if (got.field("Connection") == "close")
                return;
            // As told: come back later, with a new id.
            const double pause =
                std::strtod(got.field("Retry-After").c_str(), nullptr);
            sleep_ms(static_cast<long>(std::min(pause, 0.5) * 1000));
        }
    }

    record& out_;
    run_list runs_;
    spoiler spoil_;
    folder folder_;
    store store_;
    std::map<std::string, std::unique_ptr<server>> replicas_;
    std::vector<std::unique_ptr<instance>> instances_;
    std::vector<std::thread> clients_;
    std::atomic<bool> done_{false};
    std::atomic<int> answered_{0};
    std::atomic<int> lost_{0};
    std::atomic<int> mixed_{0};
};

} // namespace review
