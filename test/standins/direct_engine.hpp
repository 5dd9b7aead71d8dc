// Stand-in for an endpoint of the platform: a model engine that streams
// numbered events, or a plain service, with the faults its page tells of.
#pragma once

#include "endless.hpp"
#include "http_server.hpp"

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace standin
{

/// What an endpoint does to an answer.
enum class answer_fault : std::uint8_t
{
    none,
    /// States that it did not run the request.
    declines,
    /// Runs the request and answers 500.
    server_error,
    /// Runs the request and closes without an answer.
    lost,
    /// Never answers.
    silent,
    /// Closes after `cut_at` bytes of the answer.
    cut,
    /// Answers without a length; its end is the end of the connection.
    unframed,
    /// Sends the answer to the request before once more, first.
    extra,
    /// Sends before its answer a refusal that names no request.
    stray_refusal,
    /// The same with a misdirection.
    stray_misdirection,
    /// The same with a success.
    stray_success,
    /// Answers with a success that names no request.
    unnamed,
    /// Sends its refusal once more on the connection of a request that it
    /// declined, and its answer to the present one later.
    repeated_refusal,
    /// Sends without end, see `set_endless`.
    endless,
    /// Changes the body of its stream, see `set_spoiled`.
    spoiled,
};

/// A request that reached an endpoint, whether it ran it or not.
struct arrival
{
    std::string attempt_id;
    std::chrono::steady_clock::time_point at;
    /// Its answer says that the endpoint leaves.
    bool leaving = false;
    /// It was turned away, and the endpoint asked for rest.
    std::chrono::milliseconds rest{0};
};

/// What an endpoint does to the body of a stream.
struct spoiled_stream
{
    /// Makes the body that is sent out of the sound one.
    std::function<std::string(const std::string&)> spoil;
    /// Sent in chunks; otherwise it ends with its connection.
    bool framed = true;
    /// The connection ends before the body does.
    bool cut = false;
    std::string status = "200 OK";
    /// What the endpoint calls it; empty for nothing.
    std::string content_type = "text/event-stream";
};

/// Which requests crash an endpoint, and for how long it is down then. It comes
/// back at its address as another start.
struct crash_rule
{
    /// Body of the requests; empty for any.
    std::string body;
    /// Id of a part of their prompts; empty for any.
    std::string part;
    /// Event before which the endpoint crashes. Other answers than streams are
    /// not begun.
    long before_event = 1;
    std::chrono::milliseconds downtime{1500};
};

/// A crash of an endpoint.
struct endpoint_crash
{
    std::string attempt_id;
    std::chrono::steady_clock::time_point at;
};

struct engine_run
{
    std::string attempt_id;
    std::string account;
    /// Parts of the prompt as the request names them.
    std::string parts;
    std::string body;
    std::string target;
    long time_left_ms = 0;
    long last_event = 0;
    bool had_api_key = false;
    std::chrono::steady_clock::time_point at;
};

class direct_engine
{
  public:
    /// \param events events of a stream; 0 answers at once.
    direct_engine(const std::string& address, std::string boot, int events,
                  std::chrono::milliseconds gap);
    ~direct_engine();

    [[nodiscard]] std::string address() const { return server_.address(); }
    [[nodiscard]] const std::string& boot() const { return boot_; }
    /// Version of its software, as the store lists it.
    [[nodiscard]] std::string version() const;
    void set_version(const std::string& version);
    void set_fault(answer_fault fault, long cut_at = 0, int times = -1);
    /// Sends these bytes without end instead of answers.
    void set_endless(const endless_bytes& what);
    /// Changes that many streams from now on.
    void set_spoiled(const spoiled_stream& what, int times);
    /// Bytes sent so, over all connections.
    [[nodiscard]] std::size_t endless_sent() const { return endless_sent_; }
    /// Another start of the endpoint, which declines what is meant for the old.
    void restart_as(const std::string& boot);
    /// Crashes under such requests from now on.
    /// \param on_change called with the name of the start that has crashed, and
    /// with an empty one when the endpoint is back. Thread of the endpoint.
    void set_crash(const crash_rule& rule,
                   std::function<void(const std::string&)> on_change);
    [[nodiscard]] std::vector<endpoint_crash> crashes() const;
    /// Turns requests away and asks for rest, with this text; an empty one ends
    /// that.
    void set_rest(const std::string& retry_after);
    /// From now on each stream pauses before this event, and each other answer
    /// before it begins.
    void set_pause(long before_event, std::chrono::milliseconds length);
    /// Takes or declines requests that much later from now on. One whose
    /// connection has ended meanwhile is dropped.
    void set_delay(std::chrono::milliseconds length);
    /// Events and other answers are that much longer from now on.
    void set_padding(std::size_t bytes);
    /// Sends in pieces of that size from now on, with a pause after each.
    void set_pieces(std::size_t bytes, std::chrono::milliseconds gap);
    /// All answers say from now on that the endpoint leaves, or not.
    void set_leaving(bool leaving);
    [[nodiscard]] std::vector<arrival> arrivals() const;
    [[nodiscard]] std::vector<engine_run> runs() const;
    [[nodiscard]] int runs_of(const std::string& attempt_id) const;
    [[nodiscard]] int working() const { return working_; }

  private:
    asio::awaitable<bool> answer(beast::tcp_stream& stream, request asked);
    asio::awaitable<bool> send(beast::tcp_stream& stream, std::string bytes,
                               answer_fault fault, long& left);
    asio::awaitable<bool> stream_events(beast::tcp_stream& stream,
                                        const engine_run& run,
                                        answer_fault fault);
    asio::awaitable<bool> send_after_refusal(beast::tcp_stream& stream,
                                             std::string own_answer);
    asio::awaitable<bool> send_spoiled(beast::tcp_stream& stream,
                                       const engine_run& run);
    [[nodiscard]] bool crashes_under(const engine_run& run, long event) const;
    void crash(const engine_run& run);
    asio::awaitable<void> come_back();
    /// Header of an answer of its own to a request, up to its framing.
    [[nodiscard]] std::string header(const std::string& attempt_id,
                                     const char* status) const;
    /// What a fault of bytes that belong to no request sends.
    [[nodiscard]] static std::string unnamed_bytes(answer_fault fault,
                                                   const std::string& answer);
    [[nodiscard]] std::string plain_answer(const std::string& attempt_id) const;
    /// An answer that tells nothing of a run.
    [[nodiscard]] response refusal(http::status status) const;
    answer_fault take_fault();
    /// How long to wait before an event.
    [[nodiscard]] std::chrono::milliseconds gap_before(long event) const;

    std::string boot_;
    std::string version_ = "v1";
    int events_;
    std::chrono::milliseconds gap_;
    mutable std::mutex mutex_;
    std::vector<engine_run> runs_;
    std::vector<arrival> arrivals_;
    bool leaving_ = false;
    std::string rest_;
    answer_fault fault_ = answer_fault::none;
    long cut_at_ = 0;
    long paused_event_ = 0;
    std::chrono::milliseconds pause_{0};
    std::chrono::milliseconds delay_{0};
    std::size_t padding_ = 0;
    std::size_t piece_size_ = 0;
    std::chrono::milliseconds piece_gap_{0};
    int fault_times_ = 0;
    endless_bytes endless_;
    std::atomic<std::size_t> endless_sent_{0};
    spoiled_stream spoiled_;
    std::string answer_before_;
    /// Callers' ports of connections on which it declined.
    std::set<std::uint16_t> declined_from_;
    std::optional<crash_rule> crash_rule_;
    std::function<void(const std::string&)> on_crash_change_;
    std::vector<endpoint_crash> crashes_;
    bool is_down_ = false;
    std::atomic<int> working_{0};
    background runner_;
    http_server server_;
};

/// Body of a whole stream of that many events, from one after `after` on.
std::string stream_body(const std::string& attempt_id, int events, long after);

} // namespace standin
