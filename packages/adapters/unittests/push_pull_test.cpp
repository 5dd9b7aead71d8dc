// Links and inboxes between instances that run on the caller's io_context, and
// what a peer may do to them.
#include "../lib/push_pull.hpp"
#include "../lib/sp_framing.hpp"
#include "own_ip.hpp"

#include "sycamorelock/wire/codec.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

using namespace sycamorelock;
using namespace sycamorelock::adapters;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace
{

constexpr const char* port = ":47321";

tcp::endpoint endpoint_of(const std::string& ip)
{
    return {boost::asio::ip::make_address(ip), 47321};
}

/// Runs the loop until a condition holds. \returns whether it does in time.
template <class Condition>
bool runs_until(boost::asio::io_context& io, Condition&& holds)
{
    const auto end = steady_clock::now() + std::chrono::seconds(5);
    while (!holds() && steady_clock::now() < end)
    {
        io.restart();
        io.run_for(milliseconds(5));
    }
    return holds();
}

/// An inbox that keeps what it was told.
struct recording_inbox
{
    explicit recording_inbox(const std::string& ip)
        : inbox(
              std::in_place, io, ip + port,
              [this](std::string bytes)
              { messages.push_back(std::move(bytes)); },
              [this](const std::string&, std::string_view reason)
              { violations.emplace_back(reason); })
    {
    }
    boost::asio::io_context io{1};
    std::vector<std::string> messages;
    std::vector<std::string> violations;
    std::optional<pull_inbox> inbox;
};

/// Memory of this process, in KB.
long resident_kb()
{
    std::ifstream status("/proc/self/status");
    std::string word;
    while (status >> word && word != "VmRSS:")
        continue;
    long size = 0;
    status >> size;
    return size;
}

/// A peer that writes whatever a test wants.
struct raw_peer
{
    raw_peer(boost::asio::io_context& io, const std::string& ip) : socket(io)
    {
        socket.connect(endpoint_of(ip));
    }
    void write(const std::string& bytes)
    {
        boost::asio::write(socket, boost::asio::buffer(bytes));
    }
    void greet(sp::protocol own = sp::protocol::push)
    {
        const auto bytes = sp::greeting_of(own);
        write({bytes.begin(), bytes.end()});
    }
    void announce(std::size_t size)
    {
        const auto bytes = sp::length_prefix(size);
        write({bytes.begin(), bytes.end()});
    }
    tcp::socket socket;
};

} // namespace

// Guards against a close that waits for a message that never ends: nng 1.5.2
// lost the receive of a connection closed between a message's length and its
// bytes, and no close of the process returned after that.
Test(push_pull, an_inbox_closes_at_every_byte_of_a_message, .timeout = 20)
{
    const std::string ip = own_ip(11);
    const std::string message = "message";
    const auto prefix = sp::length_prefix(message.size());
    const auto greeting = sp::greeting_of(sp::protocol::push);
    const std::string bytes = std::string(greeting.begin(), greeting.end()) +
                              std::string(prefix.begin(), prefix.end()) +
                              message;
    for (std::size_t size = 0; size <= bytes.size(); ++size)
    {
        auto held = std::make_unique<recording_inbox>(ip);
        raw_peer peer(held->io, ip);
        peer.write(bytes.substr(0, size));
        if (size == bytes.size())
            cr_assert(runs_until(held->io,
                                 [&] { return held->messages.size() == 1; }));
        else
            held->io.run_for(milliseconds(2));
        cr_expect_eq(held->messages.size(), size == bytes.size() ? 1U : 0U);
        const auto from = steady_clock::now();
        held->inbox.reset();
        cr_expect_lt((steady_clock::now() - from) / milliseconds(1), 100);
        held->io.run_for(milliseconds(2));
        cr_expect(held->violations.empty());
    }
}

