// Stand-in for a caller, which checks that the answer is whole and its own.
#pragma once

#include "http_server.hpp"

namespace standin
{

struct call
{
    /// IP:port of an instance's caller port.
    std::string to;
    std::string key;
    std::string service;
    std::string mark;
    /// Tokens of a streamed answer, or negative for a plain call.
    long tokens = -1;
    std::map<std::string, std::string> fields;
    /// Leaves after this time without reading on; zero for never.
    std::chrono::milliseconds leave_after{0};
    /// Called with each piece of the answer's body as it arrives.
    std::function<void(std::string_view)> on_piece{};
};

struct answer
{
    /// Zero if no answer began.
    unsigned status = 0;
    /// The answer ended as HTTP says, carries only the call's mark and, when
    /// streamed, the right checksum.
    bool whole = false;
    /// The answer ended as HTTP says.
    bool ended = false;
    /// Something in it belongs to another call.
    bool foreign = false;
    long tokens = 0;
    std::string body;
    std::string reason;
    /// The step that failed and why, if no answer began.
    std::string failure;
    std::string executed;
    std::string request_id;
    long retry_after = 0;
    double first_token_seconds = 0;
    double seconds = 0;

    [[nodiscard]] bool completed() const { return status == 200 && whole; }
    [[nodiscard]] bool refused() const { return !reason.empty(); }
};

/// Asks over a connection of its own.
asio::awaitable<answer> ask(call what);
/// Asks over an open connection.
asio::awaitable<answer> ask_over(beast::tcp_stream& stream, call what);

/// Runs one call to its end.
answer ask_now(call what);

/// Runs many calls at once, each on its own connection.
std::vector<answer> ask_all(std::vector<call> calls);

} // namespace standin
