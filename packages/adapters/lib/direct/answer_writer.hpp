// Writes one answer to a caller: whole, or piece by piece.
#pragma once

#include "../http.hpp"

#include <string>
#include <string_view>

namespace sycamorelock::adapters::direct
{

class answer_writer
{
  public:
    explicit answer_writer(tcp::socket& caller) : caller_(&caller) {}

    /// Sets whether the connection stays open after this answer.
    void keep(bool open) { keep_ = open; }

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

  private:
    [[nodiscard]] std::string head(const http::fields& header,
                                   http::status status) const;

    tcp::socket* caller_;
    bool keep_ = true;
    bool begun_ = false;
    std::string pending_;
};

} // namespace sycamorelock::adapters::direct
