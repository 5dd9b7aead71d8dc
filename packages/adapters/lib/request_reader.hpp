// Reads HTTP requests within a share of memory, at every listener.
#pragma once

#include "http.hpp"
#include "memory_share.hpp"

#include "sycamorelock/adapters/request_error.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace sycamorelock::adapters
{

/// Body of a request. Its buffer grows with what has been received, not with
/// the announced length, and only as far as its share is granted.
struct metered_body
{
    struct value_type
    {
        std::string text;
        memory_share* share = nullptr;
    };

    class reader
    {
      public:
        template <bool is_request, class Fields>
        reader(http::header<is_request, Fields>&, value_type& body)
            : body_(body)
        {
        }

        void init(const boost::optional<std::uint64_t>& announced,
                  error_code& error)
        {
            announced_ = announced;
            error = {};
        }

        template <class Buffers>
        std::size_t put(const Buffers& buffers, error_code& error)
        {
            const std::size_t bytes = beast::buffer_bytes(buffers);
            error = make_room(bytes);
            if (error)
                return 0;
            for (const auto each : beast::buffers_range_ref(buffers))
                body_.text.append(static_cast<const char*>(each.data()),
                                  each.size());
            return bytes;
        }

        void finish(error_code& error) { error = {}; }

      private:
        error_code make_room(std::size_t bytes);

        value_type& body_;
        boost::optional<std::uint64_t> announced_;
    };
};

struct request_limits
{
    /// The trailers, and the line before a chunk, may have a little more.
    std::uint32_t header_bytes;
    std::uint64_t body_bytes;
};

/// Reads the requests of one connection. Holds no buffer while it waits for
/// bytes, and of a request no more than has arrived.
class request_reader
{
  public:
    using message = http::request<http::string_body>;

    /// \param from is set to non-blocking mode.
    request_reader(tcp::socket& from, memory_share& share);

    /// Waits until the socket is readable. Fails if the socket's operations are
    /// cancelled.
    asio::awaitable<error_code> wait();
    /// Whether bytes of a pipelined request have been read already.
    [[nodiscard]] bool has_more() const { return unparsed_.size() > 0; }

    /// Reads one request, which `take` then returns. Answers
    /// `Expect: 100-continue`.
    asio::awaitable<error_code> read(const request_limits& limits);
    [[nodiscard]] message take();
    /// Fields that have been parsed so far; nothing after `drop`.
    [[nodiscard]] const http::fields* header() const
    {
        return parser_ ? &parser_->get() : nullptr;
    }

    /// Whether the request is known to be a HEAD request; false after `drop`.
    [[nodiscard]] bool is_head() const
    {
        return parser_ && parser_->get().method() == http::verb::head;
    }

    /// Frees what has been read. A pending read has to be cancelled.
    void drop();

  private:
    using parser = http::request_parser<metered_body>;

    /// Feeds the parser with the received bytes.
    error_code parse();
    /// Calls the parser once; returns the number of bytes that it consumed.
    std::size_t put(error_code& error);
    /// Accounts for the fields and refuses what HTTP/1.1 forbids.
    error_code check_header();
    /// Reads what has arrived; waits if nothing has.
    asio::awaitable<error_code> read_some(const request_limits& limits);
    /// The part that the parser still waits for the end of.
    [[nodiscard]] request_error oversized_part() const;
    /// Shrinks the buffer to the unparsed bytes and accounts for them.
    error_code compact();
    [[nodiscard]] std::size_t header_size() const;

    tcp::socket& from_;
    memory_share& share_;
    beast::flat_buffer unparsed_;
    std::optional<parser> parser_;
    /// Estimated memory of the fields while the header is incomplete.
    std::size_t partial_header_ = 0;
    bool continue_sent_ = false;
    /// Bytes read since the last return to the event loop.
    std::size_t quantum_used_ = 0;
};

} // namespace sycamorelock::adapters
