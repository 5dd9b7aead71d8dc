// The operators' HTTP port.
#include "sycamorelock/adapters/operator_server.hpp"

#include "accept_pause.hpp"
#include "http.hpp"

#include "sycamorelock/adapters/report.hpp"

namespace sycamorelock::adapters
{

namespace
{

using request = http::request<http::string_body>;
using response = http::response<http::string_body>;

constexpr std::chrono::seconds connection_timeout{30};
constexpr std::uint64_t max_request_body = 4096;

response answer(const request& asked, http::status status, const char* type,
                std::string body)
{
    response result(status, asked.version());
    result.set(http::field::content_type, type);
    result.keep_alive(asked.keep_alive());
    result.body() = std::move(body);
    result.prepare_payload();
    return result;
}

/// Only its entry remembers a request; its id tells which instance that was.
std::string where_to_ask(const core::control_state& state,
                         const core::request_id& id)
{
    const auto& members = state.where().list().members;
    const auto entry = members.find(id.entry);
    if (entry == members.end())
        return "no listed instance accepted this request\n";
    const bool here = id.entry == state.self();
    if (here)
        return "this instance does not remember the request: too long ago, or "
               "before its restart\n";
    return "accepted by instance " + entry->second.name + ": ask there\n";
}

} // namespace

class operator_server::impl : public std::enable_shared_from_this<impl>
{
  public:
    impl(control_plane& control, std::function<void()> drain)
        : control_(control), drain_(std::move(drain)),
          acceptor_(control.context(),
                    {asio::ip::make_address(control.settings().address),
                     control.settings().operator_port})
    {
    }

    void start()
    {
        asio::co_spawn(control_.context(), accept_loop(shared_from_this()),
                       asio::detached);
    }

    void close()
    {
        error_code ignored;
        acceptor_.close(ignored);
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return acceptor_.local_endpoint().port();
    }

  private:
    static asio::awaitable<void> accept_loop(std::shared_ptr<impl> self)
    {
        for (;;)
        {
            auto [error, socket] =
                co_await self->acceptor_.async_accept(as_result);
            if (error == asio::error::operation_aborted ||
                error == asio::error::bad_descriptor)
                co_return;
            if (error)
            {
                co_await wait_after_failed_accept();
                continue;
            }
            asio::co_spawn(self->control_.context(),
                           serve(self, beast::tcp_stream(std::move(socket))),
                           asio::detached);
        }
    }

    static asio::awaitable<void> serve(std::shared_ptr<impl> self,
                                       beast::tcp_stream stream)
    {
        beast::flat_buffer buffer;
        for (;;)
        {
            http::request_parser<http::string_body> parser;
            parser.body_limit(max_request_body);
            stream.expires_after(connection_timeout);
            auto [failed, read] =
                co_await http::async_read(stream, buffer, parser, as_result);
            if (failed)
                co_return;
            response result = self->respond(parser.get());
            auto [unsent, written] =
                co_await http::async_write(stream, result, as_result);
            if (unsent || !result.keep_alive())
                co_return;
        }
    }

    response respond(const request& asked)
    {
        static constexpr const char* json = "application/json";
        const std::string target(asked.target());
        const bool get = asked.method() == http::verb::get;
        if (get && target == "/metrics")
            return answer(asked, http::status::ok, "text/plain; version=0.0.4",
                          metrics_text(control_));
        if (get && target == "/status")
            return answer(asked, http::status::ok, json, status_json(control_));
        if (get && target == "/healthz")
            return answer(asked, http::status::ok, "text/plain", "ok\n");
        if (get && target == "/ready")
        {
            const bool ready = control_.ready() && !control_.leaving();
            return answer(asked,
                          ready ? http::status::ok
                                : http::status::service_unavailable,
                          "text/plain", ready ? "ready\n" : "not ready\n");
        }
        static const std::string explain = "/explain?request=";
        if (get && target.starts_with(explain))
            return respond_explain(asked, target.substr(explain.size()));
        if (asked.method() == http::verb::post && target == "/drain")
        {
            drain_();
            return answer(asked, http::status::accepted, json,
                          "{\"draining\":true}");
        }
        return answer(asked, http::status::not_found, "text/plain",
                      "unknown; see docs/OPERATING.md\n");
    }

    response respond_explain(const request& asked, const std::string& text)
    {
        core::request_id id;
        if (!parse_request_id(text, id))
            return answer(asked, http::status::bad_request, "text/plain",
                          "not a request id\n");
        std::string found = explain_json(control_, id);
        if (found.empty())
            return answer(asked, http::status::not_found, "text/plain",
                          where_to_ask(control_.state(), id));
        return answer(asked, http::status::ok, "application/json",
                      std::move(found));
    }

    control_plane& control_;
    std::function<void()> drain_;
    tcp::acceptor acceptor_;
};

operator_server::operator_server(control_plane& control,
                                 std::function<void()> drain)
    : impl_(std::make_shared<impl>(control, std::move(drain)))
{
    impl_->start();
}

operator_server::~operator_server()
{
    impl_->close();
}

std::uint16_t operator_server::port() const
{
    return impl_->port();
}

} // namespace sycamorelock::adapters
