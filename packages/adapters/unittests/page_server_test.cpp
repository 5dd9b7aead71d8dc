// Pages when descriptors are short, and pages that are never made.
#include "sycamorelock/adapters/direct/page_server.hpp"

#include "own_ip.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <ctime>
#include <memory>
#include <string>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace direct = sycamorelock::adapters::direct;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr unsigned short port = 9100;

tcp::endpoint address()
{
    return {asio::ip::make_address(own_ip(1)), port};
}

std::string text_of(const tcp::endpoint& where)
{
    return where.address().to_string() + ':' + std::to_string(where.port());
}

/// Number that the next descriptor would have.
rlim_t next_descriptor()
{
    const int probe = dup(STDERR_FILENO);
    close(probe);
    return static_cast<rlim_t>(probe);
}

double processor_seconds()
{
    return double(std::clock()) / CLOCKS_PER_SEC;
}

/// The first line of the answer to a request for a page.
std::string status_line(tcp::socket& socket)
{
    const std::string request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    asio::write(socket, asio::buffer(request));
    asio::streambuf answer;
    boost::system::error_code error;
    asio::read_until(socket, answer, "\r\n", error);
    return {asio::buffers_begin(answer.data()),
            asio::buffers_end(answer.data())};
}

} // namespace

// A failed accept was tried again at once: 838,938 times in a second.
Test(page_server, without_descriptors_it_waits, .timeout = 20)
{
    asio::io_context io;
    int made = 0;
    direct::page_server server(
        io, text_of(address()),
        [&made](const std::string&, const direct::page_server::reply& done)
        {
            ++made;
            done({200, "page\n"});
        });
    asio::io_context callers;
    tcp::socket caller(callers);
    caller.connect(address());
    rlimit old{};
    getrlimit(RLIMIT_NOFILE, &old);
    const rlimit short_of{next_descriptor(), old.rlim_max};
    setrlimit(RLIMIT_NOFILE, &short_of);
    const double before = processor_seconds();
    io.run_for(std::chrono::milliseconds(1000));
    const double used = processor_seconds() - before;
    setrlimit(RLIMIT_NOFILE, &old);
    cr_expect_lt(used, 0.1, "%f s of processor time", used);
    // It serves again once there are some.
    std::thread serving([&io] { io.run_for(std::chrono::milliseconds(500)); });
    const std::string status = status_line(caller);
    serving.join();
    cr_expect(status.starts_with("HTTP/1.1 200"), "%s", status.c_str());
    cr_expect_eq(made, 1);
}

// 50 of 50 connections were held after 35 s.
Test(page_server, a_page_that_is_never_made_ends, .timeout = 20)
{
    asio::io_context io;
    std::vector<direct::page_server::reply> unanswered;
    direct::page_server server(
        io, text_of(address()),
        [&unanswered](const std::string&, direct::page_server::reply done)
        { unanswered.push_back(std::move(done)); });
    std::thread serving([&io] { io.run_for(std::chrono::seconds(8)); });
    asio::io_context callers;
    tcp::socket caller(callers);
    caller.connect(address());
    const auto begin = std::chrono::steady_clock::now();
    const std::string status = status_line(caller);
    const auto took = std::chrono::steady_clock::now() - begin;
    // An answer that comes too late harms nobody.
    asio::post(io,
               [&unanswered]
               {
                   for (const auto& done : unanswered)
                       done({200, "late\n"});
               });
    serving.join();
    cr_expect(status.starts_with("HTTP/1.1 503"), "%s", status.c_str());
    cr_expect(took < std::chrono::seconds(7));
}
