// Writes one answer to a caller: whole, or piece by piece.
#pragma once

#include "../http.hpp"
#include "../memory_share.hpp"

#include "sycamorelock/adapters/direct/watchdog.hpp"

#include <string>
#include <string_view>

namespace sycamorelock::adapters::direct
{

class answer_writer
{
  public:
    /// \param memory accounts for what the caller does not read at once.
    /// \param patience closes the connection of a caller that reads nothing for
    /// so long.
    answer_writer(tcp::socket& caller, memory_share& memory, watchdog& limits,
                  std::chrono::milliseconds patience)
        : caller_(&caller), memory_(&memory), limits_(&limits),
          patience_(patience)
    {
    }

    /// Sets whether the connection stays open after this answer.
    void keep(bool open) { keep_ = open; }

    /// Sets whether the answer is to a HEAD request, and ends with its header.
    void omit_body(bool omitted) { omits_body_ = omitted; }

    /// Writes an answer whose body is complete.
    asio::awaitable<error_code> write_whole(const http::fields& header,
                                            http::status status,
                                            std::string_view body,
                                            bool has_body);

    /// Takes the header of an answer that comes in pieces. It is written with
    /// the first piece.
    void begin(const http::fields& header, http::status status);

    /// Writes a piece, in one write; `last` ends the answer with it.
    asio::awaitable<error_code> write_piece(std::string_view bytes, bool last);

    /// Whether any byte of an answer was handed to the connection.
    [[nodiscard]] bool begun() const { return begun_; }
    /// Whether a write waits until the caller reads.
    [[nodiscard]] bool is_blocked() const { return blocked_; }

  private:
    /// Writes everything. Closes the connection if the caller does not read for
    /// too long, or if there is no memory for what it has not read.
    asio::awaitable<error_code> write(std::string_view bytes);
    /// Writes what the socket did not take at once.
    asio::awaitable<error_code> write_blocked(std::string_view bytes);
    [[nodiscard]] std::string head(const http::fields& header,
                                   http::status status) const;

    tcp::socket* caller_;
    memory_share* memory_;
    watchdog* limits_;
    std::chrono::milliseconds patience_;
    bool blocked_ = false;
    bool keep_ = true;
    bool omits_body_ = false;
    bool begun_ = false;
    std::string pending_;
};

} // namespace sycamorelock::adapters::direct
