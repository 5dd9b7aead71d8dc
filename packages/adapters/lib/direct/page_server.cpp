// One coroutine a connection.
#include "sycamorelock/adapters/direct/page_server.hpp"

#include "../page_listener.hpp"

#include <boost/asio/post.hpp>

namespace sycamorelock::adapters::direct
{

namespace
{

/// Time for a page to be made. Callers ask again within a second or some.
constexpr std::chrono::seconds page_timeout{5};

} // namespace

class page_server::impl : public page_listener<impl>
{
  public:
    impl(boost::asio::io_context& io, const std::string& address,
         handler handle, const page_server_options& options)
        : page_listener(io, parse_address(address), options.most_connections,
                        options.log, direct_accept_events, metrics_),
          io_(io), handle_(std::move(handle)), metrics_{options.name}
    {
    }

    asio::awaitable<page_response> respond(page_request asked)
    {
        page made = co_await ask(std::string(asked.target()));
        co_return make_page(asked, static_cast<http::status>(made.status),
                            "text/plain", std::move(made.text));
    }

    [[nodiscard]] const listener_metrics& metrics() const { return metrics_; }

  private:
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
    handler handle_;
    listener_metrics metrics_;
};

page_server::page_server(boost::asio::io_context& io,
                         const std::string& address, handler handle,
                         const page_server_options& options)
    : impl_(std::make_shared<impl>(io, address, std::move(handle), options))
{
    impl_->start();
}

const listener_metrics& page_server::metrics() const
{
    return impl_->metrics();
}

} // namespace sycamorelock::adapters::direct