// An instance of this release and one whose links are nng's understand each
// other, so that a fleet can be upgraded one instance after the other.
Test(push_pull, links_and_inboxes_speak_with_nng, .timeout = 20)
{
    const std::string ip = own_ip(12);
    recording_inbox held(ip);
    nng_socket sender{};
    cr_assert_eq(nng_push0_open(&sender), 0);
    cr_assert_eq(nng_socket_set_int(sender, NNG_OPT_SENDBUF, 8), 0);
    nng_dial(sender, ("tcp://" + ip + port).c_str(), nullptr,
             NNG_FLAG_NONBLOCK);
    const std::string large(100'000, 'x');
    for (const std::string& each : {std::string("small"), large})
        cr_assert_eq(nng_send(sender, const_cast<char*>(each.data()),
                              each.size(), NNG_FLAG_NONBLOCK),
                     0);
    cr_assert(runs_until(held.io, [&] { return held.messages.size() == 2; }));
    cr_expect(held.messages[0] == "small");
    cr_expect(held.messages[1] == large);

    const std::string other = own_ip(13);
    nng_socket receiver{};
    cr_assert_eq(nng_pull0_open(&receiver), 0);
    cr_assert_eq(
        nng_listen(receiver, ("tcp://" + other + port).c_str(), nullptr, 0), 0);
    push_link link(held.io, own_ip(14), other + port);
    link.send(large);
    cr_assert(runs_until(held.io, [&] { return link.connected(); }));
    void* got = nullptr;
    std::size_t size = 0;
    cr_assert_eq(nng_recv(receiver, &got, &size, NNG_FLAG_ALLOC), 0);
    cr_expect(std::string(static_cast<char*>(got), size) == large);
    nng_free(got, size);
}

// Garbage, a length beyond the limit and a message that is cut off: each ends
// its own connection, with its reason, and no other.
Test(push_pull, bytes_that_cannot_be_read_end_their_connection_alone,
     .timeout = 20)
{
    const std::string ip = own_ip(15);
    recording_inbox held(ip);
    push_link good(held.io, own_ip(16), ip + port);
    raw_peer stranger(held.io, ip);
    stranger.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    raw_peer large(held.io, ip);
    large.greet();
    large.announce(wire::max_datagram + 1);
    {
        raw_peer cut(held.io, ip);
        cut.greet();
        cut.announce(100);
        cut.write("half");
    }
    raw_peer silent(held.io, ip);
    cr_assert(runs_until(held.io, [&] { return held.violations.size() == 3; }));
    std::sort(held.violations.begin(), held.violations.end());
    cr_expect(
        held.violations ==
        std::vector<std::string>({"cut_off", "too_large", "wrong_greeting"}));
    good.send("still here");
    cr_assert(runs_until(held.io, [&] { return held.messages.size() == 1; }));
    cr_expect(good.connected());
    cr_expect_not(good.lost());
}

// An announced length costs nothing; only what has arrived is kept. A peer that
// connects and says nothing is given up.
Test(push_pull, a_peer_that_says_nothing_is_given_up, .timeout = 30)
{
    const std::string ip = own_ip(17);
    recording_inbox held(ip);
    const raw_peer silent(held.io, ip);
    const auto end = steady_clock::now() + std::chrono::seconds(15);
    while (held.violations.empty() && steady_clock::now() < end)
        held.io.run_for(milliseconds(100));
    cr_assert_eq(held.violations.size(), 1);
    cr_expect(held.violations.front() == "no_greeting");
}

// Guards against strangers whose messages of 2 MiB stop just short of their
// end: 40 of them take no more than twice the bound, as a string is copied
// while it grows, and a peer's large message still arrives.
Test(push_pull, unfinished_messages_take_bounded_memory, .timeout = 60)
{
    const std::string ip = own_ip(20);
    recording_inbox held(ip);
    const long before = resident_kb();
    std::list<raw_peer> strangers;
    const std::string most(wire::max_datagram - 1, 'x');
    for (int i = 0; i < 40; ++i)
    {
        raw_peer& each = strangers.emplace_back(held.io, ip);
        each.greet();
        each.announce(wire::max_datagram);
        for (std::size_t at = 0; at < most.size(); at += 64 * 1024)
        {
            // Those that give way are closed.
            boost::system::error_code ignored;
            boost::asio::write(each.socket,
                               boost::asio::buffer(most.substr(at, 64 * 1024)),
                               ignored);
            held.io.poll();
        }
    }
    constexpr long bound_kb = 4L * wire::max_datagram / 1024;
    cr_expect_lt(resident_kb() - before, 2 * bound_kb, "%ld KB",
                 resident_kb() - before);
    push_link good(held.io, own_ip(21), ip + port);
    const std::string large(wire::max_datagram, 'y');
    good.send(large);
    cr_assert(runs_until(held.io, [&] { return held.messages.size() == 1; }));
    cr_expect(held.messages.front() == large);
}

// A peer that never reads: what waits for it is bounded in messages and in
// bytes, sending never blocks, and the close of the link does not wait.
Test(push_pull, a_peer_that_never_reads_costs_a_bounded_queue, .timeout = 20)
{
    boost::asio::io_context io(1);
    const std::string ip = own_ip(18);
    tcp::acceptor deaf(io, endpoint_of(ip));
    push_link link(io, own_ip(19), ip + port);
    tcp::socket held(io);
    deaf.accept(held);
    const auto greeting = sp::greeting_of(sp::protocol::pull);
    boost::asio::write(held, boost::asio::buffer(greeting));
    cr_assert(runs_until(io, [&] { return link.connected(); }));
    const std::string large(wire::max_datagram, 'x');
    // The first ones go into the buffers of the kernel.
    int taken = 0;
    while (taken < 100 && link.send(large))
    {
        ++taken;
        io.run_for(milliseconds(1));
    }
    cr_expect_lt(taken, 10, "%d messages of 2 MB taken", taken);
    const long before = resident_kb();
    const auto from = steady_clock::now();
    for (int n = 0; n < 1000; ++n)
        cr_assert_not(link.send(large));
    cr_expect_lt((steady_clock::now() - from) / milliseconds(1), 5000);
    cr_expect_lt(resident_kb() - before, 20'000);
}

// All instances of a large fleet connect and send at once. The thread that
// decides goes on: an event loop that is 250 ms late asks for no callers.
Test(push_pull, many_peers_that_connect_at_once_do_not_hold_up_the_loop,
     .timeout = 30)
{
    constexpr int peers = 370;
    constexpr int messages = 5;
    const std::string ip = own_ip(20);
    recording_inbox held(ip);
    boost::asio::io_context others(1);
    std::list<push_link> links;
    for (int n = 0; n < peers; ++n)
        links.emplace_back(others, own_ip(21 + n % 200), ip + port);
    for (push_link& link : links)
    {
        for (int n = 0; n < messages; ++n)
            cr_assert(link.send(std::string(20'000, 'x')));
    }
    std::thread sending([&] { others.run_for(std::chrono::seconds(10)); });
    // The longest turn of the loop is how late anything else on it may be.
    steady_clock::duration longest{0};
    const auto work = boost::asio::make_work_guard(held.io);
    const auto end = steady_clock::now() + std::chrono::seconds(10);
    while (held.messages.size() < peers * messages && steady_clock::now() < end)
    {
        // Without waiting, so that a turn is work and nothing else.
        const auto before = steady_clock::now();
        if (held.io.poll_one() == 0)
            std::this_thread::sleep_for(milliseconds(1));
        else
            longest = std::max(longest, steady_clock::now() - before);
    }
    others.stop();
    sending.join();
    cr_expect_eq(held.messages.size(), std::size_t{peers} * messages);
    cr_expect_lt(longest / milliseconds(1), 250, "%lld ms late",
                 static_cast<long long>(longest / milliseconds(1)));
}

// Addresses come from other instances and may be anything.
Test(push_pull, a_link_to_no_address_never_connects, .timeout = 20)
{
    boost::asio::io_context io(1);
    for (const char* address : {"", ":", "name:1", "127.0.0.1:", "1:2:3",
                                "127.0.0.1:99999999999999999999"})
    {
        push_link link(io, "127.0.0.1", address);
        link.send("x");
        link.connect_anew();
        link.redial();
        io.restart();
        io.run_for(milliseconds(2));
        cr_expect_not(link.connected());
    }
}

// Guards against a peer that was away and reads the oldest news first, while
// the newest were dropped.
Test(push_pull, a_peer_that_was_away_reads_the_newest_messages, .timeout = 20)
{
    const std::string ip = own_ip(22);
    recording_inbox held(ip);
    held.inbox.reset();
    push_link link(held.io, own_ip(23), ip + port);
    constexpr int sent = 1000;
    int dropped = 0;
    for (int n = 0; n < sent; ++n)
        dropped += link.send(std::to_string(n)) ? 0 : 1;
    cr_expect_gt(dropped, 0);
    recording_inbox back(ip);
    const auto newest = [&] { return std::to_string(sent - 1); };
    const auto end = steady_clock::now() + std::chrono::seconds(5);
    while ((back.messages.empty() || back.messages.back() != newest()) &&
           steady_clock::now() < end)
    {
        held.io.restart();
        held.io.run_for(milliseconds(5));
        back.io.restart();
        back.io.run_for(milliseconds(5));
    }
    cr_assert_eq(back.messages.size(), std::size_t(sent - dropped));
    for (std::size_t i = 0; i < back.messages.size(); ++i)
        cr_expect(back.messages[i] == std::to_string(dropped + int(i)));
}

// A link only sends: whoever answers it with messages is no inbox, and must not
// keep the loop busy with them.
Test(push_pull, a_peer_that_sends_to_a_link_ends_its_connection, .timeout = 20)
{
    boost::asio::io_context io(1);
    const std::string ip = own_ip(24);
    tcp::acceptor stranger(io, endpoint_of(ip));
    push_link link(io, own_ip(25), ip + port);
    tcp::socket held(io);
    stranger.accept(held);
    const auto greeting = sp::greeting_of(sp::protocol::pull);
    boost::asio::write(held, boost::asio::buffer(greeting));
    cr_assert(runs_until(io, [&] { return link.connected(); }));
    const auto empty = sp::length_prefix(0);
    boost::asio::write(held, boost::asio::buffer(empty));
    cr_expect(runs_until(io, [&] { return link.lost(); }));
}
