// The operators' HTTP port.
#include "sycamorelock/adapters/operator_server.hpp"

#include "page_listener.hpp"

#include "sycamorelock/adapters/descriptor_limits.hpp"

#include "sycamorelock/adapters/report.hpp"

namespace sycamorelock::adapters
{

namespace
{

/// Only its entry remembers a request; its id tells which instance that was.
std::string where_to_ask(const core::control_state& state,
                         const core::request_id& id)
{
    const auto& members = state.current_placement().list().members;
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

class operator_server::impl : public page_listener<impl>
{
  public:
    impl(control_plane& control, std::function<void()> drain)
        : page_listener(
              control.context(),
              tcp::endpoint(asio::ip::make_address(control.settings().address),
                            control.settings().operator_port),
              page_connections(descriptor_limit()), &control.log(),
              scheduled_accept_events, control.traffic().operators),
          control_(control), drain_(std::move(drain))
    {
    }

    asio::awaitable<page_response> respond(page_request asked)
    {
        co_return page_for(asked);
    }

  private:
    page_response page_for(const page_request& asked)
    {
        static constexpr const char* json = "application/json";
        const std::string target(asked.target());
        const bool get = asked.method() == http::verb::get;
        if (get && target == "/metrics")
            return make_page(asked, http::status::ok,
                             "text/plain; version=0.0.4",
                             metrics_text(control_));
        if (get && target == "/status")
            return make_page(asked, http::status::ok, json,
                             status_json(control_));
        if (get && target == "/healthz")
            return make_page(asked, http::status::ok, "text/plain", "ok\n");
        if (get && target == "/ready")
        {
            const bool ready = control_.ready() && !control_.leaving();
            return make_page(asked,
                             ready ? http::status::ok
                                   : http::status::service_unavailable,
                             "text/plain", ready ? "ready\n" : "not ready\n");
        }
        static const std::string prefix = "/explain?request=";
        if (get && target.starts_with(prefix))
            return explain(asked, target.substr(prefix.size()));
        if (asked.method() == http::verb::post && target == "/drain")
        {
            drain_();
            return make_page(asked, http::status::accepted, json,
                             "{\"draining\":true}");
        }
        return make_page(asked, http::status::not_found, "text/plain",
                         "unknown; see docs/OPERATING.md\n");
    }

    page_response explain(const page_request& asked, const std::string& text)
    {
        core::request_id id;
        if (!parse_request_id(text, id))
            return make_page(asked, http::status::bad_request, "text/plain",
                             "not a request id\n");
        std::string found = explain_json(control_, id);
        if (found.empty())
            return make_page(asked, http::status::not_found, "text/plain",
                             where_to_ask(control_.state(), id));
        return make_page(asked, http::status::ok, "application/json",
                         std::move(found));
    }

    control_plane& control_;
    std::function<void()> drain_;
};

operator_server::operator_server(control_plane& control,
                                 std::function<void()> drain)
    : impl_(std::make_shared<impl>(control, std::move(drain)))
{
    impl_->start();
}

operator_server::~operator_server()
{
    impl_->stop();
}

std::uint16_t operator_server::port() const
{
    return impl_->port();
}

} // namespace sycamorelock::adapters
