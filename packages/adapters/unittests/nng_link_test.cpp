// Sockets between instances: what is closed while messages come must end. Named
// after the library of the links when the faults were found.
#include "../lib/direct/exchange_links.hpp"
#include "own_ip.hpp"

#include "sycamorelock/adapters/clocks.hpp"

#include <criterion/criterion.h>

#include <array>
#include <atomic>
#include <chrono>
#include <filesystem>
#include <iterator>
#include <thread>

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace sycamorelock::adapters;

// Another process listens at the address: an error, again and again, also while
// links to the address are connecting.
Test(nng_link, an_address_that_is_taken_is_an_error, .timeout = 20)
{
    const std::string at = own_ip(1) + ":47311";
    const pull_inbox first(at, [](const std::string&) {});
    for (int round = 0; round < 50; ++round)
    {
        push_link link("127.0.0.1", at);
        link.send("x");
        cr_expect_throw(pull_inbox(at, [](const std::string&) {}),
                        std::runtime_error);
    }
}

namespace
{

/// Holds up the thread of nng that frees connections, as a connection that ends
/// while messages come may do for good.
class stuck_reaper
{
  public:
    explicit stuck_reaper(const std::string& at)
    {
        nng_pull0_open(&inbox_);
        nng_listen(inbox_, ("tcp://" + at).c_str(), nullptr, 0);
        nng_push0_open(&link_);
        nng_pipe_notify(link_, NNG_PIPE_EV_REM_POST, &stuck_reaper::wait, this);
        nng_dial(link_, ("tcp://" + at).c_str(), nullptr, 0);
        closing_ = std::thread([this] { nng_close(link_); });
        while (!stuck_)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    ~stuck_reaper()
    {
        released_ = true;
        closing_.join();
        nng_close(inbox_);
    }
    stuck_reaper(const stuck_reaper&) = delete;
    stuck_reaper& operator=(const stuck_reaper&) = delete;

  private:
    static void wait(nng_pipe, nng_pipe_ev, void* self)
    {
        auto& held = *static_cast<stuck_reaper*>(self);
        held.stuck_ = true;
        while (!held.released_)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }

    nng_socket inbox_{};
    nng_socket link_{};
    std::atomic<bool> stuck_{false};
    std::atomic<bool> released_{false};
    std::thread closing_;
};

/// Entries of a folder of this process in /proc.
std::ptrdiff_t own_entries(const char* folder)
{
    const std::filesystem::directory_iterator all(std::string("/proc/self/") +
                                                  folder);
    return std::distance(begin(all), end(all));
}

} // namespace

// Guards against an instance that opens a thread and a socket more with each
// attempt to reach a peer that is away, once closes have ceased to return.
Test(nng_link, closes_that_never_return_cost_no_more_threads, .timeout = 20)
{
    const std::string at = own_ip(4) + ":47315";
    push_link link("127.0.0.1", own_ip(5) + ":47316");
    link.connect_anew();
    const stuck_reaper stuck(at);
    const std::ptrdiff_t threads = own_entries("task");
    const std::ptrdiff_t files = own_entries("fd");
    constexpr int attempts = 200;
    for (int n = 0; n < attempts; ++n)
    {
        link.connect_anew();
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    cr_expect_lt(own_entries("task") - threads, 20);
    // A socket has up to four.
    cr_expect_lt(own_entries("fd") - files, attempts);
}

// A link whose connection went silent connects anew without a close.
Test(nng_link, a_link_dials_anew, .timeout = 20)
{
    std::atomic<int> received{0};
    const std::string at = own_ip(1) + ":47312";
    pull_inbox inbox(at, [&](const std::string&) { ++received; });
    push_link link("127.0.0.1", at);
    const auto arrives = [&]
    {
        const int before = received;
        for (int n = 0; n < 300 && received == before; ++n)
        {
            link.send("x");
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return received > before;
    };
    cr_assert(arrives());
    link.redial();
    for (int n = 0; n < 200 && !link.lost(); ++n)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    cr_expect(arrives());
    cr_expect_not(link.lost());
}

namespace
{

/// An address whose first packets are lost, as if its machine had no power: the
/// queue of a listener that accepts nothing is full.
class deaf_address
{
  public:
    deaf_address(const std::string& ip, std::uint16_t port)
    {
        at_.sin_family = AF_INET;
        at_.sin_port = htons(port);
        inet_pton(AF_INET, ip.c_str(), &at_.sin_addr);
        listener_ = socket(AF_INET, SOCK_STREAM, 0);
        const int on = 1;
        setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        bind(listener_, address(), sizeof at_);
        listen(listener_, 0);
        for (int& caller : callers_)
        {
            caller = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            connect(caller, address(), sizeof at_);
        }
    }
    ~deaf_address()
    {
        for (const int caller : callers_)
            close(caller);
        close(listener_);
    }
    deaf_address(const deaf_address&) = delete;
    deaf_address& operator=(const deaf_address&) = delete;

  private:
    sockaddr* address() { return reinterpret_cast<sockaddr*>(&at_); }

    sockaddr_in at_{};
    int listener_ = -1;
    std::array<int, 4> callers_{};
};

} // namespace

// An instance that starts while the others have no power yet: its first packet
// to each of them is lost, and the kernel sends the next one after a second.
Test(nng_link, a_link_whose_first_packet_was_lost_stands_soon, .timeout = 20)
{
    using namespace sycamorelock;
    const std::string ip = own_ip(2);
    const std::string at = ip + ":47313";
    adapters::direct::exchange_links links(own_ip(3) + ":47314",
                                           [](const std::string&) {});
    {
        const deaf_address deaf(ip, 47313);
        links.send(at, "first", adapters::now());
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    std::atomic<int> received{0};
    const adapters::pull_inbox inbox(at,
                                     [&](const std::string&) { ++received; });
    const core::time_point from = adapters::now();
    while (received == 0 && adapters::now() - from < std::chrono::seconds(5))
    {
        links.send(at, "again", adapters::now());
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
        adapters::now() - from);
    cr_expect_lt(took.count(), 600, "%lld ms",
                 static_cast<long long>(took.count()));
}
