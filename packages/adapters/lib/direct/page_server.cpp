// One coroutine a connection.
#include "sycamorelock/adapters/direct/page_server.hpp"

#include "../accept_pause.hpp"
#include "../http.hpp"

#include <boost/asio/post.hpp>

namespace sycamorelock::adapters::direct
{

namespace
{

constexpr std::chrono::seconds connection_timeout{30};
/// Time for a page to be made. Callers ask again within a second or some.
constexpr std::chrono::seconds page_timeout{5};

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

    asio::awaitable<void> accept()
    {
        const auto self = shared_from_this();
        for (;;)
        {
            auto [error, socket] = co_await acceptor_.async_accept(as_result);
            if (!acceptor_.is_open())
                co_return;
            if (error)
            {
                co_await wait_after_failed_accept();
                continue;
            }
            asio::co_spawn(io_, serve(beast::tcp_stream(std::move(socket))),
                           asio::detached);
        }
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
        asio::steady_timer answered(io_, page_timeout);
        // Stays if the page is not made in time.
        const auto made = std::make_shared<page>(
            page{static_cast<unsigned>(http::status::service_unavailable),
                 "not made in time\n"});
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
    asio::co_spawn(
        io, [impl = impl_] { return impl->accept(); }, asio::detached);
}

} // namespace sycamorelock::adapters::direct
