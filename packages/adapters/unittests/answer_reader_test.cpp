// Guards against answers that are read as something else than their bytes say,
// wherever answers are read.
#include "../lib/answer_reader.hpp"

#include "drawn_bytes.hpp"
#include "forbidden_heads.hpp"

#include "sycamorelock/adapters/document_reader.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <algorithm>
#include <cctype>
#include <optional>
#include <random>
#include <string>

using namespace sycamorelock::adapters;
namespace core = sycamorelock::core;

namespace
{

constexpr std::size_t max_header = 64UL * 1024;
using parser_type = http::response_parser<http::string_body>;

struct reading
{
    error_code error;
    http::response<http::string_body> header;
    [[nodiscard]] bool is_accepted() const { return !error; }
};

/// Parses a header whose bytes arrive in pieces of this size.
reading parse(std::string_view bytes, std::size_t piece)
{
    beast::flat_buffer buffer(max_header);
    parser_type parser;
    parser.header_limit(max_header);
    parser.body_limit(boost::none);
    std::size_t scanned = 0;
    while (!bytes.empty())
    {
        const std::string_view next = bytes.substr(0, piece);
        bytes.remove_prefix(next.size());
        std::copy(next.begin(), next.end(),
                  static_cast<char*>(buffer.prepare(next.size()).data()));
        buffer.commit(next.size());
        const error_code error = parse_answer_header(buffer, parser, scanned);
        if (error != http::error::need_more)
            return {error, parser.get()};
        scanned = buffer.size();
    }
    return {http::error::need_more, parser.get()};
}

bool is_token(std::string_view text)
{
    static constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !text.empty() &&
           std::all_of(text.begin(), text.end(),
                       [](char each)
                       {
                           const bool is_digit = each >= '0' && each <= '9';
                           const bool is_letter =
                               (each >= 'a' && each <= 'z') ||
                               (each >= 'A' && each <= 'Z');
                           return is_digit || is_letter ||
                                  marks.find(each) != std::string_view::npos;
                       });
}

/// Takes a line off the front; nothing if none ends.
std::optional<std::string_view> take_line(std::string_view& bytes)
{
    const std::size_t end = bytes.find("\r\n");
    if (end == std::string_view::npos)
        return std::nullopt;
    const std::string_view line = bytes.substr(0, end);
    bytes.remove_prefix(end + 2);
    return line;
}

/// Whether a header is one of HTTP/1.1, by its grammar alone.
bool is_sound(std::string_view bytes)
{
    const auto status = take_line(bytes);
    static constexpr std::string_view versions[] = {"HTTP/1.1 ", "HTTP/1.0 "};
    const bool has_status =
        status && status->size() >= 12 &&
        (status->starts_with(versions[0]) ||
         status->starts_with(versions[1])) &&
        (*status)[9] >= '1' && (*status)[9] <= '5' &&
        std::isdigit(static_cast<unsigned char>((*status)[10])) != 0 &&
        std::isdigit(static_cast<unsigned char>((*status)[11])) != 0;
    if (!has_status)
        return false;
    for (;;)
    {
        const auto line = take_line(bytes);
        if (!line)
            return false;
        if (line->empty())
            return true;
        const std::size_t colon = line->find(':');
        if (colon == std::string_view::npos ||
            !is_token(line->substr(0, colon)))
            return false;
    }
}

/// A connection over loopback with the reader of documents on one side.
class exchange_over_loopback
{
  public:
    exchange_over_loopback()
    {
        tcp::acceptor listening(io_, {asio::ip::address_v4::loopback(), 0});
        stream_.connect(listening.local_endpoint());
        listening.accept(peer_);
    }
    tcp::socket& peer() { return peer_; }
    tcp::socket& own() { return stream_.socket(); }
    asio::io_context& io() { return io_; }

    /// Reads to the end of the document or until its time is over.
    error_code read()
    {
        error_code result = asio::error::timed_out;
        stream_.expires_after(std::chrono::seconds(2));
        asio::co_spawn(io_, read_document(stream_, buffer_, parser_),
                       [&result](const std::exception_ptr&, error_code error)
                       { result = error; });
        io_.restart();
        io_.run();
        return result;
    }
    [[nodiscard]] const std::string& body() const
    {
        return parser_.get().body();
    }

  private:
    asio::io_context io_{1};
    beast::tcp_stream stream_{io_};
    tcp::socket peer_{io_};
    beast::flat_buffer buffer_{max_header};
    document_parser parser_;
};

void reset(tcp::socket& socket)
{
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
}

void send(tcp::socket& socket, std::string_view bytes)
{
    asio::write(socket, asio::buffer(bytes.data(), bytes.size()));
}

/// What the connection tells when its peer answers a part of a request that is
/// still being written and ends so.
template <class End>
core::answer_completion completion_after(exchange_over_loopback& both, End end)
{
    core::exchange_end exchange;
    const std::string request(16UL * 1024 * 1024, 'r');
    both.own().set_option(asio::socket_base::send_buffer_size(64 * 1024));
    asio::async_write(both.own(), asio::buffer(request),
                      [&exchange](error_code error, std::size_t)
                      { exchange.on_write(!error); });
    both.io().poll();
    send(both.peer(), "part");
    end(both.peer());
    core::answer_completion found = core::answer_completion::open;
    const auto read = [&]() -> asio::awaitable<void>
    {
        std::array<char, 64> piece{};
        error_code error;
        while (!error)
        {
            auto [failed, size] = co_await both.own().async_read_some(
                asio::buffer(piece), as_result);
            error = failed;
        }
        if (error != asio::error::eof)
            exchange.on_read_error();
        else
            co_await await_completion(both.own(), exchange);
        found = exchange.completion();
        both.own().close();
    };
    asio::co_spawn(both.io(), read(), asio::detached);
    both.io().restart();
    both.io().run();
    return found;
}

} // namespace

