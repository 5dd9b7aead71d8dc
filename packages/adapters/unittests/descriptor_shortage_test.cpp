// Listeners when descriptors are short, and their bounds.
#include "sycamorelock/adapters/caller_server.hpp"
#include "sycamorelock/adapters/direct/page_server.hpp"
#include "sycamorelock/adapters/operator_server.hpp"

#include "../lib/local_shortage.hpp"
#include "descriptor_shortage.hpp"
#include "own_ip.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <list>
#include <memory>
#include <string>
#include <thread>

using namespace sycamorelock;
namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace
{

settings::process_settings settings_of_test()
{
    settings::process_settings made;
    made.name = "a1";
    made.domain = "a";
    made.address = own_ip(1);
    made.log_level = "error";
    made.max_body_bytes = 1024;
    made.header_timeout = std::chrono::seconds(10);
    made.idle_timeout = std::chrono::seconds(60);
    made.write_timeout = std::chrono::seconds(30);
    made.endpoint_timeout = std::chrono::seconds(60);
    return made;
}

/// A control plane that hears of nobody.
struct lone_instance
{
    settings::process_settings settings = settings_of_test();
    adapters::event_log log{"a1", "error"};
    asio::io_context io{1};
    adapters::traffic_metrics traffic;
    adapters::control_plane control{settings, io, log, traffic};
};

tcp::endpoint address_of(std::uint16_t port)
{
    return {asio::ip::make_address(own_ip(1)), port};
}

/// The answer to a GET request while the io_context runs on a thread.
std::string answer_from(asio::io_context& io, tcp::socket& caller,
                        const std::string& path)
{
    io.restart();
    std::thread serving([&io] { io.run(); });
    const std::string status = status_line(caller, path);
    io.stop();
    serving.join();
    return status;
}

/// A listener whose caller waits while no descriptor is free: processor time of
/// one second, and the answer to the caller once there are descriptors.
struct outcome
{
    double processor_seconds = 0;
    std::string status;
};

outcome play_shortage(asio::io_context& io, std::uint16_t port,
                      const std::string& path)
{
    outcome seen;
    asio::io_context callers;
    tcp::socket caller(callers);
    caller.connect(address_of(port));
    {
        const descriptor_shortage none_left;
        const double before = processor_seconds();
        io.run_for(milliseconds(1000));
        seen.processor_seconds = processor_seconds() - before;
    }
    seen.status = answer_from(io, caller, path);
    return seen;
}

} // namespace

Test(caller_server, without_descriptors_it_waits, .timeout = 20)
{
    lone_instance self;
    adapters::caller_server server(self.control);
    server.start();
    const outcome seen = play_shortage(self.io, server.port(), "/ready");
    cr_expect_lt(seen.processor_seconds, 0.1, "%f s of processor time",
                 seen.processor_seconds);
    cr_expect(seen.status.starts_with("HTTP/1.1 503"), "%s",
              seen.status.c_str());
}

Test(operator_server, without_descriptors_it_waits, .timeout = 20)
{
    lone_instance self;
    adapters::operator_server server(self.control, [] {});
    const outcome seen = play_shortage(self.io, server.port(), "/healthz");
    cr_expect_lt(seen.processor_seconds, 0.1, "%f s of processor time",
                 seen.processor_seconds);
    cr_expect(seen.status.starts_with("HTTP/1.1 200"), "%s",
              seen.status.c_str());
}

// One that has served callers before, so that its threads have what they need.
Test(caller_server, a_later_shortage_is_waited_for, .timeout = 20)
{
    lone_instance self;
    adapters::caller_server server(self.control);
    server.start();
    for (int i = 0; i < 2; ++i)
    {
        asio::io_context callers;
        tcp::socket caller(callers);
        caller.connect(address_of(server.port()));
        cr_expect(
            answer_from(self.io, caller, "/ready").starts_with("HTTP/1.1 503"));
    }
    const outcome seen = play_shortage(self.io, server.port(), "/ready");
    cr_expect_lt(seen.processor_seconds, 0.1, "%f s of processor time",
                 seen.processor_seconds);
    cr_expect(seen.status.starts_with("HTTP/1.1 503"), "%s",
              seen.status.c_str());
}

// One that rests ends for each that comes beyond the bound; the reader that
// asks is served.
Test(page_server, silent_readers_are_bounded, .timeout = 20)
{
    namespace direct = adapters::direct;
    constexpr std::uint16_t port = 9100;
    constexpr std::size_t bound = 8;
    constexpr std::size_t silent = 20;
    asio::io_context io;
    direct::page_server server(
        io, own_ip(1) + ':' + std::to_string(port),
        [](const std::string&, const direct::page_server::reply& done) {
            done({200, "page\n"});
        },
        {"pages", nullptr, bound});
    asio::io_context readers;
    std::list<tcp::socket> held;
    for (std::size_t i = 0; i <= silent; ++i)
    {
        held.emplace_back(readers);
        held.back().connect(address_of(port));
    }
    const std::string status = answer_from(io, held.back(), "/x");
    cr_expect(status.starts_with("HTTP/1.1 200"), "%s", status.c_str());
    cr_expect_eq(server.metrics().closed_for_room.load(), silent + 1 - bound);
}

// Guards against endpoints that are ejected because this instance's address had
// no free port for a connection to them.
Test(local_shortage, only_what_is_lacking_here_counts)
{
    namespace system = boost::system;
    for (const int lacking :
         {EMFILE, ENFILE, ENOBUFS, ENOMEM, EADDRNOTAVAIL, EADDRINUSE})
        cr_expect(adapters::is_local_shortage(
                      system::error_code(lacking, system::system_category())),
                  "%d", lacking);
    for (const int other : {0, ECONNREFUSED, ECONNRESET, ETIMEDOUT, EPIPE})
        cr_expect_not(adapters::is_local_shortage(
                          system::error_code(other, system::system_category())),
                      "%d", other);
}
