// Each piece becomes one chunk.
#include "answer_writer.hpp"

#include "sycamorelock/adapters/request_error.hpp"

#include "sycamorelock/adapters/clocks.hpp"

#include <array>
#include <charconv>

namespace sycamorelock::adapters::direct
{

namespace
{

constexpr std::string_view line_end = "\r\n";
constexpr std::string_view last_chunk = "0\r\n\r\n";

void append_size(std::string& out, std::size_t size)
{
    static constexpr int hex = 16;
    std::array<char, 2 * sizeof size> digits{};
    const auto [end, error] =
        std::to_chars(digits.data(), digits.data() + digits.size(), size, hex);
    out.append(digits.data(), end);
    out.append(line_end);
}

} // namespace

std::string answer_writer::head(const http::fields& header,
                                http::status status) const
{
    std::string out = "HTTP/1.1 " + std::to_string(static_cast<int>(status)) +
                      ' ' + std::string(http::obsolete_reason(status));
    out.append(line_end);
    for (const auto& field : header)
    {
        out.append(field.name_string());
        out.append(": ");
        out.append(field.value());
        out.append(line_end);
    }
    if (!keep_)
        out.append("Connection: close\r\n");
    return out;
}

asio::awaitable<error_code> answer_writer::write(std::string_view bytes)
{
    error_code error;
    const std::size_t written =
        caller_->write_some(asio::buffer(bytes.data(), bytes.size()), error);
    if (error && error != asio::error::would_block)
        co_return error;
    bytes.remove_prefix(written);
    if (bytes.empty())
        co_return error_code();
    // The answer exists twice: as received, and serialized with its header.
    const bool has_memory =
        memory_->hold(memory_part::answer, 2 * bytes.size());
    memory_->enter(core::holder_phase::sending);
    blocked_ = true;
    error = has_memory ? co_await write_blocked(bytes)
                       : make_error_code(request_error::no_memory);
    blocked_ = false;
    if (error)
    {
        error_code ignored;
        caller_->close(ignored);
    }
    memory_->drop(memory_part::answer);
    memory_->enter(core::holder_phase::serving);
    co_return error;
}

asio::awaitable<error_code> answer_writer::write_blocked(std::string_view bytes)
{
    watchdog::limit limit;
    while (!bytes.empty())
    {
        limits_->set(limit, now() + patience_,
                     [caller = caller_]
                     {
                         error_code ignored;
                         caller->close(ignored);
                     });
        auto [unable] =
            co_await caller_->async_wait(tcp::socket::wait_write, as_result);
        if (unable)
            co_return unable;
        error_code error;
        const std::size_t written = caller_->write_some(
            asio::buffer(bytes.data(), bytes.size()), error);
        if (error && error != asio::error::would_block)
            co_return error;
        bytes.remove_prefix(written);
        memory_->note_progress();
    }
    co_return error_code();
}

asio::awaitable<error_code>
answer_writer::write_whole(const http::fields& header, http::status status,
                           std::string_view body, bool has_body)
{
    std::string out = head(header, status);
    if (has_body)
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    out.append(line_end);
    if (!omits_body_)
        out.append(body);
    begun_ = true;
    co_return co_await write(out);
}

void answer_writer::begin(const http::fields& header, http::status status)
{
    pending_ = head(header, status);
    pending_ += "Transfer-Encoding: chunked\r\n\r\n";
}

asio::awaitable<error_code> answer_writer::write_piece(std::string_view bytes,
                                                       bool last)
{
    std::string out = std::move(pending_);
    pending_.clear();
    if (!bytes.empty())
    {
        append_size(out, bytes.size());
        out.append(bytes);
        out.append(line_end);
    }
    if (last)
        out.append(last_chunk);
    begun_ = true;
    co_return co_await write(out);
}

} // namespace sycamorelock::adapters::direct
