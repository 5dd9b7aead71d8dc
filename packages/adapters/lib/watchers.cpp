// Long polling of the platform and polling of endpoints' load.
#include "sycamorelock/adapters/watchers.hpp"

#include "answer_limits.hpp"
#include "http.hpp"

#include "sycamorelock/adapters/document_reader.hpp"

#include <boost/json/parse.hpp>

#include <map>
#include <set>

namespace sycamorelock::adapters
{

namespace
{

constexpr std::chrono::seconds long_poll{20};
constexpr std::chrono::seconds answer_slack{5};
constexpr std::chrono::seconds retry_pause{1};
constexpr std::chrono::milliseconds idle_pause{250};
constexpr std::chrono::seconds load_period{1};
constexpr std::chrono::milliseconds load_timeout{800};
constexpr std::uint64_t max_document_bytes = 1024 * 1024;

using response = http::response<http::string_body>;

/// One GET on a connection of its own.
asio::awaitable<std::optional<response>>
fetch(control_plane& control, tcp::endpoint from, std::string target,
      std::chrono::milliseconds timeout)
{
    beast::tcp_stream stream(control.context());
    stream.expires_after(timeout);
    if (co_await connect_from(stream, control.settings().address, from))
        co_return std::nullopt;
    http::request<http::empty_body> request(http::verb::get, target, 11);
    request.set(http::field::host, from.address().to_string());
    request.set(http::field::connection, "close");
    auto [unsent, sent] =
        co_await http::async_write(stream, request, as_result);
    if (unsent)
        co_return std::nullopt;
    beast::flat_buffer buffer(max_unparsed);
    document_parser parser;
    parser.body_limit(max_document_bytes);
    if (co_await read_document(stream, buffer, parser))
        co_return std::nullopt;
    co_return parser.release();
}

asio::awaitable<void> pause(control_plane& control,
                            std::chrono::milliseconds length)
{
    asio::steady_timer timer(control.context(), length);
    co_await timer.async_wait(as_result);
}

std::uint64_t version_of(const response& answer)
{
    const std::string text(answer["X-Version"]);
    char* end = nullptr;
    const std::uint64_t version = std::strtoull(text.c_str(), &end, 10);
    return end != text.c_str() && *end == '\0' ? version : 0;
}

/// Which of the platform's documents a watch follows.
enum class watched : std::uint8_t
{
    configuration,
    members,
};

std::uint64_t version_in_force(const control_plane& control, watched what)
{
    const core::control_state& state = control.state();
    if (what == watched::members)
        return state.current_placement().list().version;
    return state.fleet_topology() != nullptr
               ? state.fleet_topology()->version.number
               : 0;
}

asio::awaitable<void> watch(control_plane& control, watched what)
{
    const std::string path =
        what == watched::members ? "/v1/members" : "/v1/configuration";
    std::size_t turn = 0;
    bool reachable = true;
    for (;;)
    {
        const bool reads =
            control.state().current_placement().is_config_reader();
        if (!reads)
        {
            co_await pause(control, idle_pause);
            continue;
        }
        const auto& addresses = control.settings().platform;
        const std::string address = addresses[turn % addresses.size()];
        const std::string target =
            path + "?after=" + std::to_string(version_in_force(control, what)) +
            "&wait_ms=" +
            std::to_string(std::chrono::milliseconds(long_poll).count());
        ++control.traffic().platform_calls;
        const auto answer = co_await fetch(control, parse_address(address),
                                           target, long_poll + answer_slack);
        if (!answer)
        {
            if (reachable)
                control.log().write(process_event::platform_unreachable,
                                    {{"address", address}, {"path", path}});
            reachable = false;
            ++turn;
            co_await pause(control, retry_pause);
            continue;
        }
        if (!reachable)
            control.log().write(process_event::platform_returned,
                                {{"address", address}, {"path", path}});
        reachable = true;
        static constexpr std::size_t header_bytes = 400;
        control.traffic().platform_bytes +=
            answer->body().size() + target.size() + header_bytes;
        if (answer->result() != http::status::ok)
        {
            // Not modified, or an error of the platform: ask again, not in a
            // tight loop.
            if (answer->result() != http::status::not_modified)
                co_await pause(control, retry_pause);
            continue;
        }
        const std::uint64_t before = version_in_force(control, what);
        const std::string source = "platform " + address;
        if (what == watched::members)
            control.offer_members(answer->body(), source);
        else
            control.offer_config({version_of(*answer), answer->body()}, source);
        // An old or refused document would come back at once.
        if (version_in_force(control, what) == before)
            co_await pause(control, retry_pause);
    }
}

std::optional<core::load_report> parse_load(const std::string& text)
{
    error_code error;
    const boost::json::value root = boost::json::parse(text, error);
    if (error || !root.is_object())
        return std::nullopt;
    const auto& fields = root.as_object();
    core::load_report report;
    const auto* running = fields.if_contains("running");
    if (running == nullptr || !running->is_int64() || running->as_int64() < 0)
        return std::nullopt;
    report.running = static_cast<std::uint32_t>(running->as_int64());
    const auto* leaving = fields.if_contains("leaving");
    report.leaving =
        leaving != nullptr && leaving->is_bool() && leaving->as_bool();
    return report;
}

asio::awaitable<void> poll_once(control_plane& control,
                                core::service_id service,
                                core::endpoint_id endpoint, std::string address)
{
    const auto answer =
        co_await fetch(control, parse_address(address), "/load", load_timeout);
    if (!answer || answer->result() != http::status::ok)
        co_return;
    const auto report = parse_load(answer->body());
    if (report)
        control.on_load(service, endpoint, *report);
}

asio::awaitable<void> poll_loads(control_plane& control)
{
    for (;;)
    {
        co_await pause(control, load_period);
        const core::control_state& state = control.state();
        for (const core::shard_scheduler* scheduler : state.schedulers())
        {
            const auto* shards =
                state.directory().shards(scheduler->id().service);
            for (const core::shard_spec& shard : *shards)
            {
                if (shard.id != scheduler->id())
                    continue;
                for (const core::endpoint_spec& endpoint : shard.endpoints)
                    asio::co_spawn(control.context(),
                                   poll_once(control, shard.id.service,
                                             endpoint.id, endpoint.address),
                                   asio::detached);
            }
        }
    }
}

} // namespace

void start_platform_watch(control_plane& control)
{
    for (const watched what : {watched::members, watched::configuration})
        asio::co_spawn(control.context(), watch(control, what), asio::detached);
}

void start_load_polling(control_plane& control)
{
    asio::co_spawn(control.context(), poll_loads(control), asio::detached);
}

} // namespace sycamorelock::adapters
