// Reads callers' requests, at every listener, within a share of memory.
#pragma once

#include "http.hpp"
#include "memory_share.hpp"

#include "sycamorelock/adapters/request_error.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace sycamorelock::adapters
{

/// Body of a request that arrives. It grows by what has been received, whatever
/// length was announced, and only as far as its share allows.
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
    /// Also of the trailers.
    std::uint32_t header_bytes;
    std::uint64_t body_bytes;
};

/// Reads the requests of one connection. No memory is held between requests,
/// and none but what has arrived of a request that is being read.
class request_reader
{
  public:
    using message = http::request<http::string_body>;

    /// \param from is set to non-blocking mode.
    request_reader(tcp::socket& from, memory_share& share);

    /// Waits until something can be read; ends with an error if the socket's
    /// operations are cancelled.
    asio::awaitable<error_code> wait();
    /// Whether bytes of the next request have been read with the last one.
    [[nodiscard]] bool has_more() const { return unparsed_.size() > 0; }

    /// Reads one request, which `take` then returns. A caller that waits for
    /// leave to send the body gets it.
    asio::awaitable<error_code> read(const request_limits& limits);
    [[nodiscard]] message take();
    /// Header of what has been read so far; nothing if that was given up.
    [[nodiscard]] const http::fields* header() const
    {
        return parser_ ? &parser_->get() : nullptr;
    }

    /// Gives up what has been read. A read that waits goes on only to end.
    void drop();

  private:
    using parser = http::request_parser<metered_body>;

    /// Feeds the parser with what has been read.
    error_code parse();
    /// The parser's own call; returns how many bytes it has used.
    std::size_t put(error_code& error);
    error_code check_header();
    /// Reads what has arrived; waits if there is nothing.
    asio::awaitable<error_code> read_some(const request_limits& limits);
    /// What has no end, if as much as may be held has been read in vain.
    [[nodiscard]] request_error endless_part() const;
    /// Frees what the bytes that were read do not need, and counts the rest.
    error_code compact();
    [[nodiscard]] std::size_t header_size() const;

    tcp::socket& from_;
    memory_share& share_;
    beast::flat_buffer unparsed_;
    std::optional<parser> parser_;
    /// Estimate of the memory of the fields while they arrive.
    std::size_t arriving_header_ = 0;
    bool told_to_go_on_ = false;
    /// Bytes read since others had their turn on this thread.
    std::size_t turn_bytes_ = 0;
};

} // namespace sycamorelock::adapters
