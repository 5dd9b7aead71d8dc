// Stand-in for the platform's store: items with revisions, listings and
// waiting watches, as its page describes them.
#pragma once

#include "endless.hpp"
#include "http_server.hpp"

#include <atomic>
#include <mutex>
#include <vector>

namespace standin
{

enum class store_mode : std::uint8_t
{
    up,
    /// Closes every connection.
    closed,
    /// Never answers.
    silent,
    /// Answers 503.
    busy,
    /// Sends without end, see `set_endless`.
    endless,
};

class direct_store
{
  public:
    explicit direct_store(const std::string& address);
    ~direct_store();

    [[nodiscard]] std::string address() const { return server_.address(); }
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    void set_mode(store_mode mode) { mode_ = mode; }
    /// Sends these bytes without end instead of answers.
    void set_endless(const endless_bytes& what);
    /// Bytes sent so, over all connections.
    [[nodiscard]] std::size_t endless_sent() const { return endless_sent_; }
    /// Watches from before this moment get 410.
    void forget_history();
    [[nodiscard]] int calls() const { return calls_; }

  private:
    struct change
    {
        std::uint64_t revision = 0;
        std::string key;
        std::string value;
        bool gone = false;
    };

    asio::awaitable<bool> answer(beast::tcp_stream& stream, request asked);
    asio::awaitable<bool> watch(beast::tcp_stream& stream,
                                const request& asked);
    [[nodiscard]] std::string item(const std::string& key);
    [[nodiscard]] std::string range(const std::string& prefix);
    [[nodiscard]] std::string changes(std::uint64_t after);

    std::mutex mutex_;
    std::uint64_t revision_ = 1;
    std::uint64_t oldest_ = 0;
    std::map<std::string, change> items_;
    std::vector<change> history_;
    std::atomic<store_mode> mode_{store_mode::up};
    std::atomic<int> calls_{0};
    endless_bytes endless_;
    std::atomic<std::size_t> endless_sent_{0};
    background runner_;
    http_server server_;
};

} // namespace standin
