// One coroutine a connection.
#include "sycamorelock/adapters/direct/page_server.hpp"

#include "../http.hpp"

#include <boost/asio/post.hpp>

namespace sycamorelock::adapters::direct
{

namespace
{

constexpr std::chrono::seconds connection_timeout{30};

} // namespace

class page_server::impl : public std::enable_shared_from_this<impl>
{
  public:
    impl(boost::asio::io_context& io, const std::string& address,
         handler handle)
        : io_(io), acceptor_(io, parse_address(address), true),
          handle_(std::move(handle))
    {
    }

    void accept()
    {
        acceptor_.async_accept(
            [self = shared_from_this()](error_code error, tcp::socket socket)
            {
                if (!self->acceptor_.is_open())
                    return;
                if (!error)
                    asio::co_spawn(
                        self->io_,
                        self->serve(beast::tcp_stream(std::move(socket))),
                        asio::detached);
                self->accept();
            });
    }

  private:
    asio::awaitable<void> serve(beast::tcp_stream stream)
    {
        const auto self = shared_from_this();
        beast::flat_buffer buffer;
        for (;;)
        {
            stream.expires_after(connection_timeout);
            http::request<http::string_body> request;
            auto [error, size] =
                co_await http::async_read(stream, buffer, request, as_result);
            if (error)
                co_return;
            const page made = co_await ask(std::string(request.target()));
            http::response<http::string_body> answer(
                static_cast<http::status>(made.status), request.version());
            answer.set(http::field::content_type, "text/plain");
            answer.keep_alive(request.keep_alive());
            answer.body() = made.text;
            answer.prepare_payload();
            auto [unsent, sent] =
                co_await http::async_write(stream, answer, as_result);
            if (unsent || !answer.keep_alive())
                co_return;
        }
    }

    asio::awaitable<page> ask(std::string path)
    {
        asio::steady_timer answered(io_, asio::steady_timer::time_point::max());
        const auto made = std::make_shared<page>();
        const auto open = std::make_shared<asio::steady_timer*>(&answered);
        handle_(path,
                [this, made, open](page reply)
                {
                    asio::post(io_,
                               [made, open, reply = std::move(reply)]
                               {
                                   *made = reply;
                                   if (*open != nullptr)
                                       (*open)->cancel();
                               });
                });
        co_await answered.async_wait(as_result);
        *open = nullptr;
        co_return *made;
    }

    boost::asio::io_context& io_;
    tcp::acceptor acceptor_;
    handler handle_;
};

page_server::page_server(boost::asio::io_context& io,
                         const std::string& address, handler handle)
    : impl_(std::make_shared<impl>(io, address, std::move(handle)))
{
    impl_->accept();
}

} // namespace sycamorelock::adapters::direct
