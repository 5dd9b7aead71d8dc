// Stand-in for a model engine and for a plain service.
#pragma once

#include "endless.hpp"
#include "http_server.hpp"

#include <atomic>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace standin
{

struct endpoint_options
{
    std::string address = "127.0.0.1:0";
    /// Requests in one batch; more wait in order of arrival.
    std::size_t slots = 8;
    /// Time of a step with one request, and what each further one adds.
    std::chrono::microseconds step{2000};
    std::chrono::microseconds step_per_request{100};
    /// Prompt processing for each kilobyte that is not cached.
    std::chrono::microseconds prefill_per_kb{1000};
    std::size_t prefix_cache = 16;
    std::chrono::milliseconds load_lag{500};
};

/// A target "…?mark=M&tokens=N" streams N events that carry the mark, as an
/// engine does; "…?mark=M" answers once.
class endpoint
{
  public:
    explicit endpoint(endpoint_options options);
    ~endpoint();

    [[nodiscard]] std::string address() const { return server_.address(); }
    /// Requests that were begun, with one mark or all.
    [[nodiscard]] int started(const std::string& mark) const;
    [[nodiscard]] int started() const { return started_; }
    [[nodiscard]] std::size_t running() const { return running_; }

    void set_leaving(bool leaving) { leaving_ = leaving; }
    /// Streams break off after this many tokens; negative for never.
    void truncate_after(long tokens) { truncate_after_ = tokens; }
    /// Answers name another request, as a confused endpoint would.
    void mix_answers(bool mixed) { mixed_ = mixed; }
    /// Sends bytes that belong to no answer after each answer.
    void send_odd_bytes(bool odd) { odd_bytes_ = odd; }
    /// Closes the connection instead of answering, after counting the run.
    void drop_answers(bool drop) { drop_answers_ = drop; }
    /// Sends these bytes without end instead of answers.
    void set_endless(const endless_bytes& what);
    /// Bytes sent so, over all connections.
    [[nodiscard]] std::size_t endless_sent() const { return endless_sent_; }
    /// Crashes instead of answering a call with this mark, and is back at its
    /// address after a time.
    void set_crash(const std::string& mark, std::chrono::milliseconds downtime);
    [[nodiscard]] std::vector<std::chrono::steady_clock::time_point>
    crashes() const;

  private:
    asio::awaitable<bool> answer(beast::tcp_stream& stream, request asked);
    asio::awaitable<bool> stream_tokens(beast::tcp_stream& stream,
                                        const request& asked,
                                        const std::string& mark, long tokens);
    asio::awaitable<bool> answer_once(beast::tcp_stream& stream,
                                      const request& asked,
                                      const std::string& mark);
    asio::awaitable<void> enter();
    /// Returns whether the endpoint crashes under a call.
    bool crash_under(const std::string& mark);
    asio::awaitable<void> come_back(std::chrono::milliseconds downtime);
    [[nodiscard]] std::string request_name(const request& asked) const;

    endpoint_options options_;
    std::atomic<bool> leaving_{false};
    std::atomic<bool> mixed_{false};
    std::atomic<bool> odd_bytes_{false};
    std::atomic<bool> drop_answers_{false};
    std::atomic<long> truncate_after_{-1};
    std::atomic<int> started_{0};
    std::atomic<std::size_t> running_{0};
    std::size_t waiting_ = 0;
    std::set<std::size_t> prefixes_;
    std::string reported_load_;
    std::chrono::steady_clock::time_point load_at_;
    mutable std::mutex mutex_;
    std::map<std::string, int> started_by_mark_;
    std::optional<endless_bytes> endless_;
    std::atomic<std::size_t> endless_sent_{0};
    std::string crash_mark_;
    std::chrono::milliseconds downtime_{0};
    std::vector<std::chrono::steady_clock::time_point> crashes_;
    bool is_down_ = false;
    background runner_;
    http_server server_;
};

/// Checksum that a stream's last event carries, for a mark and a length.
std::string stream_checksum(const std::string& mark, long tokens);

} // namespace standin
