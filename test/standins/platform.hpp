// Stand-in for the platform's configuration service and member list.
#pragma once

#include "http_server.hpp"

#include <mutex>

namespace standin
{

/// How the platform behaves.
enum class platform_mode : int
{
    up,
    /// Connections are accepted and closed without an answer.
    down,
    /// Answers what it held when it turned stale, also to those who know more.
    stale,
};

class platform
{
  public:
    explicit platform(const std::string& address);
    ~platform();

    [[nodiscard]] std::string address() const { return server_.address(); }
    void publish_config(std::uint64_t version, std::string text);
    void publish_members(std::uint64_t version, std::string text);
    void set_mode(platform_mode mode);
    /// Sends these bytes instead of answers from now on; none if empty.
    void set_answer(const std::string& bytes);

  private:
    struct held
    {
        std::uint64_t version = 0;
        std::string text;
    };
    asio::awaitable<bool> answer(beast::tcp_stream& stream, request asked);
    held current(bool members);

    std::mutex mutex_;
    platform_mode mode_ = platform_mode::up;
    std::string answer_;
    held config_;
    held members_;
    held stale_config_;
    held stale_members_;
    background runner_;
    http_server server_;
};

} // namespace standin
