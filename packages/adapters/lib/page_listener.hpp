// Listeners for readers of small pages: balancers, operators, collectors of
// metrics.
#pragma once

#include "listener.hpp"

#include <list>

namespace sycamorelock::adapters
{

using page_request = http::request<http::string_body>;
using page_response = http::response<http::string_body>;

inline page_response make_page(const page_request& asked, http::status status,
                               const char* type, std::string body)
{
    page_response result(status, asked.version());
    result.set(http::field::content_type, type);
    result.keep_alive(asked.keep_alive());
    result.body() = std::move(body);
    result.prepare_payload();
    return result;
}

/// Base of a server of pages, which has a member
/// `asio::awaitable<page_response> respond(page_request)`. Everything runs on
/// the thread of the io_context.
template <class Server>
class page_listener : public std::enable_shared_from_this<page_listener<Server>>
{
  public:
    /// \throws boost::system::system_error if the address cannot be listened
    /// on.
    page_listener(asio::io_context& io, const tcp::endpoint& at,
                  accept_report report)
        : io_(io), listener_(std::make_shared<listener<page_listener>>(
                       io, at, *this, listener_limits{}, report))
    {
    }
    ~page_listener() { listener_->stop(); }
    page_listener(const page_listener&) = delete;
    page_listener& operator=(const page_listener&) = delete;

    void start() { listener_->start(); }
    void stop() { listener_->stop(); }
    [[nodiscard]] std::uint16_t port() const { return listener_->port(); }

    asio::io_context& next_context() { return io_; }
    void serve(tcp::socket accepted)
    {
        asio::co_spawn(io_, run(this->shared_from_this(), std::move(accepted)),
                       asio::detached);
    }
    [[nodiscard]] std::size_t connections() const { return open_.size(); }
    void make_room() {}

  private:
    /// Time of one request, and of the pause before it.
    static constexpr std::chrono::seconds connection_timeout{30};
    static constexpr std::uint64_t max_request_body = 4096;

    struct connection
    {
        beast::tcp_stream stream;
    };
    using connections_list = std::list<connection>;

    /// Keeps a connection in the list as long as it is served.
    class listed
    {
      public:
        listed(connections_list& all, tcp::socket accepted)
            : all_(all), at_(all.insert(all.end(), connection{beast::tcp_stream(
                                                       std::move(accepted))}))
        {
        }
        ~listed() { all_.erase(at_); }
        listed(const listed&) = delete;
        listed& operator=(const listed&) = delete;
        connection* operator->() { return &*at_; }

      private:
        connections_list& all_;
        typename connections_list::iterator at_;
    };

    static asio::awaitable<void> run(std::shared_ptr<page_listener> self,
                                     tcp::socket accepted)
    {
        listed own(self->open_, std::move(accepted));
        beast::flat_buffer buffer;
        for (;;)
        {
            http::request_parser<http::string_body> parser;
            parser.body_limit(max_request_body);
            own->stream.expires_after(connection_timeout);
            auto [unread, read] = co_await http::async_read(own->stream, buffer,
                                                            parser, as_result);
            if (unread)
                co_return;
            page_response answer =
                co_await static_cast<Server&>(*self).respond(parser.release());
            auto [unsent, sent] =
                co_await http::async_write(own->stream, answer, as_result);
            if (unsent || !answer.keep_alive())
                co_return;
        }
    }

    asio::io_context& io_;
    connections_list open_;
    std::shared_ptr<listener<page_listener>> listener_;
};

} // namespace sycamorelock::adapters