Test(answer_reader, forbidden_heads_are_refused_in_pieces_of_any_size)
{
    for (const standin::forbidden_head& each : standin::forbidden_heads())
    {
        const std::string bytes = each.bytes("X-Own: own\r\n");
        for (std::size_t piece = 1; piece <= bytes.size(); ++piece)
            cr_expect_not(parse(bytes, piece).is_accepted(), "%s by %zu",
                          each.name.c_str(), piece);
    }
}

Test(answer_reader, sound_heads_are_accepted_in_pieces_of_any_size)
{
    const std::string body = "\r\n folded if it were a header\r\n";
    for (const char* head :
         {"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 32\r\n\r\n",
          "HTTP/1.1 200 OK\r\n\r\n",
          "HTTP/1.0 404 \r\nA:\r\nB: \tc d\t\r\n\r\n",
          "HTTP/1.1 599 X\r\nTransfer-Encoding: Chunked\r\n\r\n",
          "HTTP/1.1 100 Continue\r\n\r\n"})
    {
        const std::string bytes = head + body;
        for (std::size_t piece = 1; piece <= bytes.size(); ++piece)
            cr_expect(parse(bytes, piece).is_accepted(), "%s by %zu", head,
                      piece);
    }
}

// Whatever is accepted is a header by the grammar, and reads the same in one
// piece as byte by byte.
Test(answer_reader, drawn_bytes_are_read_as_the_grammar_says)
{
    const std::string sound =
        "HTTP/1.1 200 OK\r\nRequest: a1\r\nSignature: a1 b2\r\n"
        "Content-Type: text/plain\r\nContent-Length: 12\r\n\r\n";
    static constexpr std::string_view alphabet = "\r\n\r\n \t:\0\1\x7f\xff"
                                                 "0159abHTP/.-_(";
    static constexpr std::uint64_t rounds = 20'000;
    int accepted = 0;
    int refused = 0;
    for (std::uint64_t seed = 0; seed < rounds; ++seed)
    {
        std::mt19937_64 random(seed);
        std::string bytes = sound;
        for (std::size_t changes = 1 + random() % 3; changes > 0; --changes)
        {
            const std::size_t at = random() % bytes.size();
            const char drawn = alphabet[random() % alphabet.size()];
            if (random() % 2 == 0)
                bytes[at] = drawn;
            else
                bytes.insert(at, 1, drawn);
        }
        if (seed % 4 == 0)
            bytes = standin::spoil_by_seed(bytes, seed);
        const reading whole = parse(bytes, bytes.size());
        const reading in_bytes = parse(bytes, 1);
        cr_assert_eq(whole.is_accepted(), in_bytes.is_accepted(), "seed %lu",
                     seed);
        cr_assert(!whole.is_accepted() || is_sound(bytes), "seed %lu", seed);
        accepted += whole.is_accepted() ? 1 : 0;
        refused += whole.is_accepted() ? 0 : 1;
    }
    cr_expect_gt(accepted, 1000, "%d accepted", accepted);
    cr_expect_gt(refused, 1000, "%d refused", refused);
}

Test(answer_reader, a_document_ends_with_its_length_or_its_connection)
{
    exchange_over_loopback framed;
    send(framed.peer(), "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
    cr_expect_not(framed.read());
    cr_expect_eq(framed.body(), "body");

    exchange_over_loopback unframed;
    send(unframed.peer(), "HTTP/1.1 200 OK\r\n\r\nbody");
    unframed.peer().close();
    cr_expect_not(unframed.read());
    cr_expect_eq(unframed.body(), "body");
}

Test(answer_reader, a_part_of_a_document_is_not_a_document)
{
    exchange_over_loopback framed;
    send(framed.peer(), "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nbody");
    framed.peer().close();
    cr_expect(framed.read());

    exchange_over_loopback unframed;
    send(unframed.peer(), "HTTP/1.1 200 OK\r\n\r\nbody");
    reset(unframed.peer());
    cr_expect(unframed.read());
}

// The error of a reset goes to one operation only; here another one than the
// read takes it.
Test(answer_reader, a_reset_that_another_operation_was_told_of_is_seen)
{
    exchange_over_loopback both;
    send(both.peer(), "HTTP/1.1 200 OK\r\n\r\nbody");
    reset(both.peer());
    both.own().wait(tcp::socket::wait_read);
    int value = 0;
    socklen_t size = sizeof value;
    getsockopt(both.own().native_handle(), SOL_SOCKET, SO_ERROR, &value, &size);
    cr_assert_neq(value, 0);
    cr_expect_eq(both.read(), answer_error::reset);
}

Test(answer_reader, an_end_amid_the_request_is_complete_unless_a_reset_follows)
{
    using core::answer_completion;
    exchange_over_loopback with_reset;
    const answer_completion after_reset =
        completion_after(with_reset, [](tcp::socket& peer) { reset(peer); });
    cr_expect(after_reset == answer_completion::write_failed ||
                  after_reset == answer_completion::read_failed ||
                  after_reset == answer_completion::reset_unseen,
              "%s", to_string(after_reset).data());

    exchange_over_loopback closed;
    const answer_completion after_close =
        completion_after(closed, [](tcp::socket& peer) { peer.close(); });
    cr_expect(after_close != answer_completion::complete, "%s",
              to_string(after_close).data());

    exchange_over_loopback half;
    const answer_completion after_end =
        completion_after(half, [](tcp::socket& peer)
                         { peer.shutdown(tcp::socket::shutdown_send); });
    cr_expect(after_end == answer_completion::complete, "%s",
              to_string(after_end).data());
}
